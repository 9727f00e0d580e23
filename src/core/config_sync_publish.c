#include "core/config_sync_internal.h"

#define RETRY (300 * SR_MSEC)

typedef enum {
	STEP_READ,
	STEP_WRITE,
} step_t;

typedef struct {
	sr_list_t link;
	sr_config_sync_t *sync;
	guint64 base;
	GBytes *text;
	guint64 write; /* names this publication inside the object */
	sr_publish_fn done;
	void *user;
	step_t step;
	gboolean calling;
	gboolean in_doubt; /* a write may have taken effect */
	sr_usec_t give_up;
	sr_usec_t retry_at;
	guint64 version;	   /* of the object that is to be replaced */
	sr_config_object_t latest; /* without its text */
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

static void accept(publication_t *p, guint64 version)
{
	if (p->base + 1 > p->sync->generation)
		sr_config_sync_adopt(p->sync, p->base + 1, version, p->text);
	finish(p, SR_OK, p->base + 1);
}

/* What the object says of a write whose answer was lost. */
static gboolean resolve_doubt(publication_t *p)
{
	guint64 generation = p->base + 1;

	if (!p->in_doubt || p->latest.generation < generation)
		return FALSE;
	switch (sr_config_object_owner(&p->latest, generation, p->write)) {
	case SR_WRITE_OURS:
		accept(p, p->version);
		break;
	case SR_WRITE_OTHER:
		finish(p, SR_ERR_CONFLICT, p->latest.generation);
		break;
	case SR_WRITE_TOO_OLD:
		finish(p, SR_ERR_OUTCOME_UNKNOWN, p->latest.generation);
		break;
	}
	return TRUE;
}

/* The platform's object is known; it is replaced if it is the base. */
static void decide(publication_t *p)
{
	guint64 current = MAX(p->latest.generation, p->sync->generation);

	if (resolve_doubt(p))
		return;
	if (current != p->base) {
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
		      MAX(delay, sr_config_sync_jitter(p->sync, RETRY));
}

static void on_read(void *user, const sr_store_reply_t *reply)
{
	publication_t *p = user;

	p->calling = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
		if (!sr_config_object_decode(reply->value, &p->latest)) {
			retry_later(p, STEP_READ, 0);
			return;
		}
		p->version = reply->version;
		sr_config_sync_take(p->sync, reply->value, reply->version,
				    &p->latest);
		decide(p);
		return;
	case SR_STORE_NOT_FOUND:
		p->version = 0;
		p->latest = (sr_config_object_t){ 0 };
		decide(p);
		return;
	default:
		retry_later(p, STEP_READ, reply->retry_after);
		return;
	}
}

static void on_write(void *user, const sr_store_reply_t *reply)
{
	publication_t *p = user;

	p->calling = FALSE;
	switch (reply->status) {
	case SR_STORE_OK:
		accept(p, reply->version);
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
		p->in_doubt = TRUE;
		retry_later(p, STEP_READ, 0);
		return;
	}
}

static GBytes *new_value(const publication_t *p)
{
	sr_config_object_t object = { .generation = p->base + 1,
				      .writes = { p->write },
				      .n_writes = 1 };

	object.text = g_bytes_get_data(p->text, &object.size);
	/* After a gap in the generations the older write ids mean nothing. */
	if (p->latest.generation == p->base)
		for (unsigned i = 0; i < p->latest.n_writes &&
				     object.n_writes < SR_CONFIG_HISTORY;
		     i++)
			object.writes[object.n_writes++] = p->latest.writes[i];
	return sr_config_object_encode(&object);
}

static void submit(publication_t *p)
{
	sr_store_call_t call = { .op = SR_STORE_GET,
				 .class = SR_STORE_CONFIG,
				 .key = SR_CONFIG_KEY,
				 .done = on_read,
				 .user = p };

	p->calling = TRUE;
	if (p->step == STEP_READ) {
		sr_store_submit(p->sync->options.store, &call);
		return;
	}
	call.op = p->version ? SR_STORE_UPDATE : SR_STORE_CREATE;
	call.if_version = p->version;
	call.value = new_value(p);
	call.done = on_write;
	sr_store_submit(p->sync->options.store, &call);
	g_bytes_unref(call.value);
}

static void give_up(publication_t *p)
{
	sr_store_cancel_all(p->sync->options.store, p);
	if (p->in_doubt || (p->calling && p->step == STEP_WRITE))
		finish(p, SR_ERR_OUTCOME_UNKNOWN, 0);
	else
		finish(p, SR_ERR_PLATFORM, p->sync->generation);
}

void sr_publish_tick(sr_config_sync_t *sync)
{
	sr_list_for_each_safe (pos, &sync->publications) {
		publication_t *p = sr_list_entry(pos, publication_t, link);

		if (g_bytes_get_size(p->text) > SR_CONFIG_TEXT_MAX)
			finish(p, SR_ERR_TOO_LARGE, sync->generation);
		else if (sync->now >= p->give_up)
			give_up(p);
		else if (!p->calling && sync->now >= p->retry_at)
			submit(p);
	}
}

void sr_publish_clear(sr_config_sync_t *sync)
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
	p->base = base;
	p->text = g_bytes_new(text, size);
	p->write = (guint64)g_rand_int(sync->random) << 32 |
		   g_rand_int(sync->random);
	p->done = done;
	p->user = user;
	p->give_up = sync->now + SR_PUBLISH_LIMIT;
	p->retry_at = sync->now;
	sr_list_append(&sync->publications, &p->link);
}
