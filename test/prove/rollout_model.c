#include "prove.h"

#include <string.h>

#include "core/recall.h"
#include "core/rollout.h"
#include "fake_platform.h"

/*
 * Three nodes move one service to a new version on a faulty platform, while
 * rumours are lost or delayed and nodes are cut off, freeze or restart. The new
 * version is good, or bad from the start or from a later time.
 *
 * The oracle checks that
 * - no step is taken twice or with two shares, and a share at most doubles;
 * - a node that has received the recall sets no share;
 * - a good version is never recalled and gets its full share;
 * - a bad version is recalled on all nodes soon after healing, and the platform
 *   keeps the recall.
 */

#define N_NODES 3
#define N_COMMANDS 120
#define MAX_STEPS 64
#define MAX_RUMOURS 512
#define ROLLOUT_DURATION (200 * SR_SEC)
#define MAX_RUMOUR_DELAY (4 * SR_SEC)
/* Time from 2 * ROLLOUT_DURATION to the final checks, without faults. */
#define SETTLE_TIME (90 * SR_SEC)

typedef struct model model_t;

typedef enum {
	RUMOUR_EVIDENCE,
	RUMOUR_STEP,
	RUMOUR_RECALL,
} rumour_kind_t;

typedef struct {
	rumour_kind_t kind;
	unsigned to; /* index of the node */
	sr_usec_t due;
	char *key;
	guint64 version;
	guint8 value[256];
	gsize size;
	sr_rollout_step_t step;
} rumour_t;

typedef struct {
	model_t *model;
	unsigned index;
	unsigned incarnation;
	fake_client_t *client;
	sr_evidence_t *evidence;
	sr_rollout_t *rollout;
	sr_recall_t *recall;
	char *name;
	double share; /* of the new version */
	gboolean recalled;
	gboolean frozen;
	gboolean cut; /* from the platform and the other nodes */
} node_t;

struct model {
	fake_platform_t *platform;
	node_t nodes[N_NODES];
	GPtrArray *rumours; /* rumour_t in transit */
	sr_usec_t now;
	guint64 seed;
	guint64 random;	 /* state of random_fraction() */
	gboolean is_bad; /* half of its requests fail */
	sr_usec_t bad_from;
	gboolean domain_gone; /* no upstream in the second failure domain */
	double step_share[MAX_STEPS]; /* 0 if not seen */
	gboolean step_taken[MAX_STEPS];
	char *violation;
};

static const char *const routes[] = { "r", NULL };

static void fail(model_t *model, const char *what, double detail)
{
	if (!model->violation)
		model->violation = g_strdup_printf("%s (%g)", what, detail);
}

/* Returns a random number from 0 to 1, exclusive. */
static double random_fraction(model_t *model)
{
	model->random =
		model->random * 6364136223846793005u + 1442695040888963407u;
	return (double)(model->random >> 40) / (double)(1 << 24);
}

static void rumour_free(gpointer data)
{
	rumour_t *rumour = data;

	g_free(rumour->key);
	g_free(rumour);
}

/* Sends a rumour to every other node; most arrive, some twice. */
static void broadcast(node_t *from, const rumour_t *rumour)
{
	model_t *model = from->model;

	for (unsigned i = 0; i < 2 * N_NODES; i++) {
		rumour_t *copy;

		if (i % N_NODES == from->index || from->cut ||
		    model->rumours->len >= MAX_RUMOURS ||
		    random_fraction(model) < (i < N_NODES ? 0.2 : 0.8))
			continue;
		copy = g_memdup2(rumour, sizeof(*rumour));
		copy->key = g_strdup(rumour->key);
		copy->to = i % N_NODES;
		copy->due = model->now + (sr_usec_t)(random_fraction(model) *
						     (double)MAX_RUMOUR_DELAY);
		g_ptr_array_add(model->rumours, copy);
	}
}

static gboolean is_gone(void *user, const char *upstream)
{
	const node_t *node = user;

	return node->model->domain_gone && upstream[1] == '1';
}

