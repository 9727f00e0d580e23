/* Which requests and parts of prompts are quarantined by reports of instances
 * that ended. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/crash_suspects.h"
#include "fleet/crash_report_codec.h"

/** Parts of the prompts below. */
#define SHARED 1
#define BAD 2
#define TOPIC 3

typedef struct {
	sr_crash_suspects_t *suspects;
	unsigned n_quarantined; /* calls */
	unsigned n_released;	/* calls */
	gboolean may_probe;
	guint64 n_requests;
	guint64 n_instances;
	sr_usec_t now;
} fixture_t;

static void on_quarantined(void *user, const sr_quarantine_t *quarantine)
{
	(void)quarantine;
	((fixture_t *)user)->n_quarantined++;
}

static void on_released(void *user, guint64 fingerprint)
{
	(void)fingerprint;
	((fixture_t *)user)->n_released++;
}

static gboolean on_may_probe(void *user, guint64 fingerprint)
{
	(void)fingerprint;
	return ((fixture_t *)user)->may_probe;
}

static int setup(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	const sr_crash_suspects_options_t options = {
		.quarantined = on_quarantined,
		.released = on_released,
		.may_probe = on_may_probe,
		.user = f,
	};

	f->suspects = sr_crash_suspects_new(&options);
	f->now = SR_SEC;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	sr_crash_suspects_free(f->suspects);
	g_free(f);
	return 0;
}

/* A request that no other is like, with up to two parts that others have. */
static sr_crash_request_t request_with(fixture_t *f, guint64 first,
				       guint64 second)
{
	sr_crash_request_t request = {
		.print = { .request = 1000000 + ++f->n_requests,
			   .parts = { first, second },
			   .n_parts = second ? 2 :
				      first  ? 1 :
					       0 },
		.has_begun = TRUE,
	};

	return request;
}

/* An instance ends under the requests. */
static void end_instance(fixture_t *f, const sr_crash_request_t *requests,
			 unsigned n)
{
	const sr_crash_report_t report = {
		.instance = ++f->n_instances,
		.ended_at = f->now += 100 * SR_MSEC,
		.requests = requests,
		.n_requests = n,
	};

	sr_crash_suspects_add(f->suspects, &report);
}

static void end_instance_under(fixture_t *f, guint64 first, guint64 second)
{
	sr_crash_request_t request = request_with(f, first, second);

	end_instance(f, &request, 1);
}

static sr_crash_verdict_t judge(fixture_t *f, guint64 first, guint64 second)
{
	sr_crash_request_t request = request_with(f, first, second);
	sr_quarantine_t reason;

	return sr_crash_suspects_judge(f->suspects, f->now, &request.print,
				       &reason);
}

static void test_part_is_quarantined_after_three_instances(void **state)
{
	fixture_t *f = *state;

	end_instance_under(f, BAD, 0);
	end_instance_under(f, BAD, 0);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_ALLOWED);
	end_instance_under(f, BAD, 0);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
	assert_int_equal(judge(f, TOPIC, 0), SR_CRASH_ALLOWED);
	assert_int_equal(f->n_quarantined, 1);
}

static void test_reports_of_one_instance_count_once(void **state)
{
	fixture_t *f = *state;

	for (unsigned host = 0; host < 5; host++) {
		sr_crash_request_t request = request_with(f, BAD, 0);
		const sr_crash_report_t report = { .instance = 7,
						   .ended_at = f->now +=
						   100 * SR_MSEC,
						   .requests = &request,
						   .n_requests = 1 };

		sr_crash_suspects_add(f->suspects, &report);
	}
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_ALLOWED);
}

static void test_request_that_comes_again_is_quarantined(void **state)
{
	fixture_t *f = *state;
	sr_crash_request_t request = request_with(f, 0, 0);
	sr_quarantine_t reason;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance(f, &request, 1);
	assert_int_equal(sr_crash_suspects_judge(f->suspects, f->now,
						 &request.print, &reason),
			 SR_CRASH_REFUSED);
	assert_int_equal(reason.n_strikes, SR_CRASH_STRIKES);
	assert_int_equal(judge(f, 0, 0), SR_CRASH_ALLOWED);
}

/* Pattern: copies of one request at several hosts at the same moment. */
static void test_copies_of_a_request_count_each(void **state)
{
	fixture_t *f = *state;
	sr_crash_request_t request = request_with(f, 0, 0);
	sr_quarantine_t reason;

	request.has_begun = FALSE;
	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++) {
		const sr_crash_report_t report = { .instance = i,
						   .ended_at = f->now + i,
						   .requests = &request,
						   .n_requests = 1 };

		sr_crash_suspects_add(f->suspects, &report);
	}
	assert_int_equal(sr_crash_suspects_judge(f->suspects, f->now,
						 &request.print, &reason),
			 SR_CRASH_REFUSED);
}

