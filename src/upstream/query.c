#include "upstream/query.h"

#include <string.h>

#include "base/fields.h"
#include "base/list.h"

/** Maximum nesting depth of the JSON in a response. */
#define MAX_JSON_DEPTH 8

struct sr_queries {
	sr_http_client_t *client;
	sr_clock_t *clock;
	sr_list_t pending; /* query_t */
};

typedef struct {
	sr_list_t link;
	sr_fetch_t *fetch; /* NULL once it has ended */
	sr_timer_t *timer;
	GString *response_body;
	unsigned status;
	gboolean is_too_large;
	sr_query_fn done;
	void *user;
} query_t;

static void free_query(query_t *query)
{
	sr_list_remove(&query->link);
	sr_timer_cancel(query->timer);
	sr_fetch_cancel(query->fetch);
	g_string_free(query->response_body, TRUE);
	g_free(query);
}

static void end_query(query_t *query, unsigned status, json_object *response)
{
	sr_query_fn done = query->done;
	void *user = query->user;

	free_query(query);
	done(user, status, response);
	json_object_put(response);
}

static void on_timeout(void *user)
{
	query_t *query = user;

	query->timer = NULL;
	end_query(query, 0, NULL);
}

static void on_headers(void *user, unsigned status, const sr_headers_t *headers)
{
	((query_t *)user)->status = status;
}

static void on_data(void *user, const guint8 *data, gsize size)
{
	query_t *query = user;

	if (query->response_body->len + size > SR_QUERY_RESPONSE_MAX)
		query->is_too_large = TRUE;
	else
		g_string_append_len(query->response_body, (const char *)data,
				    (gssize)size);
}

static json_object *parse_response(const query_t *query)
{
	GPtrArray *findings = sr_findings_new();
	json_object *response = sr_json_read(
		query->response_body->str, query->response_body->len,
		SR_QUERY_RESPONSE_MAX, MAX_JSON_DEPTH, findings);

	g_ptr_array_unref(findings);
	return response;
}

static void on_end(void *user, sr_fetch_end_t end, const char *detail)
{
	query_t *query = user;

	query->fetch = NULL;
	if (end != SR_FETCH_COMPLETE || query->is_too_large)
		end_query(query, 0, NULL);
	else
		end_query(query, query->status, parse_response(query));
}

static GBytes *serialize(json_object *body)
{
	const char *text;

	if (!body)
		return NULL;
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	return g_bytes_new(text, strlen(text));
}

sr_queries_t *sr_queries_new(sr_http_client_t *client, sr_clock_t *clock)
{
	sr_queries_t *queries = g_new0(sr_queries_t, 1);

	queries->client = client;
	queries->clock = clock;
	sr_list_init(&queries->pending);
	return queries;
}

void sr_queries_free(sr_queries_t *queries)
{
	if (!queries)
		return;
	sr_list_for_each_safe (link, &queries->pending) {
		end_query(sr_list_entry(link, query_t, link), 0, NULL);
	}
	g_free(queries);
}

void sr_query(sr_queries_t *queries, const sr_query_options_t *options)
{
	query_t *query = g_new0(query_t, 1);
	sr_fetch_options_t fetch = {
		.address = options->address,
		.method = options->method,
		.path = options->path,
		.content_type = options->body ? "application/json" : NULL,
		.body = serialize(options->body),
		.idempotent = TRUE,
		.on_headers = on_headers,
		.on_data = on_data,
		.on_end = on_end,
		.user = query,
	};

	query->done = options->done;
	query->user = options->user;
	query->response_body = g_string_new(NULL);
	sr_list_append(&queries->pending, &query->link);
	/* the timer also ends a query that could not be sent */
	query->timer = sr_timer_start(queries->clock, SR_QUERY_TIMEOUT,
				      on_timeout, query);
	query->fetch = sr_http_send(queries->client, &fetch);
	g_clear_pointer(&fetch.body, g_bytes_unref);
}
