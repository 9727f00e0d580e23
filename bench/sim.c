#include "sim.h"

#include <math.h>
#include <string.h>

#include "../test/config_builder.h"
#include "core/dispatch.h"
#include "engine.h"
#include "histogram.h"

#define TOKENS_PER_BLOCK 16
#define ROUTE_PREFIX_BLOCKS 30	 /* shared by all prompts of a route */
#define ACCOUNT_PREFIX_BLOCKS 30 /* then by those of an account */
#define LOCAL_DELAY 100		 /* us, one way within a failure domain */
/* Intervals of reports, and the delays until they reach the entry hosts. */
#define LOAD_INTERVAL (500 * SR_MSEC)
#define LOAD_LAG (250 * SR_MSEC)
#define USAGE_INTERVAL SR_SEC
#define USAGE_LAG (300 * SR_MSEC)
#define CACHE_EVENT_LAG (400 * SR_MSEC)
#define CACHE_EVENT_BATCH 64  /* consecutive events that are lost together */
#define CACHE_EVENT_LOSS 0.01 /* probability per batch */
#define CONNECT_TIMEOUT (200 * SR_MSEC)
#define ERROR_DELAY (5 * SR_MSEC)  /* of a failing upstream */
#define DRAIN_TIME (46 * SR_SEC)   /* exceeds the longest deadline, 45 s */
#define NOTICE_PERIOD (5 * SR_SEC) /* from the notice to the stop */
#define NOTICE_LAG (300 * SR_MSEC) /* until the entry hosts have the notice */
#define HOST_LIST_LAG (4 * SR_SEC) /* from the stop to its removal */

typedef struct sim sim_t;

typedef struct {
	sim_t *sim;
	unsigned index;
	unsigned domain;
	engine_t *engine;
	gboolean down;
	gboolean failing;
	sr_usec_t noticed_at; /* 0 without a notice */
	GPtrArray *jobs;      /* request_t sent to this upstream */
} upstream_t;

typedef struct {
	sim_t *sim;
	unsigned index;
	unsigned domain;
	sr_dispatch_t *dispatch;
	unsigned in_flight[DEPLOYMENT_N_UPSTREAMS];
	gboolean unavailable[DEPLOYMENT_N_UPSTREAMS]; /* leaving or absent */
} entry_host_t;

typedef struct {
	engine_job_t job; /* must be first: callbacks cast it to request_t */
	sim_t *sim;
	entry_host_t *host;
	upstream_t *upstream;
	sr_call_t *call;
	unsigned route;
	unsigned account;
	guint64 *blocks;
	sr_usec_t created;
	sr_usec_t last_token;
	unsigned attempts;
	gboolean measured;
	gboolean ended;
} request_t;

struct sim {
	const sim_options_t *options;
	const deployment_t *deployment;
	sr_config_t *config;
	event_queue_t *events;
	GRand *random;
	entry_host_t hosts[DEPLOYMENT_N_ENTRY_HOSTS];
	upstream_t upstreams[DEPLOYMENT_N_UPSTREAMS];
	GPtrArray *requests;
	GHashTable *computed_blocks; /* set of block hashes, by any engine */
	histogram_t *first_token;
	histogram_t *token_gap;
	sim_result_t *result;
	gboolean partitioned; /* failure domain 0 cannot reach the others */
	guint64 n_requests;
};

static sr_usec_t sim_now(const sim_t *sim)
{
	return event_queue_now(sim->events);
}

static guint64 mix_hash(guint64 a, guint64 b)
{
	guint64 x = a * 0x9e3779b97f4a7c15u + b;

	x ^= x >> 31;
	x *= 0xbf58476d1ce4e5b9u;
	return x ^ (x >> 29);
}

static gboolean is_load_over(const sim_t *sim)
{
	const sim_options_t *o = sim->options;

	return sim_now(sim) >= o->warm_up + o->duration;
}

static gboolean is_fault_active(const sim_t *sim)
{
	const sim_options_t *o = sim->options;
	sr_usec_t elapsed = sim_now(sim) - o->warm_up;

	return elapsed >= o->duration / 4 && elapsed < o->duration * 3 / 4;
}

