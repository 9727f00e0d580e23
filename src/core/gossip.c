#include "core/gossip.h"

#include <string.h>

#include "core/gossip_internal.h"

/* Time for a suspect to refute before it counts as dead. */
#define SUSPECT_TIMEOUT (4 * SR_SEC)
/* Time that a dead or departed member of the own domain stays in the table. */
#define DEAD_RETENTION (10 * SR_MINUTE)
/* Limit of the dead or departed members of another domain that stay in the
 * table. Their records keep older ones from adding them again. */
#define REMOTE_DEAD_MAX SR_GOSSIP_DELEGATES
#define PUSH_INTERVAL (200 * SR_MSEC)
#define SWEEP_INTERVAL (500 * SR_MSEC)
/* A longer gap between two ticks means that the process was paused. */
#define PAUSE_THRESHOLD SR_SEC
/* Members to which a planned stop is announced at once. */
#define LEAVE_FANOUT 8
#define SEEDS_MAX 64

sr_usec_t sr_gossip_jitter(sr_gossip_t *g, sr_usec_t duration)
{
	return (sr_usec_t)(g_rand_double_range(g->random, 0.75, 1.25) *
			   (double)duration);
}

static void report_member(sr_gossip_t *g, sr_gossip_record_t *record)
{
	sr_member_t member;

	record->reported = TRUE;
	sr_gossip_record_to_member(record, &member);
	if (g->options.member_changed)
		g->options.member_changed(g->options.user, &member);
}

static void report_rumour(sr_gossip_t *g, const sr_gossip_record_t *record)
{
	sr_rumour_t rumour = { .kind = (sr_rumour_kind_t)record->kind,
			       .key = record->key,
			       .version = record->version,
			       .value = record->value,
			       .size = record->size };

	if (record->expires_at)
		rumour.expires_in = MAX(record->expires_at - g->now, 1);
	if (g->options.rumour_changed)
		g->options.rumour_changed(g->options.user, &rumour);
}

/*
 * Handles a peer's record of this node, which may list the node as suspect or
 * dead, or at a later incarnation if the clock of an earlier process of this
 * name was ahead. The node then announces its own state at an incarnation above
 * the record's.
 */
static void refute(sr_gossip_t *g, guint64 version)
{
	guint64 incarnation = (version >> SR_MEMBER_STATE_BITS) + 1;

	if (version <= g->self->version ||
	    incarnation >= SR_GOSSIP_INCARNATION_MAX)
		return;
	g->stats.refuted++;
	g->self->version = sr_member_version(
		incarnation, g->has_left ? SR_MEMBER_LEFT : SR_MEMBER_ALIVE);
	sr_gossip_enqueue(g, g->self);
}

/* Returns the member of a list that has been dead or departed longest, or NULL.
 * Counts the dead and departed members in n_dead. */
static sr_gossip_record_t *oldest_dead(const GPtrArray *list, unsigned *n_dead)
{
	sr_gossip_record_t *oldest = NULL;

	*n_dead = 0;
	for (guint i = 0; i < list->len; i++) {
		sr_gossip_record_t *record = g_ptr_array_index(list, i);

		if (sr_member_is_live(record))
			continue;
		++*n_dead;
		if (!oldest || record->changed_at < oldest->changed_at)
			oldest = record;
	}
	return oldest;
}

static void remove_member(sr_gossip_t *g, sr_gossip_record_t *record)
{
	if (record->reported && g->options.member_removed)
		g->options.member_removed(g->options.user, record->key);
	sr_gossip_table_remove(&g->table, record);
}

/*
 * Drops members of another domain that are live but not delegates, and the
 * oldest of the dead or departed if there are more than REMOTE_DEAD_MAX. One is
 * enough, since each update adds at most one.
 */
static void prune_domain(sr_gossip_t *g, const char *domain)
{
	const GPtrArray *list =
		sr_gossip_table_domain_members(&g->table, domain);
	GPtrArray *surplus = g_ptr_array_new();
	sr_gossip_record_t *oldest;
	unsigned n_dead;
	unsigned n_live = 0;

	for (guint i = 0; i < list->len; i++) {
		sr_gossip_record_t *record = g_ptr_array_index(list, i);

		if (sr_member_is_live(record) && ++n_live > SR_GOSSIP_DELEGATES)
			g_ptr_array_add(surplus, record);
	}
	oldest = oldest_dead(list, &n_dead);
	if (n_dead > REMOTE_DEAD_MAX)
		g_ptr_array_add(surplus, oldest);
	for (guint i = 0; i < surplus->len; i++)
		remove_member(g, g_ptr_array_index(surplus, i));
	g_ptr_array_unref(surplus);
}

