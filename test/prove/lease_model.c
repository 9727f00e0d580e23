#include "prove.h"

#include <string.h>

#include "core/lease.h"
#include "fake_platform.h"

/*
 * Three nodes compete for one leased object on a faulty platform. The oracle
 * allows one holder at a time, epochs that rise with each change of the
 * holder, and a payload that is never older than the last write reported as
 * done and never one that was reported as not done.
 */

#define N_NODES 3
#define DURATION (2 * SR_SEC)
#define STEP (20 * SR_MSEC)
#define N_COMMANDS 60

typedef struct world world_t;

typedef struct {
	world_t *world;
	unsigned index;
	unsigned incarnation;
	fake_client_t *client;
	sr_lease_t *lease;
	gboolean frozen;
	guint64 writing; /* serial of the write under way; 0 for none */
} node_t;

struct world {
	fake_platform_t *platform;
	sr_usec_t now;
	guint64 seed;
	node_t nodes[N_NODES];
	guint64 last_epoch; /* of any acquisition */
	char *last_owner;
	guint64 next_serial;
	guint64 last_done;    /* serial of the last write reported as done */
	GHashTable *not_done; /* serials reported as not done */
	char *violation;
};

static void violate(world_t *world, const char *what, guint64 a, guint64 b)
{
	if (!world->violation)
		world->violation = g_strdup_printf("%s (%" G_GUINT64_FORMAT
						   ", %" G_GUINT64_FORMAT ")",
						   what, a, b);
}

static guint64 serial_of(GBytes *payload)
{
	gsize size = 0;
	const void *data = payload ? g_bytes_get_data(payload, &size) : NULL;
	guint64 serial = 0;

	if (size == sizeof(serial))
		memcpy(&serial, data, size);
	return serial;
}

static void check_payload(world_t *world, GBytes *payload)
{
	guint64 serial = serial_of(payload);

	if (serial < world->last_done)
		violate(world, "a write that was done is gone",
			world->last_done, serial);
	if (g_hash_table_contains(world->not_done, GSIZE_TO_POINTER(serial)))
		violate(world, "a write reported as not done took effect",
			serial, 0);
}

static char *owner_name(const node_t *node)
{
	return g_strdup_printf("n%u.%u", node->index, node->incarnation);
}

static void on_acquired(void *user, guint64 epoch, GBytes *payload)
{
	node_t *node = user;
	world_t *world = node->world;
	char *owner = owner_name(node);

	if (epoch < world->last_epoch)
		violate(world, "the epoch fell", world->last_epoch, epoch);
	if (epoch == world->last_epoch && strcmp(owner, world->last_owner))
		violate(world, "two owners have one epoch", epoch, node->index);
	world->last_epoch = epoch;
	g_free(world->last_owner);
	world->last_owner = owner;
	check_payload(world, payload);
}