static gboolean can_reach(const sim_t *sim, unsigned a, unsigned b)
{
	return !sim->partitioned || (a == 0) == (b == 0);
}

static void end_request(request_t *request)
{
	request->ended = TRUE;
	if (request->call)
		sr_dispatch_finish(request->host->dispatch,
				   sim_now(request->sim), request->call);
	request->call = NULL;
	g_clear_pointer(&request->blocks, g_free);
}

static void leave_upstream(request_t *request)
{
	upstream_t *upstream = request->upstream;

	g_assert(upstream);
	request->host->in_flight[upstream->index]--;
	g_ptr_array_remove_fast(upstream->jobs, request);
	request->upstream = NULL;
}

static void send_attempt(request_t *request, upstream_t *upstream);

static unsigned target_index(const sr_target_t *target)
{
	return (unsigned)g_ascii_strtoull(target->name + 1, NULL, 10);
}

static upstream_t *choose_upstream(request_t *request)
{
	sim_t *sim = request->sim;
	gboolean plain = sim->deployment->traffic[request->route].plain;
	unsigned from = plain ? DEPLOYMENT_N_MODEL_UPSTREAMS : 0;
	unsigned to =
		plain ? DEPLOYMENT_N_UPSTREAMS : DEPLOYMENT_N_MODEL_UPSTREAMS;
	unsigned best = G_MAXUINT;
	double best_score = 0;

	for (unsigned i = from; i < to; i++) {
		double score = g_rand_double(sim->random);

		if (request->host->unavailable[i])
			continue;
		if (sim->options->strategy == SIM_LEAST_OUTSTANDING)
			score += request->host->in_flight[i];
		if (best == G_MAXUINT || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best == G_MAXUINT ? NULL : &sim->upstreams[best];
}

static void count_failure(request_t *request)
{
	if (request->measured)
		request->sim->result->failed++;
	end_request(request);
}

static void attempt_failed(request_t *request, sr_attempt_result_t end)
{
	sim_t *sim = request->sim;
	sr_decision_t decision;
	upstream_t *next = NULL;

	leave_upstream(request);
	if (request->call) {
		if (sr_dispatch_attempt_ended(request->host->dispatch,
					      sim_now(sim), request->call, end,
					      request->job.n_tokens, &decision))
			next = &sim->upstreams[target_index(&decision.u.send)];
	} else if (request->attempts < 2) {
		next = choose_upstream(request);
	}
	if (next)
		send_attempt(request, next);
	else
		count_failure(request);
}

static void connect_timeout_expires(void *user, void *data)
{
	request_t *request = data;

	if (!request->ended)
		attempt_failed(request, SR_ATTEMPT_NOT_STARTED);
}

static void error_arrives(void *user, void *data)
{
	request_t *request = data;

	if (!request->ended)
		attempt_failed(request, SR_ATTEMPT_FAILED);
}

static void attempt_arrives(void *user, void *data)
{
	request_t *request = data;
	upstream_t *upstream = request->upstream;

	/*
	 * The event of an attempt that was broken in transit still runs.
	 * Whichever event runs first submits the current attempt.
	 */
	if (request->ended || request->job.link.next != &request->job.link)
		return;
	if (upstream->down) {
		attempt_failed(request, SR_ATTEMPT_NOT_STARTED);
		return;
	}
	request->job.n_blocks = request->job.prompt_tokens / TOKENS_PER_BLOCK;
	engine_submit(upstream->engine, &request->job);
}

static sr_usec_t delay_to(const request_t *request, const upstream_t *upstream)
{
	if (request->host->domain == upstream->domain)
		return LOCAL_DELAY;
	return request->sim->deployment->domain_delay;
}

static void record_dispatch(const sim_t *sim, const upstream_t *upstream)
{
	sr_usec_t after = sim_now(sim) - upstream->noticed_at;

	if (upstream->noticed_at > 0 && !upstream->down)
		sim->result->max_dispatch_after_notice =
			MAX(sim->result->max_dispatch_after_notice, after);
}

static void send_attempt(request_t *request, upstream_t *upstream)
{
	sim_t *sim = request->sim;

	record_dispatch(sim, upstream);
	request->attempts++;
	request->upstream = upstream;
	request->host->in_flight[upstream->index]++;
	g_ptr_array_add(upstream->jobs, request);
	sr_list_init(&request->job.link);
	if (!can_reach(sim, request->host->domain, upstream->domain))
		event_queue_add(sim->events, CONNECT_TIMEOUT,
				connect_timeout_expires, NULL, request);
	else if (upstream->failing && is_fault_active(sim))
		event_queue_add(sim->events, ERROR_DELAY, error_arrives, NULL,
				request);
	else
		event_queue_add(sim->events, delay_to(request, upstream),
				attempt_arrives, NULL, request);
}

static void deadline_expires(void *user, void *data)
{
	request_t *request = data;
	sr_decision_t decision;

	if (request->ended)
		return;
	if (request->job.link.next != &request->job.link)
		engine_cancel(request->upstream->engine, &request->job);
	leave_upstream(request);
	if (request->call)
		sr_dispatch_attempt_ended(request->host->dispatch,
					  sim_now(request->sim), request->call,
					  SR_ATTEMPT_TIMED_OUT,
					  request->job.n_tokens, &decision);
	if (request->measured)
		request->sim->result->late++;
	end_request(request);
}

static void token_generated(void *user, engine_job_t *job)
{
	request_t *request = (request_t *)job;
	sim_t *sim = user;
	sr_usec_t now = sim_now(sim);
	gboolean plain = sim->deployment->traffic[request->route].plain;

	if (job->n_tokens == 1 && request->call)
		sr_dispatch_first_token(request->host->dispatch, now,
					request->call);
	if (request->measured && !plain) {
		if (job->n_tokens == 1)
			histogram_add(
				sim->first_token,
				now - request->created +
					2 * sim->deployment->client_delay);
		else
			histogram_add(sim->token_gap,
				      now - request->last_token);
	}
	request->last_token = now;
}

static void job_done(void *user, engine_job_t *job)
{
	request_t *request = (request_t *)job;
	sim_t *sim = user;
	sr_decision_t decision;

	leave_upstream(request);
	if (request->call)
		sr_dispatch_attempt_ended(request->host->dispatch, sim_now(sim),
					  request->call, SR_ATTEMPT_OK,
					  job->n_tokens, &decision);
	if (request->measured) {
		sim->result->completed++;
		sim->result->completed_by_route[request->route]++;
		sim->result->completed_by_account[request->account]++;
	}
	end_request(request);
}

static void prefill_started(void *user, engine_job_t *job)
{
	request_t *request = (request_t *)job;
	sim_t *sim = user;

	for (unsigned i = 0; i < job->n_blocks; i++) {
		gboolean is_new = g_hash_table_add(
			sim->computed_blocks,
			g_memdup2(&job->blocks[i], sizeof(job->blocks[i])));

		if (!is_new && i >= job->cached_tokens / TOKENS_PER_BLOCK &&
		    request->measured)
			sim->result->recomputed_tokens += TOKENS_PER_BLOCK;
	}
	if (request->measured)
		sim->result->prompt_tokens += job->prompt_tokens;
}

typedef struct {
	entry_host_t *host;
	char name[16];
	guint64 sequence;
	guint64 block;
	gboolean added;
} cache_message_t;

static void deliver_cache_event(void *user, void *data)
{
	cache_message_t *msg = data;

	sr_dispatch_cache_event(msg->host->dispatch, msg->name, msg->sequence,
				msg->block, msg->added);
	g_free(msg);
}

static gboolean is_batch_lost(const sim_t *sim, unsigned host,
			      unsigned upstream, guint64 sequence)
{
	guint64 batch =
		mix_hash(mix_hash(sim->options->seed, host * 100 + upstream),
			 sequence / CACHE_EVENT_BATCH);

	return (double)(batch % 10000) < CACHE_EVENT_LOSS * 10000;
}

static void cache_changed(void *user, engine_t *engine, guint64 sequence,
			  guint64 block, gboolean added)
{
	sim_t *sim = user;
	unsigned i = 0;

	if (sim->options->strategy != SIM_POLICY)
		return;
	while (sim->upstreams[i].engine != engine)
		i++;
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &sim->hosts[h];
		cache_message_t *msg;

		if (!can_reach(sim, host->domain, sim->upstreams[i].domain) ||
		    is_batch_lost(sim, h, i, sequence))
			continue;
		msg = g_new0(cache_message_t, 1);
		msg->host = host;
		g_snprintf(msg->name, sizeof(msg->name), "u%02u", i);
		msg->sequence = sequence;
		msg->block = block;
		msg->added = added;
		event_queue_add(sim->events, CACHE_EVENT_LAG,
				deliver_cache_event, NULL, msg);
	}
}

typedef struct {
	unsigned upstream;
	sr_load_report_t report;
} load_message_t;

static void deliver_load_report(void *user, void *data)
{
	sim_t *sim = user;
	load_message_t *msg = data;
	char name[16];

	g_snprintf(name, sizeof(name), "u%02u", msg->upstream);
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &sim->hosts[h];

		if (can_reach(sim, host->domain,
			      sim->upstreams[msg->upstream].domain))
			sr_dispatch_report_load(host->dispatch, name,
						&msg->report);
	}
	g_free(msg);
}

