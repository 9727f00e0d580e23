#include "prove.h"

#include "core/crash_suspects.h"

/*
 * A fleet of entry hosts in front of instances that some requests crash: those
 * with one part in their prompts, and one request that comes again. Sound
 * requests share their first part and a topic with the former. Beside them
 * instances crash by themselves, alone or several at once, and hosts restart or
 * are cut off. The oracle has the users' bounds: requests that crash and reach
 * instances a while after enough of them have ended are few, and sound requests
 * are not refused for long.
 */

#define N_COMMANDS 60
#define HOSTS_MAX 195
#define INSTANCES_MAX 40
#define TOPICS 6

/** Fingerprints. Topics follow FIRST_TOPIC. */
#define FIRST_PART 1
#define BAD_PART 2
#define FIRST_TOPIC 10
#define BAD_REQUEST 1000
#define FIRST_REQUEST 100000

/** Bounds of the users' platform: ends under a part and under a request, and
 * the requests that may reach instances from CONTACT after the last of these.
 */
#define PART_ENDS 5
#define REQUEST_ENDS 3
#define ARRIVALS_MAX 3
#define CONTACT (3 * SR_SEC)

/** Delays of a request until its response begins and from then to a crash, of
 * an answer, of a message between hosts, and until an instance is back. */
#define BEGIN_MIN (5 * SR_MSEC)
#define BEGIN_MAX (200 * SR_MSEC)
#define CRASH_AFTER (50 * SR_MSEC)
#define ANSWER_MIN (100 * SR_MSEC)
#define ANSWER_MAX (3 * SR_SEC)
#define MESSAGE_MAX (300 * SR_MSEC)
#define RESTART_MIN (2 * SR_SEC)
#define RESTART_MAX (4 * SR_SEC)

/** Output of so long shows that a request crashes nothing. */
#define SURVIVAL SR_SEC

/** Load after the commands: its duration, and the interval between requests. */
#define FINAL_LOAD (14 * SR_SEC)
#define FINAL_INTERVAL (20 * SR_MSEC)

/** Sound requests of the last seconds, of which less than half may be refused.
 */
#define FINAL_CHECK (3 * SR_SEC)

/** Attempts of a request. */
#define ATTEMPTS 2

typedef struct model model_t;

typedef enum {
	EVENT_BEGIN,
	EVENT_CRASH,
	EVENT_SURVIVED,
	EVENT_ANSWERED,
	EVENT_RESTART,
	EVENT_REPORT,
	EVENT_QUARANTINE,
	EVENT_CLEAR,
} event_kind_t;

typedef struct {
	model_t *model;
	unsigned index;
	unsigned generation; /* counts restarts */
	sr_crash_suspects_t *suspects;
	sr_usec_t calm_since; /* last restart or end of a cut */
	sr_usec_t cut_until;
} host_t;

/** run_t - a request in an instance */
typedef struct {
	sr_crash_request_t request;
	host_t *host;
	unsigned host_generation;
	unsigned n_attempts;
	gboolean survived;
} run_t;

typedef struct {
	guint64 identity; /* 0 while it is down */
	GPtrArray *runs;  /* run_t, owned */
} instance_t;

typedef struct {
	sr_usec_t at;
	guint64 serial; /* orders events of the same time */
	event_kind_t kind;
	instance_t *instance;
	guint64 identity; /* of the instance, then */
	run_t *run;	  /* valid while the instance has it */
	/* messages */
	host_t *from;
	guint64 fingerprint;
	sr_usec_t said_at;
	sr_quarantine_t quarantine;
	sr_crash_request_t *requests; /* owned */
	unsigned n_requests;
} event_t;

struct model {
	GRand *rng;
	sr_usec_t now;
	unsigned n_hosts;
	unsigned n_instances;
	host_t hosts[HOSTS_MAX];
	instance_t instances[INSTANCES_MAX];
	GSequence *events; /* event_t, owned, by time */
	guint64 n_events;
	guint64 n_identities;
	guint64 n_requests;
	GArray *part_ends;	   /* sr_usec_t */
	GArray *request_ends;	   /* sr_usec_t */
	unsigned part_arrivals;	   /* beyond the bound */
	unsigned request_arrivals; /* beyond the bound */
	gboolean is_checking;
	unsigned n_sound;
	unsigned n_refused;
};

