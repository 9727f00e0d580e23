#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <gio/gio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/fields.h"
#include "daemon/postings.h"
#include "prove/fake_platform.c" /* NOLINT(bugprone-suspicious-include) */

#define SECRET "a secret of the test"
#define N_HOSTS 2
#define WAIT_TIMEOUT_S 20 /* seconds of real time */

/* Reaction of the upstream to a request, once it has read all of it. */
typedef enum {
	UPSTREAM_ANSWER,
	UPSTREAM_RESET,
	UPSTREAM_CLOSE,
	UPSTREAM_TRUNCATE, /* resets within its answer */
	UPSTREAM_NOT_RUN,  /* 503 with X-Executed: not-run */
	UPSTREAM_KEEP_OPEN /* never answers */
} upstream_mode_t;

typedef struct {
	GSocketService *service;
	char *address;
	upstream_mode_t mode;
	unsigned runs; /* requests read; not counted for UPSTREAM_NOT_RUN */
} upstream_t;

typedef struct {
	upstream_t *upstream;
	GSocketConnection *connection;
	GString *text; /* request so far */
	char buffer[4096];
} upstream_connection_t;

typedef struct {
	struct fixture *fixture;
	char name[8];
	fake_client_t *client;
	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_dispatch_t *dispatch;
	sr_http_client_t *http;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_postings_t *postings;
} host_t;

typedef struct fixture {
	sr_clock_t *clock;
	fake_platform_t *platform;
	upstream_t upstream;
	sr_config_t *config;
	host_t hosts[N_HOSTS];
} fixture_t;

typedef struct {
	gboolean ended; /* the callback was called */
	sr_err_t err;
	sr_executed_t executed;
	unsigned status;
	char *body;
} outcome_t;

/* The upstream, on plain sockets so that it can reset connections. */

static void reset(GSocketConnection *connection)
{
	GSocket *socket = g_socket_connection_get_socket(connection);
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	g_socket_close(socket, NULL);
}

static void send_text(GSocketConnection *connection, const char *text)
{
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL);
}

static void answer(upstream_connection_t *conn)
{
	static const char whole[] = "HTTP/1.1 201 Created\r\n"
				    "Content-Length: 6\r\n\r\nposted";
	upstream_t *upstream = conn->upstream;

	if (upstream->mode != UPSTREAM_NOT_RUN)
		upstream->runs++;
	switch (upstream->mode) {
	case UPSTREAM_ANSWER:
		send_text(conn->connection, whole);
		break;
	case UPSTREAM_RESET:
		reset(conn->connection);
		break;
	case UPSTREAM_CLOSE:
		g_io_stream_close(G_IO_STREAM(conn->connection), NULL, NULL);
		break;
	case UPSTREAM_TRUNCATE:
		send_text(conn->connection, "HTTP/1.1 201 Created\r\n"
					    "Content-Length: 600\r\n\r\nhalf");
		reset(conn->connection);
		break;
	case UPSTREAM_NOT_RUN:
		send_text(conn->connection,
			  "HTTP/1.1 503 Service Unavailable\r\n"
			  "X-Executed: not-run\r\nContent-Length: 0\r\n\r\n");
		break;
	case UPSTREAM_KEEP_OPEN:
		break;
	}
}

static gboolean is_whole(const GString *text)
{
	const char *end = strstr(text->str, "\r\n\r\n");
	const char *length = strstr(text->str, "Content-Length: ");

	return end && length &&
	       strlen(end + 4) >=
		       g_ascii_strtoull(length + strlen("Content-Length: "),
					NULL, 10);
}

static void upstream_connection_free(upstream_connection_t *conn)
{
	g_object_unref(conn->connection);
	g_string_free(conn->text, TRUE);
	g_free(conn);
}

