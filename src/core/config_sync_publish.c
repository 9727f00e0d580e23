#include "core/config_sync_internal.h"

/* Shortest delay before a failed call is repeated, without jitter. */
#define RETRY_DELAY (300 * SR_MSEC)

/* The next call to the platform, or the pending one. */
typedef enum {
	STEP_READ,
	STEP_WRITE,
} step_t;

typedef struct {
	sr_list_t link;
	sr_config_sync_t *sync;
	guint64 base_generation;
	GBytes *text;
	guint64 write_id; /* identifies this publication in the object */
	sr_publish_fn done;
	void *user;
	step_t step;
	gboolean call_pending;
	gboolean write_unknown; /* the reply to a write was lost */
	sr_usec_t deadline;
	sr_usec_t retry_at;
	guint64 version;	   /* of the object to replace; 0: none */
	sr_config_object_t latest; /* as last read; its text is invalid */
} publication_t;

static void free_publication(publication_t *p)
{
	sr_list_remove(&p->link);
	g_bytes_unref(p->text);
	g_free(p);
}

static void finish(publication_t *p, sr_err_t err, guint64 generation)
{
	sr_publish_result_t result = { .err = err, .generation = generation };

	sr_list_remove(&p->link);
	p->done(p->user, &result);
	free_publication(p);
}

static void finish_accepted(publication_t *p, guint64 version)
{
	if (p->base_generation + 1 > p->sync->generation)
		sr_config_sync_apply(p->sync, p->base_generation + 1, version,
				     p->text);
	finish(p, SR_OK, p->base_generation + 1);
}

/* Finishes the publication if the object shows the result of a write whose
 * reply was lost. Returns TRUE if it is finished. */
static gboolean resolve_unknown_write(publication_t *p)
{
	guint64 generation = p->base_generation + 1;

	if (!p->write_unknown || p->latest.generation < generation)
		return FALSE;
	switch (sr_config_object_find_write(&p->latest, generation,
					    p->write_id)) {
	case SR_WRITE_FOUND:
		finish_accepted(p, p->version);
		break;
	case SR_WRITE_NOT_FOUND:
		finish(p, SR_ERR_CONFLICT, p->latest.generation);
		break;
	case SR_WRITE_EXPIRED:
		finish(p, SR_ERR_OUTCOME_UNKNOWN, p->latest.generation);
		break;
	}
	return TRUE;
}

/* Compares the object just read with the base: replaces it if they are the
 * same generation, and finishes with a conflict otherwise. */
static void check_base(publication_t *p)
{
	guint64 current = MAX(p->latest.generation, p->sync->generation);

	if (resolve_unknown_write(p))
		return;
	if (current != p->base_generation) {
		finish(p, SR_ERR_CONFLICT, current);
		return;
	}
	p->step = STEP_WRITE;
	p->retry_at = p->sync->now;
}

static void retry_later(publication_t *p, step_t step, sr_usec_t delay)
{
	p->step = step;
	p->retry_at = p->sync->now +
		      MAX(delay, sr_config_sync_jitter(p->sync, RETRY_DELAY));
}

static void on_read(void *user, const sr_store_reply_t *reply)
{
	publication_t *p = user;

	p->call_pending = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
		if (!sr_config_object_decode(reply->value, &p->latest)) {
			retry_later(p, STEP_READ, 0);
			return;
		}
		p->version = reply->version;
		sr_config_sync_process_object(p->sync, reply->value,
					      reply->version, &p->latest);
		check_base(p);
		return;
	case SR_STORE_NOT_FOUND:
		p->version = 0;
		p->latest = (sr_config_object_t){ 0 };
		check_base(p);
		return;
	default:
		retry_later(p, STEP_READ, reply->retry_after);
		return;
	}
}

static void on_write(void *user, const sr_store_reply_t *reply)
{
	publication_t *p = user;

	p->call_pending = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
		finish_accepted(p, reply->version);
		return;
	case SR_STORE_NOT_DONE:
		retry_later(p, STEP_WRITE, reply->retry_after);
		return;
	case SR_STORE_CONFLICT:
	case SR_STORE_NOT_FOUND:
		p->step = STEP_READ;
		p->retry_at = p->sync->now;
		return;
	default:
		p->write_unknown = TRUE;
		retry_later(p, STEP_READ, 0);
		return;
	}
}

static GBytes *encode_object(const publication_t *p)
{
	sr_config_object_t object = { .generation = p->base_generation + 1,
				      .write_ids = { p->write_id },
				      .n_write_ids = 1 };

	object.text = g_bytes_get_data(p->text, &object.size);
	/* If the object is older than the base, the positions of its write ids
	 * do not match the generations. */
	if (p->latest.generation == p->base_generation)
		for (unsigned i = 0;
		     i < p->latest.n_write_ids &&
		     object.n_write_ids < SR_CONFIG_WRITE_IDS_MAX;
		     i++)
			object.write_ids[object.n_write_ids++] =
				p->latest.write_ids[i];
	return sr_config_object_encode(&object);
}

static void submit(publication_t *p)
{
	sr_store_call_t call = { .op = SR_STORE_GET,
				 .class = SR_STORE_CONFIG,
				 .key = SR_CONFIG_KEY,
				 .done = on_read,
				 .user = p };

	p->call_pending = TRUE;
	if (p->step == STEP_READ) {
		sr_store_submit(p->sync->options.store, &call);
		return;
	}
	call.op = p->version ? SR_STORE_UPDATE : SR_STORE_CREATE;
	call.if_version = p->version;
	call.value = encode_object(p);
	call.done = on_write;
	sr_store_submit(p->sync->options.store, &call);
	g_bytes_unref(call.value);
}

static void time_out(publication_t *p)
{
	sr_store_cancel_all(p->sync->options.store, p);
	if (p->write_unknown || (p->call_pending && p->step == STEP_WRITE))
		finish(p, SR_ERR_OUTCOME_UNKNOWN, 0);
	else
		finish(p, SR_ERR_PLATFORM, p->sync->generation);
}

void sr_config_sync_publish_tick(sr_config_sync_t *sync)
{
	sr_list_for_each_safe (pos, &sync->publications) {
		publication_t *p = sr_list_entry(pos, publication_t, link);

		if (g_bytes_get_size(p->text) > SR_CONFIG_PUBLISH_SIZE_MAX)
			finish(p, SR_ERR_TOO_LARGE, sync->generation);
		else if (sync->now >= p->deadline)
			time_out(p);
		else if (!p->call_pending && sync->now >= p->retry_at)
			submit(p);
	}
}

void sr_config_sync_publish_clear(sr_config_sync_t *sync)
{
	sr_list_for_each_safe (pos, &sync->publications) {
		publication_t *p = sr_list_entry(pos, publication_t, link);

		sr_store_cancel_all(sync->options.store, p);
		free_publication(p);
	}
}

void sr_config_sync_publish(sr_config_sync_t *sync, guint64 base,
			    const char *text, gsize size, sr_publish_fn done,
			    void *user)
{
	publication_t *p = g_new0(publication_t, 1);

	p->sync = sync;
	p->base_generation = base;
	p->text = g_bytes_new(text, size);
	p->write_id = (guint64)g_rand_int(sync->random) << 32 |
		      g_rand_int(sync->random);
	p->done = done;
	p->user = user;
	p->deadline = sync->now + SR_PUBLISH_TIMEOUT;
	p->retry_at = sync->now;
	sr_list_append(&sync->publications, &p->link);
}