static sr_usec_t draw(model_t *model, sr_usec_t min, sr_usec_t max)
{
	return min +
	       (sr_usec_t)(g_rand_double(model->rng) * (double)(max - min));
}

static unsigned pick(model_t *model, unsigned n)
{
	return (unsigned)g_rand_int_range(model->rng, 0, (gint32)n);
}

static void free_event(gpointer data)
{
	event_t *event = data;

	g_free(event->requests);
	g_free(event);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)user;
	if (x->at == y->at)
		return x->serial < y->serial ? -1 : x->serial > y->serial;
	return x->at < y->at ? -1 : 1;
}

static event_t *schedule(model_t *model, event_kind_t kind, sr_usec_t delay)
{
	event_t *event = g_new0(event_t, 1);

	event->at = model->now + delay;
	event->serial = ++model->n_events;
	event->kind = kind;
	g_sequence_insert_sorted(model->events, event, compare_events, NULL);
	return event;
}

static gboolean is_cut(const host_t *host)
{
	return host->model->now < host->cut_until;
}

/* As the platform's rules have it, bounds hold for hosts that were not
 * restarted or cut off for a while. */
static gboolean is_in_touch(const host_t *host)
{
	return !is_cut(host) && host->model->now - host->calm_since >= CONTACT;
}

static event_t *say(host_t *host, event_kind_t kind)
{
	model_t *model = host->model;
	sr_usec_t delay = draw(model, SR_MSEC, MESSAGE_MAX);
	event_t *event;

	/* what a host that is cut off says comes after the cut */
	if (is_cut(host))
		delay += host->cut_until - model->now;
	event = schedule(model, kind, delay);
	event->from = host;
	event->said_at = model->now;
	return event;
}

static void on_quarantined(void *user, const sr_quarantine_t *quarantine)
{
	say(user, EVENT_QUARANTINE)->quarantine = *quarantine;
}

static gboolean on_may_probe(void *user, guint64 fingerprint)
{
	const host_t *host = user;

	return host->index == fingerprint % host->model->n_hosts;
}

static void start_host(host_t *host)
{
	const sr_crash_suspects_options_t options = {
		.quarantined = on_quarantined,
		.may_probe = on_may_probe,
		.user = host,
	};

	sr_crash_suspects_free(host->suspects);
	host->suspects = sr_crash_suspects_new(&options);
	host->generation++;
	host->calm_since = host->model->now;
}

typedef struct {
	host_t *to;
	sr_usec_t now;
} sync_t;

static void sync_one(void *user, const sr_quarantine_t *quarantine)
{
	const sync_t *sync = user;

	sr_crash_suspects_restore(sync->to->suspects, sync->now, quarantine,
				  sync->now);
}

/* A host that joins gets what the others hold. */
static void sync_host(host_t *to)
{
	model_t *model = to->model;
	sync_t sync = { to, model->now };

	for (unsigned i = 0; i < model->n_hosts; i++) {
		const host_t *from = &model->hosts[i];

		if (from == to || is_cut(from))
			continue;
		sr_crash_suspects_foreach(from->suspects, sync_one, &sync);
	}
}

static void start_instance(model_t *model, instance_t *instance)
{
	instance->identity = ++model->n_identities;
}

static void send_request(model_t *model, host_t *host,
			 const sr_crash_request_t *request,
			 unsigned n_attempts);

static gboolean has_bad_part(const sr_crash_request_t *request)
{
	return sr_request_print_has(&request->print, BAD_PART);
}

static gboolean is_bad(const sr_crash_request_t *request)
{
	return has_bad_part(request) || request->print.request == BAD_REQUEST;
}

/* Reports what a host had in an instance that ended. */
static void report(host_t *host, instance_t *instance, guint64 identity)
{
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(sr_crash_request_t));
	sr_crash_report_t crash = { .instance = identity,
				    .ended_at = host->model->now };

	for (guint i = 0; i < instance->runs->len; i++) {
		const run_t *run = instance->runs->pdata[i];

		if (run->host == host && !run->survived &&
		    run->host_generation == host->generation)
			g_array_append_val(requests, run->request);
	}
	crash.requests = (const sr_crash_request_t *)(void *)requests->data;
	crash.n_requests = requests->len;
	if (requests->len > 0) {
		event_t *event = say(host, EVENT_REPORT);

		sr_crash_suspects_add(host->suspects, &crash);
		event->identity = identity;
		event->n_requests = requests->len;
		event->requests =
			g_memdup2(requests->data,
				  requests->len * sizeof(sr_crash_request_t));
	}
	g_array_unref(requests);
}

