#include "prove.h"

#include <string.h>

#include "core/journal.h"
#include "driver.h"
#include "fake_platform.h"

#define N_NODES 3
#define N_SHARDS 2
#define N_KEYS 12
#define LEASE (1 * SR_SEC)
#define TICK (20 * SR_MSEC)
/* Slots of a shard's log: this many, or two or four times as many. */
#define RING 4
/* Of a shard: the ring, the manifest and its segments. */
#define MAX_OBJECTS (4 * RING + 1 + 200)
/* How long after its deadline a caller may still wait for its answer. */
#define ANSWER_SLACK (60 * SR_MSEC)
/* Within this time everything has settled once all faults have ended. */
#define SETTLE (40 * SR_SEC)

typedef struct model model_t;
typedef struct node node_t;

typedef enum {
	SUB_OPEN,
	SUB_RESULT,
	SUB_ACCEPTED,
	SUB_NOT_RUN,
	SUB_UNKNOWN,
	SUB_DROPPED, /* its node crashed, or its caller left */
} submission_state_t;

typedef struct {
	model_t *model;
	node_t *node;
	unsigned key;
	unsigned body;
	sr_usec_t deadline;
	submission_state_t state;
} submission_t;

typedef struct {
	unsigned runs;
	unsigned body;	 /* that ran */
	gboolean listed; /* among the unknown ones at the end */
} key_state_t;

/* A request on its way to an upstream, and its answer on the way back. */
typedef struct {
	node_t *node; /* NULL once the node crashed */
	guint64 run;
	unsigned key;
	unsigned body;
	sr_usec_t runs_at; /* NEVER if it got lost */
	sr_usec_t ends_at;
	sr_run_end_t end;
	gboolean asked; /* a question about the outcome, not a run */
} job_t;

struct node {
	model_t *model;
	char name[8];
	fake_client_t *client;
	sr_journal_t *journal;
	gboolean woken;
	sr_usec_t frozen_until;
	sr_usec_t cut_until;
	sr_usec_t restart_at;
	sr_usec_t last_seen;	  /* by the other nodes */
	guint64 epochs[N_SHARDS]; /* highest that it heard of */
	gboolean draining;
};

struct model {
	fake_platform_t *platform;
	node_t nodes[N_NODES];
	sr_usec_t now;
	unsigned ring;
	guint64 random;
	GPtrArray *submissions;
	GPtrArray *jobs;
	key_state_t keys[N_KEYS];
	guint64 epochs[N_SHARDS]; /* highest that there was */
	sr_usec_t down_until;
	sr_usec_t quarrel_until; /* every node wants every shard */
	sr_usec_t next_view;
	unsigned upstream; /* percent of requests that go wrong */
	gboolean full;	   /* upstreams have no capacity */
	char *why;
};

