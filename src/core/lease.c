#include "core/lease.h"

#include <string.h>

/* Reads by a claimant, or renewals by the holder, per lease duration. */
#define POLLS_PER_DURATION 4

typedef enum {
	STATE_FOLLOWING, /* another node holds the lease, or none does */
	STATE_HELD,
} lease_state_t;

typedef enum {
	CALL_NONE,
	CALL_READ,
	CALL_CLAIM,
	CALL_RENEW,
	CALL_RELEASE,
} call_kind_t;

/* value of first_seen until the first tick after a change of version */
#define TIME_UNSET ((sr_usec_t)-1)

struct sr_lease {
	sr_store_t *store;
	sr_store_class_t class;
	char *key;
	char *owner;
	sr_usec_t duration;
	gboolean has_eras;
	void (*acquired)(void *user, guint64 epoch, GBytes *payload);
	void (*lost)(void *user);
	void (*written)(void *user, sr_err_t err);
	void (*event_reported)(void *user, sr_lease_event_t event,
			       guint64 epoch, const char *holder);
	void *user;

	gboolean wanted;
	lease_state_t state;
	call_kind_t call_in_flight;
	sr_usec_t now; /* as of the last tick or call, not of a reply */
	sr_usec_t next_poll;
	sr_usec_t earliest_claim;
	guint64 era;	     /* of the store; 0 if not known */
	sr_usec_t era_since; /* first tick after it was seen */
	gboolean is_claimed; /* in this era, by this node, while it holds */
	GRand *random;

	/* the object as last read or written */
	gboolean was_read; /* at least once */
	gboolean exists;
	guint64 version; /* if it does not exist, that of NOT_FOUND */
	char *holder;	 /* "" if it is released */
	guint64 epoch;
	GBytes *payload;
	sr_usec_t first_seen; /* first tick after version changed */

	/* the write that is in flight or in doubt */
	call_kind_t write_kind;
	guint64 write_id;
	guint64 write_epoch;
	GBytes *write_encoded;
	GBytes *write_payload;
	sr_usec_t first_sent;  /* repeats do not change it */
	gboolean in_doubt;     /* the reply was lost */
	gboolean caller_waits; /* sr_lease_write() started it */

	sr_usec_t held_until;
};

typedef struct {
	char *owner;
	guint64 epoch;
	guint64 write_id;
	GBytes *payload;
} lease_object_t;

static const GVariantType *object_type(void)
{
	return G_VARIANT_TYPE("(sttay)");
}

static GBytes *encode(const char *owner, guint64 epoch, guint64 write_id,
		      GBytes *payload)
{
	gsize size;
	const void *data = g_bytes_get_data(payload, &size);
	GVariant *value = g_variant_ref_sink(g_variant_new(
		"(stt@ay)", owner, epoch, write_id,
		g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, data, size, 1)));
	GBytes *bytes = g_variant_get_data_as_bytes(value);

	g_variant_unref(value);
	return bytes;
}

/* A malformed object decodes as released, at epoch 0. */
static void decode(GBytes *bytes, lease_object_t *object)
{
	GVariant *value = g_variant_ref_sink(
		g_variant_new_from_bytes(object_type(), bytes, FALSE));
	GVariant *payload;

	g_variant_get(value, "(stt@ay)", &object->owner, &object->epoch,
		      &object->write_id, &payload);
	object->payload = g_variant_get_data_as_bytes(payload);
	g_variant_unref(payload);
	g_variant_unref(value);
}

static void clear_object(lease_object_t *object)
{
	g_free(object->owner);
	g_bytes_unref(object->payload);
}

static void set_payload(sr_lease_t *lease, GBytes *payload)
{
	GBytes *old = lease->payload;

	lease->payload = payload ? g_bytes_ref(payload) : NULL;
	g_clear_pointer(&old, g_bytes_unref);
}

static void set_holder(sr_lease_t *lease, const char *holder)
{
	g_free(lease->holder);
	lease->holder = g_strdup(holder);
}

