#include "core/lease.h"

#include <string.h>

/* How often a claimant reads the object and a holder renews, per lease. */
#define POLLS_PER_LEASE 4

typedef enum {
	STATE_FOLLOWING, /* somebody else holds it, or nobody is known to */
	STATE_HELD,
} lease_state_t;

typedef enum {
	PENDING_NONE,
	PENDING_READ,
	PENDING_CLAIM,
	PENDING_RENEW,
	PENDING_RELEASE,
} pending_t;

/* first_seen before the first tick that follows the read */
#define NOT_YET ((sr_usec_t)-1)

struct sr_lease {
	sr_store_t *store;
	sr_store_class_t class;
	char *key;
	char *owner;
	sr_usec_t duration;
	void (*acquired)(void *user, guint64 epoch, GBytes *payload);
	void (*lost)(void *user);
	void (*written)(void *user, sr_err_t err);
	void (*noted)(void *user, sr_lease_note_t note, guint64 epoch,
		      const char *holder);
	void *user;

	gboolean wanted;
	lease_state_t state;
	pending_t pending;
	sr_usec_t now; /* of the last tick or call; a reply can come later */
	sr_usec_t next_poll;
	sr_usec_t claims_from; /* it claims nothing before */
	GRand *random;

	/* the object as last seen */
	gboolean known;	 /* it was read at least once */
	guint64 version; /* 0: it does not exist */
	char *holder;	 /* "" if it is released */
	guint64 epoch;
	GBytes *payload;
	sr_usec_t first_seen; /* a time at which version was already seen */

	/* the write that is under way or in doubt */
	pending_t write_kind;
	guint64 write_id;
	guint64 write_epoch;
	GBytes *write_value;
	GBytes *write_payload;
	sr_usec_t sent;	      /* for the first time */
	gboolean in_doubt;    /* its reply was lost */
	gboolean from_caller; /* it came from sr_lease_write() */
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

/* A damaged object reads as held by nobody at epoch 0. */
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
	return lease->version != 0 && !strcmp(lease->holder, lease->owner);
}

static void note(const sr_lease_t *lease, sr_lease_note_t what, guint64 epoch)
{
	if (lease->noted)
		lease->noted(lease->user, what, epoch, lease->holder);
}

/* A claim was sent or ended; other writes are not noted. */
static void note_claim(const sr_lease_t *lease, sr_lease_note_t what)
{
	if (lease->write_kind == PENDING_CLAIM)
		note(lease, what, lease->write_epoch);
}

static void step_down(sr_lease_t *lease)
{
	gboolean was_held = lease->state == STATE_HELD;

	lease->state = STATE_FOLLOWING;
	lease->held_until = 0;
	if (was_held && lease->lost)
		lease->lost(lease->user);
}

/* The last step of every write; the callback may start the next one. */
static void end_write(sr_lease_t *lease, sr_err_t err)
{
	gboolean from_caller = lease->from_caller;

	lease->in_doubt = FALSE;
	lease->from_caller = FALSE;
	g_clear_pointer(&lease->write_value, g_bytes_unref);
	g_clear_pointer(&lease->write_payload, g_bytes_unref);
	if (from_caller && lease->written)
		lease->written(lease->user, err);
}

/* A reply can come long after the last tick, so only a tick, which knows the
 * time, makes this node the holder. */
static void update_holding(sr_lease_t *lease)
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

/* Our own write is now the object. */
static void adopt_write(sr_lease_t *lease, guint64 version)
{
	gboolean is_release = lease->write_kind == PENDING_RELEASE;

	g_assert(lease->write_epoch >= lease->epoch);
	lease->version = version;
	lease->first_seen = NOT_YET;
	lease->epoch = lease->write_epoch;
	set_holder(lease, is_release ? "" : lease->owner);
	set_payload(lease, lease->write_payload);
	note_claim(lease, SR_LEASE_CLAIM_TAKEN);
	if (!is_release && lease->wanted)
		lease->held_until = lease->sent + lease->duration;
	end_write(lease, SR_OK);
}

