#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/evidence.h"
#include "core/rollout_analysis.h"

typedef struct {
	sr_evidence_t *evidence;
	gboolean gone;
	char key[128];
	guint8 value[256];
	gsize size;
} evidence_fixture_t;

static gboolean is_gone(void *user, const char *upstream)
{
	const evidence_fixture_t *f = user;

	return f->gone;
}

static void on_changed(void *user, const char *key, guint64 version,
		       const guint8 *value, gsize size)
{
	evidence_fixture_t *f = user;

	assert_true(size <= sizeof(f->value));
	g_strlcpy(f->key, key, sizeof(f->key));
	memcpy(f->value, value, size);
	f->size = size;
}

static void evidence_init(evidence_fixture_t *f, const char *node)
{
	const sr_evidence_options_t options = { .node = node,
						.is_gone = is_gone,
						.publish_counters = on_changed,
						.user = f };

	memset(f, 0, sizeof(*f));
	f->evidence = sr_evidence_new(&options);
}

static void record_attempt(evidence_fixture_t *f, sr_usec_t now,
			   const char *upstream, sr_outcome_t outcome)
{
	const sr_observation_t observation = { .service = "s",
					       .version = "v",
					       .route = "r",
					       .upstream = upstream,
					       .failure_domain = "d",
					       .outcome = outcome,
					       .first_byte = SR_SEC };

	sr_evidence_record(f->evidence, now, &observation);
}

static unsigned failure_count(const evidence_fixture_t *f)
{
	sr_evidence_counters_t total;
	unsigned n = 0;

	sr_evidence_total(f->evidence, "s", "v", "r", &total);
	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++)
		n += total.failures[i];
	return n;
}

static void test_connection_error_counts_if_domain_answers(void **state)
{
	evidence_fixture_t f;

	evidence_init(&f, "n1");
	record_attempt(&f, 0, "u1", SR_OUTCOME_CONNECTION_ERROR);
	record_attempt(&f, SR_SEC, "u2", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, 5 * SR_SEC);
	assert_int_equal(failure_count(&f), 0);
	sr_evidence_tick(f.evidence, 6 * SR_SEC);
	assert_int_equal(failure_count(&f), 1);
	sr_evidence_free(f.evidence);
}

static void test_failed_domain_does_not_count(void **state)
{
	evidence_fixture_t f;

	evidence_init(&f, "n1");
	record_attempt(&f, 0, "u2", SR_OUTCOME_ANSWERED);
	record_attempt(&f, SR_SEC, "u1", SR_OUTCOME_CONNECTION_ERROR);
	record_attempt(&f, 2 * SR_SEC, "u1", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, 10 * SR_SEC);
	assert_int_equal(failure_count(&f), 0);
	sr_evidence_free(f.evidence);
}

static void test_gone_upstream_does_not_count(void **state)
{
	evidence_fixture_t f;

	evidence_init(&f, "n1");
	/* the upstream is gone when the attempts end, but back soon after */
	f.gone = TRUE;
	record_attempt(&f, 0, "u1", SR_OUTCOME_CONNECTION_ERROR);
	record_attempt(&f, 0, "u1", SR_OUTCOME_FAILED);
	f.gone = FALSE;
	record_attempt(&f, SR_SEC, "u2", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, 7 * SR_SEC);
	assert_int_equal(failure_count(&f), 0);
	record_attempt(&f, 8 * SR_SEC, "u1", SR_OUTCOME_CONNECTION_ERROR);
	record_attempt(&f, 9 * SR_SEC, "u2", SR_OUTCOME_ANSWERED);
	/* found to be gone while the connection error is held */
	f.gone = TRUE;
	sr_evidence_tick(f.evidence, 20 * SR_SEC);
	assert_int_equal(failure_count(&f), 0);
	sr_evidence_free(f.evidence);
}

static void test_newest_counters_are_merged(void **state)
{
	evidence_fixture_t f;
	evidence_fixture_t g;
	sr_evidence_counters_t total;
	guint8 old_value[256];

	evidence_init(&f, "n1");
	evidence_init(&g, "n2");
	record_attempt(&f, 0, "u1", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, SR_SEC);
	memcpy(old_value, f.value, sizeof(old_value));
	record_attempt(&f, 0, "u1", SR_OUTCOME_FAILED);
	sr_evidence_tick(f.evidence, 2 * SR_SEC);
	record_attempt(&g, 0, "u1", SR_OUTCOME_ANSWERED);
	sr_evidence_receive(g.evidence, f.key, f.value, f.size);
	sr_evidence_receive(g.evidence, f.key, f.value, f.size);
	sr_evidence_receive(g.evidence, f.key, old_value, f.size);
	sr_evidence_receive(g.evidence, f.key, f.value, f.size - 1);
	sr_evidence_receive(g.evidence, "n2/s/v/r", f.value, f.size);
	sr_evidence_receive(g.evidence, "mangled", f.value, f.size);
	sr_evidence_total(g.evidence, "s", "v", "r", &total);
	assert_int_equal(sr_evidence_request_count(&total), 3);
	assert_int_equal(failure_count(&g), 1);
	sr_evidence_free(f.evidence);
	sr_evidence_free(g.evidence);
}

