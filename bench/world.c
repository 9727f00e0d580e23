#include "world.h"

#include <math.h>
#include <string.h>

#include "../test/config_builder.h"
#include "core/dispatch.h"
#include "engine.h"
#include "histogram.h"

#define TOKENS_PER_BLOCK 16
#define SHARED_BLOCKS 30  /* that the prompts of a route begin with */
#define ACCOUNT_BLOCKS 30 /* and of an account after them */
#define LOAD_INTERVAL (500 * SR_MSEC)
#define LOAD_LAG (250 * SR_MSEC)
#define USAGE_INTERVAL SR_SEC
#define USAGE_LAG (300 * SR_MSEC)
#define CACHE_EVENT_LAG (400 * SR_MSEC)
#define CACHE_EVENT_BATCH 64 /* events that are lost together */
#define CACHE_EVENT_LOSS 0.01
#define CONNECT_TIMEOUT (200 * SR_MSEC)
#define LONGEST_DEADLINE (46 * SR_SEC)
#define NOTICE (5 * SR_SEC)
#define NOTICE_LAG (300 * SR_MSEC)
#define HOST_LIST_LAG (4 * SR_SEC)

typedef struct world world_t;

typedef struct {
	world_t *world;
	unsigned index;
	unsigned domain;
	engine_t *engine;
	gboolean dead;
	gboolean bad;
	sr_usec_t noticed; /* when its notice came, 0 for never */
	GPtrArray *jobs;   /* request_t that are at the engine */
} upstream_t;

typedef struct {
	world_t *world;
	unsigned index;
	unsigned domain;
	sr_dispatch_t *dispatch;
	unsigned in_flight[DEPLOYMENT_N_UPSTREAMS];
	gboolean gone[DEPLOYMENT_N_UPSTREAMS]; /* leaving or absent */
} entry_host_t;

typedef struct {
	engine_job_t job; /* first: the engine hands it back */
	world_t *world;
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
	gboolean over;
} request_t;

struct world {
	const world_options_t *options;
	const deployment_t *deployment;
	sr_config_t *config;
	event_queue_t *events;
	GRand *random;
	entry_host_t hosts[DEPLOYMENT_N_ENTRY_HOSTS];
	upstream_t upstreams[DEPLOYMENT_N_UPSTREAMS];
	GPtrArray *requests;
	GHashTable *seen; /* blocks that were computed before */
	histogram_t *first_token;
	histogram_t *token_gap;
	world_result_t *result;
	gboolean cut; /* failure domain 0 is cut off from the others */
	guint64 n_requests;
};

static sr_usec_t now_of(const world_t *world)
{
	return event_queue_now(world->events);
}

static guint64 mix(guint64 a, guint64 b)
{
	guint64 x = a * 0x9e3779b97f4a7c15u + b;

	x ^= x >> 31;
	x *= 0xbf58476d1ce4e5b9u;
	return x ^ (x >> 29);
}

static gboolean is_over(const world_t *world)
{
	const world_options_t *o = world->options;

	return now_of(world) >= o->warm_up + o->length;
}

static gboolean is_fault_on(const world_t *world)
{
	const world_options_t *o = world->options;
	sr_usec_t since = now_of(world) - o->warm_up;

	return since >= o->length / 4 && since < o->length * 3 / 4;
}

static gboolean can_reach(const world_t *world, unsigned a, unsigned b)
{
	return !world->cut || (a == 0) == (b == 0);
}

