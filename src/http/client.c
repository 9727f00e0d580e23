#include "http/client.h"

#include <string.h>

#include "base/list.h"
#include "base/settings.h"
#include "http/channel.h"
#include "http/parser.h"

/** Maximum size of the head of a response, in bytes. */
#define MAX_RESPONSE_HEAD (64 * 1024)

/** Maximum size of the data of one on_data call, in bytes. */
#define DATA_SIZE (16 * 1024)

/** Time after which an idle connection is closed. */
#define IDLE_TIMEOUT (30 * SR_SEC)

/** Minimum interval of the search for idle connections to close. */
#define SWEEP_INTERVAL SR_SEC

struct sr_http_client {
	sr_http_client_options_t options;
	GHashTable *idle; /* IP:PORT -> sr_list_t of idle_t, latest last */
	sr_usec_t swept_at;
	sr_list_t fetches;
	unsigned n_fetches;
};

/** idle_t - a connection that can take a request */
typedef struct {
	sr_list_t link;
	sr_channel_t *channel;
	sr_usec_t since;
} idle_t;

struct sr_fetch {
	sr_list_t link;
	sr_http_client_t *client;   /* NULL once ended or cancelled */
	sr_fetch_options_t options; /* strings and body are not kept */
	char *address;
	GByteArray *request;
	sr_channel_t *channel; /* NULL after the response */
	sr_parser_t *parser;
	GBytes *body;	   /* read and not yet passed on; or NULL */
	gsize body_passed; /* bytes of it that were */
	gboolean has_end;  /* end and detail follow the body */
	sr_fetch_end_t end;
	const char *detail; /* static string */
	guint source;	    /* passes on body and end; or 0 */
	gboolean is_sent;
	gboolean is_reused;   /* the connection carried a request before */
	gboolean has_headers; /* on_headers was called */
	gboolean paused;
	unsigned references;
};

static void unref(sr_fetch_t *fetch)
{
	if (--fetch->references > 0)
		return;
	g_byte_array_unref(fetch->request);
	g_clear_pointer(&fetch->body, g_bytes_unref);
	sr_parser_free(fetch->parser);
	g_free(fetch->address);
	g_free(fetch);
}

static void close_idle(gpointer data)
{
	idle_t *idle = data;

	sr_channel_free(idle->channel);
	sr_list_remove(&idle->link);
	g_free(idle);
}

static void on_idle_received(void *user, const guint8 *data, gsize size)
{
	(void)data;
	(void)size;
	close_idle(user);
}

static void on_idle_ended(void *user, sr_channel_end_reason_t how)
{
	(void)how;
	close_idle(user);
}

static const sr_channel_events_t idle_events = {
	.received = on_idle_received,
	.ended = on_idle_ended,
};

static void free_idle_list(gpointer data)
{
	sr_list_t *list = data;

	sr_list_for_each_safe (link, list)
		close_idle(sr_list_entry(link, idle_t, link));
	g_free(list);
}

/* Closes the connections that have been idle for too long, and drops the lists
 * of addresses that have none. */
static void sweep_idle(sr_http_client_t *client)
{
	sr_usec_t now = sr_clock_now(client->options.clock);
	GHashTableIter iter;
	gpointer value;

	if (now - client->swept_at < SWEEP_INTERVAL)
		return;
	client->swept_at = now;
	g_hash_table_iter_init(&iter, client->idle);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sr_list_t *list = value;

		sr_list_for_each_safe (link, list) {
			idle_t *idle = sr_list_entry(link, idle_t, link);

			if (now - idle->since >= IDLE_TIMEOUT)
				close_idle(idle);
		}
		if (sr_list_is_empty(list))
			g_hash_table_iter_remove(&iter);
	}
}

static void put_idle(sr_fetch_t *fetch)
{
	sr_http_client_t *client = fetch->client;
	sr_list_t *list = g_hash_table_lookup(client->idle, fetch->address);
	idle_t *idle = g_new0(idle_t, 1);

	if (!list) {
		list = g_new0(sr_list_t, 1);
		sr_list_init(list);
		g_hash_table_insert(client->idle, g_strdup(fetch->address),
				    list);
	}
	idle->channel = fetch->channel;
	idle->since = sr_clock_now(client->options.clock);
	sr_list_append(list, &idle->link);
	sr_channel_set_paused(idle->channel, FALSE);
	sr_channel_set_events(idle->channel, &idle_events, idle);
}

