/*
 * Operators at several nodes publish configurations in a race, while calls to
 * the platform and their replies are lost, late or refused, watches go
 * silent, peers hand out wrong bytes, nodes restart and are cut off.
 *
 * The oracle keeps what the platform accepted. No generation is skipped or
 * written twice; what is in force somewhere is what was accepted under its
 * number; numbers never fall at a node; a publication is reported as accepted
 * only if it was, and as refused only if it was not; a while after the last
 * fault every node has the latest.
 */
#include <stdio.h>
#include <string.h>

#include "core/config_sync.h"
#include "core/config_sync_object.h"
#include "prove.h"

#define DOMAINS 2
#define PER_DOMAIN 3
#define NODES (DOMAINS * PER_DOMAIN)
#define TICK (100 * SR_MSEC)
/* The brief's bound for a change at the size of the plan. */
#define IN_FORCE_LIMIT (12 * SR_SEC)
/* Publications and calls that faults left behind end within this. */
#define DRAIN (SR_PUBLISH_TIMEOUT + 2 * SR_SEC)
#define CALL_TIMEOUT SR_SEC

typedef struct model model_t;

typedef struct {
	sr_store_t store; /* first, so that it is the node */
	model_t *model;
	unsigned index;
	char name[16];
	sr_config_sync_t *sync; /* NULL while it is stopped */
	unsigned starts;
	guint64 generation;
	guint64 announced;
	guint8 digest[SR_CONFIG_DIGEST_SIZE];
	gboolean cut; /* from the platform */
} node_t;

typedef struct {
	char *text;
	gboolean reported; /* as accepted */
} accepted_t;

struct model {
	sr_clock_t *clock;
	GRand *random;
	node_t nodes[NODES];
	GPtrArray *accepted; /* of accepted_t; index + 1 is the generation */
	guint64 version;
	GBytes *value;
	GHashTable *events;  /* set of event_t that are due later */
	GHashTable *refused; /* set of texts that were reported so */
	gboolean down;
	gboolean silent; /* watches */
	gboolean split;	 /* domains from each other */
	unsigned lose;	 /* percent, each way */
	unsigned throttle;
	unsigned corrupt; /* percent of fetched values */
	unsigned delay_ms;
	GPtrArray *operators; /* of operator_t */
	char *problem;
};

/** One publication; outlives its node. */
typedef struct {
	model_t *model;
	guint64 base;
	char *text;
} operator_t;

typedef enum {
	EVENT_EFFECT,
	EVENT_REPLY,
	EVENT_TIMEOUT,
	EVENT_RUMOUR,
	EVENT_FETCHED,
} event_kind_t;

typedef struct call {
	node_t *node; /* NULL once its reply is not wanted */
	sr_store_call_t call;
	sr_store_status_t status;
	guint64 version;
	GBytes *value;
	gboolean replied;
	int references;
} call_t;

typedef struct {
	model_t *model;
	event_kind_t kind;
	call_t *call;
	node_t *node;
	unsigned starts; /* of the process that it is meant for */
	guint64 generation;
	guint8 digest[SR_CONFIG_DIGEST_SIZE];
	GBytes *value;
	sr_config_fetch_fn fetched;
	void *user;
} event_t;

