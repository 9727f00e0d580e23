#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/evidence.h"
#include "core/rollout_judge.h"

typedef struct {
	sr_evidence_t *evidence;
	gboolean gone;
	char key[128];
	guint8 value[256];
	gsize size;
} fixture_t;

static gboolean is_gone(void *user, const char *upstream)
{
	const fixture_t *f = user;

	return f->gone;
}

static void changed(void *user, const char *key, guint64 version,
		    const guint8 *value, gsize size)
{
	fixture_t *f = user;

	assert_true(size <= sizeof(f->value));
	g_strlcpy(f->key, key, sizeof(f->key));
	memcpy(f->value, value, size);
	f->size = size;
}

static void fixture_start(fixture_t *f, const char *node)
{
	const sr_evidence_options_t options = {
		.node = node, .is_gone = is_gone, .changed = changed, .user = f
	};

	memset(f, 0, sizeof(*f));
	f->evidence = sr_evidence_new(&options);
}

static void record(fixture_t *f, sr_usec_t now, const char *upstream,
		   sr_outcome_t outcome)
{
	const sr_observation_t seen = { .service = "s",
					.version = "v",
					.route = "r",
					.upstream = upstream,
					.failure_domain = "d",
					.outcome = outcome,
					.first_byte = SR_SEC };

	sr_evidence_record(f->evidence, now, &seen);
}

static unsigned failures(const fixture_t *f)
{
	sr_evidence_counters_t total;
	unsigned n = 0;

	sr_evidence_total(f->evidence, "s", "v", "r", &total);
	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++)
		n += total.failures[i];
	return n;
}

static void test_lost_connection_counts_if_the_domain_lives(void **state)
{
	fixture_t f;

	fixture_start(&f, "n1");
	record(&f, 0, "u1", SR_OUTCOME_CONNECTION);
	record(&f, SR_SEC, "u2", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, 5 * SR_SEC);
	assert_int_equal(failures(&f), 0);
	sr_evidence_tick(f.evidence, 6 * SR_SEC);
	assert_int_equal(failures(&f), 1);
	sr_evidence_free(f.evidence);
}

static void test_lost_domain_is_no_evidence(void **state)
{
	fixture_t f;

	fixture_start(&f, "n1");
	record(&f, 0, "u2", SR_OUTCOME_ANSWERED);
	record(&f, SR_SEC, "u1", SR_OUTCOME_CONNECTION);
	record(&f, 2 * SR_SEC, "u1", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, 10 * SR_SEC);
	assert_int_equal(failures(&f), 0);
	sr_evidence_free(f.evidence);
}

static void test_gone_upstream_is_no_evidence(void **state)
{
	fixture_t f;

	fixture_start(&f, "n1");
	f.gone = TRUE; /* when it breaks, though back soon after */
	record(&f, 0, "u1", SR_OUTCOME_CONNECTION);
	record(&f, 0, "u1", SR_OUTCOME_FAILED);
	f.gone = FALSE;
	record(&f, SR_SEC, "u2", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, 7 * SR_SEC);
	assert_int_equal(failures(&f), 0);
	record(&f, 8 * SR_SEC, "u1", SR_OUTCOME_CONNECTION);
	record(&f, 9 * SR_SEC, "u2", SR_OUTCOME_ANSWERED);
	f.gone = TRUE; /* or only known to be gone later */
	sr_evidence_tick(f.evidence, 20 * SR_SEC);
	assert_int_equal(failures(&f), 0);
	sr_evidence_free(f.evidence);
}

static void test_counters_merge_by_maximum(void **state)
{
	fixture_t f;
	fixture_t g;
	sr_evidence_counters_t total;
	guint8 old_value[256];

	fixture_start(&f, "n1");
	fixture_start(&g, "n2");
	record(&f, 0, "u1", SR_OUTCOME_ANSWERED);
	sr_evidence_tick(f.evidence, SR_SEC);
	memcpy(old_value, f.value, sizeof(old_value));
	record(&f, 0, "u1", SR_OUTCOME_FAILED);
	sr_evidence_tick(f.evidence, 2 * SR_SEC);
	record(&g, 0, "u1", SR_OUTCOME_ANSWERED);
	sr_evidence_heard(g.evidence, f.key, f.value, f.size);
	sr_evidence_heard(g.evidence, f.key, f.value, f.size);
	sr_evidence_heard(g.evidence, f.key, old_value, f.size);
	sr_evidence_heard(g.evidence, f.key, f.value, f.size - 1);
	sr_evidence_heard(g.evidence, "n2/s/v/r", f.value, f.size);
	sr_evidence_heard(g.evidence, "mangled", f.value, f.size);
	sr_evidence_total(g.evidence, "s", "v", "r", &total);
	assert_int_equal(sr_evidence_requests(&total), 3);
	assert_int_equal(failures(&g), 1);
	sr_evidence_free(f.evidence);
	sr_evidence_free(g.evidence);
}