static void end_request(request_t *request)
{
	request->over = TRUE;
	if (request->call)
		sr_dispatch_finish(request->host->dispatch,
				   now_of(request->world), request->call);
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

static unsigned index_of(const sr_target_t *target)
{
	return (unsigned)g_ascii_strtoull(target->name + 1, NULL, 10);
}

static upstream_t *choose_baseline(request_t *request)
{
	world_t *world = request->world;
	gboolean plain = world->deployment->traffic[request->route].plain;
	unsigned from = plain ? DEPLOYMENT_N_MODEL_UPSTREAMS : 0;
	unsigned to =
		plain ? DEPLOYMENT_N_UPSTREAMS : DEPLOYMENT_N_MODEL_UPSTREAMS;
	unsigned best = G_MAXUINT;
	double best_score = 0;

	for (unsigned i = from; i < to; i++) {
		double score = g_rand_double(world->random);

		if (request->host->gone[i])
			continue;
		if (world->options->chooser == WORLD_LEAST_OUTSTANDING)
			score += request->host->in_flight[i];
		if (best == G_MAXUINT || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best == G_MAXUINT ? NULL : &world->upstreams[best];
}

static void count_failure(request_t *request)
{
	if (request->measured)
		request->world->result->failed++;
	end_request(request);
}

static void attempt_failed(request_t *request, sr_attempt_result_t end)
{
	world_t *world = request->world;
	sr_decision_t decision;
	upstream_t *next = NULL;

	leave_upstream(request);
	if (request->call) {
		if (sr_dispatch_attempt_ended(request->host->dispatch,
					      now_of(world), request->call, end,
					      request->job.n_tokens, &decision))
			next = &world->upstreams[index_of(&decision.u.send)];
	} else if (request->attempts < 2) {
		next = choose_baseline(request);
	}
	if (next)
		send_attempt(request, next);
	else
		count_failure(request);
}

static void attempt_not_started(void *user, void *data)
{
	request_t *request = data;

	if (!request->over)
		attempt_failed(request, SR_ATTEMPT_NOT_STARTED);
}

static void attempt_answers_failure(void *user, void *data)
{
	request_t *request = data;

	if (!request->over)
		attempt_failed(request, SR_ATTEMPT_FAILED);
}

static void arrive(void *user, void *data)
{
	request_t *request = data;
	upstream_t *upstream = request->upstream;

	/* An earlier attempt that broke on its way may arrive first. */
	if (request->over || request->job.link.next != &request->job.link)
		return;
	if (upstream->dead) {
		attempt_failed(request, SR_ATTEMPT_NOT_STARTED);
		return;
	}
	request->job.n_blocks = request->job.prompt_tokens / TOKENS_PER_BLOCK;
	engine_submit(upstream->engine, &request->job);
}

static sr_usec_t delay_to(const request_t *request, const upstream_t *upstream)
{
	if (request->host->domain == upstream->domain)
		return 100;
	return request->world->deployment->domain_delay;
}

static void note_new_work(const world_t *world, const upstream_t *upstream)
{
	sr_usec_t after = now_of(world) - upstream->noticed;

	if (upstream->noticed > 0 && !upstream->dead)
		world->result->last_new_work =
			MAX(world->result->last_new_work, after);
}

static void send_attempt(request_t *request, upstream_t *upstream)
{
	world_t *world = request->world;

	note_new_work(world, upstream);
	request->attempts++;
	request->upstream = upstream;
	request->host->in_flight[upstream->index]++;
	g_ptr_array_add(upstream->jobs, request);
	sr_list_init(&request->job.link);
	if (!can_reach(world, request->host->domain, upstream->domain))
		event_queue_add(world->events, CONNECT_TIMEOUT,
				attempt_not_started, NULL, request);
	else if (upstream->bad && is_fault_on(world))
		event_queue_add(world->events, 5 * SR_MSEC,
				attempt_answers_failure, NULL, request);
	else
		event_queue_add(world->events, delay_to(request, upstream),
				arrive, NULL, request);
}

static void deadline_passed(void *user, void *data)
{
	request_t *request = data;
	sr_decision_t decision;

	if (request->over)
		return;
	if (request->job.link.next != &request->job.link)
		engine_cancel(request->upstream->engine, &request->job);
	leave_upstream(request);
	if (request->call)
		sr_dispatch_attempt_ended(request->host->dispatch,
					  now_of(request->world), request->call,
					  SR_ATTEMPT_TIMED_OUT,
					  request->job.n_tokens, &decision);
	if (request->measured)
		request->world->result->late++;
	end_request(request);
}

static void token_arrived(void *user, engine_job_t *job)
{
	request_t *request = (request_t *)job;
	world_t *world = user;
	sr_usec_t now = now_of(world);
	gboolean plain = world->deployment->traffic[request->route].plain;

	if (job->n_tokens == 1 && request->call)
		sr_dispatch_first_token(request->host->dispatch, now,
					request->call);
	if (request->measured && !plain) {
		if (job->n_tokens == 1)
			histogram_add(
				world->first_token,
				now - request->created +
					2 * world->deployment->client_delay);
		else
			histogram_add(world->token_gap,
				      now - request->last_token);
	}
	request->last_token = now;
}

static void job_done(void *user, engine_job_t *job)
{
	request_t *request = (request_t *)job;
	world_t *world = user;
	sr_decision_t decision;

	leave_upstream(request);
	if (request->call)
		sr_dispatch_attempt_ended(
			request->host->dispatch, now_of(world), request->call,
			SR_ATTEMPT_OK, job->n_tokens, &decision);
	if (request->measured) {
		world->result->good++;
		world->result->good_by_route[request->route]++;
		world->result->good_by_account[request->account]++;
	}
	end_request(request);
}

static void prompt_computed(void *user, engine_job_t *job)
{
	request_t *request = (request_t *)job;
	world_t *world = user;

	for (unsigned i = 0; i < job->n_blocks; i++) {
		gboolean is_new = g_hash_table_add(
			world->seen,
			g_memdup2(&job->blocks[i], sizeof(job->blocks[i])));

		if (!is_new && i >= job->cached_tokens / TOKENS_PER_BLOCK &&
		    request->measured)
			world->result->recomputed_tokens += TOKENS_PER_BLOCK;
	}
	if (request->measured)
		world->result->prompt_tokens += job->prompt_tokens;
}

typedef struct {
	entry_host_t *host;
	char name[16];
	guint64 sequence;
	guint64 block;
	gboolean added;
} cache_news_t;

static void cache_news(void *user, void *data)
{
	cache_news_t *news = data;

	sr_dispatch_cache_event(news->host->dispatch, news->name,
				news->sequence, news->block, news->added);
	g_free(news);
}

static gboolean is_batch_lost(const world_t *world, unsigned host,
			      unsigned upstream, guint64 sequence)
{
	guint64 batch = mix(mix(world->options->seed, host * 100 + upstream),
			    sequence / CACHE_EVENT_BATCH);

	return (double)(batch % 10000) < CACHE_EVENT_LOSS * 10000;
}

static void cache_changed(void *user, engine_t *engine, guint64 sequence,
			  guint64 block, gboolean added)
{
	world_t *world = user;
	unsigned i = 0;

	if (world->options->chooser != WORLD_POLICY)
		return;
	while (world->upstreams[i].engine != engine)
		i++;
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &world->hosts[h];
		cache_news_t *news;

		if (!can_reach(world, host->domain,
			       world->upstreams[i].domain) ||
		    is_batch_lost(world, h, i, sequence))
			continue;
		news = g_new0(cache_news_t, 1);
		news->host = host;
		g_snprintf(news->name, sizeof(news->name), "u%02u", i);
		news->sequence = sequence;
		news->block = block;
		news->added = added;
		event_queue_add(world->events, CACHE_EVENT_LAG, cache_news,
				NULL, news);
	}
}

typedef struct {
	unsigned upstream;
	sr_load_report_t report;
} load_news_t;

static void load_news(void *user, void *data)
{
	world_t *world = user;
	load_news_t *news = data;
	char name[16];

	g_snprintf(name, sizeof(name), "u%02u", news->upstream);
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &world->hosts[h];

		if (can_reach(world, host->domain,
			      world->upstreams[news->upstream].domain))
			sr_dispatch_report_load(host->dispatch, name,
						&news->report);
	}
	g_free(news);
}

static void sample_load(void *user, void *data)
{
	world_t *world = user;

	if (is_over(world))
		return;
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		upstream_t *upstream = &world->upstreams[i];
		load_news_t *news;
		sr_usec_t gap = engine_token_gap(upstream->engine);

		if (upstream->dead)
			continue;
		news = g_new0(load_news_t, 1);
		news->upstream = i;
		news->report.running = engine_running(upstream->engine);
		news->report.waiting = engine_waiting(upstream->engine);
		if (gap > 0)
			news->report.tokens_per_s =
				(double)SR_SEC / (double)gap;
		news->report.measured_at = now_of(world);
		event_queue_add(world->events, LOAD_LAG, load_news, world,
				news);
	}
	event_queue_add(world->events, LOAD_INTERVAL, sample_load, world, NULL);
}