static void observe(sr_lease_t *lease, guint64 version,
		    const lease_object_t *object)
{
	gboolean is_news = !lease->known || version != lease->version;

	lease->known = TRUE;
	if (!is_news)
		return;
	lease->version = version;
	lease->first_seen = NOT_YET;
	lease->epoch = MAX(lease->epoch, object->epoch);
	set_holder(lease, object->owner);
	set_payload(lease, object->payload);
	note(lease, SR_LEASE_SEEN, lease->epoch);
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
		.if_version = lease->version,
		.done = done,
		.user = lease,
	};

	sr_store_submit(lease->store, &call);
}

static void on_write(void *user, const sr_store_reply_t *reply);

/*
 * Sends the current write, for the first time or again. It carries the same
 * write id and condition each time, so at most one copy can take effect.
 */
static void send_write(sr_lease_t *lease)
{
	lease->pending = lease->write_kind;
	submit(lease, lease->version ? SR_STORE_UPDATE : SR_STORE_CREATE,
	       lease->write_value, on_write);
}

/* What a read says about a write whose reply was lost. */
static void settle_doubt(sr_lease_t *lease, guint64 version,
			 const lease_object_t *object)
{
	if (version == lease->version) {
		send_write(lease);
	} else if (object && object->write_id == lease->write_id) {
		adopt_write(lease, version);
	} else {
		/* it may have taken effect before the object moved on */
		step_down(lease);
		if (object)
			observe(lease, version, object);
		end_write(lease, SR_ERR_OUTCOME_UNKNOWN);
	}
}

static void on_missing(sr_lease_t *lease)
{
	if (lease->in_doubt) {
		settle_doubt(lease, 0, NULL);
		return;
	}
	step_down(lease);
	lease->known = TRUE;
	lease->version = 0;
	set_holder(lease, "");
	set_payload(lease, NULL);
}

static void on_read(void *user, const sr_store_reply_t *reply)
{
	sr_lease_t *lease = user;
	lease_object_t object;

	lease->pending = PENDING_NONE;
	if (reply->status == SR_STORE_NOT_FOUND) {
		on_missing(lease);
		return;
	}
	if (reply->status != SR_STORE_OK)
		return;
	decode(reply->value, &object);
	if (lease->in_doubt)
		settle_doubt(lease, reply->version, &object);
	else
		observe(lease, reply->version, &object);
	clear_object(&object);
}

static void read_object(sr_lease_t *lease)
{
	lease->pending = PENDING_READ;
	submit(lease, SR_STORE_GET, NULL, on_read);
}

static void on_conflict(sr_lease_t *lease)
{
	/* a repeated write can conflict with its own first copy */
	if (!lease->in_doubt) {
		note_claim(lease, SR_LEASE_CLAIM_CONFLICT);
		step_down(lease);
		end_write(lease, SR_ERR_STALE_FENCE);
	}
	if (lease->pending == PENDING_NONE)
		read_object(lease);
}

static void on_write(void *user, const sr_store_reply_t *reply)
{
	sr_lease_t *lease = user;

	lease->pending = PENDING_NONE;
	switch (reply->status) {
	case SR_STORE_OK:
		adopt_write(lease, reply->version);
		break;
	case SR_STORE_CONFLICT:
	case SR_STORE_NOT_FOUND:
		on_conflict(lease);
		break;
	case SR_STORE_UNKNOWN:
		note_claim(lease, SR_LEASE_CLAIM_UNKNOWN);
		lease->in_doubt = TRUE;
		read_object(lease);
		break;
	case SR_STORE_NOT_DONE:
	case SR_STORE_NOT_MODIFIED:
		note_claim(lease, SR_LEASE_CLAIM_NOT_DONE);
		if (!lease->in_doubt)
			end_write(lease, SR_ERR_PLATFORM);
		break;
	}
}

static void start_write(sr_lease_t *lease, pending_t kind, guint64 epoch,
			GBytes *payload)
{
	const char *owner = kind == PENDING_RELEASE ? "" : lease->owner;

	g_assert(lease->pending == PENDING_NONE && !lease->in_doubt);
	lease->write_kind = kind;
	lease->write_id = ((guint64)g_rand_int(lease->random) << 32) |
			  g_rand_int(lease->random);
	lease->write_epoch = epoch;
	lease->write_payload =
		payload ? g_bytes_ref(payload) : g_bytes_new(NULL, 0);
	lease->write_value =
		encode(owner, epoch, lease->write_id, lease->write_payload);
	lease->sent = lease->now;
	note_claim(lease, SR_LEASE_CLAIM_SENT);
	send_write(lease);
}

