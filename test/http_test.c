#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <malloc.h>
#include <netinet/tcp.h>
#include <time.h>
#include <unistd.h>

#include "http/channel.h"
#include "http/event_parser.h"
#include "http/parser.h"

static sr_parser_t *new_parser(sr_message_kind_t kind)
{
	const sr_parser_options_t options = {
		.kind = kind,
		.max_header_size = 1024,
		.max_body_size = 64,
	};

	return sr_parser_new(&options);
}

/* Feeds text in chunks until the message is complete; returns the first error
 * and, if remaining is set, the number of unused bytes. */
static sr_err_t feed_in_chunks(sr_parser_t *parser, const char *text,
			       gsize chunk_size, gsize *remaining)
{
	gsize size = strlen(text);
	gsize at = 0;

	while (at < size && !sr_parser_message(parser)->is_complete) {
		gsize used = 0;
		sr_err_t err =
			sr_parser_feed(parser, (const guint8 *)text + at,
				       MIN(chunk_size, size - at), &used);

		if (err)
			return err;
		at += used;
	}
	if (remaining)
		*remaining = size - at;
	return SR_OK;
}

static void test_request_is_parsed_unchanged(void **state)
{
	static const char text[] =
		"POST /a%2fb/../c?x=1 HTTP/1.1\r\nHost: h.example\r\n"
		"X-A:  two words \r\nContent-Length: 5\r\n\r\nhelloGET /";

	(void)state;
	for (gsize chunk_size = 1; chunk_size < sizeof(text); chunk_size++) {
		sr_parser_t *parser = new_parser(SR_MESSAGE_REQUEST);
		const sr_message_t *message = sr_parser_message(parser);
		gsize remaining;

		assert_int_equal(
			feed_in_chunks(parser, text, chunk_size, &remaining),
			SR_OK);
		assert_true(message->is_complete);
		assert_string_equal(message->method, "POST");
		assert_string_equal(message->target, "/a%2fb/../c?x=1");
		assert_string_equal(sr_headers_get(message->headers, "x-a"),
				    "two words");
		assert_int_equal(message->body->len, 5);
		assert_int_equal(remaining, strlen("GET /"));
		sr_parser_free(parser);
	}
}

static void test_chunked_request(void **state)
{
	sr_parser_t *parser = new_parser(SR_MESSAGE_REQUEST);
	gsize remaining;

	(void)state;
	assert_int_equal(
		feed_in_chunks(parser,
			       "POST / HTTP/1.1\r\nHost: h\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n"
			       "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\nX",
			       7, &remaining),
		SR_OK);
	assert_true(sr_parser_message(parser)->is_complete);
	assert_int_equal(sr_parser_message(parser)->body->len, 5);
	assert_null(sr_headers_get(sr_parser_message(parser)->headers, "T"));
	assert_int_equal(remaining, 1);
	sr_parser_free(parser);
}

/* Guards against request smuggling: two parsers could disagree on where each of
 * these messages ends and so hide a second request. */
static void test_ambiguous_requests_are_rejected(void **state)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		"Content-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, "
		"chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
		"xchunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : "
		"chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n4zz\r\nabcd\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n-1\r\nabcd\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\n2\r\nabcd\r\n0\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\nC: d\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\rC: d\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n folded\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n: empty\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
		"NOT-HTTP\r\n\r\n",
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
		for (gsize chunk_size = 1; chunk_size < 200; chunk_size += 33) {
			sr_parser_t *parser = new_parser(SR_MESSAGE_REQUEST);

			if (feed_in_chunks(parser, texts[i], chunk_size,
					   NULL) != SR_ERR_PROTOCOL)
				fail_msg(
					"request %zu was accepted in chunks of %zu",
					i, chunk_size);
			sr_parser_free(parser);
		}
	}
}

static void test_limits(void **state)
{
	sr_parser_t *parser = new_parser(SR_MESSAGE_REQUEST);
	GString *text = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nA: ");

	(void)state;
	for (int i = 0; i < 1100; i++)
		g_string_append_c(text, 'x');
	assert_int_equal(feed_in_chunks(parser, text->str, 100, NULL),
			 SR_ERR_INVALID);
	sr_parser_free(parser);
	parser = new_parser(SR_MESSAGE_REQUEST);
	assert_int_equal(feed_in_chunks(parser,
					"POST / HTTP/1.1\r\nHost: h\r\n"
					"Content-Length: 65\r\n\r\n",
					100, NULL),
			 SR_ERR_TOO_LARGE);
	sr_parser_free(parser);
	g_string_free(text, TRUE);
}