static gboolean is_remote(const sr_gossip_t *g,
			  const sr_gossip_record_t *record)
{
	return strcmp(record->domain, g->table.own_domain) != 0;
}

static void apply_member_update(sr_gossip_t *g, sr_gossip_record_t *record)
{
	char *domain = g_strdup(record->domain);
	char *name = g_strdup(record->key);
	sr_member_state_t state = sr_member_state(record);
	gboolean remote = is_remote(g, record);

	if (state == SR_MEMBER_SUSPECT)
		record->suspect_deadline = g->now + SUSPECT_TIMEOUT;
	if (remote || sr_member_is_live(record))
		record->expires_at = 0;
	else if (!record->expires_at)
		record->expires_at = g->now + DEAD_RETENTION;
	sr_gossip_enqueue(g, record);
	if (remote)
		prune_domain(g, domain);
	/* a member that prune_domain() dropped is not reported */
	record = sr_gossip_table_find(&g->table, SR_RECORD_MEMBER, name);
	if (record)
		report_member(g, record);
	g_free(domain);
	g_free(name);
}

/* A member of another domain that is dead or has left, that is, whose state is
 * above SUSPECT, is ignored if it is not in the table. */
static gboolean is_unknown_dead_remote(sr_gossip_t *g,
				       const sr_wire_record_t *wire)
{
	const char *domain = (const char *)wire->value;

	return (wire->version & SR_MEMBER_STATE_MASK) > 1 &&
	       !sr_gossip_table_find(&g->table, wire->kind, wire->key) &&
	       (!wire->size || !memchr(domain, '\0', wire->size) ||
		strcmp(domain, g->table.own_domain) != 0);
}

void sr_gossip_merge(sr_gossip_t *g, const sr_wire_record_t *wire,
		     gboolean from_peer)
{
	sr_gossip_record_t *record;

	if (wire->kind == SR_RECORD_MEMBER) {
		if (!strcmp(wire->key, g->options.name)) {
			refute(g, wire->version);
			return;
		}
		if (is_unknown_dead_remote(g, wire))
			return;
	}
	record = sr_gossip_table_merge(&g->table, wire, g->now);
	if (!record)
		return;
	if (wire->kind == SR_RECORD_MEMBER) {
		apply_member_update(g, record);
		return;
	}
	sr_gossip_enqueue(g, record);
	if (from_peer)
		report_rumour(g, record);
}

void sr_gossip_set_state(sr_gossip_t *g, sr_gossip_record_t *record,
			 sr_member_state_t state)
{
	guint64 incarnation = sr_member_incarnation(record);

	record->version = sr_member_version(incarnation, state);
	record->changed_at = g->now;
	apply_member_update(g, record);
}

static void add_self(sr_gossip_t *g)
{
	GByteArray *value = sr_gossip_encode_member(g->options.failure_domain,
						    g->options.address);
	sr_wire_record_t wire = {
		.kind = SR_RECORD_MEMBER,
		.key = g->options.name,
		.version = sr_member_version(g->options.incarnation,
					     SR_MEMBER_ALIVE),
		.ttl_ms = SR_RECORD_NO_EXPIRY,
		.value = value->data,
		.size = value->len,
	};

	g->self = sr_gossip_table_merge(&g->table, &wire, g->now);
	g_assert(g->self);
	g_byte_array_unref(value);
}

static void clear_relay(gpointer data)
{
	g_free(((sr_gossip_relay_t *)data)->requester_address);
}

static void check_options(const sr_gossip_options_t *options)
{
	g_assert(options->name[0] && options->failure_domain[0]);
	g_assert(strlen(options->name) <= SR_GOSSIP_NAME_MAX);
	g_assert(strlen(options->failure_domain) <= SR_GOSSIP_NAME_MAX);
	g_assert(strlen(options->address) <= SR_GOSSIP_NAME_MAX);
	g_assert(options->incarnation < SR_GOSSIP_INCARNATION_MAX);
}