static sr_usec_t next_arrival(world_t *world)
{
	double rate = world->options->rate;

	if (world->options->scenario == WORLD_BURST && is_fault_on(world))
		rate *= 3;
	return (sr_usec_t)(-log(1 - g_rand_double(world->random)) / rate *
			   (double)SR_SEC);
}

static unsigned draw(world_t *world, const double *weights, unsigned n)
{
	double left = g_rand_double(world->random);

	for (unsigned i = 0; i + 1 < n; i++) {
		left -= weights[i];
		if (left < 0)
			return i;
	}
	return n - 1;
}

static unsigned draw_account(world_t *world)
{
	static const double hog[DEPLOYMENT_N_ACCOUNTS] = { 0.8, 0.05, 0.05,
							   0.05, 0.05 };

	return draw(world,
		    world->options->scenario == WORLD_HOG ?
			    hog :
			    world->deployment->account_weight,
		    DEPLOYMENT_N_ACCOUNTS);
}

static unsigned draw_route(world_t *world)
{
	double weights[DEPLOYMENT_N_ROUTES];

	for (unsigned i = 0; i < DEPLOYMENT_N_ROUTES; i++)
		weights[i] = world->deployment->traffic[i].weight;
	return draw(world, weights, DEPLOYMENT_N_ROUTES);
}