/* Pattern: a rack fails under a request that many callers make. */
static void test_request_in_use_survives_a_failing_rack(void **state)
{
	fixture_t *f = *state;
	sr_crash_request_t request = request_with(f, 0, 0);
	sr_quarantine_t reason;

	sr_crash_suspects_clear(f->suspects, request.print.request, f->now);
	for (unsigned i = 0; i < 10; i++) {
		const sr_crash_report_t report = { .instance = i,
						   .ended_at = f->now + 1 + i,
						   .requests = &request,
						   .n_requests = 1 };

		sr_crash_suspects_add(f->suspects, &report);
	}
	assert_int_equal(sr_crash_suspects_judge(f->suspects, f->now,
						 &request.print, &reason),
			 SR_CRASH_ALLOWED);
}

/* Requests that were in the instances with those that crashed them survive
 * elsewhere. */
static void test_survivors_are_cleared(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < 10; i++) {
		sr_crash_request_t requests[2] = {
			request_with(f, SHARED, BAD),
			request_with(f, SHARED, TOPIC),
		};

		end_instance(f, requests, 2);
		sr_crash_suspects_clear(f->suspects, SHARED, ++f->now);
		sr_crash_suspects_clear(f->suspects, TOPIC, f->now);
	}
	assert_int_equal(judge(f, SHARED, TOPIC), SR_CRASH_ALLOWED);
	assert_int_equal(judge(f, SHARED, BAD), SR_CRASH_REFUSED);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
}

/* All requests with the part share another one, and no sound request with that
 * has been answered yet. */
static void
test_parts_that_come_together_are_refused_together_only(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, SHARED, BAD);
	assert_int_equal(judge(f, SHARED, BAD), SR_CRASH_REFUSED);
	assert_int_equal(judge(f, SHARED, TOPIC), SR_CRASH_ALLOWED);
	sr_crash_suspects_clear(f->suspects, SHARED, ++f->now);
	assert_int_equal(judge(f, BAD, TOPIC), SR_CRASH_REFUSED);
	assert_int_equal(judge(f, SHARED, TOPIC), SR_CRASH_ALLOWED);
}

/* A caller puts the part of another one beside its own. */
static void test_part_of_another_caller_can_not_be_condemned(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < 20; i++)
		end_instance_under(f, SHARED, BAD);
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_ALLOWED);
	assert_int_equal(judge(f, SHARED, BAD), SR_CRASH_REFUSED);
}

/* A report that took longer than the news of a survivor. */
static void test_report_from_before_a_survivor_does_not_count(void **state)
{
	fixture_t *f = *state;
	sr_crash_request_t request = request_with(f, SHARED, 0);
	sr_crash_report_t report = { .requests = &request, .n_requests = 1 };

	end_instance_under(f, SHARED, 0);
	sr_crash_suspects_clear(f->suspects, SHARED, f->now + SR_SEC);
	for (unsigned i = 0; i < 5; i++) {
		report.instance = 100 + i;
		report.ended_at = f->now + i * 100 * SR_MSEC;
		sr_crash_suspects_add(f->suspects, &report);
	}
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_ALLOWED);
}

/* Pattern: a rack fails, and with it instances that have the same parts. */
static void test_instances_that_end_together_count_once(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < 20; i++) {
		sr_crash_request_t request = request_with(f, SHARED, TOPIC);
		const sr_crash_report_t report = { .instance = 100 + i,
						   .ended_at =
							   f->now + i * SR_MSEC,
						   .requests = &request,
						   .n_requests = 1 };

		sr_crash_suspects_add(f->suspects, &report);
	}
	assert_int_equal(judge(f, SHARED, TOPIC), SR_CRASH_ALLOWED);
}

/* Pattern: connections to instances of another failure domain are cut, one
 * after the other, and new ones refused. The part is in use all the time. */
static void test_part_in_use_takes_more_instances(void **state)
{
	fixture_t *f = *state;

	sr_crash_suspects_clear(f->suspects, SHARED, f->now);
	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, SHARED, 0);
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_ALLOWED);
	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, SHARED, 0);
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_REFUSED);
}

static void test_requests_that_wait_count_for_a_part(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < 3 * SR_CRASH_STRIKES; i++) {
		sr_crash_request_t request = request_with(f, TOPIC, 0);

		assert_int_equal(judge(f, TOPIC, 0), SR_CRASH_ALLOWED);
		request.has_begun = FALSE;
		end_instance(f, &request, 1);
	}
	assert_int_equal(judge(f, TOPIC, 0), SR_CRASH_REFUSED);
}