static void end_instance(model_t *model, instance_t *instance)
{
	GPtrArray *runs = instance->runs;
	guint64 identity = instance->identity;

	if (identity == 0)
		return;
	instance->identity = 0;
	schedule(model, EVENT_RESTART, draw(model, RESTART_MIN, RESTART_MAX))
		->instance = instance;
	for (guint i = 0; i < runs->len; i++) {
		host_t *host = ((run_t *)runs->pdata[i])->host;
		gboolean is_first = TRUE;

		for (guint k = 0; k < i && is_first; k++)
			is_first = ((run_t *)runs->pdata[k])->host != host;
		if (is_first)
			report(host, instance, identity);
	}
	instance->runs = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		if (run->n_attempts < ATTEMPTS &&
		    run->host_generation == run->host->generation)
			send_request(model, run->host, &run->request,
				     run->n_attempts);
	}
	g_ptr_array_unref(runs);
}

static void count_arrival(model_t *model, const host_t *host,
			  const sr_crash_request_t *request)
{
	if (!is_in_touch(host))
		return;
	if (has_bad_part(request) && model->part_ends->len >= PART_ENDS &&
	    model->now >
		    g_array_index(model->part_ends, sr_usec_t, PART_ENDS - 1) +
			    CONTACT)
		model->part_arrivals++;
	if (request->print.request == BAD_REQUEST &&
	    model->request_ends->len >= REQUEST_ENDS &&
	    model->now > g_array_index(model->request_ends, sr_usec_t,
				       REQUEST_ENDS - 1) +
				 CONTACT)
		model->request_arrivals++;
}

static instance_t *pick_instance(model_t *model)
{
	unsigned first = pick(model, model->n_instances);

	for (unsigned i = 0; i < model->n_instances; i++) {
		instance_t *instance =
			&model->instances[(first + i) % model->n_instances];

		if (instance->identity != 0)
			return instance;
	}
	return NULL;
}

static void send_request(model_t *model, host_t *host,
			 const sr_crash_request_t *request, unsigned n_attempts)
{
	instance_t *instance = pick_instance(model);
	sr_quarantine_t reason;
	event_t *event;
	run_t *run;

	if (sr_crash_suspects_judge(host->suspects, model->now, &request->print,
				    &reason) == SR_CRASH_REFUSED) {
		if (model->is_checking && !is_bad(request))
			model->n_refused++;
		return;
	}
	if (!instance)
		return;
	count_arrival(model, host, request);
	run = g_new0(run_t, 1);
	run->request = *request;
	run->request.has_begun = FALSE;
	run->host = host;
	run->host_generation = host->generation;
	run->n_attempts = n_attempts + 1;
	g_ptr_array_add(instance->runs, run);
	event = schedule(model, EVENT_BEGIN, draw(model, BEGIN_MIN, BEGIN_MAX));
	event->instance = instance;
	event->identity = instance->identity;
	event->run = run;
}

static host_t *any_host(model_t *model)
{
	return &model->hosts[pick(model, model->n_hosts)];
}

static void send_sound(model_t *model, unsigned topic)
{
	sr_crash_request_t request = {
		.print = { .request = FIRST_REQUEST + ++model->n_requests,
			   .parts = { FIRST_PART, FIRST_TOPIC + topic },
			   .n_parts = 2 },
	};

	model->n_sound += model->is_checking;
	send_request(model, any_host(model), &request, 0);
}

static void send_bad_part(model_t *model, unsigned topic)
{
	sr_crash_request_t request = {
		.print = { .request = FIRST_REQUEST + ++model->n_requests,
			   .parts = { FIRST_PART, FIRST_TOPIC + topic,
				      BAD_PART },
			   .n_parts = 3 },
	};

	send_request(model, any_host(model), &request, 0);
}

