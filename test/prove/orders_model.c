#include "prove.h"

#include <string.h>

#include "core/orders.h"
#include "fake_platform.h"

/*
 * Two nodes send orders to three engines; one of them checks fencing tokens.
 * The oracle checks that an engine never goes back to an older generation and
 * that after healing every engine has the version of the newest configuration.
 * The first check is off for engines that ignore fencing tokens once an order
 * was delayed for longer than SR_ORDERS_DELAY_MAX.
 */

#define N_NODES 2
#define N_ENGINES 3
#define LEASE_DURATION (5 * SR_SEC)
#define TIME_STEP (50 * SR_MSEC)
#define N_COMMANDS 60

typedef struct {
	guint64 fence; /* token of the last order */
	guint64 generation;
	gboolean checks_fencing;
} engine_t;

typedef struct model model_t;

typedef struct {
	model_t *model;
	unsigned index;
	unsigned incarnation;
	guint64 generation; /* of the node's configuration */
	fake_client_t *client;
	sr_orders_t *orders;
	gboolean frozen;
} node_t;

/* A call to an engine: first its request in transit, then its answer. */
typedef struct {
	sr_usec_t due; /* arrival of the request or the answer */
	node_t *node;
	unsigned incarnation;
	unsigned engine;
	gboolean is_order;
	gboolean answered; /* the answer is in transit */
	guint64 fence;
	guint64 generation; /* sent in the order, or read from the engine */
} engine_call_t;

