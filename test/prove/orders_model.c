#include "prove.h"

#include <string.h>

#include "core/orders.h"
#include "fake_platform.h"

/*
 * Two nodes give orders to three engines, of which one checks fencing
 * numbers. The oracle: what an engine loads never goes back to an older
 * generation (for engines that ignore fencing numbers, as long as no order
 * was on its way for longer than SR_ORDERS_DELAY_MAX), and after healing every
 * engine has what the newest configuration names.
 */

#define N_NODES 2
#define N_ENGINES 3
#define LEASE (5 * SR_SEC)
#define STEP (50 * SR_MSEC)
#define N_COMMANDS 60

typedef struct {
	guint64 fence;
	guint64 generation;
	gboolean checks_fencing;
} engine_t;

typedef struct world world_t;

typedef struct {
	world_t *world;
	unsigned index;
	unsigned incarnation;
	guint64 generation; /* of its configuration */
	fake_client_t *client;
	sr_orders_t *orders;
	gboolean frozen;
} node_t;

/* A call to an engine: request under way, then answer under way. */
typedef struct {
	sr_usec_t due;
	node_t *node;
	unsigned incarnation;
	unsigned engine;
	gboolean is_order;
	gboolean answered;
	guint64 fence;
	guint64 generation; /* ordered, or read */
} flight_t;

struct world {
	fake_platform_t *platform;
	sr_usec_t now;
	guint64 seed;
	GRand *random;
	node_t nodes[N_NODES];
	engine_t engines[N_ENGINES];
	GPtrArray *flights;
	guint64 newest;
	unsigned extra_delay; /* percent of orders that are overdue */
	gboolean overdue_orders;
	char *violation;
};

static sr_config_t *make_config(guint64 generation)
{
	GString *text = g_string_new(NULL);
	GPtrArray *findings = sr_findings_new();
	sr_config_t *config;

	g_string_printf(text,
			"{\"services\": [{\"name\": \"m\", \"kind\": "
			"\"model\", \"path\": \"/m\", \"routes\": [{\"name\": "
			"\"r\", \"path\": \"/m\"}], \"versions\": [{\"name\": "
			"\"%" G_GUINT64_FORMAT "\", \"share\": 1}]}], "
			"\"upstreams\": [",
			generation);
	for (int i = 0; i < N_ENGINES; i++)
		g_string_append_printf(
			text,
			"%s{\"name\": \"e%d\", \"service\": \"m\", "
			"\"version\": \"%" G_GUINT64_FORMAT "\", "
			"\"failure_domain\": \"d\", \"address\": "
			"\"127.0.0.1:1\", \"checks_fencing\": %s}",
			i ? ", " : "", i, generation, i ? "false" : "true");
	g_string_append(text, "]}");
	config = sr_config_parse(text->str, text->len, generation, findings);
	g_assert(config);
	g_ptr_array_unref(findings);
	g_string_free(text, TRUE);
	return config;
}

static sr_usec_t draw_delay(world_t *world, gboolean is_order)
{
	sr_usec_t most = SR_ORDERS_DELAY_MAX - STEP;
	gboolean is_slow = g_rand_boolean(world->random);
	sr_usec_t delay = g_rand_int_range(world->random, 0,
					   (gint32)(is_slow ? most : 2 * STEP));

	if (is_order &&
	    g_rand_int_range(world->random, 0, 100) < (int)world->extra_delay) {
		delay += 4 * LEASE;
		world->overdue_orders = TRUE;
	}
	return delay;
}

static void launch(node_t *node, const sr_upstream_config_t *upstream,
		   gboolean is_order, guint64 fence, guint64 generation)
{
	flight_t *flight = g_new0(flight_t, 1);

	flight->due = node->world->now + draw_delay(node->world, is_order);
	flight->node = node;
	flight->incarnation = node->incarnation;
	flight->engine = (unsigned)(upstream->name[1] - '0');
	flight->is_order = is_order;
	flight->fence = fence;
	flight->generation = generation;
	g_ptr_array_add(node->world->flights, flight);
}