/* A route's preamble, then the account's, then a document, then the tail. */
static void make_prompt(request_t *request)
{
	world_t *world = request->world;
	const deployment_t *deployment = world->deployment;
	const traffic_route_t *traffic = &deployment->traffic[request->route];
	unsigned n_tail = traffic->tail_tokens / TOKENS_PER_BLOCK;
	unsigned n = traffic->prompt_blocks + n_tail;
	double u = g_rand_double(world->random);
	guint64 document = (guint64)(u * u * deployment->documents);
	guint64 hash = mix(17, request->route);

	request->blocks = g_new(guint64, MAX(n, 1));
	for (unsigned i = 0; i < n; i++) {
		if (i == SHARED_BLOCKS)
			hash = mix(hash, request->account + 1000);
		else if (i == SHARED_BLOCKS + ACCOUNT_BLOCKS)
			hash = mix(hash, document + 2000);
		else if (i == traffic->prompt_blocks)
			hash = mix(hash, world->n_requests + 1000000);
		hash = mix(hash, i);
		request->blocks[i] = hash;
	}
	request->job.blocks = request->blocks;
	request->job.n_blocks = n;
	request->job.prompt_tokens = n * TOKENS_PER_BLOCK;
	request->job.max_tokens =
		MAX(1, (unsigned)(traffic->max_tokens *
				  (0.5 + g_rand_double(world->random) / 2)));
}

static const sr_route_config_t *route_config(const world_t *world,
					     unsigned route)
{
	const sr_service_config_t *service = world->config->services->pdata[0];

	if (!world->deployment->traffic[route].plain)
		return service->routes->pdata[route];
	service = world->config->services->pdata[1];
	return service->routes->pdata[0];
}

static gboolean ask_dispatch(request_t *request, sr_decision_t *decision)
{
	world_t *world = request->world;
	gboolean plain = world->deployment->traffic[request->route].plain;
	const sr_route_config_t *route = route_config(world, request->route);
	sr_call_options_t options = {
		.service = world->config->services->pdata[plain ? 1 : 0],
		.route = route,
		.account = world->config->accounts->pdata[request->account],
		.priority = route->priority,
		.deadline = request->created + route->deadline,
		.idempotent = TRUE,
		.blocks = request->blocks,
		.n_blocks = request->job.n_blocks,
		.prompt_tokens = request->job.prompt_tokens,
		.max_tokens =
			world->deployment->traffic[request->route].max_tokens,
	};

	request->call = sr_dispatch_begin(request->host->dispatch,
					  now_of(world), &options, decision);
	return request->call != NULL;
}

static void admit(request_t *request)
{
	world_t *world = request->world;
	upstream_t *upstream = NULL;
	sr_decision_t decision;

	if (world->options->chooser != WORLD_POLICY)
		upstream = choose_baseline(request);
	else if (ask_dispatch(request, &decision))
		upstream = &world->upstreams[index_of(&decision.u.send)];
	if (upstream) {
		send_attempt(request, upstream);
		event_queue_add(world->events,
				route_config(world, request->route)->deadline,
				deadline_passed, NULL, request);
		return;
	}
	if (request->measured)
		world->result->refused++;
	end_request(request);
}

static void request_arrives(void *user, void *data)
{
	world_t *world = user;
	unsigned host = (unsigned)g_rand_int_range(world->random, 0,
						   DEPLOYMENT_N_ENTRY_HOSTS);
	request_t *request;

	if (is_over(world))
		return;
	request = g_new0(request_t, 1);
	event_queue_add(world->events, next_arrival(world), request_arrives,
			world, NULL);
	g_ptr_array_add(world->requests, request);
	world->n_requests++;
	request->world = world;
	request->host = &world->hosts[host];
	request->route = draw_route(world);
	request->account = draw_account(world);
	request->created = now_of(world);
	request->measured = request->created >= world->options->warm_up;
	request->job.priority = route_config(world, request->route)->priority;
	sr_list_init(&request->job.link);
	make_prompt(request);
	if (request->measured) {
		world->result->offered++;
		world->result->offered_by_route[request->route]++;
		world->result->offered_by_account[request->account]++;
	}
	admit(request);
}