/* Adds requests to one group of upstreams; `bucket` is the latency bucket of
 * the answered ones. */
static void add_requests(sr_evidence_counters_t *counters, unsigned group,
			 unsigned n, unsigned failed, unsigned bucket)
{
	counters->requests[group] += n;
	counters->failures[group] += failed;
	counters->latency[bucket] += n - failed;
}

typedef struct {
	sr_rollout_analysis_t analysis;
	sr_evidence_counters_t old_version;
	sr_evidence_counters_t new_version;
} analysis_fixture_t;

static sr_verdict_t end_period(analysis_fixture_t *t)
{
	return sr_rollout_analysis_update(&t->analysis, &t->old_version,
					  &t->new_version);
}

static void analysis_init(analysis_fixture_t *t)
{
	memset(t, 0, sizeof(*t));
	end_period(t);
	add_requests(&t->old_version, 0, 1000, 2, 10);
	assert_int_equal(end_period(t), SR_VERDICT_HEALTHY);
}

static void test_failing_version_is_detected(void **state)
{
	analysis_fixture_t t;
	unsigned n = 0;

	analysis_init(&t);
	do {
		add_requests(&t.old_version, 0, 40, 0, 10);
		add_requests(&t.new_version, n % 2, 4, 2, 10);
		n++;
	} while (end_period(&t) != SR_VERDICT_FAILING && n < 20);
	assert_in_range(n, 1, 10);
}

/* Only group 1 fails, so that the failure sum without this group stays at 0. */
static void test_single_faulty_host_is_healthy(void **state)
{
	analysis_fixture_t t;

	analysis_init(&t);
	for (int i = 0; i < 200; i++) {
		add_requests(&t.old_version, 0, 40, 0, 10);
		add_requests(&t.new_version, 1, 2, 2, 10);
		add_requests(&t.new_version, 2, 2, 0, 10);
		assert_int_equal(end_period(&t), SR_VERDICT_HEALTHY);
	}
}

/* Group 1 has almost all requests, so that the failure sum without this group
 * does not count. The overall failure sum decides, divided by 2. */
static void test_single_group_needs_more_evidence(void **state)
{
	analysis_fixture_t t;
	unsigned n = 0;

	analysis_init(&t);
	/* the only requests outside group 1 */
	add_requests(&t.new_version, 2, 5, 0, 10);
	do {
		add_requests(&t.old_version, 0, 40, 0, 10);
		add_requests(&t.new_version, 1, 4, 2, 10);
		n++;
	} while (end_period(&t) != SR_VERDICT_FAILING && n < 200);
	assert_in_range(n, 5, 100);
}

static void test_failures_of_both_versions_are_healthy(void **state)
{
	analysis_fixture_t t;

	analysis_init(&t);
	for (unsigned i = 0; i < 200; i++) {
		add_requests(&t.old_version, 0, 40, 20, 14);
		add_requests(&t.new_version, i % 3, 4, 2, 14);
		assert_int_equal(end_period(&t), SR_VERDICT_HEALTHY);
	}
}

static void test_slow_version_is_detected(void **state)
{
	analysis_fixture_t t;
	unsigned n = 0;

	analysis_init(&t);
	do {
		add_requests(&t.old_version, 0, 40, 0, 10);
		add_requests(&t.new_version, n % 2, 4, 0, 13);
		n++;
	} while (end_period(&t) != SR_VERDICT_SLOW && n < 20);
	assert_in_range(n, 1, 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_connection_error_counts_if_domain_answers),
		cmocka_unit_test(test_failed_domain_does_not_count),
		cmocka_unit_test(test_gone_upstream_does_not_count),
		cmocka_unit_test(test_newest_counters_are_merged),
		cmocka_unit_test(test_failing_version_is_detected),
		cmocka_unit_test(test_single_faulty_host_is_healthy),
		cmocka_unit_test(test_single_group_needs_more_evidence),
		cmocka_unit_test(test_failures_of_both_versions_are_healthy),
		cmocka_unit_test(test_slow_version_is_detected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