static void send_bad_request(model_t *model)
{
	const sr_crash_request_t request = {
		.print = { .request = BAD_REQUEST },
	};

	send_request(model, any_host(model), &request, 0);
}

static void survive(run_t *run)
{
	host_t *host = run->host;
	const sr_request_print_t *print = &run->request.print;

	run->survived = TRUE;
	if (run->host_generation != host->generation)
		return;
	for (unsigned i = 0; i <= print->n_parts; i++) {
		guint64 fingerprint =
			i < print->n_parts ? print->parts[i] : print->request;

		if (sr_crash_suspects_clear(host->suspects, fingerprint,
					    host->model->now))
			say(host, EVENT_CLEAR)->fingerprint = fingerprint;
	}
}

static void begin(model_t *model, const event_t *event)
{
	run_t *run = event->run;
	sr_usec_t answer = draw(model, ANSWER_MIN, ANSWER_MAX);
	event_t *next;

	run->request.has_begun = TRUE;
	if (is_bad(&run->request))
		next = schedule(model, EVENT_CRASH, CRASH_AFTER);
	else if (answer > SURVIVAL)
		next = schedule(model, EVENT_SURVIVED, SURVIVAL);
	else
		next = schedule(model, EVENT_ANSWERED, answer);
	next->instance = event->instance;
	next->identity = event->identity;
	next->run = run;
}

static void crash(model_t *model, const event_t *event)
{
	if (has_bad_part(&event->run->request))
		g_array_append_val(model->part_ends, model->now);
	else
		g_array_append_val(model->request_ends, model->now);
	end_instance(model, event->instance);
}

static void deliver(model_t *model, const event_t *event)
{
	for (unsigned i = 0; i < model->n_hosts; i++) {
		host_t *host = &model->hosts[i];
		const sr_crash_report_t report = {
			.instance = event->identity,
			.ended_at = event->said_at,
			.requests = event->requests,
			.n_requests = event->n_requests,
		};

		if (host == event->from || is_cut(host))
			continue;
		if (event->kind == EVENT_REPORT &&
		    event->said_at >= host->calm_since)
			sr_crash_suspects_add(host->suspects, &report);
		else if (event->kind == EVENT_CLEAR)
			sr_crash_suspects_clear(host->suspects,
						event->fingerprint,
						event->said_at);
		else if (event->kind == EVENT_QUARANTINE &&
			 !sr_crash_suspects_restore(host->suspects, model->now,
						    &event->quarantine,
						    event->said_at))
			say(host, EVENT_CLEAR)->fingerprint =
				event->quarantine.fingerprint;
	}
}

static void run_event(model_t *model, const event_t *event)
{
	gboolean is_current =
		event->instance && event->instance->identity == event->identity;

	switch (event->kind) {
	case EVENT_BEGIN:
		if (is_current)
			begin(model, event);
		break;
	case EVENT_CRASH:
		if (is_current)
			crash(model, event);
		break;
	case EVENT_SURVIVED:
		if (is_current)
			survive(event->run);
		if (is_current)
			g_ptr_array_remove(event->instance->runs, event->run);
		break;
	case EVENT_ANSWERED:
		if (is_current)
			survive(event->run);
		if (is_current)
			g_ptr_array_remove(event->instance->runs, event->run);
		break;
	case EVENT_RESTART:
		if (event->instance)
			start_instance(model, event->instance);
		break;
	case EVENT_REPORT:
	case EVENT_QUARANTINE:
	case EVENT_CLEAR:
		deliver(model, event);
		break;
	}
}

static void advance(model_t *model, sr_usec_t time)
{
	sr_usec_t end = model->now + time;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(model->events);
		event_t *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at > end)
			break;
		model->now = event->at;
		run_event(model, event);
		g_sequence_remove(first);
	}
	model->now = end;
}