static void sample_load(void *user, void *data)
{
	sim_t *sim = user;

	if (is_load_over(sim))
		return;
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		upstream_t *upstream = &sim->upstreams[i];
		load_message_t *msg;
		sr_usec_t gap = engine_token_gap(upstream->engine);

		if (upstream->down)
			continue;
		msg = g_new0(load_message_t, 1);
		msg->upstream = i;
		msg->report.running = engine_running(upstream->engine);
		msg->report.waiting = engine_waiting(upstream->engine);
		if (gap > 0)
			msg->report.tokens_per_s = (double)SR_SEC / (double)gap;
		msg->report.measured_at = sim_now(sim);
		event_queue_add(sim->events, LOAD_LAG, deliver_load_report, sim,
				msg);
	}
	event_queue_add(sim->events, LOAD_INTERVAL, sample_load, sim, NULL);
}

static sr_usec_t interarrival_time(sim_t *sim)
{
	double rate = sim->options->rate;

	if (sim->options->scenario == SIM_BURST && is_fault_active(sim))
		rate *= 3;
	return (sr_usec_t)(-log(1 - g_rand_double(sim->random)) / rate *
			   (double)SR_SEC);
}

static unsigned draw_weighted(sim_t *sim, const double *weights, unsigned n)
{
	double left = g_rand_double(sim->random);

	for (unsigned i = 0; i + 1 < n; i++) {
		left -= weights[i];
		if (left < 0)
			return i;
	}
	return n - 1;
}