static void fail(model_t *m, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void fail(model_t *m, const char *format, ...)
{
	va_list args;

	if (m->problem)
		return;
	va_start(args, format);
	m->problem = g_strdup_vprintf(format, args);
	va_end(args);
}

static gboolean happens(model_t *m, unsigned percent)
{
	return g_rand_int_range(m->random, 0, 100) < (gint32)percent;
}

static void unref_call(call_t *call)
{
	if (--call->references)
		return;
	g_clear_pointer(&call->call.value, g_bytes_unref);
	g_clear_pointer(&call->value, g_bytes_unref);
	g_free(call);
}

static void free_event(gpointer data)
{
	event_t *event = data;

	if (event->call)
		unref_call(event->call);
	g_clear_pointer(&event->value, g_bytes_unref);
	g_free(event);
}

static void on_event(void *user);

static event_t *later(model_t *m, event_kind_t kind, sr_usec_t delay)
{
	event_t *event = g_new0(event_t, 1);

	event->model = m;
	event->kind = kind;
	g_hash_table_add(m->events, event);
	sr_timer_start(m->clock, delay, on_event, event);
	return event;
}

static sr_usec_t some_delay(model_t *m)
{
	return SR_MSEC *
	       (1 + g_rand_int_range(m->random, 0, (gint32)m->delay_ms + 1));
}

static void call_later(model_t *m, call_t *call, event_kind_t kind,
		       sr_usec_t delay)
{
	call->references++;
	later(m, kind, delay)->call = call;
}

static void accept_value(model_t *m, GBytes *value)
{
	accepted_t *accepted = g_new0(accepted_t, 1);
	sr_config_object_t object;

	if (!sr_config_object_decode(value, &object))
		fail(m, "a malformed object was written");
	else if (object.generation != m->accepted->len + 1)
		fail(m, "generation %" G_GUINT64_FORMAT " follows %u",
		     object.generation, m->accepted->len);
	accepted->text = g_strndup(object.text, object.size);
	g_ptr_array_add(m->accepted, accepted);
	if (g_hash_table_contains(m->refused, accepted->text))
		fail(m, "%s was refused and then accepted", accepted->text);
	g_clear_pointer(&m->value, g_bytes_unref);
	m->value = g_bytes_ref(value);
	m->version += 3;
}

static void read_value(model_t *m, call_t *call)
{
	call->status = m->value ? SR_STORE_OK : SR_STORE_NOT_FOUND;
	call->version = m->version;
	if (m->value)
		call->value = g_bytes_ref(m->value);
}

/* A watch looks again until the version differs or its time is up. */
static gboolean watch(model_t *m, call_t *call)
{
	if (m->silent || m->version == call->call.if_version) {
		call_later(m, call, EVENT_EFFECT, TICK);
		return FALSE;
	}
	read_value(m, call);
	return TRUE;
}

static void take_effect(model_t *m, call_t *call)
{
	gboolean good;

	switch (call->call.op) {
	case SR_STORE_CREATE:
	case SR_STORE_UPDATE:
		good = call->call.op == SR_STORE_CREATE ?
			       !m->value :
			       m->value && m->version == call->call.if_version;
		if (good)
			accept_value(m, call->call.value);
		call->status = good ? SR_STORE_OK : SR_STORE_CONFLICT;
		call->version = m->version;
		break;
	case SR_STORE_WATCH:
		if (call->replied || !watch(m, call))
			return;
		break;
	default:
		read_value(m, call);
		break;
	}
	if (!happens(m, m->lose))
		call_later(m, call, EVENT_REPLY, some_delay(m));
}

static void reply(call_t *call, sr_store_status_t status)
{
	GPtrArray *list = g_ptr_array_new();
	sr_store_entry_t entry = { .key = SR_CONFIG_KEY,
				   .version = call->version };
	sr_store_reply_t store_reply = { .status = status };

	if (!call->replied && call->node) {
		call->replied = TRUE;
		if (status == SR_STORE_OK) {
			store_reply.version = call->version;
			store_reply.value = call->value;
		}
		if (call->call.op == SR_STORE_LIST) {
			if (status == SR_STORE_OK)
				g_ptr_array_add(list, &entry);
			if (status == SR_STORE_NOT_FOUND)
				store_reply.status = SR_STORE_OK;
			store_reply.list = list;
		}
		call->call.done(call->call.user, &store_reply);
	}
	g_ptr_array_unref(list);
}

static void on_event(void *user)
{
	event_t *event = user;
	model_t *m = event->model;
	node_t *node = event->node;

	switch (event->kind) {
	case EVENT_EFFECT:
		take_effect(m, event->call);
		break;
	case EVENT_REPLY:
		reply(event->call, event->call->status);
		break;
	case EVENT_TIMEOUT:
		reply(event->call, event->call->call.op == SR_STORE_WATCH ?
					   SR_STORE_NOT_MODIFIED :
					   SR_STORE_UNKNOWN);
		break;
	case EVENT_RUMOUR:
		if (node->sync)
			sr_config_sync_rumour_received(
				node->sync, event->generation, event->digest,
				sizeof(event->digest));
		break;
	case EVENT_FETCHED:
		if (node->sync && node->starts == event->starts)
			event->fetched(event->user, event->value);
		break;
	}
	g_hash_table_remove(m->events, event);
}

static void refuse(model_t *m, call_t *call)
{
	call->status = SR_STORE_NOT_DONE;
	call_later(m, call, EVENT_REPLY, SR_MSEC);
}

static void submit(sr_store_t *store, const sr_store_call_t *options)
{
	node_t *node = (node_t *)store;
	model_t *m = node->model;
	call_t *call = g_new0(call_t, 1);
	sr_usec_t limit =
		options->op == SR_STORE_WATCH ? options->timeout : CALL_TIMEOUT;

	call->node = node;
	call->call = *options;
	if (options->value)
		g_bytes_ref(options->value);
	call_later(m, call, EVENT_TIMEOUT, limit);
	if (happens(m, m->throttle))
		refuse(m, call);
	else if (!m->down && !node->cut && !happens(m, m->lose))
		call_later(m, call, EVENT_EFFECT, some_delay(m));
}

static void cancel_all(sr_store_t *store, void *user)
{
	node_t *node = (node_t *)store;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, node->model->events);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		event_t *event = key;

		if (event->call && event->call->node == node &&
		    (!user || event->call->call.user == user))
			event->call->node = NULL;
	}
}

