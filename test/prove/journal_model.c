/*
 * Three nodes run postings of two shards on a faulty platform, while nodes
 * crash, freeze, drain or are cut off and upstreams fail.
 *
 * The oracle counts the runs of each key and checks that
 * - a key runs at most once, and not after all its submissions were answered
 *   "not run";
 * - a submission is answered once and by its deadline, a result is the one of
 *   the body that ran, and "not run" is not reported for a key that ran, except
 *   for reuse of the key with another body;
 * - after healing, each accepted posting has run or is listed as unknown, each
 *   shard has one holder, the log holds no forbidden transition, the number of
 *   stored objects is bounded, and a new posting runs.
 */
#include "prove.h"

#include <string.h>

#include "core/journal.h"
#include "driver.h"
#include "fake_platform.h"

#define N_NODES 3
#define N_SHARDS 2
#define N_KEYS 12
#define LEASE_DURATION (1 * SR_SEC)
#define TICK (20 * SR_MSEC)
/* Log slots of a shard; some runs have two or four times as many. */
#define RING_SLOTS 4
/* Objects of a shard: the slots, the manifest and up to 200 segments. */
#define MAX_SHARD_OBJECTS (4 * RING_SLOTS + 1 + 200)
/* Longest delay of an answer after the deadline of its submission. */
#define ANSWER_SLACK (60 * SR_MSEC)
/* Time after the last fault within which all postings and leases settle. */
#define SETTLE_TIME (40 * SR_SEC)

typedef struct model model_t;
typedef struct node node_t;

typedef enum {
	SUB_OPEN,
	SUB_RESULT,
	SUB_ACCEPTED,
	SUB_NOT_RUN,
	SUB_UNKNOWN,
	SUB_DROPPED, /* its node stopped, or its caller left */
} submission_state_t;

typedef struct {
	model_t *model;
	node_t *node;
	unsigned key;
	unsigned body; /* 0 or 1; a key must not be reused for another body */
	sr_usec_t deadline;
	submission_state_t state;
} submission_t;

typedef struct {
	unsigned runs;	 /* at an upstream */
	unsigned body;	 /* of the last run */
	gboolean listed; /* as a posting of unknown outcome, at the end */
} key_state_t;

/* A request to an upstream or a query for an outcome, with its answer. */
typedef struct {
	node_t *node; /* NULL once answered, or the node stopped */
	guint64 run;  /* id of the run */
	unsigned key;
	unsigned body;
	sr_usec_t runs_at; /* G_MAXINT64 if it ran, was lost or is a query */
	sr_usec_t ends_at; /* arrival of the answer */
	sr_run_end_t end;
	gboolean is_query; /* of the outcome; not a run */
} job_t;

struct node {
	model_t *model;
	char name[8];
	fake_client_t *client;
	sr_journal_t *journal;
	gboolean woken; /* wake() was called; tick at once */
	sr_usec_t frozen_until;
	sr_usec_t cut_until;
	sr_usec_t restart_at;
	sr_usec_t last_seen;	  /* last tick, as seen by the other nodes */
	guint64 epochs[N_SHARDS]; /* highest known to the node */
	gboolean draining;
};

struct model {
	fake_platform_t *platform;
	node_t nodes[N_NODES];
	sr_usec_t now;
	unsigned n_ring_slots; /* log slots of a shard */
	guint64 random;
	GPtrArray *submissions;
	GPtrArray *jobs;
	key_state_t keys[N_KEYS];
	guint64 epochs[N_SHARDS]; /* highest of any holder */
	sr_usec_t down_until;
	sr_usec_t contention_until;	 /* all nodes want all shards */
	sr_usec_t next_view;		 /* time of the next update_view() */
	unsigned upstream_fault_percent; /* of runs that fail */
	gboolean no_capacity;		 /* of any upstream */
	char *violation;
};