/* A failure domain that was cut off quarantines what the others have in use. */
static void test_survivor_refutes_a_quarantine_of_others(void **state)
{
	fixture_t *f = *state;
	const sr_quarantine_t quarantine = { .fingerprint = SHARED };

	sr_crash_suspects_clear(f->suspects, SHARED, f->now);
	assert_false(sr_crash_suspects_restore(f->suspects, f->now, &quarantine,
					       f->now - SR_SEC));
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_ALLOWED);
	assert_true(sr_crash_suspects_restore(f->suspects, f->now, &quarantine,
					      f->now + SR_SEC));
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_REFUSED);
}

/* Guards against quarantines by a cut that refuses connections: the instances
 * beyond it had not ended. */
static void test_instance_that_answers_later_does_not_count(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, BAD, 0);
	sr_crash_suspects_refute(f->suspects, 12345);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
	sr_crash_suspects_refute(f->suspects, f->n_instances);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_ALLOWED);
	assert_int_equal(f->n_released, 1);
	end_instance_under(f, BAD, 0);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
}

/* Guards against the end of a quarantine that another host has decided, by the
 * few instances that this one took for ended. */
static void test_answer_ends_no_quarantine_of_another_host(void **state)
{
	fixture_t *f = *state;
	const sr_quarantine_t quarantine = { .fingerprint = BAD };

	end_instance_under(f, BAD, 0);
	assert_true(sr_crash_suspects_restore(f->suspects, f->now, &quarantine,
					      f->now));
	sr_crash_suspects_refute(f->suspects, f->n_instances);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
	assert_int_equal(f->n_released, 0);
}

static void test_strikes_expire(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < 6; i++) {
		end_instance_under(f, BAD, 0);
		f->now += 700 * SR_SEC;
	}
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_ALLOWED);
}

/* Six minutes of requests: no more than four probes, all by the host that
 * may. */
static void test_probes_are_few(void **state)
{
	fixture_t *f = *state;
	unsigned n_probes = 0;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, BAD, 0);
	f->may_probe = TRUE;
	for (unsigned i = 0; i < 360; i++) {
		f->now += SR_SEC;
		if (judge(f, BAD, 0) == SR_CRASH_PROBE) {
			n_probes++;
			end_instance_under(f, BAD, 0);
		}
	}
	assert_in_range(n_probes, 1, 4);
	f->may_probe = FALSE;
	f->now += 3600 * SR_SEC;
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
	/* another host takes over right after a probe was due */
	f->may_probe = TRUE;
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
}

static void test_probe_that_survives_ends_the_quarantine(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, SHARED, 0);
	f->may_probe = TRUE;
	f->now += 60 * SR_SEC;
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_PROBE);
	assert_true(
		sr_crash_suspects_clear(f->suspects, SHARED, f->now + SR_SEC));
	assert_int_equal(judge(f, SHARED, 0), SR_CRASH_ALLOWED);
	assert_int_equal(sr_crash_suspects_n_quarantined(f->suspects), 0);
}

static void keep(void *user, const sr_quarantine_t *quarantine)
{
	*(sr_quarantine_t *)user = *quarantine;
}

static void test_quarantine_is_restored(void **state)
{
	fixture_t *f = *state;
	const sr_crash_suspects_options_t options = { 0 };
	sr_crash_suspects_t *other = sr_crash_suspects_new(&options);
	sr_crash_request_t with_both = request_with(f, SHARED, BAD);
	sr_quarantine_t quarantine = { 0 };
	sr_quarantine_t reason;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, SHARED, BAD);
	sr_crash_suspects_clear(f->suspects, SHARED, ++f->now);
	sr_crash_suspects_foreach(f->suspects, keep, &quarantine);
	assert_int_equal(quarantine.fingerprint, BAD);
	assert_true(
		sr_crash_suspects_restore(other, f->now, &quarantine, f->now));
	assert_true(
		sr_crash_suspects_restore(other, f->now, &quarantine, f->now));
	assert_int_equal(sr_crash_suspects_n_quarantined(other), 1);
	assert_int_equal(sr_crash_suspects_judge(other, f->now,
						 &with_both.print, &reason),
			 SR_CRASH_REFUSED);
	assert_true(sr_crash_suspects_clear(other, BAD, ++f->now));
	assert_int_equal(sr_crash_suspects_n_quarantined(other), 0);
	sr_crash_suspects_free(other);
}