static unsigned draw_account(sim_t *sim)
{
	static const double dominant[DEPLOYMENT_N_ACCOUNTS] = { 0.8, 0.05, 0.05,
								0.05, 0.05 };

	return draw_weighted(sim,
			     sim->options->scenario == SIM_DOMINANT_ACCOUNT ?
				     dominant :
				     sim->deployment->account_weight,
			     DEPLOYMENT_N_ACCOUNTS);
}

static unsigned draw_route(sim_t *sim)
{
	double weights[DEPLOYMENT_N_ROUTES];

	for (unsigned i = 0; i < DEPLOYMENT_N_ROUTES; i++)
		weights[i] = sim->deployment->traffic[i].weight;
	return draw_weighted(sim, weights, DEPLOYMENT_N_ROUTES);
}

/*
 * A prompt has the prefix of its route, the prefix of its account, a document
 * and unique tokens. Squaring u makes documents with low numbers more frequent.
 */
static void make_prompt(request_t *request)
{
	sim_t *sim = request->sim;
	const deployment_t *deployment = sim->deployment;
	const traffic_route_t *traffic = &deployment->traffic[request->route];
	unsigned n_unique = traffic->unique_tokens / TOKENS_PER_BLOCK;
	unsigned n = traffic->prompt_blocks + n_unique;
	double u = g_rand_double(sim->random);
	guint64 document = (guint64)(u * u * deployment->documents);
	guint64 hash = mix_hash(17, request->route);

	request->blocks = g_new(guint64, MAX(n, 1));
	for (unsigned i = 0; i < n; i++) {
		if (i == ROUTE_PREFIX_BLOCKS)
			hash = mix_hash(hash, request->account + 1000);
		else if (i == ROUTE_PREFIX_BLOCKS + ACCOUNT_PREFIX_BLOCKS)
			hash = mix_hash(hash, document + 2000);
		else if (i == traffic->prompt_blocks)
			hash = mix_hash(hash, sim->n_requests + 1000000);
		hash = mix_hash(hash, i);
		request->blocks[i] = hash;
	}
	request->job.blocks = request->blocks;
	request->job.n_blocks = n;
	request->job.prompt_tokens = n * TOKENS_PER_BLOCK;
	request->job.max_tokens =
		MAX(1, (unsigned)(traffic->max_tokens *
				  (0.5 + g_rand_double(sim->random) / 2)));
}