sr_gossip_t *sr_gossip_new(const sr_gossip_options_t *options, sr_usec_t now)
{
	sr_gossip_t *g = g_new0(sr_gossip_t, 1);
	guint32 seed[2] = { (guint32)options->seed,
			    (guint32)(options->seed >> 32) };

	check_options(options);
	g->options = *options;
	g->options.name = g_strdup(options->name);
	g->options.failure_domain = g_strdup(options->failure_domain);
	g->options.address = g_strdup(options->address);
	if (options->bytes_per_s == 0)
		g->options.bytes_per_s = SR_GOSSIP_DEFAULT_RATE;
	g->random = g_rand_new_with_seed_array(seed, 2);
	g->contact_index = g_rand_int(g->random);
	g->now = now;
	g->started_at = now;
	g->last_tick = now;
	g->send_budget = SR_GOSSIP_BURST;
	for (unsigned i = 0; i < SR_GOSSIP_N_QUEUES; i++)
		sr_list_init(&g->queues[i]);
	sr_gossip_table_init(&g->table, options->failure_domain);
	g->seed_addresses = g_ptr_array_new_with_free_func(g_free);
	g->probe_order = g_ptr_array_new_with_free_func(g_free);
	g->relays = g_array_new(FALSE, FALSE, sizeof(sr_gossip_relay_t));
	g_array_set_clear_func(g->relays, clear_relay);
	g->next_nonce = (guint64)g_rand_int(g->random) << 32;
	add_self(g);
	return g;
}

void sr_gossip_free(sr_gossip_t *g)
{
	if (!g)
		return;
	sr_gossip_table_clear(&g->table);
	g_ptr_array_unref(g->seed_addresses);
	g_ptr_array_unref(g->probe_order);
	g_array_unref(g->relays);
	g_free(g->probe.name);
	g_rand_free(g->random);
	g_free((char *)g->options.name);
	g_free((char *)g->options.failure_domain);
	g_free((char *)g->options.address);
	g_free(g);
}

void sr_gossip_add_seed(sr_gossip_t *g, const char *address)
{
	for (guint i = 0; i < g->seed_addresses->len; i++)
		if (!strcmp(g_ptr_array_index(g->seed_addresses, i), address))
			return;
	if (!strcmp(address, g->options.address))
		return;
	/* the newest address is the most likely to be in use */
	if (g->seed_addresses->len >= SEEDS_MAX)
		g_ptr_array_remove_index(g->seed_addresses, 0);
	g_ptr_array_add(g->seed_addresses, g_strdup(address));
}

/*
 * Returns the expired records, or the suspects whose deadline has passed. They
 * are collected before any is changed, since a change of state may remove other
 * records.
 */
static GPtrArray *collect_due_records(sr_gossip_t *g, gboolean expired)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->table.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_gossip_record_t *record = value;
		gboolean due;

		if (expired)
			due = record->expires_at &&
			      g->now >= record->expires_at;
		else
			due = record->kind == SR_RECORD_MEMBER &&
			      sr_member_state(record) == SR_MEMBER_SUSPECT &&
			      g->now >= record->suspect_deadline;
		if (due)
			g_ptr_array_add(out, record);
	}
	return out;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void expire_suspects(sr_gossip_t *g)
{
	GPtrArray *due = collect_due_records(g, FALSE);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < due->len; i++) {
		const sr_gossip_record_t *record = g_ptr_array_index(due, i);

		g_ptr_array_add(names, g_strdup(record->key));
	}
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++) {
		sr_gossip_record_t *record =
			sr_gossip_table_find(&g->table, SR_RECORD_MEMBER,
					     g_ptr_array_index(names, i));

		if (record)
			sr_gossip_set_state(g, record, SR_MEMBER_DEAD);
	}
	g_ptr_array_unref(names);
	g_ptr_array_unref(due);
}

static void sweep(sr_gossip_t *g)
{
	GPtrArray *expired;

	if (g->now < g->next_sweep)
		return;
	g->next_sweep = g->now + SWEEP_INTERVAL;
	expire_suspects(g);
	expired = collect_due_records(g, TRUE);
	for (guint i = 0; i < expired->len; i++)
		sr_gossip_table_remove(&g->table,
				       g_ptr_array_index(expired, i));
	g_ptr_array_unref(expired);
}

