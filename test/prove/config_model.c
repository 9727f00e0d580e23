/*
 * Several nodes publish configurations concurrently, while platform calls and
 * replies are lost, delayed or throttled, watches report nothing, peers serve
 * corrupt values, and nodes restart or are cut off.
 *
 * The oracle records what the platform accepted and checks that
 * - no generation is skipped or written twice;
 * - a generation in force at a node has the text that was accepted for it;
 * - the generation in force at a node increases with each change;
 * - a publication is reported as accepted only if it was, and as refused only
 *   if it was not;
 * - every node has the latest generation some time after the last fault.
 */
#include <stdio.h>
#include <string.h>

#include "core/config_sync.h"
#include "core/config_sync_object.h"
#include "prove.h"

#define N_DOMAINS 2
#define NODES_PER_DOMAIN 3
#define N_NODES (N_DOMAINS * NODES_PER_DOMAIN)
#define TICK (100 * SR_MSEC)
/*
 * Required upper bound for a change to be in force everywhere, at the planned
 * cluster size.
 */
#define IN_FORCE_LIMIT (12 * SR_SEC)
/* Time for publications and calls that faults left open to end. */
#define DRAIN_TIME (SR_PUBLISH_TIMEOUT + 2 * SR_SEC)
#define CALL_TIMEOUT SR_SEC /* of all calls but watches */

typedef struct model model_t;

typedef struct {
	sr_store_t store; /* first member: cast to node_t in callbacks */
	model_t *model;
	unsigned index;
	char name[16];
	sr_config_sync_t *sync; /* NULL while the node is stopped */
	unsigned incarnation;
	guint64 generation;		      /* in force; 0 for none */
	guint64 announced;		      /* generation; 0 for none */
	guint8 digest[SR_CONFIG_DIGEST_SIZE]; /* announced */
	gboolean cut_off;		      /* from the platform */
} node_t;

typedef struct {
	char *text;
	gboolean reported; /* to the operator, as accepted */
} accepted_t;

struct model {
	sr_clock_t *clock;
	GRand *random;
	node_t nodes[N_NODES];
	GPtrArray *accepted; /* of accepted_t; index + 1 is the generation */
	guint64 version;     /* of the platform's object */
	GBytes *value;	     /* of the object; NULL if there is none */
	GHashTable *events;  /* set of pending event_t */
	GHashTable *refused; /* set of texts reported as refused */
	gboolean platform_down;
	gboolean watches_silent;   /* no watch reports a change */
	gboolean domains_split;	   /* no traffic between failure domains */
	unsigned loss_percent;	   /* of calls, replies and messages */
	unsigned throttle_percent; /* of calls */
	unsigned corrupt_percent;  /* of fetched values */
	unsigned delay_ms;	   /* longest delay; 1 ms is added */
	GPtrArray *publications;   /* of publication_t */
	char *violation;
};

/* One call of sr_config_sync_publish(); may outlive its node. */
typedef struct {
	model_t *model;
	guint64 base; /* generation that the text was based on */
	char *text;
} publication_t;

typedef enum {
	EVENT_EFFECT,  /* a call reaches the platform */
	EVENT_REPLY,   /* its reply reaches the node */
	EVENT_TIMEOUT, /* it ends unless replied before */
	EVENT_RUMOUR,  /* an announcement reaches a node */
	EVENT_FETCHED, /* a fetch from a peer ends */
} event_kind_t;

typedef struct call {
	node_t *node; /* NULL once cancelled */
	sr_store_call_t call;
	sr_store_status_t status;
	guint64 version;
	GBytes *value;
	gboolean replied;
	int references; /* by events */
} call_t;

typedef struct {
	model_t *model;
	event_kind_t kind;
	call_t *call;
	node_t *node;
	unsigned incarnation; /* of node; see EVENT_FETCHED */
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

	if (m->violation)
		return;
	va_start(args, format);
	m->violation = g_strdup_vprintf(format, args);
	va_end(args);
}

static gboolean chance(model_t *m, unsigned percent)
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

static event_t *schedule(model_t *m, event_kind_t kind, sr_usec_t delay)
{
	event_t *event = g_new0(event_t, 1);

	event->model = m;
	event->kind = kind;
	g_hash_table_add(m->events, event);
	sr_timer_start(m->clock, delay, on_event, event);
	return event;
}

static sr_usec_t random_delay(model_t *m)
{
	return SR_MSEC *
	       (1 + g_rand_int_range(m->random, 0, (gint32)m->delay_ms + 1));
}