static const sr_route_config_t *route_config(const sim_t *sim, unsigned route)
{
	const sr_service_config_t *service = sim->config->services->pdata[0];

	if (!sim->deployment->traffic[route].plain)
		return service->routes->pdata[route];
	service = sim->config->services->pdata[1];
	return service->routes->pdata[0];
}

static gboolean begin_call(request_t *request, sr_decision_t *decision)
{
	sim_t *sim = request->sim;
	gboolean plain = sim->deployment->traffic[request->route].plain;
	const sr_route_config_t *route = route_config(sim, request->route);
	sr_call_options_t options = {
		.service = sim->config->services->pdata[plain ? 1 : 0],
		.route = route,
		.account = sim->config->accounts->pdata[request->account],
		.priority = route->priority,
		.deadline = request->created + route->deadline,
		.idempotent = TRUE,
		.blocks = request->blocks,
		.n_blocks = request->job.n_blocks,
		.prompt_tokens = request->job.prompt_tokens,
		.max_tokens =
			sim->deployment->traffic[request->route].max_tokens,
	};

	request->call = sr_dispatch_begin(request->host->dispatch, sim_now(sim),
					  &options, decision);
	return request->call != NULL;
}

static void admit(request_t *request)
{
	sim_t *sim = request->sim;
	upstream_t *upstream = NULL;
	sr_decision_t decision;

	if (sim->options->strategy != SIM_POLICY)
		upstream = choose_upstream(request);
	else if (begin_call(request, &decision))
		upstream = &sim->upstreams[target_index(&decision.u.send)];
	if (upstream) {
		send_attempt(request, upstream);
		event_queue_add(sim->events,
				route_config(sim, request->route)->deadline,
				deadline_expires, NULL, request);
		return;
	}
	if (request->measured)
		sim->result->refused++;
	end_request(request);
}

static void request_arrives(void *user, void *data)
{
	sim_t *sim = user;
	unsigned host = (unsigned)g_rand_int_range(sim->random, 0,
						   DEPLOYMENT_N_ENTRY_HOSTS);
	request_t *request;

	if (is_load_over(sim))
		return;
	request = g_new0(request_t, 1);
	event_queue_add(sim->events, interarrival_time(sim), request_arrives,
			sim, NULL);
	g_ptr_array_add(sim->requests, request);
	sim->n_requests++;
	request->sim = sim;
	request->host = &sim->hosts[host];
	request->route = draw_route(sim);
	request->account = draw_account(sim);
	request->created = sim_now(sim);
	request->measured = request->created >= sim->options->warm_up;
	request->job.priority = route_config(sim, request->route)->priority;
	sr_list_init(&request->job.link);
	make_prompt(request);
	if (request->measured) {
		sim->result->offered++;
		sim->result->offered_by_route[request->route]++;
		sim->result->offered_by_account[request->account]++;
	}
	admit(request);
}

typedef struct {
	entry_host_t *from;
	char *scope;
	unsigned in_flight;
} usage_message_t;

static void deliver_usage(void *user, void *data)
{
	sim_t *sim = user;
	usage_message_t *msg = data;
	char node[16];

	g_snprintf(node, sizeof(node), "n%u", msg->from->index);
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &sim->hosts[h];

		if (host != msg->from &&
		    can_reach(sim, host->domain, msg->from->domain))
			sr_dispatch_set_usage(host->dispatch, msg->scope, node,
					      msg->in_flight, sim_now(sim));
	}
	g_free(msg->scope);
	g_free(msg);
}

