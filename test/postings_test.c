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
#define WAIT_S 20

/* What the upstream does once it has read a whole request. */
typedef enum {
	UPSTREAM_ANSWER,
	UPSTREAM_RESET,
	UPSTREAM_CLOSE,
	UPSTREAM_HALF,	   /* resets in the middle of its answer */
	UPSTREAM_NOT_RUN,  /* 503 that says so */
	UPSTREAM_KEEP_OPEN /* answers nothing until it is told to */
} upstream_mode_t;

typedef struct {
	GSocketService *service;
	char *address;
	upstream_mode_t mode;
	unsigned runs; /* whole requests read, the refused ones apart */
} upstream_t;

typedef struct {
	upstream_t *upstream;
	GSocketConnection *connection;
	GString *text;
	char buffer[4096];
} conversation_t;

typedef struct {
	struct world *world;
	char name[8];
	fake_client_t *client;
	sr_peer_t *peer;
	sr_gossip_t *gossip;
	sr_dispatch_t *dispatch;
	sr_upstream_client_t *http;
	sr_metrics_t *metrics;
	sr_trace_t *trace;
	sr_postings_t *postings;
} host_t;

typedef struct world {
	sr_clock_t *clock;
	fake_platform_t *platform;
	upstream_t upstream;
	sr_config_t *config;
	host_t hosts[N_HOSTS];
} world_t;

typedef struct {
	gboolean ended;
	sr_err_t err;
	sr_executed_t executed;
	unsigned status;
	char *body;
} outcome_t;

/* The upstream: raw sockets, so that it can break them as it likes */

static void reset(GSocketConnection *connection)
{
	GSocket *socket = g_socket_connection_get_socket(connection);
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	g_socket_close(socket, NULL);
}

static void say(GSocketConnection *connection, const char *text)
{
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL);
}

static void answer(conversation_t *talk)
{
	static const char whole[] = "HTTP/1.1 201 Created\r\n"
				    "Content-Length: 6\r\n\r\nposted";
	upstream_t *upstream = talk->upstream;

	if (upstream->mode != UPSTREAM_NOT_RUN)
		upstream->runs++;
	switch (upstream->mode) {
	case UPSTREAM_ANSWER:
		say(talk->connection, whole);
		break;
	case UPSTREAM_RESET:
		reset(talk->connection);
		break;
	case UPSTREAM_CLOSE:
		g_io_stream_close(G_IO_STREAM(talk->connection), NULL, NULL);
		break;
	case UPSTREAM_HALF:
		say(talk->connection, "HTTP/1.1 201 Created\r\n"
				      "Content-Length: 600\r\n\r\nhalf");
		reset(talk->connection);
		break;
	case UPSTREAM_NOT_RUN:
		say(talk->connection,
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

static void talk_free(conversation_t *talk)
{
	g_object_unref(talk->connection);
	g_string_free(talk->text, TRUE);
	g_free(talk);
}

static void on_read(GObject *source, GAsyncResult *async, gpointer data)
{
	conversation_t *talk = data;
	gssize n =
		g_input_stream_read_finish(G_INPUT_STREAM(source), async, NULL);

	if (n <= 0) {
		talk_free(talk);
		return;
	}
	g_string_append_len(talk->text, talk->buffer, n);
	if (is_whole(talk->text)) {
		answer(talk);
		g_string_truncate(talk->text, 0);
	}
	g_input_stream_read_async(G_INPUT_STREAM(source), talk->buffer,
				  sizeof(talk->buffer), G_PRIORITY_DEFAULT,
				  NULL, on_read, talk);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	conversation_t *talk = g_new0(conversation_t, 1);

	talk->upstream = data;
	talk->connection = g_object_ref(connection);
	talk->text = g_string_new(NULL);
	g_input_stream_read_async(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)),
		talk->buffer, sizeof(talk->buffer), G_PRIORITY_DEFAULT, NULL,
		on_read, talk);
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

/* The entry hosts */

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	host_t *host = user;

	sr_peer_send_datagram(host->peer, address, data, size);
}

static void on_datagram(void *user, const guint8 *data, gsize size)
{
	host_t *host = user;

	sr_gossip_receive(host->gossip, sr_clock_now(host->world->clock), data,
			  size);
}

static void on_forward(void *user, sr_peer_request_t *request,
		       const sr_forward_t *forward)
{
	host_t *host = user;

	sr_postings_serve(host->postings, request, forward);
}

static GBytes *on_fetch(void *user, const char *key)
{
	return NULL;
}

static void on_heard(void *user, const sr_rumour_t *rumour)
{
}

static void on_member(void *user, const sr_member_t *member)
{
}

static void start_membership(host_t *host)
{
	sr_clock_t *clock = host->world->clock;
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
		.rumour_changed = on_heard,
		.member_changed = on_member,
		.user = host,
	};
	char *problem = NULL;

	host->peer = sr_peer_new(&peer, &problem);
	assert_non_null(host->peer);
	gossip.address = sr_peer_address(host->peer);
	host->gossip = sr_gossip_new(&gossip, sr_clock_now(clock));
}