static void test_upgrade_is_an_ordinary_request(void **state)
{
	sr_parser_t *parser = new_parser(SR_MESSAGE_REQUEST);
	gsize remaining;

	(void)state;
	assert_int_equal(feed_in_chunks(parser,
					"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: "
					"x\r\nConnection: upgrade\r\n"
					"Content-Length: 3\r\n\r\nabcX",
					100, &remaining),
			 SR_OK);
	assert_true(sr_parser_message(parser)->is_complete);
	assert_int_equal(sr_parser_message(parser)->body->len, 3);
	assert_int_equal(remaining, 1);
	sr_parser_free(parser);
}

static void test_response_without_length(void **state)
{
	sr_parser_t *parser = new_parser(SR_MESSAGE_RESPONSE);

	(void)state;
	assert_int_equal(
		feed_in_chunks(parser, "HTTP/1.1 200 OK\r\n\r\nab", 3, NULL),
		SR_OK);
	assert_true(sr_parser_message(parser)->ends_at_close);
	assert_false(sr_parser_message(parser)->is_complete);
	assert_int_equal(sr_parser_finish(parser), SR_OK);
	assert_true(sr_parser_message(parser)->is_complete);
	sr_parser_free(parser);
}

static void test_truncated_response_is_incomplete(void **state)
{
	static const char *const texts[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"
		"\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
		sr_parser_t *parser = new_parser(SR_MESSAGE_RESPONSE);

		assert_int_equal(feed_in_chunks(parser, texts[i], 5, NULL),
				 SR_OK);
		assert_int_equal(sr_parser_finish(parser), SR_ERR_PROTOCOL);
		sr_parser_free(parser);
	}
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"

/* Guards against bytes that are no answer in HTTP/1.1 and are passed on as one:
 * a status that does not exist, or a field whose name is no token. */
static void test_malformed_responses_are_rejected(void **state)
{
	static const char *const texts[] = {
		/* status lines */
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n" OK_HEAD "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 00200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 -200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1\t200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200\tOK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 \r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 O\001K\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 O\033K\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 O\177K\r\nContent-Length: 0\r\n\r\n",
		"HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.10 200 OK\r\nContent-Length: 0\r\n\r\n",
		"http/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		/* nothing was asked that switches protocols */
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
		"Connection: upgrade\r\n\r\n" OK_HEAD
		"Content-Length: 0\r\n\r\n",
		/* field lines */
		OK_HEAD "A b: c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A : c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD " A: c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A\t: c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A\001: c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A\177: c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A\200: c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "(A): c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD ": c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "no colon\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "nocolon\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A: b\001c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "A: b\177c\r\nContent-Length: 0\r\n\r\n",
		OK_HEAD "Content-Length : 2\r\n\r\nab",
		OK_HEAD "Content-Length\001: 2\r\n\r\nab",
		OK_HEAD "Content-Length: 2\001\r\n\r\nab",
		OK_HEAD "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		OK_HEAD "Transfer-Encoding: chunked\001\r\n\r\n0\r\n\r\n",
		/* trailers */
		OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n"
			"A b: c\r\n\r\n",
		OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n"
			"A\001: c\r\n\r\n",
		OK_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n"
			"A: b\001c\r\n\r\n",
	};

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
		for (gsize chunk_size = 1; chunk_size < 200; chunk_size += 33) {
			sr_parser_t *parser = new_parser(SR_MESSAGE_RESPONSE);

			if (feed_in_chunks(parser, texts[i], chunk_size,
					   NULL) != SR_ERR_PROTOCOL)
				fail_msg(
					"response %zu was accepted in chunks of %zu: %s\n",
					i, chunk_size, texts[i]);
			sr_parser_free(parser);
		}
	}
}

static void test_interim_response_is_skipped(void **state)
{
	sr_parser_t *parser = new_parser(SR_MESSAGE_RESPONSE);

	(void)state;
	assert_int_equal(feed_in_chunks(parser,
					"HTTP/1.1 100 Continue\r\n\r\n"
					"HTTP/1.1 204 No Content\r\n\r\n",
					9, NULL),
			 SR_OK);
	assert_int_equal(sr_parser_message(parser)->status, 204);
	assert_true(sr_parser_message(parser)->is_complete);
	sr_parser_free(parser);
}

static void test_hop_by_hop_fields(void **state)
{
	sr_headers_t *headers = sr_headers_new();

	(void)state;
	sr_headers_add(headers, "Connection", "close, X-Mine");
	assert_true(sr_headers_is_hop_by_hop(headers, "x-mine"));
	assert_true(sr_headers_is_hop_by_hop(headers, "Keep-Alive"));
	assert_false(sr_headers_is_hop_by_hop(headers, "X-Min"));
	sr_headers_free(headers);
}