static gboolean is_own(const sr_lease_t *lease)
{
	return lease->exists && !strcmp(lease->holder, lease->owner);
}

static void report_event(const sr_lease_t *lease, sr_lease_event_t event,
			 guint64 epoch)
{
	if (lease->event_reported)
		lease->event_reported(lease->user, event, epoch, lease->holder);
}

/* Renewals and releases are not reported. */
static void report_claim(const sr_lease_t *lease, sr_lease_event_t event)
{
	if (lease->write_kind == CALL_CLAIM)
		report_event(lease, event, lease->write_epoch);
}

static void step_down(sr_lease_t *lease)
{
	gboolean was_held = lease->state == STATE_HELD;

	lease->state = STATE_FOLLOWING;
	lease->held_until = 0;
	if (was_held && lease->lost)
		lease->lost(lease->user);
}

/* Runs last in the handling of a write: the callback may start the next one. */
static void finish_write(sr_lease_t *lease, sr_err_t err)
{
	gboolean caller_waits = lease->caller_waits;

	lease->in_doubt = FALSE;
	lease->caller_waits = FALSE;
	g_clear_pointer(&lease->write_encoded, g_bytes_unref);
	g_clear_pointer(&lease->write_payload, g_bytes_unref);
	if (caller_waits && lease->written)
		lease->written(lease->user, err);
}

/* Only a tick makes this node the holder: a reply carries no time and can
 * arrive long after the last tick, when the lease has already expired. */
static void update_state(sr_lease_t *lease)
{
	gboolean holds = lease->wanted && lease->now < lease->held_until;

	if (lease->state == STATE_HELD && !holds) {
		step_down(lease);
	} else if (lease->state != STATE_HELD && holds) {
		lease->state = STATE_HELD;
		if (lease->acquired)
			lease->acquired(lease->user, lease->epoch,
					lease->payload);
	}
}

/* The object now contains this node's own write. */
static void apply_own_write(sr_lease_t *lease, guint64 version)
{
	gboolean is_release = lease->write_kind == CALL_RELEASE;

	g_assert(lease->write_epoch >= lease->epoch);
	lease->exists = TRUE;
	lease->version = version;
	lease->first_seen = TIME_UNSET;
	lease->epoch = lease->write_epoch;
	set_holder(lease, is_release ? "" : lease->owner);
	set_payload(lease, lease->write_payload);
	lease->is_claimed = TRUE;
	report_claim(lease, SR_LEASE_CLAIM_SUCCEEDED);
	if (!is_release && lease->wanted)
		lease->held_until = lease->first_sent + lease->duration;
	finish_write(lease, SR_OK);
}

static void apply_read(sr_lease_t *lease, guint64 version,
		       const lease_object_t *object)
{
	gboolean is_changed = !lease->was_read || version != lease->version;

	lease->was_read = TRUE;
	if (!is_changed)
		return;
	lease->exists = TRUE;
	lease->version = version;
	lease->first_seen = TIME_UNSET;
	lease->epoch = MAX(lease->epoch, object->epoch);
	set_holder(lease, object->owner);
	set_payload(lease, object->payload);
	report_event(lease, SR_LEASE_CHANGED, lease->epoch);
	step_down(lease);
}

static void submit(sr_lease_t *lease, sr_store_op_t op, GBytes *value,
		   sr_store_fn done)
{
	sr_store_call_t call = {
		.op = op,
		.class = lease->class,
		.key = lease->key,
		.value = value,
		/* a read has no condition */
		.if_version = op == SR_STORE_GET ? 0 : lease->version,
		.done = done,
		.user = lease,
	};

	sr_store_submit(lease->store, &call);
}

static void on_write(void *user, const sr_store_reply_t *reply);

/*
 * Sends or repeats the current write. Each copy carries the same write id and
 * condition, so at most one can take effect.
 */