static void schedule_call(model_t *m, call_t *call, event_kind_t kind,
			  sr_usec_t delay)
{
	call->references++;
	schedule(m, kind, delay)->call = call;
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

/* Returns FALSE and polls again after TICK if there is no change. */
static gboolean check_watch(model_t *m, call_t *call)
{
	if (m->watches_silent || m->version == call->call.if_version) {
		schedule_call(m, call, EVENT_EFFECT, TICK);
		return FALSE;
	}
	read_value(m, call);
	return TRUE;
}

static void apply_call(model_t *m, call_t *call)
{
	gboolean condition_met;

	switch (call->call.op) {
	case SR_STORE_CREATE:
	case SR_STORE_UPDATE:
		condition_met =
			call->call.op == SR_STORE_CREATE ?
				!m->value :
				m->value && m->version == call->call.if_version;
		if (condition_met)
			accept_value(m, call->call.value);
		call->status = condition_met ? SR_STORE_OK : SR_STORE_CONFLICT;
		call->version = m->version;
		break;
	case SR_STORE_WATCH:
		if (call->replied || !check_watch(m, call))
			return;
		break;
	default:
		read_value(m, call);
		break;
	}
	if (!chance(m, m->loss_percent))
		schedule_call(m, call, EVENT_REPLY, random_delay(m));
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
		apply_call(m, event->call);
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
		if (node->sync && node->incarnation == event->incarnation)
			event->fetched(event->user, event->value);
		break;
	}
	g_hash_table_remove(m->events, event);
}

static void refuse(model_t *m, call_t *call)
{
	call->status = SR_STORE_NOT_DONE;
	schedule_call(m, call, EVENT_REPLY, SR_MSEC);
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
	schedule_call(m, call, EVENT_TIMEOUT, limit);
	if (chance(m, m->throttle_percent))
		refuse(m, call);
	else if (!m->platform_down && !node->cut_off &&
		 !chance(m, m->loss_percent))
		schedule_call(m, call, EVENT_EFFECT, random_delay(m));
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
	return !a->model->domains_split ||
	       a->index / NODES_PER_DOMAIN == b->index / NODES_PER_DOMAIN;
}

static void send_rumour(node_t *from, node_t *to, guint64 generation,
			const guint8 *digest)
{
	model_t *m = from->model;
	event_t *event;

	if (!can_reach(from, to) || chance(m, m->loss_percent))
		return;
	event = schedule(m, EVENT_RUMOUR, random_delay(m));
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
	for (unsigned i = 0; i < N_NODES; i++)
		if (i != node->index)
			send_rumour(node, &node->model->nodes[i], generation,
				    digest);
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

/* Takes the value and returns it with one bit flipped. */
static GBytes *corrupt_value(GBytes *value)
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
	node_t *peer = &m->nodes[g_rand_int_range(m->random, 0, N_NODES)];
	gboolean reachable = peer->sync && peer != node &&
			     can_reach(node, peer) &&
			     !chance(m, m->loss_percent);
	event_t *event = schedule(m, EVENT_FETCHED,
				  reachable ? random_delay(m) : SR_SEC / 2);

	event->node = node;
	event->incarnation = node->incarnation;
	event->fetched = done;
	event->user = done_user;
	if (reachable)
		event->value = sr_config_sync_serve(peer->sync, key);
	if (event->value && chance(m, m->corrupt_percent))
		event->value = corrupt_value(event->value);
}

/* on_event() drops the replies to an earlier incarnation. */
static void on_cancel_fetches(void *user, void *done_user)
{
}

static void set_members(node_t *node)
{
	const char *names[NODES_PER_DOMAIN];
	gsize n = 0;

	for (unsigned i = 0; i < NODES_PER_DOMAIN; i++) {
		unsigned first =
			node->index / NODES_PER_DOMAIN * NODES_PER_DOMAIN;
		const node_t *other = &node->model->nodes[first + i];

		if (other->sync)
			names[n++] = other->name;
	}
	sr_config_sync_set_members(node->sync, names, n);
}

static void update_members(model_t *m)
{
	for (unsigned i = 0; i < N_NODES; i++)
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
	node->incarnation++;
	node->sync = sr_config_sync_new(&options, sr_clock_now(m->clock));
	update_members(m);
}