static gboolean can_reach(const node_t *a, const node_t *b)
{
	return !a->model->split ||
	       a->index / PER_DOMAIN == b->index / PER_DOMAIN;
}

static void tell(node_t *from, node_t *to, guint64 generation,
		 const guint8 *digest)
{
	model_t *m = from->model;
	event_t *event;

	if (!can_reach(from, to) || happens(m, m->lose))
		return;
	event = later(m, EVENT_RUMOUR, some_delay(m));
	event->node = to;
	event->generation = generation;
	memcpy(event->digest, digest, sizeof(event->digest));
}

static void on_announce(void *user, guint64 generation, const guint8 *digest,
			gsize size)
{
	node_t *node = user;

	node->announced = generation;
	memcpy(node->digest, digest, sizeof(node->digest));
	for (unsigned i = 0; i < NODES; i++)
		if (i != node->index)
			tell(node, &node->model->nodes[i], generation, digest);
}

static void on_in_force(void *user, const char *text, gsize size,
			guint64 generation)
{
	node_t *node = user;
	model_t *m = node->model;
	const accepted_t *accepted;

	if (generation <= node->generation)
		fail(m, "%s fell to %" G_GUINT64_FORMAT, node->name,
		     generation);
	node->generation = generation;
	if (generation > m->accepted->len) {
		fail(m, "%s has a generation that nobody accepted", node->name);
		return;
	}
	accepted = g_ptr_array_index(m->accepted, generation - 1);
	if (strlen(accepted->text) != size ||
	    memcmp(accepted->text, text, size) != 0)
		fail(m, "%s has another text of %" G_GUINT64_FORMAT, node->name,
		     generation);
}

static GBytes *corrupted(GBytes *value)
{
	gsize size;
	guint8 *data = g_bytes_unref_to_data(value, &size);

	if (size)
		data[size / 2] ^= 0x20;
	return g_bytes_new_take(data, size);
}

static void on_fetch(void *user, const char *key, sr_config_fetch_fn done,
		     void *done_user)
{
	node_t *node = user;
	model_t *m = node->model;
	node_t *peer = &m->nodes[g_rand_int_range(m->random, 0, NODES)];
	gboolean good = peer->sync && peer != node && can_reach(node, peer) &&
			!happens(m, m->lose);
	event_t *event =
		later(m, EVENT_FETCHED, good ? some_delay(m) : SR_SEC / 2);

	event->node = node;
	event->starts = node->starts;
	event->fetched = done;
	event->user = done_user;
	if (good)
		event->value = sr_config_sync_serve(peer->sync, key);
	if (event->value && happens(m, m->corrupt))
		event->value = corrupted(event->value);
}

static void on_cancel_fetches(void *user, void *done_user)
{
}

static void set_members(node_t *node)
{
	const char *names[PER_DOMAIN];
	gsize n = 0;

	for (unsigned i = 0; i < PER_DOMAIN; i++) {
		unsigned first = node->index / PER_DOMAIN * PER_DOMAIN;
		const node_t *other = &node->model->nodes[first + i];

		if (other->sync)
			names[n++] = other->name;
	}
	sr_config_sync_set_members(node->sync, names, n);
}

static void update_members(model_t *m)
{
	for (unsigned i = 0; i < NODES; i++)
		if (m->nodes[i].sync)
			set_members(&m->nodes[i]);
}

static void stop_node(node_t *node)
{
	if (!node->sync)
		return;
	g_clear_pointer(&node->sync, sr_config_sync_free);
	cancel_all(&node->store, NULL);
	update_members(node->model);
}

static void start_node(node_t *node)
{
	model_t *m = node->model;
	sr_config_sync_options_t options = {
		.store = &node->store,
		.node = node->name,
		.seed = g_rand_int(m->random),
		.fetch = on_fetch,
		.cancel_fetches = on_cancel_fetches,
		.apply = on_in_force,
		.announce = on_announce,
		.user = node,
	};

	stop_node(node);
	node->generation = 0;
	node->announced = 0;
	node->starts++;
	node->sync = sr_config_sync_new(&options, sr_clock_now(m->clock));
	update_members(m);
}