static void fail(model_t *model, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void fail(model_t *model, const char *format, ...)
{
	va_list args;

	if (model->why)
		return;
	va_start(args, format);
	model->why = g_strdup_vprintf(format, args);
	va_end(args);
}

static guint64 draw(model_t *model, guint64 below)
{
	return prove_random(&model->random) % MAX(below, 1);
}

static char *account_of(unsigned key)
{
	return g_strdup_printf("account-%u", key % 3);
}

static char *key_name(unsigned key)
{
	return g_strdup_printf("key-%u", key);
}

static unsigned key_of(const char *name)
{
	return (unsigned)g_ascii_strtoull(name + strlen("key-"), NULL, 10);
}

static GBytes *body_of(unsigned key, unsigned body)
{
	char *text = g_strdup_printf("%u/%u", key, body);

	return g_bytes_new_take(text, strlen(text));
}

static unsigned body_from(GBytes *request)
{
	gsize size;
	const char *text = g_bytes_get_data(request, &size);

	return (unsigned)(text[size - 1] - '0');
}

/* Callbacks of the journal */

static void on_run(void *user, const sr_journal_run_t *run)
{
	node_t *node = user;
	model_t *model = node->model;
	job_t *job = g_new0(job_t, 1);
	sr_usec_t there = (sr_usec_t)draw(model, 100) * SR_MSEC;
	guint64 kind = draw(model, 4);

	job->node = node;
	job->run = run->run_id;
	job->key = key_of(run->key);
	job->body = body_from(run->request);
	job->runs_at = model->now + there;
	job->ends_at = job->runs_at + (sr_usec_t)draw(model, 100) * SR_MSEC;
	job->end = SR_RUN_ANSWERED;
	if (draw(model, 100) < model->upstream) {
		job->end = kind == 0 ? SR_RUN_NOT_STARTED : SR_RUN_UNKNOWN;
		if (kind <= 1)
			job->runs_at = G_MAXINT64;
		if (kind == 2) /* it runs long after the connection broke */
			job->runs_at += 5 * SR_SEC;
	}
	g_ptr_array_add(model->jobs, job);
}

static void on_ask(void *user, const sr_journal_unknown_t *unknown)
{
	node_t *node = user;
	model_t *model = node->model;
	job_t *job = g_new0(job_t, 1);

	job->node = node;
	job->run = unknown->run_id;
	job->key = key_of(unknown->key);
	job->runs_at = G_MAXINT64;
	job->ends_at = model->now + (sr_usec_t)draw(model, 50) * SR_MSEC;
	job->asked = TRUE;
	g_ptr_array_add(model->jobs, job);
}

static gboolean on_capacity(void *user, const char *service)
{
	node_t *node = user;

	return !node->model->full;
}

static gboolean is_frozen(const node_t *node)
{
	return node->model->now < node->frozen_until;
}

static void hear(node_t *node)
{
	memcpy(node->epochs, node->model->epochs, sizeof(node->epochs));
}

/*
 * Gossip tells of every holder, a node that was frozen a little later; only
 * the platform can be cut off here.
 */
static void on_owner(void *user, unsigned shard, guint64 epoch, gboolean held)
{
	node_t *node = user;
	model_t *model = node->model;

	model->epochs[shard] = MAX(model->epochs[shard], epoch);
	for (unsigned i = 0; i < N_NODES; i++)
		if (!is_frozen(&model->nodes[i]))
			hear(&model->nodes[i]);
}

static gboolean on_displaced(void *user, unsigned shard, guint64 epoch)
{
	node_t *node = user;

	return node->epochs[shard] > epoch;
}

static void check_result(submission_t *submission,
			 const sr_journal_answer_t *answer)
{
	model_t *model = submission->model;
	const key_state_t *key = &model->keys[submission->key];
	unsigned body;

	if (key->runs != 1 || !answer->result) {
		fail(model, "key %u: a result, but %u runs", submission->key,
		     key->runs);
		return;
	}
	body = body_from(answer->result);
	if (body != submission->body || body != key->body)
		fail(model, "key %u: the result of another body",
		     submission->key);
}

static void on_answer(void *user, void *ticket,
		      const sr_journal_answer_t *answer)
{
	submission_t *submission = ticket;
	model_t *model = submission->model;

	if (submission->state != SUB_OPEN) {
		fail(model, "key %u: answered twice", submission->key);
		return;
	}
	switch (answer->kind) {
	case SR_ANSWER_RESULT:
		submission->state = SUB_RESULT;
		check_result(submission, answer);
		break;
	case SR_ANSWER_ACCEPTED:
		submission->state = SUB_ACCEPTED;
		break;
	case SR_ANSWER_NOT_RUN:
		submission->state = SUB_NOT_RUN;
		if (model->keys[submission->key].runs &&
		    answer->err != SR_ERR_KEY_REUSED)
			fail(model, "key %u: told \"not run\" after it ran",
			     submission->key);
		break;
	case SR_ANSWER_UNKNOWN:
		submission->state = SUB_UNKNOWN;
		break;
	}
}

static void on_wake(void *user)
{
	node_t *node = user;

	node->woken = TRUE;
}

/* Upstreams */

/* A run is due to a submission that was not told "not run". */
static gboolean is_run_expected(const model_t *model, const job_t *job)
{
	for (guint i = 0; i < model->submissions->len; i++) {
		const submission_t *submission = model->submissions->pdata[i];

		if (submission->key == job->key &&
		    submission->body == job->body &&
		    submission->state != SUB_NOT_RUN)
			return TRUE;
	}
	return FALSE;
}

static void execute(model_t *model, job_t *job)
{
	key_state_t *key = &model->keys[job->key];

	job->runs_at = G_MAXINT64;
	if (++key->runs > 1)
		fail(model, "key %u: ran %u times", job->key, key->runs);
	if (!is_run_expected(model, job))
		fail(model, "key %u: ran after \"not run\"", job->key);
	key->body = job->body;
}

static void end_job(model_t *model, const job_t *job)
{
	const key_state_t *key = &model->keys[job->key];
	char *account = account_of(job->key);
	char *name = key_name(job->key);
	GBytes *result = body_of(job->key, key->body);
	sr_journal_run_result_t end = {
		.end = job->end,
		.err = SR_ERR_NO_UPSTREAM,
		.status = 200,
		.result = result,
	};

	if (!job->asked)
		sr_journal_run_ended(job->node->journal, model->now, job->run,
				     &end);
	else if (key->runs)
		sr_journal_report_outcome(job->node->journal, model->now,
					  account, name, job->run, 200, result);
	g_bytes_unref(result);
	g_free(account);
	g_free(name);
}

static void run_jobs(model_t *model)
{
	for (guint i = 0; i < model->jobs->len;) {
		job_t *job = model->jobs->pdata[i];

		if (job->runs_at <= model->now)
			execute(model, job);
		if (job->node && job->ends_at <= model->now &&
		    !is_frozen(job->node)) {
			end_job(model, job);
			job->node = NULL;
		}
		if (!job->node && job->runs_at == G_MAXINT64)
			g_ptr_array_remove_index(model->jobs, i);
		else
			i++;
	}
}

/* Nodes */

static void start_node(node_t *node)
{
	model_t *model = node->model;
	sr_journal_options_t options = {
		.node = node->name,
		.home = "riga-centrs",
		.n_shards = N_SHARDS,
		.seed = prove_random(&model->random),
		.lease = LEASE,
		.retention = SR_HOUR,
		.write_interval = 20 * SR_MSEC,
		.ring_slots = model->ring,
		.max_entries = 1000,
		.max_bytes = 1000000,
		.run = on_run,
		.answer = on_answer,
		.query_outcome = on_ask,
		.has_capacity = on_capacity,
		.owner_changed = on_owner,
		.may_be_displaced = on_displaced,
		.wake = on_wake,
		.user = node,
	};

	node->client = fake_client_new(model->platform);
	options.store = fake_client_store(node->client);
	node->journal = sr_journal_new(&options);
	node->frozen_until = 0;
	node->cut_until = 0;
	node->draining = FALSE;
	node->last_seen = model->now;
}

static void stop_node(node_t *node, sr_usec_t down)
{
	model_t *model = node->model;

	if (!node->journal)
		return;
	sr_journal_free(node->journal);
	node->journal = NULL;
	fake_client_free(node->client);
	node->restart_at = model->now + down;
	for (guint i = 0; i < model->submissions->len; i++) {
		submission_t *submission = model->submissions->pdata[i];

		if (submission->node == node && submission->state == SUB_OPEN)
			submission->state = SUB_DROPPED;
	}
	for (guint i = 0; i < model->jobs->len; i++) {
		job_t *job = model->jobs->pdata[i];

		if (job->node == node)
			job->node = NULL;
	}
}

static gboolean is_member(const node_t *node)
{
	return node->journal && !node->draining &&
	       node->model->now < node->last_seen + LEASE;
}

/* Membership as each node would learn it: the first living one per shard. */
static void update_view(model_t *model)
{
	for (unsigned shard = 0; shard < N_SHARDS; shard++) {
		gboolean found = FALSE;

		for (unsigned i = 0; i < N_NODES; i++) {
			node_t *node = &model->nodes[(i + shard) % N_NODES];
			gboolean want = is_member(node) && !found;

			found = found || want;
			if (!node->journal || is_frozen(node))
				continue;
			hear(node);
			if (model->now < model->quarrel_until)
				want = TRUE;
			sr_journal_set_wanted(node->journal, model->now, shard,
					      want && !node->draining);
		}
	}
}

static void check_open(model_t *model)
{
	for (guint i = 0; i < model->submissions->len; i++) {
		const submission_t *submission = model->submissions->pdata[i];

		if (submission->state == SUB_OPEN &&
		    !is_frozen(submission->node) &&
		    model->now > submission->deadline + ANSWER_SLACK)
			fail(model, "key %u: no answer by the deadline",
			     submission->key);
	}
}

static void tick_node(node_t *node)
{
	model_t *model = node->model;

	if (!node->journal && model->now >= node->restart_at)
		start_node(node);
	if (!node->journal || is_frozen(node))
		return;
	node->last_seen = model->now;
	fake_client_set_frozen(node->client, FALSE);
	fake_client_set_cut(node->client, model->now < node->cut_until);
	node->woken = FALSE;
	sr_journal_tick(node->journal, model->now);
	if (node->draining && sr_journal_is_released(node->journal))
		stop_node(node, SR_SEC);
}

static void advance(model_t *model, sr_usec_t by)
{
	sr_usec_t end = model->now + by;

	while (model->now < end && !model->why) {
		sr_usec_t next = fake_platform_next(model->platform);
		gboolean ticking;

		next = MIN(next, model->now - model->now % TICK + TICK);
		model->now = MAX(model->now, MIN(next, end));
		ticking = model->now % TICK == 0;
		fake_platform_faults(model->platform)->down =
			model->now < model->down_until;
		fake_platform_run(model->platform, model->now);
		run_jobs(model);
		if (model->now >= model->next_view) {
			update_view(model);
			model->next_view = model->now + 200 * SR_MSEC;
		}
		for (unsigned i = 0; i < N_NODES; i++)
			if (ticking || model->nodes[i].woken)
				tick_node(&model->nodes[i]);
		if (ticking)
			check_open(model);
	}
}

/* Commands */

typedef enum {
	OP_SUBMIT,
	OP_SUBMIT_TO_ALL,
	OP_ABANDON,
	OP_CRASH,
	OP_FREEZE,
	OP_CUT,
	OP_OUTAGE,
	OP_FAULTS,
	OP_UPSTREAM,
	OP_DRAIN,
	OP_QUARREL,
	OP_WAIT,
	N_OPS,
} op_t;

/* How often each command is drawn, of 256. */
static const unsigned op_weights[N_OPS] = {
	148, 24, 8, 12, 16, 8, 8, 12, 8, 4, 4, 4,
};

static const char *const op_names[N_OPS] = {
	"submit", "submit to all", "abandon",  "crash", "freeze",  "cut",
	"outage", "faults",	   "upstream", "drain", "quarrel", "wait",
};

static op_t op_of(const prove_command_t *command)
{
	unsigned left = command->op;

	for (unsigned op = 0; op < N_OPS; op++) {
		if (left < op_weights[op])
			return (op_t)op;
		left -= op_weights[op];
	}
	return OP_WAIT;
}

static void submit(model_t *model, node_t *node, const prove_command_t *command)
{
	static const sr_usec_t deadlines[] = { 100 * SR_MSEC, SR_SEC,
					       4 * SR_SEC, 10 * SR_SEC };
	submission_t *submission;
	sr_journal_posting_t posting;

	if (!node->journal || is_frozen(node))
		return;
	submission = g_new0(submission_t, 1);
	submission->model = model;
	submission->node = node;
	submission->key = command->a % N_KEYS;
	submission->body = command->b % 16 == 0;
	submission->deadline = model->now + deadlines[(command->b >> 4) % 4];
	g_ptr_array_add(model->submissions, submission);
	posting = (sr_journal_posting_t){
		.account = account_of(submission->key),
		.key = key_name(submission->key),
		.service = "pasutijumu-galds",
		.request = body_of(submission->key, submission->body),
		.deadline = submission->deadline,
		.respond_async = (command->b >> 6) % 2,
		.ticket = submission,
	};
	sr_journal_submit(node->journal, model->now, &posting);
	g_free((char *)posting.account);
	g_free((char *)posting.key);
	g_bytes_unref(posting.request);
}

/* As the entry hosts do, a submission goes on to the holder if there is one. */
static void submit_to_holder(model_t *model, const prove_command_t *command)
{
	unsigned key = command->a % N_KEYS;
	char *account = account_of(key);
	char *name = key_name(key);
	unsigned shard = sr_journal_shard_index(account, name, N_SHARDS);
	node_t *node = &model->nodes[(command->b >> 8) % N_NODES];

	for (unsigned i = 0; i < N_NODES; i++) {
		node_t *other = &model->nodes[(i + command->b) % N_NODES];

		if (other->journal && sr_journal_is_held(other->journal, shard))
			node = other;
	}
	submit(model, node, command);
	g_free(account);
	g_free(name);
}

static void abandon(model_t *model, unsigned which)
{
	submission_t *submission;

	if (!model->submissions->len)
		return;
	submission = model->submissions->pdata[which % model->submissions->len];
	if (submission->state != SUB_OPEN || is_frozen(submission->node))
		return;
	sr_journal_abandon(submission->node->journal, submission);
	submission->state = SUB_DROPPED;
}

static void set_faults(model_t *model, unsigned a, unsigned b)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	faults->lose_before = a % 3 ? a % 20 : 0;
	faults->lose_after = b % 3 ? b % 30 : 0;
	faults->late = (b >> 4) % 3 ? (b >> 4) % 20 : 0;
	faults->throttle = (b >> 8) % 3 ? (b >> 8) % 20 : 0;
	faults->delay = (1 + a % 60) * SR_MSEC;
	faults->late_delay = (b % 8) * SR_SEC;
}

