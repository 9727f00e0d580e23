#include "prove.h"

#include <string.h>

#include "core/lease.h"
#include "fake_platform.h"

/*
 * Three nodes compete for one leased object on a faulty platform. The oracle
 * checks that at most one node holds the lease, that the epoch rises with each
 * change of the holder, and that the payload is never older than the last
 * write reported as done and never one reported as not done.
 */

#define N_NODES 3
#define LEASE_DURATION (2 * SR_SEC)
#define TIME_STEP (20 * SR_MSEC)
#define N_COMMANDS 60

typedef struct model model_t;

typedef struct {
	model_t *model;
	unsigned index;
	unsigned incarnation;
	fake_client_t *client;
	sr_lease_t *lease;
	gboolean frozen;
	guint64 writing; /* serial of the pending write; 0 for none */
} node_t;

struct model {
	fake_platform_t *platform;
	sr_usec_t now;
	guint64 seed;
	node_t nodes[N_NODES];
	guint64 last_epoch;   /* of the last acquisition */
	char *last_owner;     /* of the last acquisition */
	guint64 last_serial;  /* of the last write submitted */
	guint64 last_done;    /* serial of the last write reported as done */
	GHashTable *not_done; /* serials reported as not done */
	char *violation;
};

static void fail(model_t *model, const char *what, guint64 a, guint64 b)
{
	if (!model->violation)
		model->violation = g_strdup_printf("%s (%" G_GUINT64_FORMAT
						   ", %" G_GUINT64_FORMAT ")",
						   what, a, b);
}

/* Returns the serial of the write in the payload; 0 for none. */
static guint64 serial_of(GBytes *payload)
{
	gsize size = 0;
	const void *data = payload ? g_bytes_get_data(payload, &size) : NULL;
	guint64 serial = 0;

	if (size == sizeof(serial))
		memcpy(&serial, data, size);
	return serial;
}

static void check_payload(model_t *model, GBytes *payload)
{
	guint64 serial = serial_of(payload);

	if (serial < model->last_done)
		fail(model, "a write that was done is gone", model->last_done,
		     serial);
	if (g_hash_table_contains(model->not_done, GSIZE_TO_POINTER(serial)))
		fail(model, "a write reported as not done took effect", serial,
		     0);
}

static char *owner_name(const node_t *node)
{
	return g_strdup_printf("n%u.%u", node->index, node->incarnation);
}

static void on_acquired(void *user, guint64 epoch, GBytes *payload)
{
	node_t *node = user;
	model_t *model = node->model;
	char *owner = owner_name(node);

	if (epoch < model->last_epoch)
		fail(model, "the epoch fell", model->last_epoch, epoch);
	if (epoch == model->last_epoch && strcmp(owner, model->last_owner))
		fail(model, "two owners have one epoch", epoch, node->index);
	model->last_epoch = epoch;
	g_free(model->last_owner);
	model->last_owner = owner;
	check_payload(model, payload);
}

static void on_written(void *user, sr_err_t err)
{
	node_t *node = user;
	model_t *model = node->model;

	if (err == SR_OK)
		model->last_done = MAX(model->last_done, node->writing);
	else if (err != SR_ERR_OUTCOME_UNKNOWN)
		g_hash_table_add(model->not_done,
				 GSIZE_TO_POINTER(node->writing));
	node->writing = 0;
}

static void start_node(node_t *node)
{
	char *owner = owner_name(node);
	sr_lease_options_t options = {
		.class = SR_STORE_LEASE,
		.key = "lease/x",
		.owner = owner,
		.seed = node->model->seed + node->index * 1000 +
			node->incarnation,
		.duration = LEASE_DURATION,
		.acquired = on_acquired,
		.written = on_written,
		.user = node,
	};

	node->client = fake_client_new(node->model->platform);
	options.store = fake_client_store(node->client);
	node->lease = sr_lease_new(&options);
	sr_lease_set_wanted(node->lease, TRUE);
	node->frozen = FALSE;
	node->writing = 0;
	g_free(owner);
}

static void stop_node(node_t *node)
{
	sr_lease_free(node->lease);
	fake_client_free(node->client);
}

static void check_holders(model_t *model)
{
	int holder = -1;

	for (int i = 0; i < N_NODES; i++) {
		if (!sr_lease_is_held(model->nodes[i].lease, model->now, 0))
			continue;
		if (holder >= 0)
			fail(model, "two nodes hold the lease", (guint64)holder,
			     (guint64)i);
		holder = i;
	}
}

static void advance(model_t *model, sr_usec_t by)
{
	sr_usec_t end = model->now + by;

	while (model->now < end) {
		model->now += TIME_STEP;
		fake_platform_run(model->platform, model->now);
		check_holders(model);
		for (int i = 0; i < N_NODES; i++) {
			if (!model->nodes[i].frozen)
				sr_lease_tick(model->nodes[i].lease,
					      model->now);
		}
		check_holders(model);
	}
}

