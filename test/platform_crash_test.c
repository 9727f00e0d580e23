/* Requests that crash the instances that run them, at three entry hosts. */
#include "platform_crash_bed.h"

/** Ends of instances after which few requests with the part may reach others.
 */
#define PART_ENDS 5

static gboolean has_bad_part(const sr_message_t *request)
{
	const char *parts = sr_headers_get(request->headers, "Prefix-Hash");

	return parts && strstr(parts, "bad:");
}

static gboolean on_sound_timer(gpointer user)
{
	sound_t *sound = user;
	char parts[64];
	char body[16];

	g_snprintf(parts, sizeof(parts), "5a:800,%x:400,%x:20",
		   0x100 + sound->n_sent % 4, 0x10000 + sound->n_sent);
	g_snprintf(body, sizeof(body), "%u", sound->n_sent);
	send_call(sound->bed, sound, "/stream/x", parts, body);
	return G_SOURCE_CONTINUE;
}

/* Shares its first part with the sound requests, and one of their others. */
static gboolean on_crashing_part_timer(gpointer user)
{
	static unsigned n;
	crash_bed_t *bed = user;
	char parts[64];
	char body[16];

	g_snprintf(parts, sizeof(parts), "5a:800,%x:400,bad:100,%x:20",
		   0x100 + n % 4, 0x20000 + n);
	g_snprintf(body, sizeof(body), "c%u", n++);
	send_call(bed, NULL, "/stream/x", parts, body);
	return G_SOURCE_CONTINUE;
}

/* Guards against BUDGET of 2026-12-04: each request with the part ended the
 * instances that it was sent to, at whichever host it came. */
static void test_part_that_crashes_is_held_back(void **state)
{
	const load_t load = { .crashes = has_bad_part,
			      .send_sound = on_sound_timer,
			      .send_crashing = on_crashing_part_timer,
			      .max_ends = PART_ENDS };

	(void)state;
	check_held_back(&load);
}

/* Guards against BUDGET where streams end with their connection: an instance
 * that ended before the first event had answered, as it seemed. */
static void test_part_is_held_back_if_streams_end_at_close(void **state)
{
	const load_t load = { .crashes = has_bad_part,
			      .send_sound = on_sound_timer,
			      .send_crashing = on_crashing_part_timer,
			      .max_ends = PART_ENDS,
			      .ends_at_close = TRUE };

	(void)state;
	check_held_back(&load);
}

/* Guards against BUDGET of 2026-12-04 at many hosts: each had to see instances
 * end by itself. */
static void test_part_that_one_host_has_met_is_held_back_at_others(void **state)
{
	crash_bed_t *bed = crash_bed_new(has_bad_part);
	guint timer = g_timeout_add(CRASHING_MS, on_crashing_part_timer, bed);
	gint64 known_at;

	(void)state;
	bed->n_hosts = 1;
	run_for(LOAD_MS / 4);
	assert_true(bed->ends->len >= 1);
	known_at = g_get_monotonic_time();
	bed->first_host = 1;
	bed->n_hosts = CRASH_BED_HOSTS - 1;
	run_for(LOAD_MS / 4);
	g_source_remove(timer);
	wait_for_responses(bed);
	assert_int_equal(arrivals_from(bed, known_at), 0);
	crash_bed_free(bed);
}

/* Guards against BUDGET after a kill of all hosts: what they had learned was
 * forgotten, and requests with the part ended instances again. */
static void test_part_is_held_back_after_a_restart_of_all_hosts(void **state)
{
	crash_bed_t *bed = crash_bed_new(has_bad_part);
	guint timer = g_timeout_add(CRASHING_MS, on_crashing_part_timer, bed);
	gint64 restarted_at;

	(void)state;
	run_for(LOAD_MS / 2);
	assert_true(bed->ends->len >= 1);
	for (unsigned i = 0; i < CRASH_BED_HOSTS; i++)
		sr_entry_host_free(bed->hosts[i]);
	restarted_at = g_get_monotonic_time();
	for (unsigned i = 0; i < CRASH_BED_HOSTS; i++)
		start_host(bed, i);
	run_for(LOAD_MS / 2);
	g_source_remove(timer);
	wait_for_responses(bed);
	assert_true(arrivals_from(bed, restarted_at) <= ARRIVALS_MAX);
	crash_bed_free(bed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_part_that_crashes_is_held_back),
		cmocka_unit_test(
			test_part_is_held_back_if_streams_end_at_close),
		cmocka_unit_test(
			test_part_that_one_host_has_met_is_held_back_at_others),
		cmocka_unit_test(
			test_part_is_held_back_after_a_restart_of_all_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