static void run_command(model_t *model, const prove_command_t *command)
{
	node_t *node = &model->nodes[command->a % N_NODES];
	sr_usec_t span = (1 + command->b % 4000) * SR_MSEC;

	if (command->a >= 192)
		span *= 4;

	switch (op_of(command)) {
	case OP_SUBMIT:
		submit_to_holder(model, command);
		break;
	case OP_SUBMIT_TO_ALL:
		for (unsigned i = 0; i < N_NODES; i++)
			submit(model, &model->nodes[i], command);
		break;
	case OP_ABANDON:
		abandon(model, command->b);
		break;
	case OP_CRASH:
		stop_node(node, span);
		break;
	case OP_FREEZE:
		node->frozen_until = model->now + span;
		if (node->journal)
			fake_client_set_frozen(node->client, TRUE);
		break;
	case OP_CUT:
		node->cut_until = model->now + span;
		break;
	case OP_OUTAGE:
		model->down_until = model->now + span;
		break;
	case OP_FAULTS:
		set_faults(model, command->a, command->b);
		break;
	case OP_UPSTREAM:
		model->upstream = command->a % 2 ? command->a % 80 : 0;
		model->full = command->b % 5 == 0;
		break;
	case OP_DRAIN:
		if (node->journal && !is_frozen(node)) {
			node->draining = TRUE;
			sr_journal_release(node->journal, model->now,
					   model->now + span);
		}
		break;
	case OP_QUARREL:
		model->quarrel_until = model->now + span;
		break;
	default:
		advance(model, span);
		break;
	}
}