static void on_read(void *user, const sr_upstream_config_t *upstream)
{
	launch(user, upstream, FALSE, 0, 0);
}

static void on_send(void *user, const sr_upstream_config_t *upstream,
		    guint64 fence, const char *version)
{
	launch(user, upstream, TRUE, fence,
	       g_ascii_strtoull(version, NULL, 10));
}

static void apply_order(world_t *world, const flight_t *flight)
{
	engine_t *engine = &world->engines[flight->engine];

	if (engine->checks_fencing && flight->fence < engine->fence)
		return;
	if (flight->generation < engine->generation &&
	    (engine->checks_fencing || !world->overdue_orders) &&
	    !world->violation)
		world->violation = g_strdup_printf(
			"engine %u went back from %" G_GUINT64_FORMAT
			" to %" G_GUINT64_FORMAT,
			flight->engine, engine->generation, flight->generation);
	engine->fence = flight->fence;
	engine->generation = flight->generation;
}

static void give_answer(world_t *world, const flight_t *flight)
{
	node_t *node = flight->node;
	char name[] = { 'e', (char)('0' + flight->engine), '\0' };
	char *version;

	if (node->incarnation != flight->incarnation)
		return;
	if (flight->is_order) {
		sr_orders_report_done(node->orders, world->now, name,
				      flight->fence);
		return;
	}
	version = g_strdup_printf("%" G_GUINT64_FORMAT, flight->generation);
	sr_orders_report_state(node->orders, world->now, name, version);
	g_free(version);
}

/* Returns TRUE if the flight is over. */
static gboolean run_flight(world_t *world, flight_t *flight)
{
	if (flight->due > world->now)
		return FALSE;
	if (flight->answered) {
		if (flight->node->frozen)
			return FALSE;
		give_answer(world, flight);
		return TRUE;
	}
	if (flight->is_order)
		apply_order(world, flight);
	else
		flight->generation = world->engines[flight->engine].generation;
	flight->answered = TRUE;
	flight->due = world->now + draw_delay(world, FALSE);
	return FALSE;
}

static void run_flights(world_t *world)
{
	for (guint i = 0; i < world->flights->len;) {
		if (run_flight(world, g_ptr_array_index(world->flights, i)))
			g_ptr_array_remove_index(world->flights, i);
		else
			i++;
	}
}

static void set_generation(node_t *node, guint64 generation)
{
	sr_config_t *config = make_config(generation);

	node->generation = generation;
	sr_orders_set_config(node->orders, config);
	sr_config_unref(config);
}

static void start_node(node_t *node)
{
	char *owner = g_strdup_printf("n%u.%u", node->index, node->incarnation);
	sr_orders_options_t options = {
		.key = "orders/m",
		.owner = owner,
		.seed = node->world->seed * 31 + node->index * 1000 +
			node->incarnation,
		.lease = LEASE,
		.read = on_read,
		.send = on_send,
		.user = node,
	};

	node->client = fake_client_new(node->world->platform);
	options.store = fake_client_store(node->client);
	node->orders = sr_orders_new(&options);
	node->frozen = FALSE;
	sr_orders_set_wanted(node->orders, TRUE);
	set_generation(node, node->generation);
	g_free(owner);
}

static void stop_node(node_t *node)
{
	sr_orders_free(node->orders);
	fake_client_free(node->client);
}

static void advance(world_t *world, sr_usec_t by)
{
	sr_usec_t end = world->now + by;

	while (world->now < end) {
		world->now += STEP;
		fake_platform_run(world->platform, world->now);
		run_flights(world);
		for (int i = 0; i < N_NODES; i++) {
			if (!world->nodes[i].frozen)
				sr_orders_tick(world->nodes[i].orders,
					       world->now);
		}
	}
}

static void set_frozen(node_t *node, gboolean frozen)
{
	node->frozen = frozen;
	fake_client_set_frozen(node->client, frozen);
}