static void send_usage(void *user, const char *scope, unsigned in_flight)
{
	entry_host_t *host = user;
	usage_message_t *msg = g_new0(usage_message_t, 1);

	msg->from = host;
	msg->scope = g_strdup(scope);
	msg->in_flight = in_flight;
	event_queue_add(host->sim->events, USAGE_LAG, deliver_usage, host->sim,
			msg);
}

static void publish_usage(void *user, void *data)
{
	sim_t *sim = user;

	if (is_load_over(sim))
		return;
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++)
		sr_dispatch_foreach_usage(sim->hosts[h].dispatch, send_usage,
					  &sim->hosts[h]);
	event_queue_add(sim->events, USAGE_INTERVAL, publish_usage, sim, NULL);
}

static void mark_unavailable(sim_t *sim, unsigned index, gboolean absent)
{
	char name[16];

	g_snprintf(name, sizeof(name), "u%02u", index);
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &sim->hosts[h];

		host->unavailable[index] = TRUE;
		if (!host->dispatch)
			continue;
		if (absent)
			sr_dispatch_set_present(host->dispatch, name, FALSE);
		else
			sr_dispatch_set_leaving(host->dispatch, name);
	}
}

static void deliver_notice(void *user, void *data)
{
	upstream_t *upstream = data;

	mark_unavailable(user, upstream->index, FALSE);
}

static void update_host_list(void *user, void *data)
{
	upstream_t *upstream = data;

	mark_unavailable(user, upstream->index, TRUE);
}

static void stop_upstream(void *user, void *data)
{
	upstream_t *upstream = data;
	sim_t *sim = user;

	upstream->down = TRUE;
	while (upstream->jobs->len > 0) {
		request_t *request = upstream->jobs->pdata[0];

		if (request->job.link.next != &request->job.link)
			engine_cancel(upstream->engine, &request->job);
		attempt_failed(request, SR_ATTEMPT_BROKEN);
	}
	if (sim->options->scenario != SIM_PLATFORM_OUTAGE)
		event_queue_add(sim->events, HOST_LIST_LAG, update_host_list,
				sim, upstream);
}

/*
 * Reclaims failure domain 1. In a platform outage its first upstream stops
 * without notice, as the platform that gives notices is out.
 */
static void start_reclaim(void *user, void *data)
{
	sim_t *sim = user;
	gboolean first = TRUE;

	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		upstream_t *upstream = &sim->upstreams[i];
		gboolean without_notice =
			sim->options->scenario == SIM_PLATFORM_OUTAGE && first;

		if (upstream->domain != 1)
			continue;
		first = FALSE;
		if (!without_notice) {
			upstream->noticed_at = sim_now(sim);
			event_queue_add(sim->events, NOTICE_LAG, deliver_notice,
					sim, upstream);
		}
		event_queue_add(sim->events, NOTICE_PERIOD, stop_upstream, sim,
				upstream);
	}
}

static void set_partitioned(void *user, void *data)
{
	sim_t *sim = user;

	sim->partitioned = data != NULL;
}

static void schedule_scenario(sim_t *sim)
{
	const sim_options_t *o = sim->options;
	sr_usec_t start = o->warm_up + o->duration / 4;
	sr_usec_t stop = o->warm_up + o->duration * 3 / 4;

	switch (o->scenario) {
	case SIM_RECLAIM:
	case SIM_PLATFORM_OUTAGE:
		event_queue_add(sim->events, start, start_reclaim, sim, NULL);
		break;
	case SIM_PARTITION:
		event_queue_add(sim->events, start, set_partitioned, sim, sim);
		event_queue_add(sim->events, stop, set_partitioned, sim, NULL);
		break;
	case SIM_FAILING_UPSTREAM:
		sim->upstreams[2].failing = TRUE;
		break;
	case SIM_NO_FAULT:
	case SIM_BURST:
	case SIM_DOMINANT_ACCOUNT:
		break;
	}
}