static void on_written(void *user, sr_err_t err)
{
	node_t *node = user;
	world_t *world = node->world;

	if (err == SR_OK)
		world->last_done = MAX(world->last_done, node->writing);
	else if (err != SR_ERR_OUTCOME_UNKNOWN)
		g_hash_table_add(world->not_done,
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
		.seed = node->world->seed + node->index * 1000 +
			node->incarnation,
		.duration = DURATION,
		.acquired = on_acquired,
		.written = on_written,
		.user = node,
	};

	node->client = fake_client_new(node->world->platform);
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

static void check_holders(world_t *world)
{
	int holder = -1;

	for (int i = 0; i < N_NODES; i++) {
		if (!sr_lease_is_held(world->nodes[i].lease, world->now, 0))
			continue;
		if (holder >= 0)
			violate(world, "two nodes hold the lease",
				(guint64)holder, (guint64)i);
		holder = i;
	}
}

static void advance(world_t *world, sr_usec_t by)
{
	sr_usec_t end = world->now + by;

	while (world->now < end) {
		world->now += STEP;
		fake_platform_run(world->platform, world->now);
		check_holders(world);
		for (int i = 0; i < N_NODES; i++) {
			if (!world->nodes[i].frozen)
				sr_lease_tick(world->nodes[i].lease,
					      world->now);
		}
		check_holders(world);
	}
}

static void write_payload(world_t *world, node_t *node)
{
	guint64 serial = world->next_serial + 1;
	GBytes *payload = g_bytes_new(&serial, sizeof(serial));

	if (!node->frozen && !node->writing &&
	    sr_lease_write(node->lease, world->now, payload) == SR_OK) {
		node->writing = serial;
		world->next_serial = serial;
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

static void set_faults(world_t *world, guint16 b)
{
	fake_faults_t *faults = fake_platform_faults(world->platform);

	faults->lose_before = b % 3 ? 0 : 20;
	faults->lose_after = b % 5 < 3 ? 0 : 30;
	faults->late = b % 7 < 4 ? 0 : 20;
	faults->throttle = b % 11 < 8 ? 0 : 20;
	faults->delay = (b % 4) * 30 * SR_MSEC;
	faults->late_delay = 3 * SR_SEC;
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

static const char *const op_names[] = {
	"advance", "advance-long", "write",  "crash",	"freeze", "thaw",
	"cut",	   "heal",	   "faults", "release", "want",
};

static void *new_world(guint64 seed)
{
	world_t *world = g_new0(world_t, 1);

	world->platform = fake_platform_new(seed);
	world->seed = seed;
	world->last_owner = g_strdup("");
	world->not_done = g_hash_table_new(NULL, NULL);
	for (unsigned i = 0; i < N_NODES; i++) {
		world->nodes[i].world = world;
		world->nodes[i].index = i;
		start_node(&world->nodes[i]);
	}
	return world;
}

static char *take_violation(world_t *world)
{
	return g_steal_pointer(&world->violation);
}

static char *step(void *model, const prove_command_t *command)
{
	world_t *world = model;
	node_t *node = &world->nodes[command->a % N_NODES];

	switch ((op_t)(command->op % N_OPS)) {
	case OP_ADVANCE:
		advance(world, (command->b % 40 + 1) * STEP);
		break;
	case OP_ADVANCE_LONG:
		advance(world, (command->b % 4) * DURATION);
		break;
	case OP_WRITE:
		write_payload(world, node);
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
		set_faults(world, command->b);
		break;
	case OP_RELEASE:
		if (!node->frozen)
			sr_lease_release(node->lease, world->now);
		break;
	case OP_WANT:
		sr_lease_set_wanted(node->lease, TRUE);
		break;
	case N_OPS:
		break;
	}
	return take_violation(world);
}

static char *finish(void *model)
{
	world_t *world = model;
	fake_faults_t *faults = fake_platform_faults(world->platform);
	int n_held = 0;

	memset(faults, 0, sizeof(*faults));
	for (int i = 0; i < N_NODES; i++) {
		set_frozen(&world->nodes[i], FALSE);
		fake_client_set_cut(world->nodes[i].client, FALSE);
		sr_lease_set_wanted(world->nodes[i].lease, TRUE);
	}
	advance(world, 10 * DURATION);
	for (int i = 0; i < N_NODES; i++) {
		if (!sr_lease_is_held(world->nodes[i].lease, world->now, 0))
			continue;
		n_held++;
		check_payload(world, sr_lease_payload(world->nodes[i].lease));
	}
	if (n_held != 1)
		violate(world, "not one holder after healing", (guint64)n_held,
			1);
	return take_violation(world);
}

static char *describe(const prove_command_t *command)
{
	return g_strdup_printf("%s node %u, %u", op_names[command->op % N_OPS],
			       command->a % N_NODES, command->b);
}

static void free_world(void *model)
{
	world_t *world = model;

	for (int i = 0; i < N_NODES; i++)
		stop_node(&world->nodes[i]);
	fake_platform_free(world->platform);
	g_hash_table_destroy(world->not_done);
	g_free(world->last_owner);
	g_free(world->violation);
	g_free(world);
}

const prove_model_t prove_lease_model = {
	.name = "lease",
	.n_commands = N_COMMANDS,
	.new = new_world,
	.step = step,
	.finish = finish,
	.describe = describe,
	.free = free_world,
};