static void evidence_changed(void *user, const char *key, guint64 version,
			     const guint8 *value, gsize size)
{
	rumour_t rumour = { .kind = RUMOUR_EVIDENCE,
			    .key = (char *)key,
			    .size = size };

	g_assert(size <= sizeof(rumour.value));
	memcpy(rumour.value, value, size);
	broadcast(user, &rumour);
}

static void set_share(void *user, const char *service, const char *version,
		      double share)
{
	node_t *node = user;

	if (strcmp(version, "new") != 0)
		return;
	if (node->recalled && share > 0)
		fail(node->model, "a share after the recall", share);
	node->share = share;
}

static void recall_version(void *user, const char *service, const char *version,
			   const char *reason)
{
	node_t *node = user;

	sr_recall_add(node->recall, node->model->now, service, version, reason);
}

static void recalled(void *user, const char *service, const char *version,
		     const char *reason)
{
	node_t *node = user;

	if (!node->model->is_bad) {
		char *what = g_strconcat(
			"a good version was recalled: ", reason, NULL);

		fail(node->model, what, node->index);
		g_free(what);
	}
	node->recalled = TRUE;
	if (node->rollout)
		sr_rollout_roll_back(node->rollout, reason);
}

static void broadcast_recall(void *user, const char *key, guint64 version,
			     const char *reason)
{
	rumour_t rumour = { .kind = RUMOUR_RECALL,
			    .key = (char *)key,
			    .version = version,
			    .size = MIN(strlen(reason), 200) };

	memcpy(rumour.value, reason, rumour.size);
	broadcast(user, &rumour);
}

static void check_step(model_t *model, const sr_rollout_step_t *step)
{
	guint64 n = step->number;

	if (n >= MAX_STEPS) {
		fail(model, "too many steps", (double)n);
		return;
	}
	if (model->step_share[n] > 0 && model->step_share[n] != step->share)
		fail(model, "one step with two shares", (double)n);
	model->step_share[n] = step->share;
	if (model->step_taken[n])
		fail(model, "a step was taken again", (double)n);
	model->step_taken[n] = TRUE;
	if (n > 1 && model->step_share[n - 1] > 0 &&
	    step->share > 2 * model->step_share[n - 1])
		fail(model, "a share more than doubled", step->share);
}

static void step_written(void *user, const sr_rollout_step_t *step)
{
	node_t *node = user;
	rumour_t rumour = { .kind = RUMOUR_STEP, .step = *step };

	check_step(node->model, step);
	broadcast(node, &rumour);
}

static void start_recall(node_t *node, sr_store_t *store)
{
	const sr_recall_options_t options = {
		.store = store,
		.seed = node->model->seed + node->index,
		.recalled = recalled,
		.publish = broadcast_recall,
		.user = node,
	};

	node->recall = sr_recall_new(&options);
}

static void start_rollout(node_t *node, sr_store_t *store)
{
	const sr_rollout_options_t options = {
		.service = "s",
		.old_version = "old",
		.new_version = "new",
		.target = 1,
		.due = ROLLOUT_DURATION,
		.soak = 20 * SR_SEC,
		.routes = routes,
		.evidence = node->evidence,
		.store = store,
		.owner = node->name,
		.seed = node->model->seed * 7 + node->incarnation * N_NODES +
			node->index,
		.set_share = set_share,
		.recall = recall_version,
		.step_written = step_written,
		.user = node,
	};

	node->rollout = sr_rollout_new(&options);
	sr_rollout_set_wanted(node->rollout, TRUE);
}

static void start_node(node_t *node)
{
	sr_store_t *store;
	sr_evidence_options_t evidence = { .is_gone = is_gone,
					   .publish_counters = evidence_changed,
					   .user = node };

	node->incarnation++;
	node->name = g_strdup_printf("n%u-%u", node->index, node->incarnation);
	node->client = fake_client_new(node->model->platform);
	node->share = 0;
	node->recalled = FALSE;
	node->frozen = FALSE;
	fake_client_set_cut(node->client, node->cut);
	store = fake_client_store(node->client);
	evidence.node = node->name;
	node->evidence = sr_evidence_new(&evidence);
	start_recall(node, store);
	start_rollout(node, store);
}