static void send_write(sr_lease_t *lease)
{
	lease->call_in_flight = lease->write_kind;
	submit(lease, lease->exists ? SR_STORE_UPDATE : SR_STORE_CREATE,
	       lease->write_encoded, on_write);
}

static void start_write(sr_lease_t *lease, call_kind_t kind, guint64 epoch,
			GBytes *payload)
{
	const char *owner = kind == CALL_RELEASE ? "" : lease->owner;

	g_assert(lease->call_in_flight == CALL_NONE && !lease->in_doubt);
	lease->write_kind = kind;
	lease->write_id = ((guint64)g_rand_int(lease->random) << 32) |
			  g_rand_int(lease->random);
	lease->write_epoch = epoch;
	lease->write_payload =
		payload ? g_bytes_ref(payload) : g_bytes_new(NULL, 0);
	lease->write_encoded =
		encode(owner, epoch, lease->write_id, lease->write_payload);
	lease->first_sent = lease->now;
	report_claim(lease, SR_LEASE_CLAIM_SENT);
	send_write(lease);
}

static guint64 next_epoch(const sr_lease_t *lease)
{
	return MAX(lease->epoch, lease->has_eras ? lease->version : 0) + 1;
}

/* TRUE if this node held the lease when the store was restored, and has not
 * claimed it in the new era. */
static gboolean must_reclaim(const sr_lease_t *lease)
{
	return lease->state == STATE_HELD && !lease->is_claimed;
}

/*
 * Claims a lease that this node holds from the earlier era. No other node can
 * have claimed it since: each waits in the new era until this lease has ended.
 * Its payload is the latest one, that of the copy may be older.
 */
static void reclaim(sr_lease_t *lease, guint64 version,
		    const lease_object_t *object)
{
	gboolean is_lost =
		!lease->wanted || (object && object->epoch > lease->epoch);

	if (is_lost) {
		step_down(lease);
		if (object)
			apply_read(lease, version, object);
	} else {
		lease->exists = object != NULL;
		lease->version = version;
		lease->first_seen = TIME_UNSET;
	}
	if (lease->write_encoded)
		finish_write(lease, SR_ERR_PLATFORM);
	if (!is_lost && lease->call_in_flight == CALL_NONE)
		start_write(lease, CALL_CLAIM, next_epoch(lease),
			    lease->payload);
}

/* Finds out from a read what became of a write whose reply was lost. */
static void resolve_in_doubt(sr_lease_t *lease, guint64 version,
			     const lease_object_t *object)
{
	if (version == lease->version) {
		send_write(lease);
	} else if (object && object->write_id == lease->write_id) {
		apply_own_write(lease, version);
	} else {
		/* it may have been stored and then replaced */
		step_down(lease);
		if (object)
			apply_read(lease, version, object);
		finish_write(lease, SR_ERR_OUTCOME_UNKNOWN);
	}
}

static void on_not_found(sr_lease_t *lease, guint64 version)
{
	if (lease->in_doubt) {
		resolve_in_doubt(lease, version, NULL);
		return;
	}
	step_down(lease);
	lease->was_read = TRUE;
	lease->exists = FALSE;
	lease->version = version;
	set_holder(lease, "");
	set_payload(lease, NULL);
}

/* Runs first in the handling of a reply. */
static void check_era(sr_lease_t *lease, const sr_store_reply_t *reply)
{
	if (reply->era <= lease->era)
		return;
	lease->era = reply->era;
	lease->era_since = TIME_UNSET;
	lease->is_claimed = FALSE;
	report_event(lease, SR_LEASE_ERA_BEGAN, lease->epoch);
}

static void on_read(void *user, const sr_store_reply_t *reply)
{
	sr_lease_t *lease = user;
	lease_object_t object;

	lease->call_in_flight = CALL_NONE;
	check_era(lease, reply);
	if (reply->status == SR_STORE_NOT_FOUND) {
		if (must_reclaim(lease))
			reclaim(lease, reply->version, NULL);
		else
			on_not_found(lease, reply->version);
		return;
	}
	if (reply->status != SR_STORE_OK)
		return;
	decode(reply->value, &object);
	if (must_reclaim(lease))
		reclaim(lease, reply->version, &object);
	else if (lease->in_doubt)
		resolve_in_doubt(lease, reply->version, &object);
	else
		apply_read(lease, reply->version, &object);
	clear_object(&object);
}