static char *journal_step(void *state, const prove_command_t *command)
{
	model_t *model = state;

	run_command(model, command);
	advance(model, (command->b >> 5) % 400 * SR_MSEC);
	return g_steal_pointer(&model->why);
}

/* The end */

static void heal(model_t *model)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	memset(faults, 0, sizeof(*faults));
	faults->delay = 5 * SR_MSEC;
	model->down_until = 0;
	model->quarrel_until = 0;
	model->upstream = 0;
	model->full = FALSE;
	for (unsigned i = 0; i < N_NODES; i++) {
		model->nodes[i].frozen_until = 0;
		model->nodes[i].cut_until = 0;
		model->nodes[i].restart_at = 0;
	}
}

static void note_unknown(void *user, const sr_journal_unknown_t *unknown)
{
	model_t *model = user;

	model->keys[key_of(unknown->key)].listed = TRUE;
}

static void check_nodes(model_t *model)
{
	unsigned held = 0;

	for (unsigned i = 0; i < N_NODES; i++) {
		sr_journal_stats_t stats;

		if (!model->nodes[i].journal)
			continue;
		sr_journal_stats(model->nodes[i].journal, &stats);
		held += stats.held;
		if (stats.violations)
			fail(model, "the log holds a forbidden transition");
		sr_journal_foreach_unknown(model->nodes[i].journal, model->now,
					   note_unknown, model);
	}
	if (fake_platform_n_objects(model->platform, "journal/") >
	    N_SHARDS * MAX_OBJECTS)
		fail(model, "too many objects are kept");
	if (held != N_SHARDS)
		fail(model, "%u of %d shards are held", held, N_SHARDS);
}