typedef struct {
	entry_host_t *from;
	char *scope;
	unsigned in_flight;
} usage_news_t;

static void usage_news(void *user, void *data)
{
	world_t *world = user;
	usage_news_t *news = data;
	char node[16];

	g_snprintf(node, sizeof(node), "n%u", news->from->index);
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &world->hosts[h];

		if (host != news->from &&
		    can_reach(world, host->domain, news->from->domain))
			sr_dispatch_set_usage(host->dispatch, news->scope, node,
					      news->in_flight, now_of(world));
	}
	g_free(news->scope);
	g_free(news);
}

static void send_usage(void *user, const char *scope, unsigned in_flight)
{
	entry_host_t *host = user;
	usage_news_t *news = g_new0(usage_news_t, 1);

	news->from = host;
	news->scope = g_strdup(scope);
	news->in_flight = in_flight;
	event_queue_add(host->world->events, USAGE_LAG, usage_news, host->world,
			news);
}

static void share_usage(void *user, void *data)
{
	world_t *world = user;

	if (is_over(world))
		return;
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++)
		sr_dispatch_foreach_usage(world->hosts[h].dispatch, send_usage,
					  &world->hosts[h]);
	event_queue_add(world->events, USAGE_INTERVAL, share_usage, world,
			NULL);
}

static void tell_gone(world_t *world, unsigned index, gboolean absent)
{
	char name[16];

	g_snprintf(name, sizeof(name), "u%02u", index);
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &world->hosts[h];

		host->gone[index] = TRUE;
		if (!host->dispatch)
			continue;
		if (absent)
			sr_dispatch_set_present(host->dispatch, name, FALSE);
		else
			sr_dispatch_set_leaving(host->dispatch, name);
	}
}

static void notice_spread(void *user, void *data)
{
	upstream_t *upstream = data;

	tell_gone(user, upstream->index, FALSE);
}

static void host_list_follows(void *user, void *data)
{
	upstream_t *upstream = data;

	tell_gone(user, upstream->index, TRUE);
}

static void upstream_dies(void *user, void *data)
{
	upstream_t *upstream = data;
	world_t *world = user;

	upstream->dead = TRUE;
	while (upstream->jobs->len > 0) {
		request_t *request = upstream->jobs->pdata[0];

		if (request->job.link.next != &request->job.link)
			engine_cancel(upstream->engine, &request->job);
		attempt_failed(request, SR_ATTEMPT_BROKEN);
	}
	if (world->options->scenario != WORLD_PLATFORM_OUTAGE)
		event_queue_add(world->events, HOST_LIST_LAG, host_list_follows,
				world, upstream);
}

/* The first upstream of the wave goes without notice while the platform is
 * out: nobody is there to give one. */
static void reclaim_starts(void *user, void *data)
{
	world_t *world = user;
	gboolean first = TRUE;

	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		upstream_t *upstream = &world->upstreams[i];
		gboolean silent =
			world->options->scenario == WORLD_PLATFORM_OUTAGE &&
			first;

		if (upstream->domain != 1)
			continue;
		first = FALSE;
		if (!silent) {
			upstream->noticed = now_of(world);
			event_queue_add(world->events, NOTICE_LAG,
					notice_spread, world, upstream);
		}
		event_queue_add(world->events, NOTICE, upstream_dies, world,
				upstream);
	}
}

static void set_cut(void *user, void *data)
{
	world_t *world = user;

	world->cut = data != NULL;
}

static void schedule_scenario(world_t *world)
{
	const world_options_t *o = world->options;
	sr_usec_t start = o->warm_up + o->length / 4;
	sr_usec_t stop = o->warm_up + o->length * 3 / 4;

	switch (o->scenario) {
	case WORLD_RECLAIM:
	case WORLD_PLATFORM_OUTAGE:
		event_queue_add(world->events, start, reclaim_starts, world,
				NULL);
		break;
	case WORLD_PARTITION:
		event_queue_add(world->events, start, set_cut, world, world);
		event_queue_add(world->events, stop, set_cut, world, NULL);
		break;
	case WORLD_BAD_UPSTREAM:
		world->upstreams[2].bad = TRUE;
		break;
	case WORLD_QUIET:
	case WORLD_BURST:
	case WORLD_HOG:
		break;
	}
}