static void on_read(GObject *source, GAsyncResult *async, gpointer data)
{
	upstream_connection_t *conn = data;
	gssize n =
		g_input_stream_read_finish(G_INPUT_STREAM(source), async, NULL);

	if (n <= 0) {
		upstream_connection_free(conn);
		return;
	}
	g_string_append_len(conn->text, conn->buffer, n);
	if (is_whole(conn->text)) {
		answer(conn);
		g_string_truncate(conn->text, 0);
	}
	g_input_stream_read_async(G_INPUT_STREAM(source), conn->buffer,
				  sizeof(conn->buffer), G_PRIORITY_DEFAULT,
				  NULL, on_read, conn);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	upstream_connection_t *conn = g_new0(upstream_connection_t, 1);

	conn->upstream = data;
	conn->connection = g_object_ref(connection);
	conn->text = g_string_new(NULL);
	g_input_stream_read_async(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)),
		conn->buffer, sizeof(conn->buffer), G_PRIORITY_DEFAULT, NULL,
		on_read, conn);
	return TRUE;
}

static void upstream_start(upstream_t *upstream)
{
	GInetAddress *loopback =
		g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address = g_inet_socket_address_new(loopback, 0);
	GSocketAddress *bound = NULL;

	upstream->service = g_socket_service_new();
	g_socket_listener_add_address(G_SOCKET_LISTENER(upstream->service),
				      address, G_SOCKET_TYPE_STREAM,
				      G_SOCKET_PROTOCOL_TCP, NULL, &bound,
				      NULL);
	upstream->address = g_strdup_printf(
		"127.0.0.1:%u",
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	g_signal_connect(upstream->service, "incoming", G_CALLBACK(on_incoming),
			 upstream);
	g_object_unref(bound);
	g_object_unref(address);
	g_object_unref(loopback);
}

/* The entry hosts. */

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	host_t *host = user;

	sr_peer_send_datagram(host->peer, address, data, size);
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	host_t *host = user;

	sr_gossip_receive(host->gossip, sr_clock_now(host->fixture->clock),
			  data, size);
}

static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	host_t *host = user;

	sr_postings_submit_forwarded(host->postings, request, forward);
}

static GBytes *on_fetch(void *user, const char *key)
{
	return NULL;
}

static void on_rumour_changed(void *user, const sr_rumour_t *rumour)
{
}

static void on_member(void *user, const sr_member_t *member)
{
}

static void start_membership(host_t *host)
{
	sr_clock_t *clock = host->fixture->clock;
	const sr_peer_options_t peer = {
		.clock = clock,
		.address = "127.0.0.1:0",
		.cluster = "test",
		.secret = (const guint8 *)SECRET,
		.secret_size = strlen(SECRET),
		.node = host->name,
		.incarnation = 1,
		.datagram = on_datagram,
		.forward = on_forward,
		.fetch = on_fetch,
		.user = host,
	};
	sr_gossip_options_t gossip = {
		.name = host->name,
		.failure_domain = "ahd",
		.incarnation = 1,
		.seed = g_str_hash(host->name),
		.send = on_send,
		.rumour_changed = on_rumour_changed,
		.member_changed = on_member,
		.user = host,
	};
	char *problem = NULL;

	host->peer = sr_peer_new(&peer, &problem);
	assert_non_null(host->peer);
	gossip.address = sr_peer_address(host->peer);
	host->gossip = sr_gossip_new(&gossip, sr_clock_now(clock));
}

static void host_start(fixture_t *fixture, unsigned i)
{
	host_t *host = &fixture->hosts[i];
	const sr_dispatch_options_t dispatch = { .failure_domain = "ahd",
						 .seed = i };
	const sr_trace_options_t trace = { .clock = fixture->clock };
	sr_postings_options_t options = {
		.clock = fixture->clock,
		.node = host->name,
		.failure_domain = "ahd",
		.seed = 100 + i,
		.lease = SR_SEC,
	};

	host->fixture = fixture;
	g_snprintf(host->name, sizeof(host->name), "host-%u", i);
	host->client = fake_client_new(fixture->platform);
	start_membership(host);
	host->dispatch = sr_dispatch_new(&dispatch);
	sr_dispatch_set_config(host->dispatch, sr_clock_now(fixture->clock),
			       fixture->config);
	host->http = sr_http_client_new(
		&(sr_http_client_options_t){ .clock = fixture->clock });
	host->metrics = sr_metrics_new();
	host->trace = sr_trace_new(&trace);
	options.metrics = host->metrics;
	options.trace = host->trace;
	options.dispatch = host->dispatch;
	options.upstream = host->http;
	options.store = fake_client_store(host->client);
	options.gossip = host->gossip;
	options.peer = host->peer;
	host->postings = sr_postings_new(&options);
	sr_postings_set_config(host->postings, fixture->config);
}