static void *model_new(guint64 seed)
{
	static const unsigned sizes[] = { 9, 9, 75, HOSTS_MAX };
	model_t *model = g_new0(model_t, 1);

	model->rng = g_rand_new_with_seed((guint32)seed);
	model->now = 100 * SR_SEC;
	model->events = g_sequence_new(free_event);
	model->part_ends = g_array_new(FALSE, FALSE, sizeof(sr_usec_t));
	model->request_ends = g_array_new(FALSE, FALSE, sizeof(sr_usec_t));
	model->n_hosts = sizes[pick(model, G_N_ELEMENTS(sizes))];
	model->n_instances = 5 + pick(model, INSTANCES_MAX - 4);
	for (unsigned i = 0; i < model->n_hosts; i++) {
		model->hosts[i].model = model;
		model->hosts[i].index = i;
		start_host(&model->hosts[i]);
	}
	for (unsigned i = 0; i < model->n_instances; i++) {
		model->instances[i].runs =
			g_ptr_array_new_with_free_func(g_free);
		start_instance(model, &model->instances[i]);
	}
	return model;
}

enum {
	OP_SOUND,
	OP_BAD_PART,
	OP_BAD_REQUEST,
	OP_END_INSTANCE,
	OP_END_RACK,
	OP_RESTART_HOST,
	OP_CUT_HOST,
	N_OPS,
};

static const char *const op_names[] = {
	"sound", "bad-part", "bad-request", "end-instance",
	"rack",	 "restart",  "cut",
};

static void cut(host_t *host, sr_usec_t duration)
{
	host->cut_until = host->model->now + duration;
	host->calm_since = host->cut_until;
}

static char *model_step(void *user, const prove_command_t *command)
{
	model_t *model = user;
	host_t *host = &model->hosts[command->b % model->n_hosts];

	switch (command->op % N_OPS) {
	case OP_SOUND:
		for (unsigned i = 0; i < 5; i++)
			send_sound(model, (command->b + i) % TOPICS);
		break;
	case OP_BAD_PART:
		send_bad_part(model, command->b % TOPICS);
		break;
	case OP_BAD_REQUEST:
		send_bad_request(model);
		break;
	case OP_END_INSTANCE:
		end_instance(
			model,
			&model->instances[command->b % model->n_instances]);
		break;
	case OP_END_RACK:
		for (unsigned i = 0; i < model->n_instances; i += 3)
			end_instance(model, &model->instances[i]);
		break;
	case OP_RESTART_HOST:
		start_host(host);
		sync_host(host);
		break;
	case OP_CUT_HOST:
		cut(host, (1 + command->a % 4) * SR_SEC);
		break;
	}
	advance(model, (10 + command->a) * SR_MSEC);
	return NULL;
}

static char *model_finish(void *user)
{
	model_t *model = user;
	sr_usec_t end = model->now + FINAL_LOAD;

	for (unsigned i = 0; model->now < end; i++) {
		model->is_checking = model->now > end - FINAL_CHECK;
		send_sound(model, i % TOPICS);
		if (i % 8 == 0)
			send_bad_part(model, i % TOPICS);
		if (i % 11 == 0)
			send_bad_request(model);
		advance(model, FINAL_INTERVAL);
	}
	if (model->part_arrivals > ARRIVALS_MAX)
		return g_strdup_printf("%u requests with the part reach "
				       "instances after %u ends",
				       model->part_arrivals,
				       model->part_ends->len);
	if (model->request_arrivals > ARRIVALS_MAX)
		return g_strdup_printf("the request reaches instances %u times "
				       "after %u ends",
				       model->request_arrivals,
				       model->request_ends->len);
	if (2 * model->n_refused > model->n_sound)
		return g_strdup_printf("%u of %u sound requests are refused",
				       model->n_refused, model->n_sound);
	return NULL;
}

static char *model_describe(const prove_command_t *command)
{
	return g_strdup_printf("%s %u %u", op_names[command->op % N_OPS],
			       command->a, command->b);
}

static void model_free(void *user)
{
	model_t *model = user;

	for (unsigned i = 0; i < model->n_hosts; i++)
		sr_crash_suspects_free(model->hosts[i].suspects);
	for (unsigned i = 0; i < model->n_instances; i++)
		g_ptr_array_unref(model->instances[i].runs);
	g_sequence_free(model->events);
	g_array_unref(model->part_ends);
	g_array_unref(model->request_ends);
	g_rand_free(model->rng);
	g_free(model);
}

const prove_model_t prove_crash_model = {
	.name = "crash",
	.n_commands = N_COMMANDS,
	.new = model_new,
	.step = model_step,
	.finish = model_finish,
	.describe = model_describe,
	.free = model_free,
};
