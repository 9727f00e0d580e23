#ifndef SR_TEST_PLATFORM_CRASH_BED_H
#define SR_TEST_PLATFORM_CRASH_BED_H

/*
 * Entry hosts of the platform in front of instances that some requests crash:
 * the instance closes all its connections and its listening socket, and starts
 * again after a while.
 */
#include <glib-unix.h>
#include <unistd.h>

#include "http/channel.h"
#include "http/parser.h"
#include "platform_store.h"

#define CRASH_BED_HOSTS 3
#define CRASH_BED_INSTANCES 10

/** Time from a request's arrival until the response begins, from then to the
 * crash, and between the events of a stream, in ms. */
#define BEGIN_MS 20
#define CRASH_MS 30
#define EVENT_MS 20
#define EVENTS 5

/** Time from a crash until the instance is registered again, in ms. */
#define RESTART_MS 1500

/** Tries to take the port of an instance again, and the pause between them. */
#define LISTEN_RETRIES 20
#define LISTEN_RETRY_US 20000

typedef struct crash_bed crash_bed_t;

typedef struct {
	crash_bed_t *bed;
	unsigned index;
	char address[32];
	int listener; /* -1 while the instance is down */
	guint accept_source;
	guint restart_timer;
	gint64 born; /* Unix ms */
	GPtrArray *connections;
} instance_t;

/** connection_t - a connection of an entry host to an instance */
typedef struct {
	instance_t *instance;
	sr_channel_t *channel;
	sr_parser_t *parser;
	guint timer; /* of the response that is being sent */
	gboolean crashes;
	unsigned n_events;
} connection_t;

struct crash_bed {
	sr_clock_t *clock;
	store_t store;
	instance_t instances[CRASH_BED_INSTANCES];
	sr_entry_host_settings_t *settings[CRASH_BED_HOSTS];
	sr_entry_host_t *hosts[CRASH_BED_HOSTS];
	SoupSession *session;
	/* Whether a request crashes the instance that begins to run it. */
	gboolean (*crashes)(const sr_message_t *request);
	gboolean ends_at_close; /* streams, with neither length nor chunks */
	GArray *ends;		/* times of instances' ends, gint64 in us */
	GArray *arrivals;	/* of requests that crash, gint64 in us */
	unsigned n_pending;
	unsigned first_host; /* calls go to the hosts from this one on... */
	unsigned n_hosts;    /* ...in turn, to so many of them */
};

/** sound_t - requests that crash nothing, and how many were answered in full.
 */
typedef struct {
	crash_bed_t *bed;
	unsigned n_sent;
	unsigned n_ok;
} sound_t;

/* Instances. */

static void crash_instance(instance_t *instance);

static void write_text(connection_t *connection, const char *text)
{
	sr_channel_write(connection->channel, text, strlen(text));
}

static void write_head(connection_t *connection, const char *framing)
{
	const sr_message_t *request = sr_parser_message(connection->parser);
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		"Response-Signature: s\r\n%s\r\n",
		sr_headers_get(request->headers, "Attempt-Id"), framing);

	write_text(connection, head);
	g_free(head);
}

static gboolean on_event_timer(gpointer user)
{
	connection_t *connection = user;
	char event[32];
	char *chunk;

	if (connection->n_events == EVENTS) {
		connection->timer = 0;
		if (connection->instance->bed->ends_at_close) {
			g_ptr_array_remove(connection->instance->connections,
					   connection);
			return G_SOURCE_REMOVE;
		}
		write_text(connection, "0\r\n\r\n");
		sr_parser_reset(connection->parser);
		return G_SOURCE_REMOVE;
	}
	g_snprintf(event, sizeof(event), "id: %u\ndata: x\n\n",
		   ++connection->n_events);
	if (connection->instance->bed->ends_at_close) {
		write_text(connection, event);
		return G_SOURCE_CONTINUE;
	}
	chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);
	write_text(connection, chunk);
	g_free(chunk);
	return G_SOURCE_CONTINUE;
}

static gboolean on_crash_timer(gpointer user)
{
	connection_t *connection = user;

	connection->timer = 0;
	crash_instance(connection->instance);
	return G_SOURCE_REMOVE;
}

static gboolean is_stream(const connection_t *connection)
{
	return g_str_has_prefix(sr_parser_message(connection->parser)->target,
				"/stream/");
}