static void host_stop(host_t *host)
{
	if (!host->postings)
		return;
	sr_postings_free(host->postings);
	host->postings = NULL;
	sr_http_client_free(host->http);
	sr_dispatch_free(host->dispatch);
	sr_gossip_free(host->gossip);
	sr_peer_free(host->peer);
	sr_trace_free(host->trace);
	sr_metrics_free(host->metrics);
	fake_client_free(host->client);
}

static char *config_text(const char *address)
{
	return g_strdup_printf(
		"{\"services\": [{\"name\": \"payledger\", \"kind\": \"plain\","
		" \"path\": \"/ledger\", \"routes\": [{\"name\": \"revise\","
		" \"method\": \"POST\", \"path\": \"/ledger\","
		" \"priority\": \"lookup\", \"idempotent\": false,"
		" \"deadline_ms\": 5000}],"
		" \"versions\": [{\"name\": \"v1\", \"share\": 1}]}],"
		"\"accounts\": [{\"name\": \"branch-12\", \"home\": \"ahd\","
		" \"weight\": 1, "
		" \"token_sha256\": ["
		"\"98385a2a96674b532b7576ad2841f4e50a4485d8fc295c07a995632c451bfb65\"]}],"
		"\"upstreams\": [{\"name\": \"ledger-1\","
		" \"service\": \"payledger\", \"version\": \"v1\","
		" \"failure_domain\": \"ahd\", \"address\": \"%s\","
		" \"slots\": 8}], \"operators\": [{\"name\": \"ops\","
		" \"token_sha256\": ["
		"\"ec585b7be286a5088d8687af4ce027f389cd098e2bb0dee876d5521fa4468f59\"]}]}",
		address);
}

static void fixture_start(fixture_t *fixture)
{
	GPtrArray *findings = sr_findings_new();
	char *text;

	memset(fixture, 0, sizeof(*fixture));
	fixture->clock = sr_clock_new_real();
	fixture->platform = fake_platform_new(3);
	fake_platform_run(fixture->platform, sr_clock_now(fixture->clock));
	upstream_start(&fixture->upstream);
	text = config_text(fixture->upstream.address);
	fixture->config = sr_config_parse(text, strlen(text), 1, findings);
	if (!fixture->config)
		fail_msg("%s", sr_findings_text(findings));
	for (unsigned i = 0; i < N_HOSTS; i++)
		host_start(fixture, i);
	sr_gossip_add_seed(fixture->hosts[1].gossip,
			   sr_peer_address(fixture->hosts[0].peer));
	g_free(text);
	g_ptr_array_unref(findings);
}

static void fixture_stop(fixture_t *fixture)
{
	for (unsigned i = 0; i < N_HOSTS; i++)
		host_stop(&fixture->hosts[i]);
	g_socket_service_stop(fixture->upstream.service);
	g_object_unref(fixture->upstream.service);
	g_free(fixture->upstream.address);
	sr_config_unref(fixture->config);
	fake_platform_free(fixture->platform);
	sr_clock_free(fixture->clock);
}

