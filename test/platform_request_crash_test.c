/* A request that comes again and crashes the instances that run it, at three
 * entry hosts. */
#include "platform_crash_bed.h"

/** Ends of instances after which the request may reach few others. */
#define REQUEST_ENDS 3

static gboolean has_bad_body(const sr_message_t *request)
{
	return request->body->len == 3 &&
	       !memcmp(request->body->data, "bad", 3);
}

/* Share the path with the request that crashes. */
static gboolean on_sound_plain_timer(gpointer user)
{
	sound_t *sound = user;
	char body[16];

	g_snprintf(body, sizeof(body), "%u", sound->n_sent);
	send_call(sound->bed, sound, "/plain/x", NULL, body);
	return G_SOURCE_CONTINUE;
}

static gboolean on_crashing_request_timer(gpointer user)
{
	send_call(user, NULL, "/plain/x", NULL, "bad");
	return G_SOURCE_CONTINUE;
}

/* Guards against BUDGET of 2026-12-04, second matter: a request that came again
 * ended the instances that ran it, at whichever host it came. */
static void test_request_that_crashes_is_held_back(void **state)
{
	const load_t load = { .crashes = has_bad_body,
			      .send_sound = on_sound_plain_timer,
			      .send_crashing = on_crashing_request_timer,
			      .max_ends = REQUEST_ENDS };

	(void)state;
	check_held_back(&load);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_that_crashes_is_held_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