static void write_payload(model_t *model, node_t *node)
{
	guint64 serial = model->last_serial + 1;
	GBytes *payload = g_bytes_new(&serial, sizeof(serial));

	if (!node->frozen && !node->writing &&
	    sr_lease_write(node->lease, model->now, payload) == SR_OK) {
		node->writing = serial;
		model->last_serial = serial;
	}
	g_bytes_unref(payload);
}

static void restart(node_t *node)
{
	stop_node(node);
	node->incarnation++;
	start_node(node);
}

static void set_frozen(node_t *node, gboolean frozen)
{
	node->frozen = frozen;
	fake_client_set_frozen(node->client, frozen);
}

static void set_faults(model_t *model, guint16 b)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	faults->request_loss = b % 3 ? 0 : 20;
	faults->reply_loss = b % 5 < 3 ? 0 : 30;
	faults->late = b % 7 < 4 ? 0 : 20;
	faults->throttle = b % 11 < 8 ? 0 : 20;
	faults->max_call_delay = (b % 4) * 30 * SR_MSEC;
	faults->max_late_delay = 3 * SR_SEC;
	faults->down = b % 13 == 0;
}

typedef enum {
	OP_ADVANCE,
	OP_ADVANCE_LONG,
	OP_WRITE,
	OP_CRASH,
	OP_FREEZE,
	OP_THAW,
	OP_CUT,
	OP_HEAL,
	OP_FAULTS,
	OP_RELEASE,
	OP_WANT,
	N_OPS,
} op_t;

/* Printed in the command list of a failed run. */
static const char *const op_names[] = {
	"advance", "advance-long", "write",  "crash",	"freeze", "thaw",
	"cut",	   "heal",	   "faults", "release", "want",
};

static void *new_model(guint64 seed)
{
	model_t *model = g_new0(model_t, 1);

	model->platform = fake_platform_new(seed);
	model->seed = seed;
	model->last_owner = g_strdup("");
	model->not_done = g_hash_table_new(NULL, NULL);
	for (unsigned i = 0; i < N_NODES; i++) {
		model->nodes[i].model = model;
		model->nodes[i].index = i;
		start_node(&model->nodes[i]);
	}
	return model;
}

static char *take_violation(model_t *model)
{
	return g_steal_pointer(&model->violation);
}

static char *step(void *user_data, const prove_command_t *command)
{
	model_t *model = user_data;
	node_t *node = &model->nodes[command->a % N_NODES];

	switch ((op_t)(command->op % N_OPS)) {
	case OP_ADVANCE:
		advance(model, (command->b % 40 + 1) * TIME_STEP);
		break;
	case OP_ADVANCE_LONG:
		advance(model, (command->b % 4) * LEASE_DURATION);
		break;
	case OP_WRITE:
		write_payload(model, node);
		break;
	case OP_CRASH:
		restart(node);
		break;
	case OP_FREEZE:
		set_frozen(node, TRUE);
		break;
	case OP_THAW:
		set_frozen(node, FALSE);
		break;
	case OP_CUT:
	case OP_HEAL:
		fake_client_set_cut(node->client,
				    command->op % N_OPS == OP_CUT);
		break;
	case OP_FAULTS:
		set_faults(model, command->b);
		break;
	case OP_RELEASE:
		if (!node->frozen)
			sr_lease_release(node->lease, model->now);
		break;
	case OP_WANT:
		sr_lease_set_wanted(node->lease, TRUE);
		break;
	case N_OPS:
		break;
	}
	return take_violation(model);
}

static char *finish(void *user_data)
{
	model_t *model = user_data;
	fake_faults_t *faults = fake_platform_faults(model->platform);
	int n_held = 0;

	memset(faults, 0, sizeof(*faults));
	for (int i = 0; i < N_NODES; i++) {
		set_frozen(&model->nodes[i], FALSE);
		fake_client_set_cut(model->nodes[i].client, FALSE);
		sr_lease_set_wanted(model->nodes[i].lease, TRUE);
	}
	advance(model, 10 * LEASE_DURATION);
	for (int i = 0; i < N_NODES; i++) {
		if (!sr_lease_is_held(model->nodes[i].lease, model->now, 0))
			continue;
		n_held++;
		check_payload(model, sr_lease_payload(model->nodes[i].lease));
	}
	if (n_held != 1)
		fail(model, "not one holder after healing", (guint64)n_held, 1);
	return take_violation(model);
}

static char *describe(const prove_command_t *command)
{
	return g_strdup_printf("%s node %u, %u", op_names[command->op % N_OPS],
			       command->a % N_NODES, command->b);
}

static void free_model(void *user_data)
{
	model_t *model = user_data;

	for (int i = 0; i < N_NODES; i++)
		stop_node(&model->nodes[i]);
	fake_platform_free(model->platform);
	g_hash_table_destroy(model->not_done);
	g_free(model->last_owner);
	g_free(model->violation);
	g_free(model);
}

const prove_model_t prove_lease_model = {
	.name = "lease",
	.n_commands = N_COMMANDS,
	.new = new_model,
	.step = step,
	.finish = finish,
	.describe = describe,
	.free = free_model,
};