/* NULL if there is none. The latest one is the least likely to have been closed
 * by the server. */
static sr_channel_t *take_idle(sr_http_client_t *client, const char *address)
{
	sr_list_t *list;
	sr_channel_t *channel;
	idle_t *idle;

	sweep_idle(client);
	list = g_hash_table_lookup(client->idle, address);
	if (!list || sr_list_is_empty(list))
		return NULL;
	idle = sr_list_entry(list->prev, idle_t, link);
	channel = idle->channel;
	sr_list_remove(&idle->link);
	g_free(idle);
	return channel;
}

/* Takes the fetch from its client, which holds a reference. */
static void unlink_fetch(sr_fetch_t *fetch)
{
	g_assert(fetch->client->n_fetches > 0);
	fetch->client->n_fetches--;
	fetch->client = NULL;
	sr_list_remove(&fetch->link);
	if (fetch->source)
		g_source_remove(fetch->source);
	if (fetch->channel)
		sr_channel_reset(fetch->channel);
	fetch->channel = NULL;
	unref(fetch);
}

static void end_fetch(sr_fetch_t *fetch, sr_fetch_end_t end, const char *detail)
{
	sr_fetch_options_t options = fetch->options;

	unlink_fetch(fetch);
	options.on_end(options.user, end, detail);
}

/* Keeps the connection after a complete response, or closes it. */
static void release_channel(sr_fetch_t *fetch, gboolean has_extra_bytes)
{
	const sr_message_t *response = sr_parser_message(fetch->parser);

	if (response->keeps_alive && !response->ends_at_close &&
	    !has_extra_bytes && sr_channel_is_flushed(fetch->channel))
		put_idle(fetch);
	else
		sr_channel_free(fetch->channel);
	fetch->channel = NULL;
}

/* Nothing more is read while a part of the body waits. */
static void update_channel(sr_fetch_t *fetch)
{
	if (fetch->channel)
		sr_channel_set_paused(fetch->channel,
				      fetch->paused || fetch->body);
}

static void pass_on_later(sr_fetch_t *fetch);

/* Passes on a part of the body, or the end after it. What is left follows in
 * later turns of the loop, so that what a reader writes on can leave between.
 * The fetch may be cancelled meanwhile. */
static void pass_on(sr_fetch_t *fetch)
{
	if (fetch->body && !fetch->paused) {
		gsize size;
		const guint8 *data = g_bytes_get_data(fetch->body, &size);
		gsize at = fetch->body_passed;
		gsize n = MIN(DATA_SIZE, size - at);

		fetch->body_passed += n;
		fetch->options.on_data(fetch->options.user, data + at, n);
		if (fetch->body_passed == size)
			g_clear_pointer(&fetch->body, g_bytes_unref);
	}
	update_channel(fetch);
	if (!fetch->client || fetch->paused)
		return;
	if (fetch->body)
		pass_on_later(fetch);
	else if (fetch->has_end)
		end_fetch(fetch, fetch->end, fetch->detail);
}

static void set_end(sr_fetch_t *fetch, sr_fetch_end_t end, const char *detail)
{
	fetch->has_end = TRUE;
	fetch->end = end;
	fetch->detail = detail;
}

static gboolean on_source(gpointer data)
{
	sr_fetch_t *fetch = data;

	fetch->references++;
	fetch->source = 0;
	pass_on(fetch);
	unref(fetch);
	return G_SOURCE_REMOVE;
}

static void pass_on_later(sr_fetch_t *fetch)
{
	if (!fetch->source)
		fetch->source = g_idle_add_full(G_PRIORITY_DEFAULT, on_source,
						fetch, NULL);
}