/* Adds a period's requests of one group of hosts. */
static void add(sr_evidence_counters_t *counters, unsigned group, unsigned n,
		unsigned failed, unsigned bucket)
{
	counters->requests[group] += n;
	counters->failures[group] += failed;
	counters->latency[bucket] += n - failed;
}

typedef struct {
	sr_rollout_judge_t judge;
	sr_evidence_counters_t old_version;
	sr_evidence_counters_t new_version;
} trial_t;

static sr_verdict_t period(trial_t *t)
{
	return sr_rollout_judge_period(&t->judge, &t->old_version,
				       &t->new_version);
}

static void trial_start(trial_t *t)
{
	memset(t, 0, sizeof(*t));
	period(t);
	add(&t->old_version, 0, 1000, 2, 10);
	assert_int_equal(period(t), SR_VERDICT_FINE);
}

static void test_failing_version_is_found_soon(void **state)
{
	trial_t t;
	unsigned n = 0;

	trial_start(&t);
	do {
		add(&t.old_version, 0, 40, 0, 10);
		add(&t.new_version, n % 2, 4, 2, 10);
		n++;
	} while (period(&t) != SR_VERDICT_FAILING && n < 20);
	assert_in_range(n, 1, 10);
}

static void test_one_faulty_host_is_no_fault_of_the_version(void **state)
{
	trial_t t;

	trial_start(&t);
	for (int i = 0; i < 200; i++) {
		add(&t.old_version, 0, 40, 0, 10);
		add(&t.new_version, 1, 2, 2, 10);
		add(&t.new_version, 2, 2, 0, 10);
		assert_int_equal(period(&t), SR_VERDICT_FINE);
	}
}

static void test_only_host_in_use_is_judged_with_more_evidence(void **state)
{
	trial_t t;
	unsigned n = 0;

	trial_start(&t);
	add(&t.new_version, 2, 5, 0, 10); /* another one, long ago */
	do {
		add(&t.old_version, 0, 40, 0, 10);
		add(&t.new_version, 1, 4, 2, 10);
		n++;
	} while (period(&t) != SR_VERDICT_FAILING && n < 200);
	assert_in_range(n, 5, 100);
}

static void test_trouble_of_both_versions_is_no_evidence(void **state)
{
	trial_t t;

	trial_start(&t);
	for (unsigned i = 0; i < 200; i++) {
		add(&t.old_version, 0, 40, 20, 14);
		add(&t.new_version, i % 3, 4, 2, 14);
		assert_int_equal(period(&t), SR_VERDICT_FINE);
	}
}

static void test_slow_version_is_found(void **state)
{
	trial_t t;
	unsigned n = 0;

	trial_start(&t);
	do {
		add(&t.old_version, 0, 40, 0, 10);
		add(&t.new_version, n % 2, 4, 0, 13);
		n++;
	} while (period(&t) != SR_VERDICT_SLOW && n < 20);
	assert_in_range(n, 1, 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_lost_connection_counts_if_the_domain_lives),
		cmocka_unit_test(test_lost_domain_is_no_evidence),
		cmocka_unit_test(test_gone_upstream_is_no_evidence),
		cmocka_unit_test(test_counters_merge_by_maximum),
		cmocka_unit_test(test_failing_version_is_found_soon),
		cmocka_unit_test(
			test_one_faulty_host_is_no_fault_of_the_version),
		cmocka_unit_test(
			test_only_host_in_use_is_judged_with_more_evidence),
		cmocka_unit_test(test_trouble_of_both_versions_is_no_evidence),
		cmocka_unit_test(test_slow_version_is_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
