#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/lease.h"

#define LEASE_DURATION (4 * SR_SEC)
#define TICK (200 * SR_MSEC)

/* An in-memory store of one object that replies before the next tick. */
typedef struct {
	sr_store_t store;
	GBytes *value;	 /* NULL: it does not exist */
	guint64 version; /* includes the era in its high bits */
	guint64 era;
	unsigned n_reads;
	unsigned n_writes;
	gboolean call_pending;
	sr_store_call_t call;
} fake_store_t;

static void on_submit(sr_store_t *base, const sr_store_call_t *call)
{
	fake_store_t *store = (fake_store_t *)base;

	assert_false(store->call_pending);
	store->call_pending = TRUE;
	store->call = *call;
	if (call->value)
		g_bytes_ref(call->value);
}

static void reply_to_call(fake_store_t *store)
{
	const sr_store_call_t *call = &store->call;
	sr_store_reply_t reply = { .status = SR_STORE_OK };

	if (!store->call_pending)
		return;
	store->call_pending = FALSE;

	if (call->op == SR_STORE_GET) {
		store->n_reads++;
		reply.status = store->value ? SR_STORE_OK : SR_STORE_NOT_FOUND;
	} else if (call->if_version != store->version ||
		   (call->op == SR_STORE_CREATE) != !store->value) {
		reply.status = SR_STORE_CONFLICT;
	} else {
		store->n_writes++;
		store->version++;
		g_clear_pointer(&store->value, g_bytes_unref);
		store->value = g_bytes_ref(call->value);
	}
	if (call->value)
		g_bytes_unref(call->value);
	reply.version = store->version;
	reply.era = store->era;
	reply.value = store->value;
	call->done(call->user, &reply);
}

/* The call had no effect, and its caller gets no reply. */
static void drop_call(fake_store_t *store)
{
	if (store->call_pending && store->call.value)
		g_bytes_unref(store->call.value);
	store->call_pending = FALSE;
}

static void on_cancel(sr_store_t *store, void *user)
{
	(void)store;
	(void)user;
}

static sr_lease_t *new_lease(fake_store_t *store, const char *owner)
{
	const sr_lease_options_t options = {
		.store = &store->store,
		.key = "x",
		.owner = owner,
		.seed = 1,
		.duration = LEASE_DURATION,
		.has_eras = store->era > 0,
	};
	sr_lease_t *lease = sr_lease_new(&options);

	sr_lease_set_wanted(lease, TRUE);
	return lease;
}

/* Ticks until the lease is held or `until` is reached; returns that time. */
static sr_usec_t run_until_held(fake_store_t *store, sr_lease_t *lease,
				sr_usec_t from, sr_usec_t until)
{
	sr_usec_t now = from;

	for (; now < until && !sr_lease_is_held(lease, now, 0); now += TICK) {
		sr_lease_tick(lease, now);
		reply_to_call(store);
	}
	return now;
}

static void store_init(fake_store_t *store)
{
	memset(store, 0, sizeof(*store));
	store->store.submit = on_submit;
	store->store.cancel_all = on_cancel;
}

static void store_clear(fake_store_t *store)
{
	g_clear_pointer(&store->value, g_bytes_unref);
}

/* Begins a later era with a copy, which is NULL if it lacks the object. */
static void store_restore(fake_store_t *store, GBytes *copy, guint64 number)
{
	store_clear(store);
	store->value = copy ? g_bytes_ref(copy) : NULL;
	store->era++;
	store->version = (store->era << 40) + number;
}

static void tick(fake_store_t *store, sr_lease_t *lease, sr_usec_t now)
{
	sr_lease_tick(lease, now);
	while (store->call_pending)
		reply_to_call(store);
}

/* After a crash of all hosts the object still names the old holder. A new host
 * waits for the end of its deferral and for the expiry of that lease at once,
 * not in turn. */
static void test_deferral_overlaps_lease_expiry(void **state)
{
	fake_store_t store;
	sr_lease_t *crashed;
	sr_lease_t *next;
	sr_usec_t held_at;

	(void)state;
	store_init(&store);
	crashed = new_lease(&store, "a/1");
	run_until_held(&store, crashed, SR_SEC, 3 * SR_SEC);
	sr_lease_free(crashed);
	next = new_lease(&store, "b/1");
	sr_lease_defer_claims(next, 10 * SR_SEC + LEASE_DURATION);
	held_at = run_until_held(&store, next, 10 * SR_SEC, 60 * SR_SEC);
	assert_true(held_at >= 10 * SR_SEC + LEASE_DURATION);
	assert_true(held_at <= 10 * SR_SEC + LEASE_DURATION * 3 / 2);
	assert_int_equal(sr_lease_epoch(next), 2);
	sr_lease_free(next);
	store_clear(&store);
}

/* The object names no holder, so that only the deferral prevents a claim. */
static void test_no_claim_while_deferred(void **state)
{
	fake_store_t store;
	sr_lease_t *lease;

	(void)state;
	store_init(&store);
	lease = new_lease(&store, "a/1");
	sr_lease_defer_claims(lease, 20 * SR_SEC);
	run_until_held(&store, lease, SR_SEC, 20 * SR_SEC);
	assert_int_equal(store.n_writes, 0);
	assert_true(store.n_reads > 0);
	run_until_held(&store, lease, 20 * SR_SEC, 23 * SR_SEC);
	assert_int_equal(store.n_writes, 1);
	sr_lease_free(lease);
	store_clear(&store);
}

/* A holder that lost its lease while the store was unreachable, and must defer
 * its claims, releases the object at once, so that others need not wait. */