/* Anti-entropy: a random node sends its generation to another one. */
static void exchange_rumour(model_t *m)
{
	node_t *a = &m->nodes[g_rand_int_range(m->random, 0, N_NODES)];
	node_t *b = &m->nodes[g_rand_int_range(m->random, 0, N_NODES)];

	if (a != b && a->sync && b->sync && a->announced)
		send_rumour(a, b, a->announced, a->digest);
}

static void advance(model_t *m, sr_usec_t time)
{
	for (; time > 0; time -= TICK) {
		sr_clock_advance(m->clock, TICK);
		exchange_rumour(m);
		for (unsigned i = 0; i < N_NODES; i++)
			if (m->nodes[i].sync)
				sr_config_sync_tick(m->nodes[i].sync,
						    sr_clock_now(m->clock));
	}
}

#define TEXT_LINES 150 /* of a configuration */

/* Returns a unique text that differs from the previous one in two lines. */
static char *new_text(model_t *m)
{
	unsigned serial = m->publications->len;
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < TEXT_LINES; i++) {
		g_string_append_printf(text, "\"service%u\": { \"path\": ", i);
		if (i == serial % TEXT_LINES)
			g_string_append_printf(text, "\"/%u\" }\n", serial);
		else
			g_string_append(text, "\"/same\" }\n");
	}
	return g_string_free(text, FALSE);
}

static gboolean was_accepted(const model_t *m, const char *text)
{
	for (guint i = 0; i < m->accepted->len; i++) {
		const accepted_t *accepted = g_ptr_array_index(m->accepted, i);

		if (!strcmp(accepted->text, text))
			return TRUE;
	}
	return FALSE;
}

static void on_published(void *user, const sr_publish_result_t *result)
{
	publication_t *publication = user;
	model_t *m = publication->model;
	accepted_t *accepted = NULL;

	if (result->err == SR_ERR_OUTCOME_UNKNOWN)
		return;
	if (result->err == SR_OK) {
		if (result->generation <= m->accepted->len)
			accepted = g_ptr_array_index(m->accepted,
						     result->generation - 1);
		if (!accepted || strcmp(accepted->text, publication->text) != 0)
			fail(m, "a lost change was reported as accepted");
		else if (accepted->reported)
			fail(m, "a change was reported twice");
		else
			accepted->reported = TRUE;
		return;
	}
	if (was_accepted(m, publication->text))
		fail(m, "an accepted change was reported as %s",
		     sr_err_name(result->err));
	if (result->err == SR_ERR_CONFLICT &&
	    result->generation <= publication->base)
		fail(m, "a conflict names no newer generation");
	g_hash_table_add(m->refused, publication->text);
}

static void publish(node_t *node, unsigned random)
{
	model_t *m = node->model;
	publication_t *publication = g_new0(publication_t, 1);

	publication->model = m;
	publication->text = new_text(m);
	publication->base = node->generation;
	/* The operator may have edited an older generation. */
	if (random % 8 == 0 && publication->base > 0)
		publication->base--;
	g_ptr_array_add(m->publications, publication);
	sr_config_sync_publish(node->sync, publication->base, publication->text,
			       strlen(publication->text), on_published,
			       publication);
}

/* A write by a node that stopped before it could announce its success. */
static void write_by_vanished_node(model_t *m)
{
	publication_t *publication = g_new0(publication_t, 1);
	sr_config_object_t object = { .generation = m->accepted->len + 1,
				      .write_ids = { 1 },
				      .n_write_ids = 1 };
	GBytes *value;

	publication->text = new_text(m);
	g_ptr_array_add(m->publications, publication);
	object.text = publication->text;
	object.size = strlen(publication->text);
	value = sr_config_object_encode(&object);
	accept_value(m, value);
	g_bytes_unref(value);
}