static void fail(model_t *model, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void fail(model_t *model, const char *format, ...)
{
	va_list args;

	if (model->violation)
		return;
	va_start(args, format);
	model->violation = g_strdup_vprintf(format, args);
	va_end(args);
}

/* Returns a random number below the limit, which counts as at least 1. */
static guint64 random_below(model_t *model, guint64 limit)
{
	return prove_random(&model->random) % MAX(limit, 1);
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
	sr_usec_t request_delay = (sr_usec_t)random_below(model, 100) * SR_MSEC;
	guint64 fault_kind = random_below(model, 4);

	job->node = node;
	job->run = run->run_id;
	job->key = key_of(run->key);
	job->body = body_from(run->request);
	job->runs_at = model->now + request_delay;
	job->ends_at =
		job->runs_at + (sr_usec_t)random_below(model, 100) * SR_MSEC;
	job->end = SR_RUN_ANSWERED;
	if (random_below(model, 100) < model->upstream_fault_percent) {
		job->end =
			fault_kind == 0 ? SR_RUN_NOT_STARTED : SR_RUN_UNKNOWN;
		if (fault_kind <= 1)
			job->runs_at = G_MAXINT64;
		/* the run follows long after the connection broke */
		if (fault_kind == 2)
			job->runs_at += 5 * SR_SEC;
	}
	g_ptr_array_add(model->jobs, job);
}

static void on_query_outcome(void *user, const sr_journal_unknown_t *unknown)
{
	node_t *node = user;
	model_t *model = node->model;
	job_t *job = g_new0(job_t, 1);

	job->node = node;
	job->run = unknown->run_id;
	job->key = key_of(unknown->key);
	job->runs_at = G_MAXINT64;
	job->ends_at =
		model->now + (sr_usec_t)random_below(model, 50) * SR_MSEC;
	job->is_query = TRUE;
	g_ptr_array_add(model->jobs, job);
}

static gboolean on_has_capacity(void *user, const char *service)
{
	node_t *node = user;

	return !node->model->no_capacity;
}

static gboolean is_frozen(const node_t *node)
{
	return node->model->now < node->frozen_until;
}

static void update_epochs(node_t *node)
{
	memcpy(node->epochs, node->model->epochs, sizeof(node->epochs));
}

/*
 * Every node receives the epoch of a new holder at once, a frozen node at the
 * first update_view() after it thaws: OP_CUT affects the platform only, not
 * gossip.
 */
static void on_owner_changed(void *user, unsigned shard, guint64 epoch,
			     gboolean held)
{
	node_t *node = user;
	model_t *model = node->model;

	model->epochs[shard] = MAX(model->epochs[shard], epoch);
	for (unsigned i = 0; i < N_NODES; i++)
		if (!is_frozen(&model->nodes[i]))
			update_epochs(&model->nodes[i]);
}

static gboolean on_may_be_displaced(void *user, unsigned shard, guint64 epoch)
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

/* Returns TRUE if a submission of this body was not answered "not run". */
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

static void finish_job(model_t *model, const job_t *job)
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

	if (!job->is_query)
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
			finish_job(model, job);
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
		.lease = LEASE_DURATION,
		.retention = SR_HOUR,
		.write_interval = 20 * SR_MSEC,
		.ring_slots = model->n_ring_slots,
		.max_entries = 1000,
		.max_bytes = 1000000,
		.run = on_run,
		.answer = on_answer,
		.query_outcome = on_query_outcome,
		.has_capacity = on_has_capacity,
		.owner_changed = on_owner_changed,
		.may_be_displaced = on_may_be_displaced,
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
	       node->model->now < node->last_seen + LEASE_DURATION;
}

/*
 * The first live member in the order of the shard wants the shard; during
 * OP_QUARREL all nodes do. A draining node wants none, and a frozen node keeps
 * its view.
 */
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
			update_epochs(node);
			if (model->now < model->contention_until)
				want = TRUE;
			sr_journal_set_wanted(node->journal, model->now, shard,
					      want && !node->draining);
		}
	}
}

static void check_deadlines(model_t *model)
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

	while (model->now < end && !model->violation) {
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
			check_deadlines(model);
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
	OP_QUARREL, /* all nodes want all shards */
	OP_WAIT,
	N_OPS,
} op_t;

/* Frequency of each command, of 256. */
static const unsigned op_weights[N_OPS] = {
	148, 24, 8, 12, 16, 8, 8, 12, 8, 4, 4, 4,
};

/* Printed in the command list of a failed run. */
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

/* Like an entry host, passes the submission to the holder if there is one. */
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

static void abandon(model_t *model, unsigned index)
{
	submission_t *submission;

	if (!model->submissions->len)
		return;
	submission = model->submissions->pdata[index % model->submissions->len];
	if (submission->state != SUB_OPEN || is_frozen(submission->node))
		return;
	sr_journal_abandon(submission->node->journal, submission);
	submission->state = SUB_DROPPED;
}

static void set_faults(model_t *model, unsigned a, unsigned b)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	faults->request_loss = a % 3 ? a % 20 : 0;
	faults->reply_loss = b % 3 ? b % 30 : 0;
	faults->late = (b >> 4) % 3 ? (b >> 4) % 20 : 0;
	faults->throttle = (b >> 8) % 3 ? (b >> 8) % 20 : 0;
	faults->max_call_delay = (1 + a % 60) * SR_MSEC;
	faults->max_late_delay = (b % 8) * SR_SEC;
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
		model->upstream_fault_percent =
			command->a % 2 ? command->a % 80 : 0;
		model->no_capacity = command->b % 5 == 0;
		break;
	case OP_DRAIN:
		if (node->journal && !is_frozen(node)) {
			node->draining = TRUE;
			sr_journal_release(node->journal, model->now,
					   model->now + span);
		}
		break;
	case OP_QUARREL:
		model->contention_until = model->now + span;
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
	return g_steal_pointer(&model->violation);
}

/* Final checks */

static void end_faults(model_t *model)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	memset(faults, 0, sizeof(*faults));
	faults->max_call_delay = 5 * SR_MSEC;
	model->down_until = 0;
	model->contention_until = 0;
	model->upstream_fault_percent = 0;
	model->no_capacity = FALSE;
	for (unsigned i = 0; i < N_NODES; i++) {
		model->nodes[i].frozen_until = 0;
		model->nodes[i].cut_until = 0;
		model->nodes[i].restart_at = 0;
	}
}

static void mark_unknown(void *user, const sr_journal_unknown_t *unknown)
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
					   mark_unknown, model);
	}
	if (fake_platform_n_objects(model->platform, "journal/") >
	    N_SHARDS * MAX_SHARD_OBJECTS)
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

/*
 * A posting with a new key must run now that the faults have ended. Checks
 * nothing if the last key was used before.
 */
static void check_new_posting(model_t *model)
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

	end_faults(model);
	advance(model, SETTLE_TIME);
	if (!model->violation) {
		check_nodes(model);
		check_submissions(model);
		check_new_posting(model);
	}
	return g_steal_pointer(&model->violation);
}

static void *journal_new(guint64 seed)
{
	model_t *model = g_new0(model_t, 1);

	model->random = seed;
	model->n_ring_slots = RING_SLOTS << (seed % 3);
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
	g_free(model->violation);
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