static gboolean on_timeout(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop, the platform and gossip for ms of real time. */
static void run_loop(fixture_t *fixture, guint ms)
{
	gboolean timed_out = FALSE;

	g_timeout_add(ms, on_timeout, &timed_out);
	while (!timed_out) {
		sr_usec_t now;

		g_main_context_iteration(NULL, TRUE);
		now = sr_clock_now(fixture->clock);
		fake_platform_run(fixture->platform, now);
		for (unsigned i = 0; i < N_HOSTS; i++)
			if (fixture->hosts[i].postings)
				sr_gossip_tick(fixture->hosts[i].gossip, now);
	}
}

static unsigned shard_of(const char *key)
{
	return sr_journal_shard_index("branch-12", key, SR_JOURNAL_N_SHARDS);
}

/* Waits for a host to hold the shard of a key. */
static host_t *holder_of(fixture_t *fixture, const char *key)
{
	for (int tries = 0; tries < WAIT_TIMEOUT_S * 20; tries++) {
		for (unsigned i = 0; i < N_HOSTS; i++) {
			host_t *host = &fixture->hosts[i];

			if (host->postings &&
			    sr_journal_is_held(
				    sr_postings_journal(host->postings),
				    shard_of(key)))
				return host;
		}
		run_loop(fixture, 50);
	}
	fail_msg("no host holds the shard of key %s", key);
	return NULL;
}

static void on_done(void *user, const sr_posting_result_t *result)
{
	outcome_t *outcome = user;
	gsize size = 0;
	const char *body =
		result->body ? g_bytes_get_data(result->body, &size) : NULL;

	assert_false(outcome->ended);
	outcome->ended = TRUE;
	outcome->err = result->err;
	outcome->executed = result->executed;
	outcome->status = result->status;
	outcome->body = g_strndup(body ? body : "", size);
}

static void post(host_t *host, const char *key, outcome_t *outcome)
{
	const sr_posting_t posting = {
		.account = "branch-12",
		.service = "payledger",
		.route = "revise",
		.method = "POST",
		.path = "/ledger/revisions",
		.content_type = "text/plain",
		.key = key,
		.request_id = "r",
		.body = g_bytes_new_static("grade 7", 7),
		.deadline = sr_clock_now(host->fixture->clock) + 5 * SR_SEC,
		.done = on_done,
		.user = outcome,
	};

	memset(outcome, 0, sizeof(*outcome));
	sr_postings_submit(host->postings, &posting);
	g_bytes_unref(posting.body);
}

static void wait_for(fixture_t *fixture, const outcome_t *outcome)
{
	for (int tries = 0; tries < WAIT_TIMEOUT_S * 50 && !outcome->ended;
	     tries++)
		run_loop(fixture, 20);
	assert_true(outcome->ended);
}

/* Posts through a host and checks the result. */
static void expect_result(fixture_t *fixture, host_t *host, const char *key,
			  sr_executed_t executed, unsigned status)
{
	outcome_t outcome;

	post(host, key, &outcome);
	wait_for(fixture, &outcome);
	assert_int_equal(outcome.executed, executed);
	assert_int_equal(outcome.status, status);
	if (status)
		assert_string_equal(outcome.body, "posted");
	g_free(outcome.body);
}

static host_t *other_than(fixture_t *fixture, const host_t *host)
{
	return host == &fixture->hosts[0] ? &fixture->hosts[1] :
					    &fixture->hosts[0];
}

/* A posting must run once, also if it reaches two entry hosts at once. */
static void test_same_key_through_both_hosts_runs_once(void **state)
{
	fixture_t fixture;
	host_t *holder;
	outcome_t a;
	outcome_t b;

	fixture_start(&fixture);
	run_loop(&fixture, 2000);
	holder = holder_of(&fixture, "rev-1");
	post(holder, "rev-1", &a);
	post(other_than(&fixture, holder), "rev-1", &b);
	wait_for(&fixture, &a);
	wait_for(&fixture, &b);
	assert_int_equal(a.status, 201);
	assert_int_equal(b.status, 201);
	assert_string_equal(b.body, "posted");
	assert_int_equal(fixture.upstream.runs, 1);
	expect_result(&fixture, other_than(&fixture, holder), "rev-1",
		      SR_EXECUTED_RUN, 201);
	assert_int_equal(fixture.upstream.runs, 1);
	g_free(a.body);
	g_free(b.body);
	fixture_stop(&fixture);
}

/*
 * Guards against a second run: if the connection ends after the request was
 * sent, the request may have run and must not be sent again.
 */
static void test_broken_connection_is_not_sent_again(void **state)
{
	static const upstream_mode_t modes[] = { UPSTREAM_RESET, UPSTREAM_CLOSE,
						 UPSTREAM_TRUNCATE };
	fixture_t fixture;
	host_t *holder;

	fixture_start(&fixture);
	for (unsigned i = 0; i < G_N_ELEMENTS(modes); i++) {
		char *warm_up_key = g_strdup_printf("warm-%u", i);
		char *key = g_strdup_printf("rev-%u", i);

		fixture.upstream.mode = UPSTREAM_ANSWER;
		holder = holder_of(&fixture, warm_up_key);
		expect_result(&fixture, holder, warm_up_key, SR_EXECUTED_RUN,
			      201);
		fixture.upstream.runs = 0;
		fixture.upstream.mode = modes[i];
		holder = holder_of(&fixture, key);
		expect_result(&fixture, holder, key, SR_EXECUTED_UNKNOWN, 0);
		fixture.upstream.mode = UPSTREAM_ANSWER;
		expect_result(&fixture, holder, key, SR_EXECUTED_UNKNOWN, 0);
		run_loop(&fixture, 500);
		assert_int_equal(fixture.upstream.runs, 1);
		g_free(warm_up_key);
		g_free(key);
	}
	fixture_stop(&fixture);
}

/* A request that the upstream reported as not run may be repeated. */
static void test_refused_by_upstream_is_not_run(void **state)
{
	fixture_t fixture;
	host_t *holder;

	fixture_start(&fixture);
	fixture.upstream.mode = UPSTREAM_NOT_RUN;
	holder = holder_of(&fixture, "rev-1");
	expect_result(&fixture, holder, "rev-1", SR_EXECUTED_NOT_RUN, 0);
	run_loop(&fixture, 500);
	fixture.upstream.mode = UPSTREAM_ANSWER;
	expect_result(&fixture, holder_of(&fixture, "rev-1"), "rev-1",
		      SR_EXECUTED_RUN, 201);
	assert_int_equal(fixture.upstream.runs, 1);
	fixture_stop(&fixture);
}

/* The host that takes over the shard must not send the request again. */
static void test_owner_fails_after_sending(void **state)
{
	fixture_t fixture;
	host_t *holder;
	host_t *other;
	outcome_t outcome;

	fixture_start(&fixture);
	run_loop(&fixture, 2000);
	holder = holder_of(&fixture, "rev-1");
	other = other_than(&fixture, holder);
	fixture.upstream.mode = UPSTREAM_KEEP_OPEN;
	post(other, "rev-1", &outcome);
	for (int i = 0; i < WAIT_TIMEOUT_S * 50 && !fixture.upstream.runs; i++)
		run_loop(&fixture, 20);
	assert_int_equal(fixture.upstream.runs, 1);
	host_stop(holder);
	wait_for(&fixture, &outcome);
	assert_int_equal(outcome.executed, SR_EXECUTED_UNKNOWN);
	fixture.upstream.mode = UPSTREAM_ANSWER;
	assert_ptr_equal(holder_of(&fixture, "rev-1"), other);
	expect_result(&fixture, other, "rev-1", SR_EXECUTED_UNKNOWN, 0);
	expect_result(&fixture, other, "rev-2", SR_EXECUTED_RUN, 201);
	assert_int_equal(fixture.upstream.runs, 2);
	g_free(outcome.body);
	fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_key_through_both_hosts_runs_once),
		cmocka_unit_test(test_broken_connection_is_not_sent_again),
		cmocka_unit_test(test_refused_by_upstream_is_not_run),
		cmocka_unit_test(test_owner_fails_after_sending),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