static void report_headers(sr_fetch_t *fetch)
{
	const sr_message_t *response = sr_parser_message(fetch->parser);

	if (!response->headers_complete || fetch->has_headers)
		return;
	fetch->has_headers = TRUE;
	fetch->options.on_headers(fetch->options.user, response->status,
				  response->headers);
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	sr_fetch_t *fetch = user;
	const sr_message_t *response = sr_parser_message(fetch->parser);
	gsize used = 0;
	sr_err_t err;

	fetch->references++;
	err = sr_parser_feed(fetch->parser, data, size, &used);
	if (err) {
		set_end(fetch, SR_FETCH_BROKEN,
			"the response is no valid HTTP/1.1");
	} else if (response->is_complete) {
		release_channel(fetch, used < size);
		set_end(fetch, SR_FETCH_COMPLETE, NULL);
	}
	if (response->body->len > 0) {
		fetch->body = sr_parser_take_body(fetch->parser);
		fetch->body_passed = 0;
	}
	report_headers(fetch);
	if (fetch->client)
		pass_on(fetch);
	unref(fetch);
}

static void send_request(sr_fetch_t *fetch)
{
	fetch->is_sent = TRUE;
	sr_channel_write(fetch->channel, fetch->request->data,
			 fetch->request->len);
}

static void on_connected(void *user)
{
	send_request(user);
}

static void connect_fetch(sr_fetch_t *fetch);

/* A server may close an idle connection just before it is used. */
static gboolean may_reconnect(const sr_fetch_t *fetch)
{
	return fetch->is_reused && fetch->options.idempotent &&
	       !sr_parser_has_input(fetch->parser);
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	sr_fetch_t *fetch = user;

	if (how == SR_CHANNEL_CONNECT_FAILED) {
		end_fetch(fetch, SR_FETCH_NOT_SENT,
			  "could not connect to the server");
	} else if (may_reconnect(fetch)) {
		sr_channel_free(fetch->channel);
		connect_fetch(fetch);
	} else if (how == SR_CHANNEL_CLOSED_BY_PEER &&
		   sr_parser_finish(fetch->parser) == SR_OK) {
		end_fetch(fetch, SR_FETCH_COMPLETE, NULL);
	} else {
		end_fetch(fetch, SR_FETCH_BROKEN,
			  how == SR_CHANNEL_CLOSED_BY_PEER ?
				  "the connection was closed before the end of "
				  "the response" :
				  "the connection was reset");
	}
}

static const sr_channel_events_t fetch_events = {
	.connected = on_connected,
	.received = on_received,
	.ended = on_ended,
};

static void connect_fetch(sr_fetch_t *fetch)
{
	fetch->is_reused = FALSE;
	fetch->channel =
		sr_channel_connect(fetch->address, &fetch_events, fetch);
	if (!fetch->channel) {
		set_end(fetch, SR_FETCH_NOT_SENT,
			"could not open a connection to the server");
		pass_on_later(fetch);
		return;
	}
	if (fetch->client->options.keeps_silent_connections)
		sr_channel_keep_silent(fetch->channel);
	update_channel(fetch);
}

static void open_connection(sr_fetch_t *fetch)
{
	if (fetch->options.idempotent)
		fetch->channel = take_idle(fetch->client, fetch->address);
	if (!fetch->channel) {
		connect_fetch(fetch);
		return;
	}
	fetch->is_reused = TRUE;
	sr_channel_set_events(fetch->channel, &fetch_events, fetch);
	send_request(fetch);
}

sr_http_client_t *sr_http_client_new(const sr_http_client_options_t *options)
{
	sr_http_client_t *client = g_new0(sr_http_client_t, 1);

	client->options = *options;
	client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_idle_list);
	sr_list_init(&client->fetches);
	return client;
}

void sr_http_client_free(sr_http_client_t *client)
{
	if (!client)
		return;
	sr_list_for_each_safe (link, &client->fetches)
		sr_fetch_cancel(sr_list_entry(link, sr_fetch_t, link));
	g_hash_table_unref(client->idle);
	g_free(client);
}

void sr_http_client_close_idle(sr_http_client_t *client)
{
	g_hash_table_remove_all(client->idle);
}