/* Pattern: many requests that each end one instance, and don't come again. */
static void test_flood_of_suspects_evicts_no_others(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < SR_CRASH_STRIKES; i++)
		end_instance_under(f, BAD, 0);
	end_instance_under(f, TOPIC, 0);
	end_instance_under(f, TOPIC, 0);
	for (guint64 i = 0; i < 20000; i++) {
		end_instance_under(f, 5000000 + i, 0);
		f->now -= 99 * SR_MSEC;
	}
	assert_true(sr_crash_suspects_size(f->suspects) <= 4096);
	assert_int_equal(judge(f, BAD, 0), SR_CRASH_REFUSED);
	end_instance_under(f, TOPIC, 0);
	assert_int_equal(judge(f, TOPIC, 0), SR_CRASH_REFUSED);
}

static void test_prints_of_equal_requests_are_equal(void **state)
{
	sr_request_source_t source = { .method = "GET",
				       .target = "/a",
				       .account = "x",
				       .body = (const guint8 *)"body",
				       .size = 4 };
	guint64 first = sr_request_print_whole(&source);
	const guint64 parts[] = { 1, 2, 3 };
	sr_request_print_t print = { 0 };
	char text[SR_REQUEST_PRINT_TEXT_SIZE];
	guint64 parsed;

	(void)state;
	assert_true(first == sr_request_print_whole(&source));
	source.account = "y";
	assert_false(first == sr_request_print_whole(&source));
	source.account = NULL;
	assert_false(first == sr_request_print_whole(&source));
	source.account = "x";
	source.size = 3;
	assert_false(first == sr_request_print_whole(&source));
	/* the last part belongs to one request */
	sr_request_print_set_parts(&print, parts, 3);
	assert_int_equal(print.n_parts, 2);
	sr_request_print_set_parts(&print, parts, 0);
	assert_int_equal(print.n_parts, 0);
	sr_request_print_format(first, text);
	assert_true(sr_request_print_parse(text, &parsed));
	assert_true(parsed == first);
	assert_false(sr_request_print_parse("no number", &parsed));
}

static void test_report_survives_its_encoding(void **state)
{
	fixture_t *f = *state;
	sr_crash_request_t requests[40];
	sr_crash_report_t report = { .instance = 99,
				     .requests = requests,
				     .n_requests = G_N_ELEMENTS(requests) };
	GArray *decoded = g_array_new(FALSE, FALSE, sizeof(sr_crash_request_t));
	unsigned first = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(requests); i++)
		requests[i] = request_with(f, i, i % 3 ? 0 : BAD);
	while (first < report.n_requests) {
		unsigned n;
		GBytes *bytes = sr_crash_report_encode(&report, first, 512, &n);
		gsize size;
		const guint8 *data = g_bytes_get_data(bytes, &size);
		guint64 instance = 0;

		assert_true(n > 0 && size <= 512);
		assert_true(
			sr_crash_report_decode(data, size, &instance, decoded));
		assert_int_equal(instance, 99);
		if (first == 0)
			assert_false(sr_crash_report_decode(
				data, size - 1, &instance, decoded));
		if (first == 0)
			g_array_set_size(decoded, n);
		first += n;
		g_bytes_unref(bytes);
	}
	assert_int_equal(decoded->len, G_N_ELEMENTS(requests));
	assert_memory_equal(decoded->data, requests, sizeof(requests));
	g_array_unref(decoded);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
		TEST(test_part_is_quarantined_after_three_instances),
		TEST(test_reports_of_one_instance_count_once),
		TEST(test_request_that_comes_again_is_quarantined),
		TEST(test_copies_of_a_request_count_each),
		TEST(test_request_in_use_survives_a_failing_rack),
		TEST(test_survivors_are_cleared),
		TEST(test_parts_that_come_together_are_refused_together_only),
		TEST(test_part_of_another_caller_can_not_be_condemned),
		TEST(test_report_from_before_a_survivor_does_not_count),
		TEST(test_instances_that_end_together_count_once),
		TEST(test_part_in_use_takes_more_instances),
		TEST(test_requests_that_wait_count_for_a_part),
		TEST(test_survivor_refutes_a_quarantine_of_others),
		TEST(test_instance_that_answers_later_does_not_count),
		TEST(test_answer_ends_no_quarantine_of_another_host),
		TEST(test_strikes_expire),
		TEST(test_probes_are_few),
		TEST(test_probe_that_survives_ends_the_quarantine),
		TEST(test_quarantine_is_restored),
		TEST(test_flood_of_suspects_evicts_no_others),
		TEST(test_prints_of_equal_requests_are_equal),
		TEST(test_report_survives_its_encoding),
#undef TEST
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