static engine_t *new_engine(sim_t *sim, gboolean plain)
{
	const engine_options_t options = {
		.events = sim->events,
		.slots =
			plain ? DEPLOYMENT_PLAIN_SLOTS : DEPLOYMENT_MODEL_SLOTS,
		.max_batch = plain ? DEPLOYMENT_PLAIN_SLOTS :
				     DEPLOYMENT_MODEL_SLOTS * 3 / 2,
		.cache_blocks = plain ? 1 : 6000,
		.tokens_per_block = TOKENS_PER_BLOCK,
		.base_time = plain ? 4 * SR_MSEC : 12 * SR_MSEC,
		.time_per_running = plain ? 500 : 900,
		.time_per_excess = 2500,
		.time_per_prefill_token = 60,
		.prefill_chunk = 192,
		.token = token_generated,
		.done = job_done,
		.prefill_started = prefill_started,
		.cache_event = cache_changed,
		.user = sim,
	};

	return engine_new(&options);
}

static void start_upstreams(sim_t *sim)
{
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		upstream_t *upstream = &sim->upstreams[i];

		upstream->sim = sim;
		upstream->index = i;
		upstream->domain = i % DEPLOYMENT_N_DOMAINS;
		upstream->engine =
			new_engine(sim, i >= DEPLOYMENT_N_MODEL_UPSTREAMS);
		upstream->jobs = g_ptr_array_new();
	}
}

static void start_hosts(sim_t *sim)
{
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &sim->hosts[h];
		sr_dispatch_options_t options;

		host->sim = sim;
		host->index = h;
		host->domain = h % DEPLOYMENT_N_DOMAINS;
		if (sim->options->strategy != SIM_POLICY)
			continue;
		options.failure_domain = sim->deployment->domains[host->domain];
		options.seed = sim->options->seed * 100 + h;
		host->dispatch = sr_dispatch_new(&options);
		sr_dispatch_set_config(host->dispatch, 0, sim->config);
	}
}

static void sim_free(sim_t *sim)
{
	for (guint i = 0; i < sim->requests->len; i++) {
		request_t *request = sim->requests->pdata[i];

		if (!request->ended)
			end_request(request);
	}
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++)
		sr_dispatch_free(sim->hosts[h].dispatch);
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		g_ptr_array_unref(sim->upstreams[i].jobs);
		engine_free(sim->upstreams[i].engine);
	}
	g_ptr_array_unref(sim->requests);
	g_hash_table_unref(sim->computed_blocks);
	event_queue_free(sim->events);
	g_rand_free(sim->random);
	config_builder_free(sim->config);
	g_free(sim->first_token);
	g_free(sim->token_gap);
	g_free(sim);
}

static sim_t *sim_new(const sim_options_t *options, sim_result_t *result)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->options = options;
	sim->deployment = options->deployment;
	sim->result = result;
	sim->config = deployment_config(options->deployment);
	sim->events = event_queue_new();
	sim->random = g_rand_new_with_seed((guint32)options->seed);
	sim->requests = g_ptr_array_new_with_free_func(g_free);
	sim->computed_blocks = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	sim->first_token = g_new0(histogram_t, 1);
	sim->token_gap = g_new0(histogram_t, 1);
	start_upstreams(sim);
	start_hosts(sim);
	return sim;
}

void sim_run(const sim_options_t *options, sim_result_t *result)
{
	sim_t *sim;

	memset(result, 0, sizeof(*result));
	sim = sim_new(options, result);
	schedule_scenario(sim);
	event_queue_add(sim->events, 0, request_arrives, sim, NULL);
	if (options->strategy == SIM_POLICY) {
		event_queue_add(sim->events, 0, sample_load, sim, NULL);
		event_queue_add(sim->events, 0, publish_usage, sim, NULL);
	}
	event_queue_run(sim->events,
			options->warm_up + options->duration + DRAIN_TIME);
	result->goodput = result->completed /
			  ((double)options->duration / (double)SR_SEC);
	result->p95_first_token_ms = histogram_quantile(sim->first_token, 0.95);
	result->p95_token_gap_ms = histogram_quantile(sim->token_gap, 0.95);
	sim_free(sim);
}