static void stop_node(node_t *node)
{
	sr_rollout_free(node->rollout);
	sr_recall_free(node->recall);
	sr_evidence_free(node->evidence);
	fake_client_free(node->client);
	g_free(node->name);
	node->rollout = NULL;
}

static void *model_new(guint64 seed)
{
	model_t *model = g_new0(model_t, 1);

	model->seed = seed;
	model->random = seed;
	model->is_bad = seed % 2 == 0;
	model->bad_from = (sr_usec_t)(seed / 2 % 4) * 30 * SR_SEC;
	model->platform = fake_platform_new(seed);
	model->rumours = g_ptr_array_new_with_free_func(rumour_free);
	for (unsigned i = 0; i < N_NODES; i++) {
		model->nodes[i].model = model;
		model->nodes[i].index = i;
		start_node(&model->nodes[i]);
	}
	return model;
}

static void deliver(model_t *model, const rumour_t *rumour)
{
	node_t *node = &model->nodes[rumour->to];

	if (node->cut || node->frozen)
		return;
	switch (rumour->kind) {
	case RUMOUR_EVIDENCE:
		sr_evidence_receive(node->evidence, rumour->key, rumour->value,
				    rumour->size);
		break;
	case RUMOUR_STEP:
		sr_rollout_receive(node->rollout, &rumour->step);
		break;
	case RUMOUR_RECALL:
		sr_recall_receive(node->recall, model->now, rumour->key,
				  rumour->version, rumour->value, rumour->size);
		break;
	}
}

static void deliver_due(model_t *model)
{
	for (guint i = 0; i < model->rumours->len;) {
		rumour_t *rumour = model->rumours->pdata[i];

		if (rumour->due > model->now) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(model->rumours, i);
		deliver(model, rumour);
		rumour_free(rumour);
	}
}

/* Serves one request; it fails if its failure domain is gone. */
static void serve_request(node_t *node)
{
	model_t *model = node->model;
	gboolean is_new = random_fraction(model) < node->share;
	unsigned worker = random_fraction(model) < 0.5 ? 0 : 1;
	char upstream[4] = { is_new ? 'n' : 'o', (char)('0' + worker), 0, 0 };
	sr_observation_t observation = {
		.service = "s",
		.version = is_new ? "new" : "old",
		.route = "r",
		.upstream = upstream,
		.failure_domain = worker ? "d1" : "d0",
		.first_byte = (sr_usec_t)(100 + 200 * random_fraction(model)) *
			      SR_MSEC,
	};

	if (is_new && model->is_bad && model->now >= model->bad_from &&
	    random_fraction(model) < 0.5)
		observation.outcome = SR_OUTCOME_FAILED;
	if (model->domain_gone && worker)
		observation.outcome = SR_OUTCOME_CONNECTION_ERROR;
	sr_evidence_record(node->evidence, model->now, &observation);
}

/* Anti-entropy: sends the recall or the last step again, as gossip does. */
static void rebroadcast(node_t *node)
{
	rumour_t rumour = { .kind = RUMOUR_STEP,
			    .step = *sr_rollout_step(node->rollout) };

	if (node->recalled)
		broadcast_recall(
			node, "s/new",
			sr_recall_is_stored(node->recall, "s", "new") ? 2 : 1,
			"bad");
	else if (rumour.step.number > 0)
		broadcast(node, &rumour);
}

static void run_second(model_t *model, unsigned requests)
{
	sr_usec_t until = model->now + SR_SEC;

	while (fake_platform_next(model->platform) <= until) {
		model->now =
			MAX(model->now, fake_platform_next(model->platform));
		fake_platform_run(model->platform, model->now);
	}
	model->now = until;
	deliver_due(model);
	for (unsigned i = 0; i < N_NODES; i++) {
		node_t *node = &model->nodes[i];

		if (node->frozen)
			continue;
		for (unsigned j = 0; j < requests; j++)
			serve_request(node);
		sr_evidence_tick(node->evidence, model->now);
		sr_recall_tick(node->recall, model->now);
		sr_rollout_tick(node->rollout, model->now);
		rebroadcast(node);
	}
}