static engine_t *new_engine(world_t *world, gboolean plain)
{
	const engine_options_t options = {
		.events = world->events,
		.slots =
			plain ? DEPLOYMENT_PLAIN_SLOTS : DEPLOYMENT_MODEL_SLOTS,
		.batch_max = plain ? DEPLOYMENT_PLAIN_SLOTS :
				     DEPLOYMENT_MODEL_SLOTS * 3 / 2,
		.cache_blocks = plain ? 1 : 6000,
		.tokens_per_block = TOKENS_PER_BLOCK,
		.iteration = plain ? 4 * SR_MSEC : 12 * SR_MSEC,
		.per_running = plain ? 500 : 900,
		.per_excess = 2500,
		.usec_per_prefill = 60,
		.prefill_chunk = 192,
		.token = token_arrived,
		.done = job_done,
		.computed = prompt_computed,
		.cache_event = cache_changed,
		.user = world,
	};

	return engine_new(&options);
}

static void start_upstreams(world_t *world)
{
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		upstream_t *upstream = &world->upstreams[i];

		upstream->world = world;
		upstream->index = i;
		upstream->domain = i % DEPLOYMENT_N_DOMAINS;
		upstream->engine =
			new_engine(world, i >= DEPLOYMENT_N_MODEL_UPSTREAMS);
		upstream->jobs = g_ptr_array_new();
	}
}

static void start_hosts(world_t *world)
{
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++) {
		entry_host_t *host = &world->hosts[h];
		sr_dispatch_options_t options;

		host->world = world;
		host->index = h;
		host->domain = h % DEPLOYMENT_N_DOMAINS;
		if (world->options->chooser != WORLD_POLICY)
			continue;
		options.failure_domain =
			world->deployment->domains[host->domain];
		options.seed = world->options->seed * 100 + h;
		host->dispatch = sr_dispatch_new(&options);
		sr_dispatch_set_config(host->dispatch, 0, world->config);
	}
}

static void stop_all(world_t *world)
{
	for (guint i = 0; i < world->requests->len; i++) {
		request_t *request = world->requests->pdata[i];

		if (!request->over)
			end_request(request);
	}
	for (unsigned h = 0; h < DEPLOYMENT_N_ENTRY_HOSTS; h++)
		sr_dispatch_free(world->hosts[h].dispatch);
	for (unsigned i = 0; i < DEPLOYMENT_N_UPSTREAMS; i++) {
		g_ptr_array_unref(world->upstreams[i].jobs);
		engine_free(world->upstreams[i].engine);
	}
	g_ptr_array_unref(world->requests);
	g_hash_table_unref(world->seen);
	event_queue_free(world->events);
	g_rand_free(world->random);
	config_builder_free(world->config);
	g_free(world->first_token);
	g_free(world->token_gap);
	g_free(world);
}

static world_t *new_world(const world_options_t *options,
			  world_result_t *result)
{
	world_t *world = g_new0(world_t, 1);

	world->options = options;
	world->deployment = options->deployment;
	world->result = result;
	world->config = deployment_config(options->deployment);
	world->events = event_queue_new();
	world->random = g_rand_new_with_seed((guint32)options->seed);
	world->requests = g_ptr_array_new_with_free_func(g_free);
	world->seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	world->first_token = g_new0(histogram_t, 1);
	world->token_gap = g_new0(histogram_t, 1);
	start_upstreams(world);
	start_hosts(world);
	return world;
}

void world_run(const world_options_t *options, world_result_t *result)
{
	world_t *world;

	memset(result, 0, sizeof(*result));
	world = new_world(options, result);
	schedule_scenario(world);
	event_queue_add(world->events, 0, request_arrives, world, NULL);
	if (options->chooser == WORLD_POLICY) {
		event_queue_add(world->events, 0, sample_load, world, NULL);
		event_queue_add(world->events, 0, share_usage, world, NULL);
	}
	event_queue_run(world->events,
			options->warm_up + options->length + LONGEST_DEADLINE);
	result->goodput =
		result->good / ((double)options->length / (double)SR_SEC);
	result->p95_first_token_ms =
		histogram_quantile(world->first_token, 0.95);
	result->p95_token_gap_ms = histogram_quantile(world->token_gap, 0.95);
	stop_all(world);
}