static void check_submissions(model_t *model)
{
	for (guint i = 0; i < model->submissions->len; i++) {
		const submission_t *submission = model->submissions->pdata[i];
		const key_state_t *key = &model->keys[submission->key];

		if (submission->state == SUB_OPEN)
			fail(model, "key %u: never answered", submission->key);
		if (submission->state == SUB_ACCEPTED && key->runs != 1 &&
		    !key->listed)
			fail(model, "key %u: accepted, then lost",
			     submission->key);
	}
}

/* A fresh posting must get its result on a healed cluster. */
static void check_service(model_t *model)
{
	prove_command_t command = { .a = N_KEYS - 1, .b = 1 + (2 << 4) };

	for (guint i = 0; i < model->submissions->len; i++) {
		const submission_t *submission = model->submissions->pdata[i];

		if (submission->key == N_KEYS - 1)
			return;
	}
	submit_to_holder(model, &command);
	advance(model, 3 * SR_SEC);
	if (model->keys[N_KEYS - 1].runs != 1)
		fail(model, "a posting after healing did not run");
}

static char *journal_finish(void *state)
{
	model_t *model = state;

	heal(model);
	advance(model, SETTLE);
	if (!model->why) {
		check_nodes(model);
		check_submissions(model);
		check_service(model);
	}
	return g_steal_pointer(&model->why);
}