static gboolean on_begin_timer(gpointer user)
{
	connection_t *connection = user;

	connection->n_events = 0;
	if (is_stream(connection))
		write_head(connection,
			   connection->instance->bed->ends_at_close ?
				   "Connection: close\r\n" :
				   "Transfer-Encoding: chunked\r\n");
	if (connection->crashes) {
		connection->timer =
			g_timeout_add(CRASH_MS, on_crash_timer, connection);
	} else if (is_stream(connection)) {
		connection->timer =
			g_timeout_add(EVENT_MS, on_event_timer, connection);
	} else {
		connection->timer = 0;
		write_head(connection, "Content-Length: 0\r\n");
		sr_parser_reset(connection->parser);
	}
	return G_SOURCE_REMOVE;
}

static void on_instance_received(void *user, const guint8 *data, gsize size)
{
	connection_t *connection = user;
	crash_bed_t *bed = connection->instance->bed;
	const sr_message_t *request = sr_parser_message(connection->parser);
	gsize used = 0;
	gint64 now = g_get_monotonic_time();

	assert_int_equal(sr_parser_feed(connection->parser, data, size, &used),
			 SR_OK);
	assert_int_equal(used, size);
	if (!request->is_complete)
		return;
	connection->crashes = bed->crashes(request);
	if (connection->crashes)
		g_array_append_val(bed->arrivals, now);
	connection->timer = g_timeout_add(BEGIN_MS, on_begin_timer, connection);
}

static void on_instance_ended(void *user, sr_channel_end_reason_t how)
{
	connection_t *connection = user;

	(void)how;
	g_ptr_array_remove(connection->instance->connections, connection);
}

static const sr_channel_events_t instance_events = {
	.received = on_instance_received,
	.ended = on_instance_ended,
};

static void free_connection(gpointer user)
{
	connection_t *connection = user;

	if (connection->timer)
		g_source_remove(connection->timer);
	sr_channel_free(connection->channel);
	sr_parser_free(connection->parser);
	g_free(connection);
}

static gboolean on_instance_accept(gint fd, GIOCondition ready, gpointer user)
{
	const sr_parser_options_t options = { .kind = SR_MESSAGE_REQUEST,
					      .max_header_size = 65536,
					      .max_body_size = 65536 };
	instance_t *instance = user;
	connection_t *connection = g_new0(connection_t, 1);

	(void)ready;
	connection->instance = instance;
	connection->parser = sr_parser_new(&options);
	connection->channel = sr_channel_new_from_fd(
		sr_accept(fd), &instance_events, connection);
	g_ptr_array_add(instance->connections, connection);
	return G_SOURCE_CONTINUE;
}

static void start_instance(instance_t *instance)
{
	char *key = g_strdup_printf("servers/i-%u", instance->index);
	char *spec;

	instance->born = g_get_real_time() / 1000;
	spec = g_strdup_printf(
		"{\"service\":\"model\",\"address\":\"%s\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
		"\"born\":%" G_GINT64_FORMAT "}",
		instance->address, instance->born);
	/* another process may have the port for a moment after a restart */
	instance->listener = sr_listen(instance->address);
	for (unsigned i = 0; instance->listener < 0 && i < LISTEN_RETRIES;
	     i++) {
		g_usleep(LISTEN_RETRY_US);
		instance->listener = sr_listen(instance->address);
	}
	assert_true(instance->listener >= 0);
	instance->accept_source = g_unix_fd_add(instance->listener, G_IO_IN,
						on_instance_accept, instance);
	put_text(&instance->bed->store, key, spec);
	g_free(spec);
	g_free(key);
}

static gboolean on_restart_timer(gpointer user)
{
	instance_t *instance = user;

	instance->restart_timer = 0;
	start_instance(instance);
	return G_SOURCE_REMOVE;
}

static void stop_instance(instance_t *instance)
{
	if (instance->listener < 0)
		return;
	g_source_remove(instance->accept_source);
	close(instance->listener);
	instance->listener = -1;
	g_ptr_array_set_size(instance->connections, 0);
}

static void crash_instance(instance_t *instance)
{
	gint64 now = g_get_monotonic_time();

	g_array_append_val(instance->bed->ends, now);
	stop_instance(instance);
	instance->restart_timer =
		g_timeout_add(RESTART_MS, on_restart_timer, instance);
}