static void set_faults(model_t *model, const prove_command_t *command)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	faults->request_loss = command->b % 4 == 0 ? 30 : 0;
	faults->reply_loss = command->b % 4 == 1 ? 30 : 0;
	faults->late = command->b % 5 == 2 ? 20 : 0;
	faults->max_late_delay = 3 * SR_SEC;
	faults->throttle = command->b % 6 == 3 ? 50 : 0;
	faults->max_call_delay = command->b % 50 * SR_MSEC;
	faults->down = command->b % 7 == 0;
}

static void set_cut(node_t *node, gboolean cut)
{
	node->cut = cut;
	fake_client_set_cut(node->client, cut);
}

static void set_frozen(node_t *node, gboolean frozen)
{
	node->frozen = frozen;
	fake_client_set_frozen(node->client, frozen);
}

static char *model_step(void *user, const prove_command_t *command)
{
	model_t *model = user;
	node_t *node = &model->nodes[command->a % N_NODES];

	switch (command->op % 12) { /* names in model_describe() */
	case 0:
		set_faults(model, command);
		break;
	case 1:
		set_cut(node, command->b % 2);
		break;
	case 2:
		set_frozen(node, command->b % 2);
		break;
	case 3:
		if (command->b % 4 == 0) {
			stop_node(node);
			start_node(node);
		}
		break;
	case 4:
		model->domain_gone = command->b % 2;
		break;
	default:
		for (int i = 0; i < 1 + command->b % 4; i++)
			run_second(model, 5);
	}
	return g_steal_pointer(&model->violation);
}

static void check_rolled_back(model_t *model)
{
	for (unsigned i = 0; i < N_NODES; i++) {
		const node_t *node = &model->nodes[i];

		if (!node->recalled)
			fail(model, "a node didn't hear of the recall", i);
		if (node->share > 0)
			fail(model, "the recalled version has a share", i);
		if (!*sr_rollout_reason(node->rollout))
			fail(model, "taken back without a reason", i);
	}
	if (fake_platform_n_objects(model->platform, "recall/s/new") != 1)
		fail(model, "the platform doesn't keep the recall", 0);
}

static char *model_finish(void *user)
{
	model_t *model = user;

	*fake_platform_faults(model->platform) = (fake_faults_t){ 0 };
	model->domain_gone = FALSE;
	for (unsigned i = 0; i < N_NODES; i++) {
		set_cut(&model->nodes[i], FALSE);
		set_frozen(&model->nodes[i], FALSE);
	}
	while (model->now < 2 * ROLLOUT_DURATION)
		run_second(model, 5);
	for (sr_usec_t end = model->now + SETTLE_TIME; model->now < end;)
		run_second(model, 5);
	if (model->is_bad)
		check_rolled_back(model);
	else if (model->nodes[0].share < 1)
		fail(model, "a good version didn't get its share",
		     model->nodes[0].share);
	return g_steal_pointer(&model->violation);
}

static char *model_describe(const prove_command_t *command)
{
	static const char *const names[] = { "faults", "cut", "freeze",
					     "restart", "domain gone" };
	unsigned op = command->op % 12;

	return g_strdup_printf("%s node=%u b=%u",
			       op < G_N_ELEMENTS(names) ? names[op] : "run",
			       command->a % N_NODES, command->b);
}

static void model_free(void *user)
{
	model_t *model = user;

	for (unsigned i = 0; i < N_NODES; i++)
		stop_node(&model->nodes[i]);
	g_ptr_array_unref(model->rumours);
	fake_platform_free(model->platform);
	g_free(model->violation);
	g_free(model);
}

const prove_model_t prove_rollout_model = {
	.name = "rollout",
	.n_commands = N_COMMANDS,
	.new = model_new,
	.step = model_step,
	.finish = model_finish,
	.describe = model_describe,
	.free = model_free,
};