static void host_start(world_t *world, unsigned i)
{
	host_t *host = &world->hosts[i];
	const sr_dispatch_options_t dispatch = { .failure_domain = "ahd",
						 .seed = i };
	const sr_trace_options_t trace = { .clock = world->clock };
	sr_postings_options_t options = {
		.clock = world->clock,
		.node = host->name,
		.failure_domain = "ahd",
		.seed = 100 + i,
		.lease = SR_SEC,
	};

	host->world = world;
	g_snprintf(host->name, sizeof(host->name), "host-%u", i);
	host->client = fake_client_new(world->platform);
	start_membership(host);
	host->dispatch = sr_dispatch_new(&dispatch);
	sr_dispatch_set_config(host->dispatch, sr_clock_now(world->clock),
			       world->config);
	host->http = sr_upstream_client_new();
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
	sr_postings_set_config(host->postings, world->config);
}

static void host_stop(host_t *host)
{
	if (!host->postings)
		return;
	sr_postings_free(host->postings);
	host->postings = NULL;
	sr_upstream_client_free(host->http);
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

static void world_start(world_t *world)
{
	GPtrArray *findings = sr_findings_new();
	char *text;

	memset(world, 0, sizeof(*world));
	world->clock = sr_clock_new_real();
	world->platform = fake_platform_new(3);
	fake_platform_run(world->platform, sr_clock_now(world->clock));
	upstream_start(&world->upstream);
	text = config_text(world->upstream.address);
	world->config = sr_config_parse(text, strlen(text), 1, findings);
	if (!world->config)
		fail_msg("%s", sr_findings_text(findings));
	for (unsigned i = 0; i < N_HOSTS; i++)
		host_start(world, i);
	sr_gossip_add_seed(world->hosts[1].gossip,
			   sr_peer_address(world->hosts[0].peer));
	g_free(text);
	g_ptr_array_unref(findings);
}

static void world_stop(world_t *world)
{
	for (unsigned i = 0; i < N_HOSTS; i++)
		host_stop(&world->hosts[i]);
	g_socket_service_stop(world->upstream.service);
	g_object_unref(world->upstream.service);
	g_free(world->upstream.address);
	sr_config_unref(world->config);
	fake_platform_free(world->platform);
	sr_clock_free(world->clock);
}

static gboolean on_alarm(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop for a while. */
static void turn(world_t *world, guint ms)
{
	gboolean over = FALSE;

	g_timeout_add(ms, on_alarm, &over);
	while (!over) {
		sr_usec_t now;

		g_main_context_iteration(NULL, TRUE);
		now = sr_clock_now(world->clock);
		fake_platform_run(world->platform, now);
		for (unsigned i = 0; i < N_HOSTS; i++)
			if (world->hosts[i].postings)
				sr_gossip_tick(world->hosts[i].gossip, now);
	}
}

static unsigned shard_of(const char *key)
{
	return sr_journal_shard_index("branch-12", key, SR_JOURNAL_N_SHARDS);
}

static host_t *holder_of(world_t *world, const char *key)
{
	for (int tries = 0; tries < WAIT_S * 20; tries++) {
		for (unsigned i = 0; i < N_HOSTS; i++) {
			host_t *host = &world->hosts[i];

			if (host->postings &&
			    sr_journal_is_held(
				    sr_postings_journal(host->postings),
				    shard_of(key)))
				return host;
		}
		turn(world, 50);
	}
	fail_msg("nobody holds the shard of %s", key);
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
		.deadline = sr_clock_now(host->world->clock) + 5 * SR_SEC,
		.done = on_done,
		.user = outcome,
	};

	memset(outcome, 0, sizeof(*outcome));
	sr_postings_submit(host->postings, &posting);
	g_bytes_unref(posting.body);
}

static void wait_for(world_t *world, const outcome_t *outcome)
{
	for (int tries = 0; tries < WAIT_S * 50 && !outcome->ended; tries++)
		turn(world, 20);
	assert_true(outcome->ended);
}

/* Posts through one host and checks what the caller is told. */
static void expect(world_t *world, host_t *host, const char *key,
		   sr_executed_t executed, unsigned status)
{
	outcome_t outcome;

	post(host, key, &outcome);
	wait_for(world, &outcome);
	assert_int_equal(outcome.executed, executed);
	assert_int_equal(outcome.status, status);
	if (status)
		assert_string_equal(outcome.body, "posted");
	g_free(outcome.body);
}

static host_t *other_than(world_t *world, const host_t *host)
{
	return host == &world->hosts[0] ? &world->hosts[1] : &world->hosts[0];
}

static void test_same_key_through_both_hosts_runs_once(void **state)
{
	world_t world;
	host_t *holder;
	outcome_t a;
	outcome_t b;

	world_start(&world);
	turn(&world, 2000);
	holder = holder_of(&world, "rev-1");
	post(holder, "rev-1", &a);
	post(other_than(&world, holder), "rev-1", &b);
	wait_for(&world, &a);
	wait_for(&world, &b);
	assert_int_equal(a.status, 201);
	assert_int_equal(b.status, 201);
	assert_string_equal(b.body, "posted");
	assert_int_equal(world.upstream.runs, 1);
	expect(&world, other_than(&world, holder), "rev-1", SR_EXECUTED_RUN,
	       201);
	assert_int_equal(world.upstream.runs, 1);
	g_free(a.body);
	g_free(b.body);
	world_stop(&world);
}

/* However the connection ends once the request was sent, it is not resent. */
static void test_broken_connection_is_not_sent_again(void **state)
{
	static const upstream_mode_t modes[] = { UPSTREAM_RESET, UPSTREAM_CLOSE,
						 UPSTREAM_HALF };
	world_t world;
	host_t *holder;

	world_start(&world);
	for (unsigned i = 0; i < G_N_ELEMENTS(modes); i++) {
		char *warm = g_strdup_printf("warm-%u", i);
		char *key = g_strdup_printf("rev-%u", i);

		world.upstream.mode = UPSTREAM_ANSWER;
		holder = holder_of(&world, warm);
		expect(&world, holder, warm, SR_EXECUTED_RUN, 201);
		world.upstream.runs = 0;
		world.upstream.mode = modes[i];
		holder = holder_of(&world, key);
		expect(&world, holder, key, SR_EXECUTED_UNKNOWN, 0);
		world.upstream.mode = UPSTREAM_ANSWER;
		expect(&world, holder, key, SR_EXECUTED_UNKNOWN, 0);
		turn(&world, 500);
		assert_int_equal(world.upstream.runs, 1);
		g_free(warm);
		g_free(key);
	}
	world_stop(&world);
}

static void test_refused_by_upstream_is_not_run(void **state)
{
	world_t world;
	host_t *holder;

	world_start(&world);
	world.upstream.mode = UPSTREAM_NOT_RUN;
	holder = holder_of(&world, "rev-1");
	expect(&world, holder, "rev-1", SR_EXECUTED_NOT_RUN, 0);
	turn(&world, 500);
	world.upstream.mode = UPSTREAM_ANSWER;
	expect(&world, holder_of(&world, "rev-1"), "rev-1", SR_EXECUTED_RUN,
	       201);
	assert_int_equal(world.upstream.runs, 1);
	world_stop(&world);
}

static void test_owner_dies_after_sending(void **state)
{
	world_t world;
	host_t *holder;
	host_t *other;
	outcome_t outcome;

	world_start(&world);
	turn(&world, 2000);
	holder = holder_of(&world, "rev-1");
	other = other_than(&world, holder);
	world.upstream.mode = UPSTREAM_KEEP_OPEN;
	post(other, "rev-1", &outcome);
	for (int i = 0; i < WAIT_S * 50 && !world.upstream.runs; i++)
		turn(&world, 20);
	assert_int_equal(world.upstream.runs, 1);
	host_stop(holder);
	wait_for(&world, &outcome);
	assert_int_equal(outcome.executed, SR_EXECUTED_UNKNOWN);
	world.upstream.mode = UPSTREAM_ANSWER;
	assert_ptr_equal(holder_of(&world, "rev-1"), other);
	expect(&world, other, "rev-1", SR_EXECUTED_UNKNOWN, 0);
	expect(&world, other, "rev-2", SR_EXECUTED_RUN, 201);
	assert_int_equal(world.upstream.runs, 2);
	g_free(outcome.body);
	world_stop(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_key_through_both_hosts_runs_once),
		cmocka_unit_test(test_broken_connection_is_not_sent_again),
		cmocka_unit_test(test_refused_by_upstream_is_not_run),
		cmocka_unit_test(test_owner_dies_after_sending),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