/* Entry hosts. */

static void start_host(crash_bed_t *bed, unsigned i)
{
	sr_entry_host_options_t options = { .settings = bed->settings[i],
					    .clock = bed->clock,
					    .seed = i + 1 };
	char *detail = NULL;

	bed->hosts[i] = sr_entry_host_new(&options, &detail);
	assert_non_null(bed->hosts[i]);
}

static void make_hosts(crash_bed_t *bed)
{
	int peer_port = unused_port();
	int relay_port = unused_port();
	char *seeds = g_strdup_printf("[\"127.0.0.1:%d\"]", peer_port);

	for (unsigned i = 0; i < CRASH_BED_HOSTS; i++) {
		char node[8];
		char ip[16];
		const host_place_t place = { .node = node,
					     .failure_domain = "z",
					     .ip = ip,
					     .seeds = seeds,
					     .peer_port = peer_port,
					     .relay_port = relay_port };

		g_snprintf(node, sizeof(node), "n%u", i);
		g_snprintf(ip, sizeof(ip), "127.0.0.%u", i + 1);
		bed->settings[i] = make_settings(&bed->store, place);
		start_host(bed, i);
	}
	g_free(seeds);
}

static crash_bed_t *crash_bed_new(gboolean (*crashes)(const sr_message_t *))
{
	crash_bed_t *bed = g_new0(crash_bed_t, 1);

	bed->crashes = crashes;
	bed->n_hosts = CRASH_BED_HOSTS;
	bed->clock = sr_clock_new_real();
	bed->ends = g_array_new(FALSE, FALSE, sizeof(gint64));
	bed->arrivals = g_array_new(FALSE, FALSE, sizeof(gint64));
	store_init(&bed->store);
	put_text(&bed->store, "config/main",
		 "{\"version\":1,\"route_table\":["
		 "{\"name\":\"stream\",\"host\":\"h.example\",\"path_prefix\":"
		 "\"/stream/\",\"kind\":\"streaming\",\"resumable\":true,"
		 "\"timeout_ms\":2000,\"target_latency_ms\":500,\"priority\":1,"
		 "\"service\":\"model\",\"max_attempts\":2,\"public\":true},"
		 "{\"name\":\"plain\",\"host\":\"h.example\",\"path_prefix\":"
		 "\"/plain/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,"
		 "\"target_latency_ms\":500,\"priority\":1,\"service\":"
		 "\"model\",\"max_attempts\":2,\"public\":true}],"
		 "\"services\":[{\"name\":\"model\"}],\"limits\":{"
		 "\"max_header_bytes\":16384,\"max_body_bytes\":65536},"
		 "\"tenants\":[]}");
	for (unsigned i = 0; i < CRASH_BED_INSTANCES; i++) {
		instance_t *instance = &bed->instances[i];

		instance->bed = bed;
		instance->index = i;
		instance->connections =
			g_ptr_array_new_with_free_func(free_connection);
		g_snprintf(instance->address, sizeof(instance->address),
			   "127.0.0.1:%d", unused_port());
		start_instance(instance);
	}
	make_hosts(bed);
	bed->session = soup_session_new_with_options(
		"max-conns", 400, "max-conns-per-host", 200, NULL);
	run_for(1500);
	return bed;
}

static void crash_bed_free(crash_bed_t *bed)
{
	for (unsigned i = 0; i < CRASH_BED_HOSTS; i++) {
		sr_entry_host_free(bed->hosts[i]);
		sr_entry_host_settings_free(bed->settings[i]);
	}
	g_object_unref(bed->session);
	for (unsigned i = 0; i < CRASH_BED_INSTANCES; i++) {
		instance_t *instance = &bed->instances[i];

		stop_instance(instance);
		if (instance->restart_timer)
			g_source_remove(instance->restart_timer);
		g_ptr_array_unref(instance->connections);
	}
	store_clear(&bed->store);
	sr_clock_free(bed->clock);
	g_array_unref(bed->ends);
	g_array_unref(bed->arrivals);
	g_free(bed);
}

/* Callers. */

typedef struct {
	crash_bed_t *bed;
	sound_t *sound; /* NULL for a request that crashes */
} call_t;