static void read_object(sr_lease_t *lease)
{
	lease->call_in_flight = CALL_READ;
	submit(lease, SR_STORE_GET, NULL, on_read);
}

static void on_conflict(sr_lease_t *lease)
{
	/* a repeated write can conflict with its own first copy, so that only
	 * a read shows whether it took effect */
	if (!lease->in_doubt && !must_reclaim(lease)) {
		report_claim(lease, SR_LEASE_CLAIM_CONFLICT);
		step_down(lease);
		finish_write(lease, SR_ERR_STALE_FENCE);
	}
	if (lease->call_in_flight == CALL_NONE)
		read_object(lease);
}

static void on_write(void *user, const sr_store_reply_t *reply)
{
	sr_lease_t *lease = user;

	lease->call_in_flight = CALL_NONE;
	check_era(lease, reply);
	switch (reply->status) {
	case SR_STORE_OK:
		apply_own_write(lease, reply->version);
		break;
	case SR_STORE_CONFLICT:
	case SR_STORE_NOT_FOUND:
		on_conflict(lease);
		break;
	case SR_STORE_UNKNOWN:
		report_claim(lease, SR_LEASE_CLAIM_UNKNOWN);
		lease->in_doubt = TRUE;
		read_object(lease);
		break;
	case SR_STORE_NOT_DONE:
	case SR_STORE_NOT_MODIFIED:
		report_claim(lease, SR_LEASE_CLAIM_NOT_DONE);
		if (!lease->in_doubt)
			finish_write(lease, SR_ERR_PLATFORM);
		break;
	}
}

/* TRUE if a holder that the store has lost in a restore can't hold the lease
 * any more. */
static gboolean is_era_settled(const sr_lease_t *lease)
{
	return lease->era == 0 ||
	       (lease->era_since != TIME_UNSET &&
		lease->now - lease->era_since >= lease->duration);
}

/* TRUE if no other node can still hold the lease and claims are allowed. */
static gboolean is_claimable(const sr_lease_t *lease)
{
	if (!lease->was_read || lease->now < lease->earliest_claim ||
	    !is_era_settled(lease))
		return FALSE;
	if (!lease->exists || !*lease->holder || is_own(lease))
		return TRUE;
	return lease->first_seen != TIME_UNSET &&
	       lease->now - lease->first_seen >= lease->duration;
}

static void send_next_call(sr_lease_t *lease)
{
	if (lease->in_doubt || must_reclaim(lease))
		read_object(lease);
	else if (lease->state == STATE_HELD)
		start_write(lease, CALL_RENEW, lease->epoch, lease->payload);
	else if (is_own(lease) &&
		 (!lease->wanted || lease->now < lease->earliest_claim))
		start_write(lease, CALL_RELEASE, lease->epoch, lease->payload);
	else if (lease->wanted && is_claimable(lease))
		start_write(lease, CALL_CLAIM, next_epoch(lease),
			    lease->payload);
	else if (lease->wanted)
		read_object(lease);
}

static sr_usec_t next_poll(const sr_lease_t *lease)
{
	sr_usec_t regular_poll =
		lease->now + lease->duration / POLLS_PER_DURATION;
	sr_usec_t claimable_at =
		MAX(lease->first_seen + lease->duration, lease->earliest_claim);

	if (lease->era > 0 && lease->era_since != TIME_UNSET)
		claimable_at =
			MAX(claimable_at, lease->era_since + lease->duration);
	if (lease->state == STATE_FOLLOWING && lease->was_read &&
	    lease->first_seen != TIME_UNSET && claimable_at > lease->now)
		return MIN(regular_poll, claimable_at);
	return regular_poll;
}

