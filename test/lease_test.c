#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "core/lease.h"

#define LEASE (4 * SR_SEC)
#define TICK (200 * SR_MSEC)

/* A store of one object that answers before the next tick. */
typedef struct {
	sr_store_t store;
	GBytes *value; /* NULL: it does not exist */
	guint64 version;
	unsigned n_reads;
	unsigned n_writes;
	gboolean is_waiting;
	sr_store_call_t call;
} store_t;

static void on_submit(sr_store_t *base, const sr_store_call_t *call)
{
	store_t *store = (store_t *)base;

	assert_false(store->is_waiting);
	store->is_waiting = TRUE;
	store->call = *call;
	if (call->value)
		g_bytes_ref(call->value);
}

static void answer(store_t *store)
{
	const sr_store_call_t *call = &store->call;
	sr_store_reply_t reply = { .status = SR_STORE_OK };

	if (!store->is_waiting)
		return;
	store->is_waiting = FALSE;

	if (call->op == SR_STORE_GET) {
		store->n_reads++;
		reply.status = store->value ? SR_STORE_OK : SR_STORE_NOT_FOUND;
	} else if (call->if_version != store->version) {
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
	reply.value = store->value;
	call->done(call->user, &reply);
}

static void on_cancel(sr_store_t *store, void *user)
{
	(void)store;
	(void)user;
}

static sr_lease_t *new_lease(store_t *store, const char *owner)
{
	const sr_lease_options_t options = {
		.store = &store->store,
		.key = "x",
		.owner = owner,
		.seed = 1,
		.duration = LEASE,
	};
	sr_lease_t *lease = sr_lease_new(&options);

	sr_lease_want(lease, TRUE);
	return lease;
}

/* Ticks until the lease is held or the time is over; returns the time. */
static sr_usec_t run(store_t *store, sr_lease_t *lease, sr_usec_t from,
		     sr_usec_t until)
{
	sr_usec_t now = from;

	for (; now < until && !sr_lease_is_held(lease, now, 0); now += TICK) {
		sr_lease_tick(lease, now);
		answer(store);
	}
	return now;
}

static void start(store_t *store)
{
	memset(store, 0, sizeof(*store));
	store->store.submit = on_submit;
	store->store.cancel_all = on_cancel;
}

static void stop(store_t *store)
{
	g_clear_pointer(&store->value, g_bytes_unref);
}

/* All hosts were killed; the object still names a holder that is no more. */
static void test_waits_run_at_the_same_time(void **state)
{
	store_t store;
	sr_lease_t *dead;
	sr_lease_t *next;
	sr_usec_t held;

	(void)state;
	start(&store);
	dead = new_lease(&store, "a/1");
	run(&store, dead, SR_SEC, 3 * SR_SEC);
	sr_lease_free(dead);
	next = new_lease(&store, "b/1");
	sr_lease_hold_off(next, 10 * SR_SEC + LEASE);
	held = run(&store, next, 10 * SR_SEC, 60 * SR_SEC);
	assert_true(held >= 10 * SR_SEC + LEASE);
	assert_true(held <= 10 * SR_SEC + LEASE * 3 / 2);
	assert_int_equal(sr_lease_epoch(next), 2);
	sr_lease_free(next);
	stop(&store);
}

/* The object is released, so that only the hold-off keeps it from a claim. */
static void test_claims_nothing_while_held_off(void **state)
{
	store_t store;
	sr_lease_t *lease;

	(void)state;
	start(&store);
	lease = new_lease(&store, "a/1");
	sr_lease_hold_off(lease, 20 * SR_SEC);
	run(&store, lease, SR_SEC, 20 * SR_SEC);
	assert_int_equal(store.n_writes, 0);
	assert_true(store.n_reads > 0);
	run(&store, lease, 20 * SR_SEC, 23 * SR_SEC);
	assert_int_equal(store.n_writes, 1);
	sr_lease_free(lease);
	stop(&store);
}

/* A holder that was cut off from the store may not take it up again for a
 * while: it lets go of it as soon as it can. */
static void test_held_off_holder_releases(void **state)
{
	store_t store;
	sr_lease_t *first;
	sr_lease_t *second;
	sr_usec_t held;

	(void)state;
	start(&store);
	first = new_lease(&store, "a/1");
	run(&store, first, SR_SEC, 3 * SR_SEC);
	assert_true(sr_lease_is_held(first, 3 * SR_SEC, 0));
	sr_lease_hold_off(first, 20 * SR_SEC);
	run(&store, first, 9 * SR_SEC, 10 * SR_SEC);
	assert_false(sr_lease_is_held(first, 10 * SR_SEC, 0));
	second = new_lease(&store, "b/1");
	held = run(&store, second, 10 * SR_SEC, 20 * SR_SEC);
	assert_true(held < 10 * SR_SEC + LEASE);
	sr_lease_free(first);
	sr_lease_free(second);
	stop(&store);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_waits_run_at_the_same_time),
		cmocka_unit_test(test_claims_nothing_while_held_off),
		cmocka_unit_test(test_held_off_holder_releases),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