static void on_response(GObject *source, GAsyncResult *result, gpointer user)
{
	SoupSession *session = SOUP_SESSION(source);
	call_t *call = user;
	SoupMessage *message =
		soup_session_get_async_result_message(session, result);
	GBytes *body = soup_session_send_and_read_finish(session, result, NULL);

	call->bed->n_pending--;
	if (call->sound)
		call->sound->n_ok +=
			body && soup_message_get_status(message) == 200;
	g_clear_pointer(&body, g_bytes_unref);
	g_free(call);
}

/* Sends a request to one host after the other; sound is NULL if it crashes
 * instances. */
static void send_call(crash_bed_t *bed, sound_t *sound, const char *path,
		      const char *parts, const char *body)
{
	static unsigned n;
	unsigned host = bed->first_host + n++ % bed->n_hosts;
	char *url = g_strdup_printf("http://%s%s",
				    bed->settings[host]->caller_address, path);
	SoupMessage *message = soup_message_new("POST", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	GBytes *bytes = g_bytes_new(body, strlen(body));
	call_t *call = g_new0(call_t, 1);
	char id[16];

	g_snprintf(id, sizeof(id), "%u", n);
	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "2000");
	if (parts)
		soup_message_headers_append(headers, "Prefix-Hash", parts);
	soup_message_set_request_body_from_bytes(message, "text/plain", bytes);
	call->bed = bed;
	call->sound = sound;
	bed->n_pending++;
	if (sound)
		sound->n_sent++;
	soup_session_send_and_read_async(bed->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_response,
					 call);
	g_object_unref(message);
	g_bytes_unref(bytes);
	g_free(url);
}

static void wait_for_responses(crash_bed_t *bed)
{
	while (bed->n_pending > 0)
		g_main_context_iteration(NULL, TRUE);
}

static gint64 time_of_end(const crash_bed_t *bed, unsigned i)
{
	return g_array_index(bed->ends, gint64, i);
}

/* Requests that crash and reached an instance from a time on. */
static unsigned arrivals_from(const crash_bed_t *bed, gint64 from)
{
	unsigned n = 0;

	for (guint i = 0; i < bed->arrivals->len; i++)
		n += g_array_index(bed->arrivals, gint64, i) >= from;
	return n;
}

/* A load, and the bound of the platform on it. */

/** Requests that crash and may still reach instances, and the time from which
 * that holds, after the end of the instance that shows what they are. */
#define ARRIVALS_MAX 3
#define CONTACT_US (3 * G_USEC_PER_SEC)

/** Interval of sound requests and of those that crash, in ms. */
#define SOUND_MS 15
#define CRASHING_MS 150

/** Duration of the load, in ms. */
#define LOAD_MS 9000

/** load_t - a load of sound requests and of some that crash instances. */
typedef struct {
	gboolean (*crashes)(const sr_message_t *request);
	GSourceFunc send_sound;
	GSourceFunc send_crashing;
	unsigned max_ends; /* until few requests that crash may reach instances
			    */
	gboolean ends_at_close;
} load_t;

/* Few requests that crash reach instances, and all sound ones are answered in
 * the second half of the load. */
static void check_held_back(const load_t *load)
{
	crash_bed_t *bed = crash_bed_new(load->crashes);
	sound_t sound = { .bed = bed };
	sound_t later = { .bed = bed };
	guint sound_timer = g_timeout_add(SOUND_MS, load->send_sound, &sound);
	guint crash_timer;

	bed->ends_at_close = load->ends_at_close;
	run_for(500);
	crash_timer = g_timeout_add(CRASHING_MS, load->send_crashing, bed);
	run_for(LOAD_MS / 2);
	g_source_remove(sound_timer);
	sound_timer = g_timeout_add(SOUND_MS, load->send_sound, &later);
	run_for(LOAD_MS / 2);
	g_source_remove(crash_timer);
	g_source_remove(sound_timer);
	wait_for_responses(bed);
	print_message("%u instances ended, %u of %u and %u of %u sound\n",
		      bed->ends->len, sound.n_ok, sound.n_sent, later.n_ok,
		      later.n_sent);
	if (bed->ends->len >= load->max_ends)
		assert_true(arrivals_from(bed,
					  time_of_end(bed, load->max_ends - 1) +
						  CONTACT_US) <= ARRIVALS_MAX);
	assert_true(later.n_ok == later.n_sent);
	crash_bed_free(bed);
}

#endif