/** Fields of a head of 64 KB, and the processor time that looking at all may
 * take, in s: that of a long turn of the loop. */
#define MANY_FIELDS 16000
#define MANY_FIELDS_TIME 0.05

/* Guards against a head of many tiny fields that holds up the loop: each of
 * them was compared with all others. */
static void test_many_fields_are_looked_at_once(void **state)
{
	static const char *const names[] = { "Connection", "a" };
	clock_t started = clock();

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(names); i++) {
		sr_headers_t *headers = sr_headers_new();

		for (unsigned k = 0; k < MANY_FIELDS; k++)
			sr_headers_add(headers, names[i], "b");
		for (unsigned k = 0; k < MANY_FIELDS; k++)
			assert_int_equal(
				sr_headers_is_hop_by_hop(headers, names[i]),
				i == 0);
		assert_int_equal(sr_headers_is_hop_by_hop(headers, "B"),
				 i == 0);
		sr_headers_free(headers);
	}
	assert_true((double)(clock() - started) / CLOCKS_PER_SEC <
		    MANY_FIELDS_TIME);
}

static void test_events_are_split_at_boundaries(void **state)
{
	static const char text[] = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"
				   ": note\n\nid: 3\nda";

	(void)state;
	for (gsize chunk_size = 1; chunk_size < sizeof(text); chunk_size++) {
		sr_event_parser_t *events = sr_event_parser_new();
		GString *out = g_string_new(NULL);
		sr_event_t event;
		guint64 ids = 0;

		for (gsize at = 0; at < strlen(text); at += chunk_size) {
			assert_true(sr_event_parser_feed(
				events, (const guint8 *)text + at,
				MIN(chunk_size, strlen(text) - at)));
			while (sr_event_parser_next(events, &event)) {
				g_string_append_len(out,
						    (const char *)event.data,
						    (gssize)event.size);
				if (event.has_id)
					ids = ids * 10 + event.id;
			}
		}
		assert_int_equal(ids, 12);
		assert_int_equal(out->len, strlen(text) - strlen("id: 3\nda"));
		assert_memory_equal(out->str, text, out->len);
		assert_false(sr_event_parser_is_between_events(events));
		sr_event_parser_free(events);
		g_string_free(out, TRUE);
	}
}

/* Guards against a run of line feeds that is taken for as many events. The
 * bytes have to stay the same all the same. */
static void test_empty_lines_are_no_events(void **state)
{
	static const char text[] = "\n\r\n\ndata: a\n\n\n\n";
	static const char first[] = "\n\r\n\ndata: a\n\n";
	sr_event_parser_t *events = sr_event_parser_new();
	sr_event_t event;
	gsize rest;

	(void)state;
	assert_true(sr_event_parser_feed(events, (const guint8 *)text, 4));
	assert_false(sr_event_parser_next(events, &event));
	assert_true(sr_event_parser_is_between_events(events));
	assert_true(sr_event_parser_feed(events, (const guint8 *)text + 4,
					 strlen(text) - 4));
	assert_true(sr_event_parser_next(events, &event));
	assert_int_equal(event.size, strlen(first));
	assert_memory_equal(event.data, first, event.size);
	assert_false(sr_event_parser_next(events, &event));
	assert_true(sr_event_parser_is_between_events(events));
	assert_memory_equal(sr_event_parser_rest(events, &rest), "\n\n", 2);
	assert_int_equal(rest, 2);
	sr_event_parser_free(events);
}

/** Bytes of one read, and the processor time that an event of the largest size
 * may take in such reads, in s: well below a turn of the loop for each read. */
#define SMALL_READ 16
#define LARGE_EVENT_TIME 1.0

/* Guards against an event that is searched for its end from its beginning with
 * each read. */
static void test_large_event_in_small_reads(void **state)
{
	sr_event_parser_t *events = sr_event_parser_new();
	guint8 data[SMALL_READ];
	sr_event_t event;
	clock_t started = clock();
	gsize size = 0;

	(void)state;
	memset(data, 'x', sizeof(data));
	for (; size + SMALL_READ < SR_EVENT_BUFFER_MAX; size += SMALL_READ) {
		assert_true(sr_event_parser_feed(events, data, SMALL_READ));
		assert_false(sr_event_parser_next(events, &event));
	}
	assert_true(sr_event_parser_feed(events, (const guint8 *)"\n\n", 2));
	assert_true(sr_event_parser_next(events, &event));
	assert_int_equal(event.size, size + 2);
	assert_true((double)(clock() - started) / CLOCKS_PER_SEC <
		    LARGE_EVENT_TIME);
	sr_event_parser_free(events);
}

