/* Answers of the platform that are cut, reset or malformed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib-unix.h>
#include <unistd.h>

#include "http/channel.h"
#include "platform_api/client.h"

/** Time after an answer at which its connection is reset, in ms: what was sent
 * has to be read before. */
#define RESET_MS 20

/** fixture_t - a platform that sends the same bytes to each call and ends the
 * connection. */
typedef struct {
	int listener;
	guint accept_source;
	sr_channel_t *channel; /* of the last call; NULL once ended */
	sr_clock_t *clock;
	sr_platform_t *platform;
	const char *answer;
	gboolean is_reset;
	unsigned n_replies;
	sr_store_status_t status; /* of the last reply */
} fixture_t;

static gboolean on_reset_timer(gpointer data)
{
	fixture_t *f = data;

	if (f->channel)
		sr_channel_reset(f->channel);
	f->channel = NULL;
	return G_SOURCE_REMOVE;
}

static void on_received(void *user, const guint8 *data, gsize size)
{
	fixture_t *f = user;

	(void)data;
	(void)size;
	sr_channel_write(f->channel, f->answer, strlen(f->answer));
	if (f->is_reset)
		g_timeout_add(RESET_MS, on_reset_timer, f);
	else
		sr_channel_shutdown(f->channel);
}

static void on_ended(void *user, sr_channel_end_reason_t how)
{
	fixture_t *f = user;

	(void)how;
	g_clear_pointer(&f->channel, sr_channel_free);
}

static const sr_channel_events_t channel_events = {
	.received = on_received,
	.ended = on_ended,
};

static gboolean on_accept(gint fd, GIOCondition ready, gpointer user)
{
	fixture_t *f = user;

	(void)ready;
	g_clear_pointer(&f->channel, sr_channel_free);
	f->channel = sr_channel_new_from_fd(sr_accept(fd), &channel_events, f);
	return G_SOURCE_CONTINUE;
}

static void on_reply(void *user, const sr_store_reply_t *reply)
{
	fixture_t *f = user;

	f->n_replies++;
	f->status = reply->status;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	sr_platform_options_t options = { .seed = 1 };
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);
	char address[32];

	f->listener = sr_listen("127.0.0.1:0");
	assert_true(f->listener >= 0);
	getsockname(f->listener, (struct sockaddr *)&in, &size);
	f->accept_source = g_unix_fd_add(f->listener, G_IO_IN, on_accept, f);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   ntohs(in.sin_port));
	f->clock = sr_clock_new_manual(SR_SEC);
	options.address = address;
	options.clock = f->clock;
	f->platform = sr_platform_new(&options);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	sr_platform_free(f->platform);
	g_source_remove(f->accept_source);
	close(f->listener);
	sr_channel_free(f->channel);
	sr_clock_free(f->clock);
	g_free(f);
	return 0;
}

static sr_store_status_t get(fixture_t *f, const char *answer,
			     gboolean is_reset)
{
	const sr_store_call_t call = {
		.op = SR_STORE_GET,
		.class = SR_STORE_CONFIG,
		.key = "a/b",
		.done = on_reply,
		.user = f,
	};
	unsigned before = f->n_replies;
	gint64 end = g_get_monotonic_time() + SR_SEC;

	f->answer = answer;
	f->is_reset = is_reset;
	sr_store_submit(sr_platform_store(f->platform), &call);
	sr_clock_advance(f->clock, 0);
	while (f->n_replies == before && g_get_monotonic_time() < end) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	sr_clock_advance(f->clock, SR_MINUTE);
	assert_int_equal(f->n_replies, before + 1);
	return f->status;
}

#define OK_HEAD "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n"

static void test_whole_answer_is_taken(void **state)
{
	static const char *const answers[] = {
		OK_HEAD "Content-Length: 5\r\n\r\nvalue",
		OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
			"5\r\nvalue\r\n0\r\n\r\n",
		OK_HEAD "Connection: close\r\n\r\nvalue",
		"HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD
		"Content-Length: 5\r\n\r\nvalue",
	};

	for (gsize i = 0; i < G_N_ELEMENTS(answers); i++) {
		if (get(*state, answers[i], FALSE) != SR_STORE_OK)
			fail_msg("answer %zu is lost", i);
	}
}

/* Guards against part of an answer, or bytes that are none, taken for what the
 * store holds. */
static void test_broken_answer_is_unknown(void **state)
{
	static const struct {
		const char *answer;
		gboolean is_reset;
	} cases[] = {
		{ OK_HEAD "Content-Length: 5\r\n\r\nval", FALSE },
		{ OK_HEAD "Content-Length: 5\r\n\r\nval", TRUE },
		{ OK_HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nval", FALSE },
		{ OK_HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nval\r\n",
		  FALSE },
		{ OK_HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nval\r\n",
		  TRUE },
		{ OK_HEAD "\r\nval", TRUE },
		{ "HTTP/1.1 000 OK\r\nETag: \"1\"\r\nContent-Length: 3\r\n\r\n"
		  "val",
		  FALSE },
		{ "HTTP/1.1 600 OK\r\nETag: \"1\"\r\nContent-Length: 3\r\n\r\n"
		  "val",
		  FALSE },
		{ OK_HEAD "A b: c\r\nContent-Length: 3\r\n\r\nval", FALSE },
		{ OK_HEAD "A\001: c\r\nContent-Length: 3\r\n\r\nval", FALSE },
		{ OK_HEAD "Content-Length : 5\r\n\r\nval", FALSE },
		{ OK_HEAD "Transfer-Encoding : chunked\r\n\r\n3\r\nval\r\n"
			  "0\r\n\r\n",
		  FALSE },
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (get(*state, cases[i].answer, cases[i].is_reset) !=
		    SR_STORE_UNKNOWN)
			fail_msg("case %zu is taken", i);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_whole_answer_is_taken,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_broken_answer_is_unknown,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