sr_lease_t *sr_lease_new(const sr_lease_options_t *options)
{
	sr_lease_t *lease = g_new0(sr_lease_t, 1);

	lease->store = options->store;
	lease->class = options->class;
	lease->key = g_strdup(options->key);
	lease->owner = g_strdup(options->owner);
	lease->duration = options->duration;
	lease->has_eras = options->has_eras;
	lease->acquired = options->acquired;
	lease->lost = options->lost;
	lease->written = options->written;
	lease->event_reported = options->event_reported;
	lease->user = options->user;
	lease->holder = g_strdup("");
	lease->first_seen = TIME_UNSET;
	lease->random = g_rand_new_with_seed(
		(guint32)(options->seed ^ (options->seed >> 32)));
	return lease;
}

void sr_lease_free(sr_lease_t *lease)
{
	if (!lease)
		return;
	sr_store_cancel_all(lease->store, lease);
	g_clear_pointer(&lease->write_encoded, g_bytes_unref);
	g_clear_pointer(&lease->write_payload, g_bytes_unref);
	g_clear_pointer(&lease->payload, g_bytes_unref);
	g_rand_free(lease->random);
	g_free(lease->holder);
	g_free(lease->key);
	g_free(lease->owner);
	g_free(lease);
}

void sr_lease_set_wanted(sr_lease_t *lease, gboolean wanted)
{
	lease->wanted = wanted;
}

void sr_lease_defer_claims(sr_lease_t *lease, sr_usec_t until)
{
	lease->earliest_claim = until;
}

void sr_lease_tick(sr_lease_t *lease, sr_usec_t now)
{
	g_assert(now >= lease->now);
	lease->now = now;
	if (lease->first_seen == TIME_UNSET)
		lease->first_seen = now;
	if (lease->era_since == TIME_UNSET)
		lease->era_since = now;
	update_state(lease);
	if (lease->call_in_flight != CALL_NONE || now < lease->next_poll)
		return;
	lease->next_poll = next_poll(lease);
	send_next_call(lease);
}

gboolean sr_lease_is_held(const sr_lease_t *lease, sr_usec_t now,
			  sr_usec_t margin)
{
	return lease->state == STATE_HELD && now + margin < lease->held_until;
}

guint64 sr_lease_epoch(const sr_lease_t *lease)
{
	return lease->state == STATE_HELD ? lease->epoch : 0;
}

guint64 sr_lease_era(const sr_lease_t *lease)
{
	return lease->era;
}

sr_usec_t sr_lease_era_since(const sr_lease_t *lease)
{
	return lease->era_since == TIME_UNSET ? lease->now : lease->era_since;
}

GBytes *sr_lease_payload(const sr_lease_t *lease)
{
	return lease->payload;
}

const char *sr_lease_holder(const sr_lease_t *lease)
{
	return lease->holder ? lease->holder : "";
}

sr_err_t sr_lease_write(sr_lease_t *lease, sr_usec_t now, GBytes *payload)
{
	lease->now = MAX(lease->now, now);
	if (!sr_lease_is_held(lease, lease->now, 0))
		return SR_ERR_NOT_OWNER;
	if (g_bytes_get_size(payload) > SR_LEASE_PAYLOAD_MAX)
		return SR_ERR_TOO_LARGE;
	if (lease->call_in_flight != CALL_NONE || lease->in_doubt)
		return SR_ERR_CONFLICT;
	start_write(lease, CALL_RENEW, lease->epoch, payload);
	lease->caller_waits = TRUE;
	lease->next_poll = next_poll(lease); /* the write is also a renewal */
	return SR_OK;
}

void sr_lease_release(sr_lease_t *lease, sr_usec_t now)
{
	lease->now = MAX(lease->now, now);
	lease->wanted = FALSE;
	step_down(lease);
	if (lease->call_in_flight == CALL_NONE && !lease->in_doubt &&
	    is_own(lease))
		start_write(lease, CALL_RELEASE, lease->epoch, lease->payload);
}