/* Gossip's anti-entropy: a random node tells another what it has. */
static void exchange(model_t *m)
{
	node_t *a = &m->nodes[g_rand_int_range(m->random, 0, NODES)];
	node_t *b = &m->nodes[g_rand_int_range(m->random, 0, NODES)];

	if (a != b && a->sync && b->sync && a->announced)
		tell(a, b, a->announced, a->digest);
}

static void run(model_t *m, sr_usec_t time)
{
	for (; time > 0; time -= TICK) {
		sr_clock_advance(m->clock, TICK);
		exchange(m);
		for (unsigned i = 0; i < NODES; i++)
			if (m->nodes[i].sync)
				sr_config_sync_tick(m->nodes[i].sync,
						    sr_clock_now(m->clock));
	}
}

#define LINES 150

static char *new_text(model_t *m)
{
	unsigned serial = m->operators->len;
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < LINES; i++) {
		g_string_append_printf(text, "\"service%u\": { \"path\": ", i);
		if (i == serial % LINES)
			g_string_append_printf(text, "\"/%u\" }\n", serial);
		else
			g_string_append(text, "\"/same\" }\n");
	}
	return g_string_free(text, FALSE);
}

static gboolean was_accepted(const model_t *m, const char *text)
{
	for (guint i = 0; i < m->accepted->len; i++) {
		const accepted_t *one = g_ptr_array_index(m->accepted, i);

		if (!strcmp(one->text, text))
			return TRUE;
	}
	return FALSE;
}

static void on_published(void *user, const sr_publish_result_t *result)
{
	operator_t *operator= user;
	model_t *m = operator->model;
	accepted_t *accepted = NULL;

	if (result->err == SR_ERR_OUTCOME_UNKNOWN)
		return;
	if (result->err == SR_OK) {
		if (result->generation <= m->accepted->len)
			accepted = g_ptr_array_index(m->accepted,
						     result->generation - 1);
		if (!accepted || strcmp(accepted->text, operator->text) != 0)
			fail(m, "a lost change was reported as accepted");
		else if (accepted->reported)
			fail(m, "a change was reported twice");
		else
			accepted->reported = TRUE;
		return;
	}
	if (was_accepted(m, operator->text))
		fail(m, "an accepted change was reported as %s",
		     sr_err_name(result->err));
	if (result->err == SR_ERR_CONFLICT &&
	    result->generation <= operator->base)
		fail(m, "a conflict names no newer generation");
	g_hash_table_add(m->refused, operator->text);
}

static void publish(node_t *node, unsigned back)
{
	model_t *m = node->model;
	operator_t *operator= g_new0(operator_t, 1);

	operator->model = m;
	operator->text = new_text(m);
	operator->base = node->generation;
	/* An operator may hold an old copy. */
	if (back % 8 == 0 && operator->base> 0)
		operator->base--;
	g_ptr_array_add(m->operators, operator);
	sr_config_sync_publish(node->sync, operator->base, operator->text,
			       strlen(operator->text), on_published, operator);
}

/* A node that is gone since: nobody here hears of its success. */
static void ghost_write(model_t *m)
{
	operator_t *operator= g_new0(operator_t, 1);
	sr_config_object_t object = { .generation = m->accepted->len + 1,
				      .write_ids = { 1 },
				      .n_write_ids = 1 };
	GBytes *value;

	operator->text = new_text(m);
	g_ptr_array_add(m->operators, operator);
	object.text = operator->text;
	object.size = strlen(operator->text);
	value = sr_config_object_encode(&object);
	accept_value(m, value);
	g_bytes_unref(value);
}

static void free_operator(gpointer data)
{
	operator_t *operator= data;

	g_free(operator->text);
	g_free(operator);
}

static void free_accepted(gpointer data)
{
	accepted_t *accepted = data;

	g_free(accepted->text);
	g_free(accepted);
}

static void *model_new(guint64 seed)
{
	model_t *m = g_new0(model_t, 1);

	m->clock = sr_clock_new_manual(SR_SEC);
	m->random = g_rand_new_with_seed((guint32)seed);
	m->accepted = g_ptr_array_new_with_free_func(free_accepted);
	m->operators = g_ptr_array_new_with_free_func(free_operator);
	m->events = g_hash_table_new_full(NULL, NULL, free_event, NULL);
	m->refused = g_hash_table_new(g_str_hash, g_str_equal);
	m->delay_ms = 5;
	for (unsigned i = 0; i < NODES; i++) {
		node_t *node = &m->nodes[i];

		node->model = m;
		node->index = i;
		node->store.submit = submit;
		node->store.cancel_all = cancel_all;
		g_snprintf(node->name, sizeof(node->name), "node%u", i);
		start_node(node);
	}
	return m;
}