static int option(int fd, int level, int name)
{
	int value = -1;
	socklen_t size = sizeof(value);

	getsockopt(fd, level, name, &value, &size);
	return value;
}

/* The descriptor of the connection to a listener on the same process. */
static int connected_fd(const struct sockaddr_in *listener)
{
	for (int fd = 3; fd < 256; fd++) {
		struct sockaddr_in peer = { 0 };
		socklen_t size = sizeof(peer);

		if (!getpeername(fd, (struct sockaddr *)&peer, &size) &&
		    peer.sin_port == listener->sin_port)
			return fd;
	}
	return -1;
}

/** Longest silence of a sound peer, in ms. */
#define SOUND_SILENCE_MS 2000

static void ignore_end(void *user, sr_channel_end_reason_t how)
{
	(void)user;
	(void)how;
}

/* Guards against a user timeout that ends connections sooner than the
 * keep-alive probes say: it decides when they give up, whatever their count. */
static void test_user_timeout_and_keep_alive_agree(void **state)
{
	const sr_channel_events_t events = { .ended = ignore_end };
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);
	int listener = sr_listen("127.0.0.1:0");
	sr_channel_t *channel;
	char address[32];
	int fd;

	(void)state;
	getsockname(listener, (struct sockaddr *)&in, &size);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   ntohs(in.sin_port));
	channel = sr_channel_connect(address, &events, NULL);
	g_main_context_iteration(NULL, FALSE);
	fd = connected_fd(&in);
	assert_true(fd >= 0);
	assert_int_equal(option(fd, SOL_SOCKET, SO_KEEPALIVE), 1);
	assert_int_equal(
		option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT),
		1000 * (option(fd, IPPROTO_TCP, TCP_KEEPIDLE) +
			option(fd, IPPROTO_TCP, TCP_KEEPCNT) *
				option(fd, IPPROTO_TCP, TCP_KEEPINTVL)));
	assert_true(option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT) >
		    SOUND_SILENCE_MS);
	sr_channel_free(channel);
	close(listener);
}

#define LARGE_WRITE ((gsize)4 * 1024 * 1024)
#define N_CHANNELS 16

static gsize heap_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Guards against memory that grows with the number of connections: one kept the
 * buffer of the largest message that it had carried. */
static void test_buffer_of_a_large_write_is_released(void **state)
{
	const sr_channel_events_t events = { .ended = ignore_end };
	static char data[64 * 1024];
	char *message = g_malloc0(LARGE_WRITE);
	sr_channel_t *channels[N_CHANNELS];
	int peers[N_CHANNELS];
	gsize before;

	(void)state;
	for (unsigned i = 0; i < N_CHANNELS; i++) {
		int fds[2];

		assert_false(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
					fds));
		channels[i] = sr_channel_new_from_fd(fds[0], &events, NULL);
		peers[i] = fds[1];
	}
	before = heap_in_use();
	for (unsigned i = 0; i < N_CHANNELS; i++) {
		gsize received = 0;

		sr_channel_write(channels[i], message, LARGE_WRITE);
		while (received < LARGE_WRITE) {
			ssize_t n = recv(peers[i], data, sizeof(data), 0);

			received += n > 0 ? (gsize)n : 0;
			g_main_context_iteration(NULL, FALSE);
		}
		while (!sr_channel_is_flushed(channels[i]))
			g_main_context_iteration(NULL, FALSE);
	}
	assert_true(heap_in_use() < before + LARGE_WRITE);
	for (unsigned i = 0; i < N_CHANNELS; i++) {
		sr_channel_free(channels[i]);
		close(peers[i]);
	}
	g_free(message);
}

/** Bytes that the reader of a channel is behind, and bytes that are sent. */
#define READER_LAG ((gsize)1024 * 1024)
#define LONG_STREAM ((gsize)64 * 1024 * 1024)

/* Guards against a send buffer that keeps bytes which were sent: one that was
 * never empty grew by all that passed through it. */
