#include <string.h>

#include "fleet/fleet_internal.h"

/** Time for which the first table of a host that starts waits for the versions
 * of other hosts, and for the table of one of them. */
#define ANSWER_TIMEOUT (400 * SR_MSEC)

/** Key under which a host serves the version of its table. */
#define VERSION_KEY "table-version"

typedef struct {
	sr_start_table_t *start;
	char *address;
	gboolean is_pending;
} query_t;

struct sr_start_table {
	sr_fleet_t *fleet;
	GPtrArray *queries; /* query_t */
	unsigned n_pending;
	guint64 version;     /* highest that another host has in force */
	const char *address; /* of that host; NULL if there is none */
	GBytes *held;	     /* the platform's table, or NULL */
	sr_timer_t *timer;
	gboolean is_fetching; /* the table of that host */
	gboolean is_over;
};

static void free_query(gpointer data)
{
	query_t *query = data;

	g_free(query->address);
	g_free(query);
}

/* The held table, if it is not older than one that was fetched. */
static void release(sr_start_table_t *start)
{
	GBytes *held = g_steal_pointer(&start->held);

	start->is_over = TRUE;
	sr_timer_cancel(start->timer);
	start->timer = NULL;
	if (held)
		start->fleet->platform_table_version =
			sr_fleet_apply_table(start->fleet, held, "platform");
	g_clear_pointer(&held, g_bytes_unref);
}

static void on_table(void *user, GBytes *value)
{
	sr_start_table_t *start = user;

	if (value)
		sr_fleet_apply_table(start->fleet, value, "peer");
	release(start);
}

static guint64 version_of(const sr_fleet_t *fleet, GBytes *text)
{
	sr_route_table_t *table = fleet->options.decode(text);
	guint64 version = table ? table->version : 0;

	if (table)
		sr_route_table_unref(table);
	return version;
}

static void decide(sr_start_table_t *start)
{
	sr_fleet_t *fleet = start->fleet;

	if (start->is_over || start->is_fetching || !start->held)
		return;
	if (!start->address ||
	    version_of(fleet, start->held) >= start->version) {
		release(start);
		return;
	}
	sr_log_event(fleet->options.log, SR_LOG_INFO, "table-held", "source",
		     start->address, "outcome",
		     "another host has a newer one, which is fetched", NULL);
	start->is_fetching = TRUE;
	sr_fleet_fetch(fleet, start->address, SR_FLEET_TABLE_KEY,
		       ANSWER_TIMEOUT, on_table, start);
}

static void on_version(void *user, GBytes *value)
{
	query_t *query = user;
	sr_start_table_t *start = query->start;
	gsize size = 0;
	const char *data = value ? g_bytes_get_data(value, &size) : NULL;
	char *text = g_strndup(data ? data : "", size);
	guint64 version;

	if (g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64, &version,
				       NULL) &&
	    version > start->version) {
		start->version = version;
		start->address = query->address;
	}
	g_free(text);
	query->is_pending = FALSE;
	if (--start->n_pending == 0)
		decide(start);
}

static void on_timeout(void *user)
{
	sr_start_table_t *start = user;

	start->timer = NULL;
	decide(start);
}

static void ask(sr_start_table_t *start, const char *address)
{
	query_t *query = g_new0(query_t, 1);

	query->start = start;
	query->address = g_strdup(address);
	g_ptr_array_add(start->queries, query);
	start->n_pending++;
	sr_peer_fetch(start->fleet->peer, address, VERSION_KEY, ANSWER_TIMEOUT,
		      on_version, query);
}

sr_start_table_t *sr_start_table_new(sr_fleet_t *fleet)
{
	const GPtrArray *seeds = fleet->options.seeds;
	sr_start_table_t *start = g_new0(sr_start_table_t, 1);

	start->fleet = fleet;
	start->queries = g_ptr_array_new_with_free_func(free_query);
	for (guint i = 0; i < seeds->len; i++) {
		if (strcmp(seeds->pdata[i], fleet->options.peer_address) != 0)
			ask(start, seeds->pdata[i]);
	}
	return start;
}

void sr_start_table_free(sr_start_table_t *start)
{
	if (!start)
		return;
	sr_fleet_cancel_fetches(start->fleet, start);
	for (guint i = 0; i < start->queries->len; i++)
		sr_peer_cancel_calls(start->fleet->peer,
				     start->queries->pdata[i]);
	sr_timer_cancel(start->timer);
	g_clear_pointer(&start->held, g_bytes_unref);
	g_ptr_array_unref(start->queries);
	g_free(start);
}

gboolean sr_start_table_hold(sr_start_table_t *start, GBytes *text)
{
	if (start->is_over)
		return FALSE;
	g_clear_pointer(&start->held, g_bytes_unref);
	start->held = g_bytes_ref(text);
	if (start->n_pending == 0)
		decide(start);
	else if (!start->timer)
		start->timer =
			sr_timer_start(start->fleet->options.clock,
				       ANSWER_TIMEOUT, on_timeout, start);
	return TRUE;
}

GBytes *sr_start_table_answer(const sr_fleet_t *fleet, const char *key)
{
	char *text;

	if (strcmp(key, VERSION_KEY) != 0 || fleet->table_version == 0)
		return NULL;
	text = g_strdup_printf("%" G_GUINT64_FORMAT, fleet->table_version);
	return g_bytes_new_take(text, strlen(text));
}