static void free_publication(gpointer data)
{
	publication_t *publication = data;

	g_free(publication->text);
	g_free(publication);
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
	m->publications = g_ptr_array_new_with_free_func(free_publication);
	m->events = g_hash_table_new_full(NULL, NULL, free_event, NULL);
	m->refused = g_hash_table_new(g_str_hash, g_str_equal);
	m->delay_ms = 5;
	for (unsigned i = 0; i < N_NODES; i++) {
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
	OP_RACE, /* two publications at once */
	OP_STOP,
	OP_RESTART,
	OP_CUT,	  /* a node from the platform */
	OP_HEAL,  /* undoes OP_CUT */
	OP_SPLIT, /* the failure domains */
	OP_JOIN,  /* undoes OP_SPLIT */
	OP_DOWN,  /* the platform */
	OP_UP,
	OP_SILENCE, /* watches_silent = TRUE */
	OP_SPEAK,   /* watches_silent = FALSE */
	OP_FAULTS,  /* set_faults() */
	OP_GHOST,   /* write_by_vanished_node() */
	N_OPS,
} op_t;

/* Printed in the command list of a failed run. */
static const char *const op_names[] = {
	"wait", "publish", "race",  "stop",   "restart",
	"cut",	"heal",	   "split", "join",   "down",
	"up",	"silence", "speak", "faults", "ghost",
};

static void set_faults(model_t *m, const prove_command_t *command)
{
	m->loss_percent = command->a % 40;
	m->throttle_percent = command->b % 20;
	m->corrupt_percent = command->b / 20 % 4 * 33;
	m->delay_ms = command->b / 800 * 15;
}

static char *model_step(void *model, const prove_command_t *command)
{
	model_t *m = model;
	node_t *node = &m->nodes[command->a % N_NODES];
	node_t *other = &m->nodes[command->b % N_NODES];

	switch ((op_t)(command->op % N_OPS)) {
	case OP_WAIT:
		advance(m, (1 + command->b % 200) * TICK);
		break;
	case OP_RACE:
		if (other->sync)
			publish(other, command->b);
		/* fall through */
	case OP_PUBLISH:
		if (node->sync)
			publish(node, command->b / N_NODES);
		break;
	case OP_STOP:
		stop_node(node);
		break;
	case OP_RESTART:
		start_node(node);
		break;
	case OP_CUT:
	case OP_HEAL:
		node->cut_off = command->op % N_OPS == OP_CUT;
		break;
	case OP_SPLIT:
	case OP_JOIN:
		m->domains_split = command->op % N_OPS == OP_SPLIT;
		break;
	case OP_DOWN:
	case OP_UP:
		m->platform_down = command->op % N_OPS == OP_DOWN;
		break;
	case OP_SILENCE:
	case OP_SPEAK:
		m->watches_silent = command->op % N_OPS == OP_SILENCE;
		break;
	case OP_FAULTS:
		set_faults(m, command);
		break;
	case OP_GHOST:
		write_by_vanished_node(m);
		break;
	case N_OPS:
		break;
	}
	advance(m, TICK);
	return g_steal_pointer(&m->violation);
}

/* Leaves watches_silent as it is: nodes must not depend on watches. */
static void end_faults(model_t *m)
{
	m->platform_down = FALSE;
	m->domains_split = FALSE;
	m->loss_percent = 0;
	m->throttle_percent = 0;
	m->corrupt_percent = 0;
	m->delay_ms = 5;
	for (unsigned i = 0; i < N_NODES; i++) {
		m->nodes[i].cut_off = FALSE;
		if (!m->nodes[i].sync)
			start_node(&m->nodes[i]);
	}
}

static void check_latest(model_t *m)
{
	for (unsigned i = 0; i < N_NODES; i++)
		if (m->nodes[i].generation != m->accepted->len)
			fail(m, "node%u has %" G_GUINT64_FORMAT " of %u", i,
			     m->nodes[i].generation, m->accepted->len);
}

/* The bound also holds if watches are silent or fetched values corrupt. */
static char *model_finish(void *model)
{
	model_t *m = model;
	guint before;

	end_faults(m);
	advance(m, DRAIN_TIME);
	check_latest(m);
	before = m->accepted->len;
	publish(&m->nodes[0], 1);
	advance(m, IN_FORCE_LIMIT);
	if (m->accepted->len != before + 1)
		fail(m, "a change without a fault was not accepted");
	check_latest(m);
	m->watches_silent = chance(m, 50);
	m->corrupt_percent = chance(m, 50) ? 100 : 0;
	write_by_vanished_node(m);
	advance(m, IN_FORCE_LIMIT);
	check_latest(m);
	return g_steal_pointer(&m->violation);
}

static char *model_describe(const prove_command_t *command)
{
	return g_strdup_printf("%s node%u %u", op_names[command->op % N_OPS],
			       command->a % N_NODES, command->b);
}

static void model_free(void *model)
{
	model_t *m = model;

	for (unsigned i = 0; i < N_NODES; i++)
		stop_node(&m->nodes[i]);
	sr_clock_free(m->clock);
	g_hash_table_unref(m->events);
	g_hash_table_unref(m->refused);
	g_ptr_array_unref(m->publications);
	g_ptr_array_unref(m->accepted);
	g_clear_pointer(&m->value, g_bytes_unref);
	g_rand_free(m->random);
	g_free(m->violation);
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