typedef enum {
	OP_WAIT,
	OP_PUBLISH,
	OP_RACE,
	OP_STOP,
	OP_RESTART,
	OP_CUT,
	OP_HEAL,
	OP_SPLIT,
	OP_JOIN,
	OP_DOWN,
	OP_UP,
	OP_SILENCE,
	OP_SPEAK,
	OP_FAULTS,
	OP_GHOST,
	N_OPS,
} op_t;

static const char *const op_names[] = {
	"wait", "publish", "race",  "stop",   "restart",
	"cut",	"heal",	   "split", "join",   "down",
	"up",	"silence", "speak", "faults", "ghost",
};

static void set_faults(model_t *m, const prove_command_t *command)
{
	m->lose = command->a % 40;
	m->throttle = command->b % 20;
	m->corrupt = command->b / 20 % 4 * 33;
	m->delay_ms = command->b / 800 * 15;
}

static char *model_step(void *model, const prove_command_t *command)
{
	model_t *m = model;
	node_t *node = &m->nodes[command->a % NODES];
	node_t *other = &m->nodes[command->b % NODES];

	switch ((op_t)(command->op % N_OPS)) {
	case OP_WAIT:
		run(m, (1 + command->b % 200) * TICK);
		break;
	case OP_RACE:
		if (other->sync)
			publish(other, command->b);
		/* fall through */
	case OP_PUBLISH:
		if (node->sync)
			publish(node, command->b / NODES);
		break;
	case OP_STOP:
		stop_node(node);
		break;
	case OP_RESTART:
		start_node(node);
		break;
	case OP_CUT:
	case OP_HEAL:
		node->cut = command->op % N_OPS == OP_CUT;
		break;
	case OP_SPLIT:
	case OP_JOIN:
		m->split = command->op % N_OPS == OP_SPLIT;
		break;
	case OP_DOWN:
	case OP_UP:
		m->down = command->op % N_OPS == OP_DOWN;
		break;
	case OP_SILENCE:
	case OP_SPEAK:
		m->silent = command->op % N_OPS == OP_SILENCE;
		break;
	case OP_FAULTS:
		set_faults(m, command);
		break;
	case OP_GHOST:
		ghost_write(m);
		break;
	case N_OPS:
		break;
	}
	run(m, TICK);
	return g_steal_pointer(&m->problem);
}

static void heal(model_t *m)
{
	m->down = FALSE;
	m->split = FALSE;
	m->lose = 0;
	m->throttle = 0;
	m->corrupt = 0;
	m->delay_ms = 5;
	for (unsigned i = 0; i < NODES; i++) {
		m->nodes[i].cut = FALSE;
		if (!m->nodes[i].sync)
			start_node(&m->nodes[i]);
	}
}

static void check_latest(model_t *m)
{
	for (unsigned i = 0; i < NODES; i++)
		if (m->nodes[i].generation != m->accepted->len)
			fail(m, "node%u has %" G_GUINT64_FORMAT " of %u", i,
			     m->nodes[i].generation, m->accepted->len);
}

/* Within the bound although watches or fetches from peers do not work. */
static char *model_finish(void *model)
{
	model_t *m = model;
	guint before;

	heal(m);
	run(m, DRAIN);
	check_latest(m);
	before = m->accepted->len;
	publish(&m->nodes[0], 1);
	run(m, IN_FORCE_LIMIT);
	if (m->accepted->len != before + 1)
		fail(m, "a change without a fault was not accepted");
	check_latest(m);
	m->silent = happens(m, 50);
	m->corrupt = happens(m, 50) ? 100 : 0;
	ghost_write(m);
	run(m, IN_FORCE_LIMIT);
	check_latest(m);
	return g_steal_pointer(&m->problem);
}

static char *model_describe(const prove_command_t *command)
{
	return g_strdup_printf("%s node%u %u", op_names[command->op % N_OPS],
			       command->a % NODES, command->b);
}

static void model_free(void *model)
{
	model_t *m = model;

	for (unsigned i = 0; i < NODES; i++)
		stop_node(&m->nodes[i]);
	sr_clock_free(m->clock);
	g_hash_table_unref(m->events);
	g_hash_table_unref(m->refused);
	g_ptr_array_unref(m->operators);
	g_ptr_array_unref(m->accepted);
	g_clear_pointer(&m->value, g_bytes_unref);
	g_rand_free(m->random);
	g_free(m->problem);
	g_free(m);
}

const prove_model_t prove_config_model = {
	.name = "config",
	.n_commands = 40,
	.new = model_new,
	.step = model_step,
	.finish = model_finish,
	.describe = model_describe,
	.free = model_free,
};