typedef enum {
	OP_ADVANCE,
	OP_ADVANCE_LONG,
	OP_NEW_GENERATION,
	OP_LEARN,
	OP_CRASH,
	OP_FREEZE,
	OP_THAW,
	OP_CUT,
	OP_HEAL,
	OP_FAULTS,
	OP_OVERDUE,
	OP_RELEASE,
	OP_WANT,
	N_OPS,
} op_t;

static const char *const op_names[] = {
	"advance", "advance-long", "new-generation", "learn",
	"crash",   "freeze",	   "thaw",	     "cut",
	"heal",	   "faults",	   "overdue",	     "release",
	"want",
};

static void set_faults(world_t *world, guint16 b)
{
	fake_faults_t *faults = fake_platform_faults(world->platform);

	faults->lose_after = b % 5 < 3 ? 0 : 30;
	faults->late = b % 7 < 4 ? 0 : 20;
	faults->delay = (b % 4) * 50 * SR_MSEC;
	faults->late_delay = 8 * SR_SEC;
	faults->down = b % 13 == 0;
}

static void *new_world(guint64 seed)
{
	world_t *world = g_new0(world_t, 1);

	world->platform = fake_platform_new(seed);
	world->seed = seed;
	world->random = g_rand_new_with_seed((guint32)seed);
	world->flights = g_ptr_array_new_with_free_func(g_free);
	world->newest = 1;
	world->engines[0].checks_fencing = TRUE;
	for (unsigned i = 0; i < N_NODES; i++) {
		world->nodes[i].world = world;
		world->nodes[i].index = i;
		world->nodes[i].generation = 1;
		start_node(&world->nodes[i]);
	}
	return world;
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
		advance(world, (command->b % 4) * LEASE);
		break;
	case OP_NEW_GENERATION:
		set_generation(node, ++world->newest);
		break;
	case OP_LEARN:
		set_generation(node, world->newest);
		break;
	case OP_CRASH:
		stop_node(node);
		node->incarnation++;
		start_node(node);
		break;
	case OP_FREEZE:
	case OP_THAW:
		set_frozen(node, command->op % N_OPS == OP_FREEZE);
		break;
	case OP_CUT:
	case OP_HEAL:
		fake_client_set_cut(node->client,
				    command->op % N_OPS == OP_CUT);
		break;
	case OP_FAULTS:
		set_faults(world, command->b);
		break;
	case OP_OVERDUE:
		world->extra_delay = command->b % 4 ? 0 : 20;
		break;
	case OP_RELEASE:
		if (!node->frozen)
			sr_orders_release(node->orders, world->now);
		break;
	case OP_WANT:
		sr_orders_set_wanted(node->orders, TRUE);
		break;
	case N_OPS:
		break;
	}
	return g_steal_pointer(&world->violation);
}

static char *finish(void *model)
{
	world_t *world = model;

	memset(fake_platform_faults(world->platform), 0, sizeof(fake_faults_t));
	world->extra_delay = 0;
	for (int i = 0; i < N_NODES; i++) {
		set_frozen(&world->nodes[i], FALSE);
		fake_client_set_cut(world->nodes[i].client, FALSE);
		set_generation(&world->nodes[i], world->newest);
		sr_orders_set_wanted(world->nodes[i].orders, TRUE);
	}
	advance(world, 16 * LEASE);
	for (int i = 0; i < N_ENGINES && !world->violation; i++) {
		if (world->engines[i].generation != world->newest)
			world->violation = g_strdup_printf(
				"engine %d has %" G_GUINT64_FORMAT
				" after healing, not %" G_GUINT64_FORMAT,
				i, world->engines[i].generation, world->newest);
	}
	return g_steal_pointer(&world->violation);
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
	g_ptr_array_unref(world->flights);
	g_rand_free(world->random);
	g_free(world->violation);
	g_free(world);
}

const prove_model_t prove_orders_model = {
	.name = "orders",
	.n_commands = N_COMMANDS,
	.new = new_world,
	.step = step,
	.finish = finish,
	.describe = describe,
	.free = free_world,
};