/* True if nobody else can believe to hold the object, and it may be taken. */
static gboolean may_claim(const sr_lease_t *lease)
{
	if (!lease->known || lease->now < lease->claims_from)
		return FALSE;
	if (lease->version == 0 || !*lease->holder || is_own(lease))
		return TRUE;
	return lease->first_seen != NOT_YET &&
	       lease->now - lease->first_seen >= lease->duration;
}

static void poll(sr_lease_t *lease)
{
	if (lease->in_doubt)
		read_object(lease);
	else if (lease->state == STATE_HELD)
		start_write(lease, PENDING_RENEW, lease->epoch, lease->payload);
	else if (is_own(lease) &&
		 (!lease->wanted || lease->now < lease->claims_from))
		start_write(lease, PENDING_RELEASE, lease->epoch,
			    lease->payload);
	else if (lease->wanted && may_claim(lease))
		start_write(lease, PENDING_CLAIM, lease->epoch + 1,
			    lease->payload);
	else if (lease->wanted)
		read_object(lease);
}

static sr_usec_t next_poll(const sr_lease_t *lease)
{
	sr_usec_t regular = lease->now + lease->duration / POLLS_PER_LEASE;
	sr_usec_t free_from =
		MAX(lease->first_seen + lease->duration, lease->claims_from);

	if (lease->state == STATE_FOLLOWING && lease->known &&
	    lease->first_seen != NOT_YET && free_from > lease->now)
		return MIN(regular, free_from);
	return regular;
}

sr_lease_t *sr_lease_new(const sr_lease_options_t *options)
{
	sr_lease_t *lease = g_new0(sr_lease_t, 1);

	lease->store = options->store;
	lease->class = options->class;
	lease->key = g_strdup(options->key);
	lease->owner = g_strdup(options->owner);
	lease->duration = options->duration;
	lease->acquired = options->acquired;
	lease->lost = options->lost;
	lease->written = options->written;
	lease->noted = options->noted;
	lease->user = options->user;
	lease->holder = g_strdup("");
	lease->first_seen = NOT_YET;
	lease->random = g_rand_new_with_seed(
		(guint32)(options->seed ^ (options->seed >> 32)));
	return lease;
}

void sr_lease_free(sr_lease_t *lease)
{
	if (!lease)
		return;
	sr_store_cancel_all(lease->store, lease);
	g_clear_pointer(&lease->write_value, g_bytes_unref);
	g_clear_pointer(&lease->write_payload, g_bytes_unref);
	g_clear_pointer(&lease->payload, g_bytes_unref);
	g_rand_free(lease->random);
	g_free(lease->holder);
	g_free(lease->key);
	g_free(lease->owner);
	g_free(lease);
}

void sr_lease_want(sr_lease_t *lease, gboolean wanted)
{
	lease->wanted = wanted;
}

void sr_lease_hold_off(sr_lease_t *lease, sr_usec_t until)
{
	lease->claims_from = until;
}

void sr_lease_tick(sr_lease_t *lease, sr_usec_t now)
{
	g_assert(now >= lease->now);
	lease->now = now;
	if (lease->first_seen == NOT_YET)
		lease->first_seen = now;
	update_holding(lease);
	if (lease->pending != PENDING_NONE || now < lease->next_poll)
		return;
	lease->next_poll = next_poll(lease);
	poll(lease);
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
	if (lease->pending != PENDING_NONE || lease->in_doubt)
		return SR_ERR_CONFLICT;
	start_write(lease, PENDING_RENEW, lease->epoch, payload);
	lease->from_caller = TRUE;
	lease->next_poll = next_poll(lease); /* it renews as well */
	return SR_OK;
}

void sr_lease_release(sr_lease_t *lease, sr_usec_t now)
{
	lease->now = MAX(lease->now, now);
	lease->wanted = FALSE;
	step_down(lease);
	if (lease->pending == PENDING_NONE && !lease->in_doubt && is_own(lease))
		start_write(lease, PENDING_RELEASE, lease->epoch,
			    lease->payload);
}