static void test_send_buffer_holds_only_unsent_bytes(void **state)
{
	const sr_channel_events_t events = { .ended = ignore_end };
	static char data[64 * 1024];
	sr_channel_t *channel;
	gsize written = 0;
	gsize received = 0;
	gsize before;
	int fds[2];

	(void)state;
	assert_false(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds));
	channel = sr_channel_new_from_fd(fds[0], &events, NULL);
	before = heap_in_use();
	while (written < LONG_STREAM) {
		sr_channel_write(channel, data, sizeof(data));
		written += sizeof(data);
		while (written - received > READER_LAG) {
			ssize_t n = recv(fds[1], data, sizeof(data), 0);

			received += n > 0 ? (gsize)n : 0;
			g_main_context_iteration(NULL, FALSE);
		}
		assert_false(sr_channel_is_flushed(channel) &&
			     written > READER_LAG);
	}
	assert_true(heap_in_use() < before + 4 * READER_LAG);
	sr_channel_free(channel);
	close(fds[1]);
}

static void note_end(void *user, sr_channel_end_reason_t how)
{
	*(int *)user = (int)how;
}

static gboolean set_flag(gpointer flag)
{
	*(gboolean *)flag = TRUE;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop until the channel has ended, for a second at most. */
static void wait_for_end(const int *end)
{
	gboolean timed_out = FALSE;
	guint timer = g_timeout_add(1000, set_flag, &timed_out);

	while (*end < 0 && !timed_out)
		g_main_context_iteration(NULL, TRUE);
	if (!timed_out)
		g_source_remove(timer);
}

/* Guards against a failure that is never reported: after more was written than
 * a channel holds, its owner waited for a peer that reads nothing. */
static void test_overflow_ends_a_channel_whose_peer_reads_nothing(void **state)
{
	const sr_channel_events_t events = { .ended = note_end };
	char *message = g_malloc0(SR_CHANNEL_SEND_BUFFER_MAX);
	sr_channel_t *channel;
	int end = -1;
	int fds[2];

	(void)state;
	assert_false(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds));
	channel = sr_channel_new_from_fd(fds[0], &events, &end);
	sr_channel_write(channel, message, SR_CHANNEL_SEND_BUFFER_MAX);
	sr_channel_write(channel, message, SR_CHANNEL_SEND_BUFFER_MAX);
	wait_for_end(&end);
	assert_int_equal(end, SR_CHANNEL_FAILED);
	sr_channel_free(channel);
	close(fds[1]);
	g_free(message);
}

/* Returns a connected pair of TCP sockets; the first is the accepted one. */
static void connect_pair(int fds[2])
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);
	int listener = sr_listen("127.0.0.1:0");

	assert_true(listener >= 0);
	getsockname(listener, (struct sockaddr *)&in, &size);
	fds[1] = socket(AF_INET, SOCK_STREAM, 0);
	assert_false(connect(fds[1], (struct sockaddr *)&in, sizeof(in)));
	fds[0] = sr_accept(listener);
	assert_true(fds[0] >= 0);
	close(listener);
}

static void reset_connection(int fd)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}

/* Guards against a loop that spins: poll() reports the reset of a connection
 * also while its channel does not read. */
static void test_reset_ends_a_paused_channel(void **state)
{
	const sr_channel_events_t events = { .ended = note_end };
	sr_channel_t *channel;
	int end = -1;
	int fds[2];

	(void)state;
	connect_pair(fds);
	channel = sr_channel_new_from_fd(fds[0], &events, &end);
	sr_channel_set_paused(channel, TRUE);
	reset_connection(fds[1]);
	wait_for_end(&end);
	assert_int_equal(end, SR_CHANNEL_FAILED);
	sr_channel_free(channel);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_is_parsed_unchanged),
		cmocka_unit_test(test_chunked_request),
		cmocka_unit_test(test_ambiguous_requests_are_rejected),
		cmocka_unit_test(test_limits),
		cmocka_unit_test(test_upgrade_is_an_ordinary_request),
		cmocka_unit_test(test_response_without_length),
		cmocka_unit_test(test_truncated_response_is_incomplete),
		cmocka_unit_test(test_malformed_responses_are_rejected),
		cmocka_unit_test(test_interim_response_is_skipped),
		cmocka_unit_test(test_hop_by_hop_fields),
		cmocka_unit_test(test_many_fields_are_looked_at_once),
		cmocka_unit_test(test_events_are_split_at_boundaries),
		cmocka_unit_test(test_empty_lines_are_no_events),
		cmocka_unit_test(test_large_event_in_small_reads),
		cmocka_unit_test(test_user_timeout_and_keep_alive_agree),
		cmocka_unit_test(test_buffer_of_a_large_write_is_released),
		cmocka_unit_test(test_send_buffer_holds_only_unsent_bytes),
		cmocka_unit_test(
			test_overflow_ends_a_channel_whose_peer_reads_nothing),
		cmocka_unit_test(test_reset_ends_a_paused_channel),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