/* A pause of this process does not shorten the time to refute. */
static void extend_suspicions(sr_gossip_t *g, sr_usec_t gap)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->table.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((sr_gossip_record_t *)value)->suspect_deadline += gap;
}

static void check_invariants(const sr_gossip_t *g)
{
	g_assert(g->has_left || sr_member_state(g->self) == SR_MEMBER_ALIVE);
	g_assert(g_hash_table_size(g->table.by_id) <= SR_GOSSIP_TABLE_MAX);
}

void sr_gossip_tick(sr_gossip_t *g, sr_usec_t now)
{
	sr_usec_t gap = now - g->last_tick;
	gboolean was_paused = gap > PAUSE_THRESHOLD;

	g->now = now;
	g->last_tick = now;
	sr_gossip_refill_budget(g, gap);
	if (was_paused)
		extend_suspicions(g, gap);
	sweep(g);
	if (!g->has_left) {
		sr_gossip_probe_tick(g, was_paused);
		sr_gossip_sync_tick(g);
		sr_gossip_join_tick(g);
		sr_gossip_reconnect_tick(g);
	}
	if (now >= g->next_push) {
		g->next_push = now + PUSH_INTERVAL;
		sr_gossip_push_queued(g);
	}
	check_invariants(g);
}

static void merge_sender(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	GByteArray *value =
		sr_gossip_encode_member(message->domain, message->address);
	sr_wire_record_t wire = {
		.kind = SR_RECORD_MEMBER,
		.key = message->sender,
		.version = sr_member_version(message->incarnation,
					     SR_MEMBER_ALIVE),
		.ttl_ms = SR_RECORD_NO_EXPIRY,
		.value = value->data,
		.size = value->len,
	};

	sr_gossip_merge(g, &wire, TRUE);
	g_byte_array_unref(value);
}

/* Whether the sender is listed as suspect, dead or at a later incarnation. */
static gboolean must_refute(const sr_gossip_record_t *record,
			    const sr_gossip_message_t *message)
{
	sr_member_state_t state = sr_member_state(record);
	guint64 incarnation = sr_member_incarnation(record);

	if (incarnation != message->incarnation)
		return incarnation > message->incarnation;
	return state == SR_MEMBER_SUSPECT || state == SR_MEMBER_DEAD;
}

/* Sends the sender the record that it has to refute. */
static void notify_suspected_sender(sr_gossip_t *g,
				    const sr_gossip_message_t *message)
{
	const sr_gossip_record_t *record = sr_gossip_table_find(
		&g->table, SR_RECORD_MEMBER, message->sender);
	sr_gossip_message_t push = sr_gossip_make_message(g, SR_GOSSIP_PUSH);

	if (record && must_refute(record, message))
		sr_gossip_send(g, message->address, NULL, &push, record);
}

static void handle_message(sr_gossip_t *g, const sr_gossip_message_t *message)
{
	switch (message->type) {
	case SR_GOSSIP_PING:
		sr_gossip_handle_ping(g, message);
		break;
	case SR_GOSSIP_ACK:
		sr_gossip_handle_ack(g, message);
		break;
	case SR_GOSSIP_PING_REQUEST:
		sr_gossip_handle_ping_request(g, message);
		break;
	case SR_GOSSIP_SYNC:
		sr_gossip_handle_sync(g, message);
		break;
	case SR_GOSSIP_DIGEST:
		sr_gossip_handle_digest(g, message);
		break;
	case SR_GOSSIP_PULL:
		sr_gossip_handle_pull(g, message);
		break;
	case SR_GOSSIP_PUSH:
	case SR_GOSSIP_N_TYPES:
		break;
	}
}