struct model {
	fake_platform_t *platform;
	sr_usec_t now;
	guint64 seed;
	GRand *random;
	node_t nodes[N_NODES];
	engine_t engines[N_ENGINES];
	GPtrArray *calls;
	guint64 newest_generation;
	unsigned overdue_percent;    /* of orders, late by 4 leases */
	gboolean had_overdue_orders; /* in this run */
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

static sr_usec_t random_delay(model_t *model, gboolean is_order)
{
	sr_usec_t limit = SR_ORDERS_DELAY_MAX - TIME_STEP;
	gboolean is_slow = g_rand_boolean(model->random);
	sr_usec_t delay = g_rand_int_range(
		model->random, 0, (gint32)(is_slow ? limit : 2 * TIME_STEP));

	if (is_order && g_rand_int_range(model->random, 0, 100) <
				(int)model->overdue_percent) {
		delay += 4 * LEASE_DURATION;
		model->had_overdue_orders = TRUE;
	}
	return delay;
}

static void start_call(node_t *node, const sr_upstream_config_t *upstream,
		       gboolean is_order, guint64 fence, guint64 generation)
{
	engine_call_t *call = g_new0(engine_call_t, 1);

	call->due = node->model->now + random_delay(node->model, is_order);
	call->node = node;
	call->incarnation = node->incarnation;
	call->engine = (unsigned)(upstream->name[1] - '0');
	call->is_order = is_order;
	call->fence = fence;
	call->generation = generation;
	g_ptr_array_add(node->model->calls, call);
}

static void on_read(void *user, const sr_upstream_config_t *upstream)
{
	start_call(user, upstream, FALSE, 0, 0);
}

static void on_send(void *user, const sr_upstream_config_t *upstream,
		    guint64 fence, const char *version)
{
	start_call(user, upstream, TRUE, fence,
		   g_ascii_strtoull(version, NULL, 10));
}

static void apply_order(model_t *model, const engine_call_t *call)
{
	engine_t *engine = &model->engines[call->engine];

	if (engine->checks_fencing && call->fence < engine->fence)
		return;
	if (call->generation < engine->generation &&
	    (engine->checks_fencing || !model->had_overdue_orders) &&
	    !model->violation)
		model->violation = g_strdup_printf(
			"engine %u went back from %" G_GUINT64_FORMAT
			" to %" G_GUINT64_FORMAT,
			call->engine, engine->generation, call->generation);
	engine->fence = call->fence;
	engine->generation = call->generation;
}

static void deliver_answer(model_t *model, const engine_call_t *call)
{
	node_t *node = call->node;
	char name[] = { 'e', (char)('0' + call->engine), '\0' };
	char *version;

	if (node->incarnation != call->incarnation)
		return;
	if (call->is_order) {
		sr_orders_report_done(node->orders, model->now, name,
				      call->fence);
		return;
	}
	version = g_strdup_printf("%" G_GUINT64_FORMAT, call->generation);
	sr_orders_report_state(node->orders, model->now, name, version);
	g_free(version);
}

/* Returns TRUE if the call has ended. */
static gboolean run_call(model_t *model, engine_call_t *call)
{
	if (call->due > model->now)
		return FALSE;
	if (call->answered) {
		if (call->node->frozen)
			return FALSE;
		deliver_answer(model, call);
		return TRUE;
	}
	if (call->is_order)
		apply_order(model, call);
	else
		call->generation = model->engines[call->engine].generation;
	call->answered = TRUE;
	call->due = model->now + random_delay(model, FALSE);
	return FALSE;
}

static void run_calls(model_t *model)
{
	for (guint i = 0; i < model->calls->len;) {
		if (run_call(model, g_ptr_array_index(model->calls, i)))
			g_ptr_array_remove_index(model->calls, i);
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
		.seed = node->model->seed * 31 + node->index * 1000 +
			node->incarnation,
		.lease = LEASE_DURATION,
		.read = on_read,
		.send = on_send,
		.user = node,
	};

	node->client = fake_client_new(node->model->platform);
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

static void advance(model_t *model, sr_usec_t by)
{
	sr_usec_t end = model->now + by;

	while (model->now < end) {
		model->now += TIME_STEP;
		fake_platform_run(model->platform, model->now);
		run_calls(model);
		for (int i = 0; i < N_NODES; i++) {
			if (!model->nodes[i].frozen)
				sr_orders_tick(model->nodes[i].orders,
					       model->now);
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
	OP_LEARN, /* a node loads the newest generation */
	OP_CRASH,
	OP_FREEZE,
	OP_THAW,
	OP_CUT,
	OP_HEAL,
	OP_FAULTS,
	OP_OVERDUE, /* set overdue_percent */
	OP_RELEASE,
	OP_WANT,
	N_OPS,
} op_t;

/* Printed in the command list of a failed run. */
static const char *const op_names[] = {
	"advance", "advance-long", "new-generation", "learn",
	"crash",   "freeze",	   "thaw",	     "cut",
	"heal",	   "faults",	   "overdue",	     "release",
	"want",
};

static void set_faults(model_t *model, guint16 b)
{
	fake_faults_t *faults = fake_platform_faults(model->platform);

	faults->reply_loss = b % 5 < 3 ? 0 : 30;
	faults->late = b % 7 < 4 ? 0 : 20;
	faults->max_call_delay = (b % 4) * 50 * SR_MSEC;
	faults->max_late_delay = 8 * SR_SEC;
	faults->down = b % 13 == 0;
}

static void *new_model(guint64 seed)
{
	model_t *model = g_new0(model_t, 1);

	model->platform = fake_platform_new(seed);
	model->seed = seed;
	model->random = g_rand_new_with_seed((guint32)seed);
	model->calls = g_ptr_array_new_with_free_func(g_free);
	model->newest_generation = 1;
	model->engines[0].checks_fencing = TRUE;
	for (unsigned i = 0; i < N_NODES; i++) {
		model->nodes[i].model = model;
		model->nodes[i].index = i;
		model->nodes[i].generation = 1;
		start_node(&model->nodes[i]);
	}
	return model;
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
	case OP_NEW_GENERATION:
		set_generation(node, ++model->newest_generation);
		break;
	case OP_LEARN:
		set_generation(node, model->newest_generation);
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
		set_faults(model, command->b);
		break;
	case OP_OVERDUE:
		model->overdue_percent = command->b % 4 ? 0 : 20;
		break;
	case OP_RELEASE:
		if (!node->frozen)
			sr_orders_release(node->orders, model->now);
		break;
	case OP_WANT:
		sr_orders_set_wanted(node->orders, TRUE);
		break;
	case N_OPS:
		break;
	}
	return g_steal_pointer(&model->violation);
}

static char *finish(void *user_data)
{
	model_t *model = user_data;

	memset(fake_platform_faults(model->platform), 0, sizeof(fake_faults_t));
	model->overdue_percent = 0;
	for (int i = 0; i < N_NODES; i++) {
		set_frozen(&model->nodes[i], FALSE);
		fake_client_set_cut(model->nodes[i].client, FALSE);
		set_generation(&model->nodes[i], model->newest_generation);
		sr_orders_set_wanted(model->nodes[i].orders, TRUE);
	}
	advance(model, 16 * LEASE_DURATION);
	for (int i = 0; i < N_ENGINES && !model->violation; i++) {
		if (model->engines[i].generation != model->newest_generation)
			model->violation = g_strdup_printf(
				"engine %d has %" G_GUINT64_FORMAT
				" after healing, not %" G_GUINT64_FORMAT,
				i, model->engines[i].generation,
				model->newest_generation);
	}
	return g_steal_pointer(&model->violation);
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
	g_ptr_array_unref(model->calls);
	g_rand_free(model->random);
	g_free(model->violation);
	g_free(model);
}

const prove_model_t prove_orders_model = {
	.name = "orders",
	.n_commands = N_COMMANDS,
	.new = new_model,
	.step = step,
	.finish = finish,
	.describe = describe,
	.free = free_model,
};