/* CONNECT is none: the bytes after its response are no body. */
static gboolean is_method(const char *method)
{
	return *method && strcmp(method, "CONNECT") != 0 &&
	       strspn(method, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS
		      "!#$%&'*+-.^_`|~") == strlen(method);
}

/* Whether the text can't end the line that it is part of. */
static gboolean is_line_part(const char *text, gboolean allows_blanks)
{
	for (; *text; text++) {
		if (*text == ' ' || *text == '\t' ? !allows_blanks :
						    g_ascii_iscntrl(*text))
			return FALSE;
	}
	return TRUE;
}

static gboolean is_sendable(const sr_fetch_options_t *options)
{
	GSocketAddress *address = sr_address_parse(options->address);

	if (!address)
		return FALSE;
	g_object_unref(address);
	for (unsigned i = 0; i < options->n_headers; i++) {
		const char *value = options->headers[i].value;

		if (value && !is_line_part(value, TRUE))
			return FALSE;
	}
	return is_method(options->method) && options->path[0] == '/' &&
	       is_line_part(options->path, FALSE) &&
	       (!options->content_type ||
		is_line_part(options->content_type, TRUE));
}

static GByteArray *serialize(const sr_fetch_options_t *options)
{
	gsize size = options->body ? g_bytes_get_size(options->body) : 0;
	GByteArray *out = g_byte_array_sized_new((guint)size + 1024);
	GString *head = g_string_new(NULL);

	g_string_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", options->method,
			options->path, options->address);
	for (unsigned i = 0; i < options->n_headers; i++) {
		if (options->headers[i].value)
			g_string_append_printf(head, "%s: %s\r\n",
					       options->headers[i].name,
					       options->headers[i].value);
	}
	if (options->body && options->content_type)
		g_string_append_printf(head, "Content-Type: %s\r\n",
				       options->content_type);
	if (options->body || !strcmp(options->method, "POST") ||
	    !strcmp(options->method, "PUT"))
		g_string_append_printf(head, "Content-Length: %zu\r\n", size);
	g_string_append(head, "\r\n");
	g_byte_array_append(out, (const guint8 *)head->str, (guint)head->len);
	if (options->body)
		g_byte_array_append(out, g_bytes_get_data(options->body, NULL),
				    (guint)size);
	g_string_free(head, TRUE);
	return out;
}

sr_fetch_t *sr_http_send(sr_http_client_t *client,
			 const sr_fetch_options_t *options)
{
	const sr_parser_options_t parser = {
		.kind = SR_MESSAGE_RESPONSE,
		.max_header_size = MAX_RESPONSE_HEAD,
		.max_body_size = G_MAXSIZE, /* it is passed on at once */
	};
	sr_fetch_t *fetch;

	if (!is_sendable(options))
		return NULL;
	fetch = g_new0(sr_fetch_t, 1);
	fetch->references = 1;
	fetch->client = client;
	fetch->options = *options;
	fetch->address = g_strdup(options->address);
	fetch->request = serialize(options);
	fetch->parser = sr_parser_new(&parser);
	if (!strcmp(options->method, "HEAD"))
		sr_parser_expect_no_body(fetch->parser);
	sr_list_append(&client->fetches, &fetch->link);
	client->n_fetches++;
	open_connection(fetch);
	return fetch;
}

void sr_fetch_pause(sr_fetch_t *fetch)
{
	fetch->paused = TRUE;
	update_channel(fetch);
}

void sr_fetch_resume(sr_fetch_t *fetch)
{
	if (!fetch->paused)
		return;
	fetch->paused = FALSE;
	update_channel(fetch);
	if (fetch->body || fetch->has_end)
		pass_on_later(fetch);
}

gboolean sr_fetch_is_sent(const sr_fetch_t *fetch)
{
	return fetch->is_sent;
}

void sr_fetch_cancel(sr_fetch_t *fetch)
{
	if (!fetch)
		return;
	g_assert(fetch->client);
	unlink_fetch(fetch);
}

unsigned sr_http_client_n_fetches(const sr_http_client_t *client)
{
	return client->n_fetches;
}