void sr_gossip_receive(sr_gossip_t *g, sr_usec_t now, const guint8 *data,
		       gsize size)
{
	sr_gossip_datagram_t datagram;

	g->now = MAX(g->now, now);
	g->stats.received++;
	g->stats.bytes_received += size;
	if (!sr_gossip_decode(data, size, &datagram)) {
		g->stats.malformed++;
		return;
	}
	if (strcmp(datagram.message.sender, g->options.name) != 0) {
		merge_sender(g, &datagram.message);
		for (gsize i = 0; i < datagram.n_records; i++) {
			sr_gossip_reduce_transmits(g, &datagram.records[i],
						   datagram.message.domain);
			sr_gossip_merge(g, &datagram.records[i], TRUE);
		}
		handle_message(g, &datagram.message);
		notify_suspected_sender(g, &datagram.message);
	}
	sr_gossip_datagram_clear(&datagram);
	check_invariants(g);
}

void sr_gossip_put(sr_gossip_t *g, sr_usec_t now, const sr_rumour_t *rumour,
		   sr_usec_t ttl)
{
	sr_wire_record_t wire = {
		.kind = (guint8)rumour->kind,
		.key = rumour->key,
		.version = rumour->version,
		.ttl_ms = SR_RECORD_NO_EXPIRY,
		.value = rumour->value,
		.size = rumour->size,
	};

	g->now = MAX(g->now, now);
	if (strlen(rumour->key) > SR_RUMOUR_KEY_MAX ||
	    rumour->size > SR_RUMOUR_VALUE_MAX) {
		g->stats.refused++;
		return;
	}
	if (ttl)
		wire.ttl_ms = (guint32)CLAMP(
			ttl / SR_MSEC, 1, (sr_usec_t)SR_RECORD_NO_EXPIRY - 1);
	sr_gossip_merge(g, &wire, FALSE);
}

static void record_to_rumour(const sr_gossip_record_t *record,
			     sr_rumour_t *rumour)
{
	*rumour = (sr_rumour_t){ .kind = (sr_rumour_kind_t)record->kind,
				 .key = record->key,
				 .version = record->version,
				 .value = record->value,
				 .size = record->size };
}

gboolean sr_gossip_get(sr_gossip_t *g, sr_rumour_kind_t kind, const char *key,
		       sr_rumour_t *rumour)
{
	const sr_gossip_record_t *record =
		sr_gossip_table_find(&g->table, (guint8)kind, key);

	if (!record || strcmp(record->key, key) != 0)
		return FALSE;
	record_to_rumour(record, rumour);
	return TRUE;
}

void sr_gossip_foreach_rumour(sr_gossip_t *g, sr_rumour_kind_t kind,
			      void (*fn)(void *user, const sr_rumour_t *rumour),
			      void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->table.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_rumour_t rumour;

		if (((sr_gossip_record_t *)value)->kind != kind)
			continue;
		record_to_rumour(value, &rumour);
		fn(user, &rumour);
	}
}

void sr_gossip_foreach_member(sr_gossip_t *g,
			      void (*fn)(void *user, const sr_member_t *member),
			      void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->table.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_member_t member;

		if (((sr_gossip_record_t *)value)->kind != SR_RECORD_MEMBER)
			continue;
		sr_gossip_record_to_member(value, &member);
		fn(user, &member);
	}
}

const sr_gossip_stats_t *sr_gossip_stats(const sr_gossip_t *g)
{
	return &g->stats;
}

unsigned sr_gossip_n_records(const sr_gossip_t *g)
{
	return g_hash_table_size(g->table.by_id);
}

void sr_gossip_leave(sr_gossip_t *g, sr_usec_t now)
{
	sr_gossip_message_t message;
	GPtrArray *targets;
	GPtrArray *remote;

	g->now = MAX(g->now, now);
	g->has_left = TRUE;
	g->self->version = sr_member_version(sr_member_incarnation(g->self),
					     SR_MEMBER_LEFT);
	sr_gossip_enqueue(g, g->self);
	message = sr_gossip_make_message(g, SR_GOSSIP_PUSH);
	targets = sr_gossip_local_members(g);
	remote = sr_gossip_remote_delegates(g);
	g_ptr_array_extend(targets, remote, NULL, NULL);
	for (guint i = 0; i < MIN(targets->len, LEAVE_FANOUT); i++) {
		const sr_gossip_record_t *target =
			g_ptr_array_index(targets, i);

		sr_gossip_send(g, target->address, NULL, &message, NULL);
	}
	g_ptr_array_unref(remote);
	g_ptr_array_unref(targets);
}