static void test_deferred_holder_releases(void **state)
{
	fake_store_t store;
	sr_lease_t *first;
	sr_lease_t *second;
	sr_usec_t held_at;

	(void)state;
	store_init(&store);
	first = new_lease(&store, "a/1");
	run_until_held(&store, first, SR_SEC, 3 * SR_SEC);
	assert_true(sr_lease_is_held(first, 3 * SR_SEC, 0));
	sr_lease_defer_claims(first, 20 * SR_SEC);
	run_until_held(&store, first, 9 * SR_SEC, 10 * SR_SEC);
	assert_false(sr_lease_is_held(first, 10 * SR_SEC, 0));
	second = new_lease(&store, "b/1");
	held_at = run_until_held(&store, second, 10 * SR_SEC, 20 * SR_SEC);
	assert_true(held_at < 10 * SR_SEC + LEASE_DURATION);
	sr_lease_free(first);
	sr_lease_free(second);
	store_clear(&store);
}

/* Guards against one epoch sent by two holders: the store is restored from a
 * copy made before the holder's claim, and a process that starts after it knows
 * neither of the restore nor of that claim. It must not claim before the first
 * holder has stopped acting, and only under a higher epoch. */
static void check_restored(gboolean copy_has_object, gboolean is_started_before)
{
	fake_store_t store;
	sr_lease_t *first;
	sr_lease_t *second;
	sr_usec_t now;
	guint64 first_epoch;
	GBytes *copy;
	guint64 copied;

	store_init(&store);
	store.era = 7;
	store.version = store.era << 40;
	first = new_lease(&store, "z/1");
	now = run_until_held(&store, first, SR_SEC, 9 * SR_SEC);
	sr_lease_release(first, now);
	tick(&store, first, now);
	copy = copy_has_object ? g_bytes_ref(store.value) : NULL;
	copied = copy_has_object ? store.version : 0;
	sr_lease_free(first);
	first = new_lease(&store, "a/1");
	now = run_until_held(&store, first, now, 20 * SR_SEC);
	first_epoch = sr_lease_epoch(first);
	assert_true(first_epoch > 0);
	second = new_lease(&store, "b/1");
	if (is_started_before)
		tick(&store, second, now);
	store_restore(&store, copy, copied & 0xff);
	for (; now < 60 * SR_SEC; now += TICK) {
		/* a process that can't reach the store acts until its lease
		 * ends */
		sr_lease_set_wanted(first, now < 30 * SR_SEC);
		sr_lease_tick(first, now);
		if (now < 30 * SR_SEC && sr_lease_is_held(first, now, 0))
			drop_call(&store);
		while (store.call_pending)
			reply_to_call(&store);
		tick(&store, second, now);
		assert_false(sr_lease_is_held(first, now, 0) &&
			     sr_lease_is_held(second, now, 0));
		if (sr_lease_is_held(second, now, 0))
			assert_true(sr_lease_epoch(second) > first_epoch);
	}
	assert_true(sr_lease_is_held(second, now, 0));
	sr_lease_free(first);
	sr_lease_free(second);
	g_clear_pointer(&copy, g_bytes_unref);
	store_clear(&store);
}

static void test_restored_store_has_one_holder(void **state)
{
	(void)state;
	check_restored(FALSE, FALSE);
	check_restored(FALSE, TRUE);
	check_restored(TRUE, FALSE);
	check_restored(TRUE, TRUE);
}

/* Guards against duties that rest after each restore: a holder whose lease is
 * still valid is the last one of the earlier era. It keeps the lease, under a
 * higher epoch, and its own payload, of which the copy has an older one. */
static void check_holder_stays(gboolean copy_has_object)
{
	GBytes *payload = g_bytes_new_static("late", 4);
	fake_store_t store;
	sr_lease_t *lease;
	sr_lease_t *other;
	sr_usec_t now;
	guint64 epoch;
	GBytes *copy;

	store_init(&store);
	store.era = 7;
	store.version = store.era << 40;
	lease = new_lease(&store, "a/1");
	now = run_until_held(&store, lease, SR_SEC, 9 * SR_SEC);
	epoch = sr_lease_epoch(lease);
	copy = copy_has_object ? g_bytes_ref(store.value) : NULL;
	assert_int_equal(sr_lease_write(lease, now, payload), SR_OK);
	reply_to_call(&store);
	store_restore(&store, copy, copy ? 1 : 0);
	other = new_lease(&store, "b/1");
	for (; now < 30 * SR_SEC; now += TICK) {
		tick(&store, lease, now);
		tick(&store, other, now);
		assert_true(sr_lease_is_held(lease, now, 0));
		assert_false(sr_lease_is_held(other, now, 0));
	}
	assert_true(sr_lease_epoch(lease) > MAX(epoch, store.era << 40));
	assert_true(g_bytes_equal(sr_lease_payload(lease), payload));
	assert_true(g_bytes_equal(sr_lease_payload(other), payload));
	sr_lease_free(lease);
	sr_lease_free(other);
	g_clear_pointer(&copy, g_bytes_unref);
	g_bytes_unref(payload);
	store_clear(&store);
}

static void test_holder_stays_over_a_restore(void **state)
{
	(void)state;
	check_holder_stays(FALSE);
	check_holder_stays(TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_deferral_overlaps_lease_expiry),
		cmocka_unit_test(test_no_claim_while_deferred),
		cmocka_unit_test(test_deferred_holder_releases),
		cmocka_unit_test(test_restored_store_has_one_holder),
		cmocka_unit_test(test_holder_stays_over_a_restore),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