static void *journal_new(guint64 seed)
{
	model_t *model = g_new0(model_t, 1);

	model->random = seed;
	model->ring = RING << (seed % 3);
	model->platform = fake_platform_new(prove_random(&model->random));
	model->submissions = g_ptr_array_new_with_free_func(g_free);
	model->jobs = g_ptr_array_new_with_free_func(g_free);
	for (unsigned i = 0; i < N_NODES; i++) {
		node_t *node = &model->nodes[i];

		node->model = model;
		g_snprintf(node->name, sizeof(node->name), "node-%u", i);
		start_node(node);
	}
	advance(model, 500 * SR_MSEC);
	return model;
}

static void journal_free(void *state)
{
	model_t *model = state;

	for (unsigned i = 0; i < N_NODES; i++)
		stop_node(&model->nodes[i], 0);
	g_ptr_array_unref(model->jobs);
	g_ptr_array_unref(model->submissions);
	fake_platform_free(model->platform);
	g_free(model->why);
	g_free(model);
}

static char *journal_describe(const prove_command_t *command)
{
	return g_strdup_printf("%s a=%u b=%u", op_names[op_of(command)],
			       command->a, command->b);
}

const prove_model_t prove_journal_model = {
	.name = "journal",
	.n_commands = 60,
	.new = journal_new,
	.step = journal_step,
	.finish = journal_finish,
	.describe = journal_describe,
	.free = journal_free,
};
