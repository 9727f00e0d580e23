#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fleet/load_exchange.h"

/* Hosts of several failure domains exchange their load over a network that
 * delivers each datagram at once, unless the sender or the receiver is cut
 * off. */

#define DOMAINS 6
#define HOSTS_MAX 52 /* per domain */
#define DATAGRAM_MAX 1200
#define INSTANCES 84
#define INSTANCES_USED 12 /* by each host */

typedef struct fleet fleet_t;

typedef struct {
	fleet_t *fleet;
	char name[32];
	char domain[16];
	char address[32];
	sr_members_t *members;
	sr_load_exchange_t *exchange;
	gboolean is_down;
	guint64 bytes_received;
	unsigned n_totals;
} host_t;

struct fleet {
	host_t hosts[DOMAINS * HOSTS_MAX];
	unsigned per_domain;
	unsigned n;
	gboolean is_cut[DOMAINS]; /* from the other domains */
	sr_usec_t now;
};

static unsigned domain_of(const fleet_t *fleet, const host_t *host)
{
	return (unsigned)(host - fleet->hosts) / fleet->per_domain;
}

static void deliver(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	host_t *from = user;
	fleet_t *fleet = from->fleet;
	guint64 index = g_ascii_strtoull(address, NULL, 10);
	host_t *to = &fleet->hosts[index];
	unsigned a;
	unsigned b;

	assert_true(size <= DATAGRAM_MAX);
	assert_true(index < fleet->n);
	a = domain_of(fleet, from);
	b = domain_of(fleet, to);
	if (to->is_down || (a != b && (fleet->is_cut[a] || fleet->is_cut[b])))
		return;
	to->bytes_received += size;
	assert_true(
		sr_load_exchange_receive(to->exchange, fleet->now, data, size));
}

static void count_total(void *user)
{
	((host_t *)user)->n_totals++;
}

static void start_exchange(host_t *host, guint64 incarnation)
{
	const sr_load_exchange_options_t options = {
		.node = host->name,
		.failure_domain = host->domain,
		.incarnation = incarnation,
		.members = host->members,
		.datagram_max = DATAGRAM_MAX,
		.send = deliver,
		.total_changed = count_total,
		.user = host,
	};

	sr_load_exchange_free(host->exchange);
	host->exchange = sr_load_exchange_new(&options, host->fleet->now);
}

static gboolean is_delegate(const fleet_t *fleet, const host_t *host)
{
	unsigned first = domain_of(fleet, host) * fleet->per_domain;
	unsigned n_before = 0;

	for (unsigned i = first; i < first + fleet->per_domain; i++)
		n_before += sr_gossip_delegate_score(fleet->hosts[i].name) <
			    sr_gossip_delegate_score(host->name);
	return n_before < SR_GOSSIP_DELEGATES;
}

/* A host knows all hosts of its domain and the delegates of the others. */
static void introduce(fleet_t *fleet, host_t *host)
{
	for (unsigned i = 0; i < fleet->n; i++) {
		host_t *other = &fleet->hosts[i];
		const sr_member_t member = {
			.name = other->name,
			.failure_domain = other->domain,
			.address = other->address,
			.state = SR_MEMBER_ALIVE,
		};

		if (!strcmp(other->domain, host->domain) ||
		    is_delegate(fleet, other))
			sr_members_update(host->members, &member);
	}
}

static fleet_t *new_fleet(unsigned per_domain)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->per_domain = per_domain;
	fleet->n = DOMAINS * per_domain;
	fleet->now = SR_SEC;
	for (unsigned i = 0; i < fleet->n; i++) {
		host_t *host = &fleet->hosts[i];
		sr_members_options_t options = { 0 };

		host->fleet = fleet;
		g_snprintf(host->name, sizeof(host->name), "host-%u", i);
		g_snprintf(host->domain, sizeof(host->domain), "domain-%u",
			   i / per_domain);
		g_snprintf(host->address, sizeof(host->address), "%u", i);
		options.node = host->name;
		options.failure_domain = host->domain;
		options.address = host->address;
		host->members = sr_members_new(&options);
		start_exchange(host, 1);
	}
	for (unsigned i = 0; i < fleet->n; i++)
		introduce(fleet, &fleet->hosts[i]);
	return fleet;
}

static void free_fleet(fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->n; i++) {
		sr_load_exchange_free(fleet->hosts[i].exchange);
		sr_members_free(fleet->hosts[i].members);
	}
	g_free(fleet);
}

/* Each host has one request at the first instance and at some others, and a
 * tenth of an instance of work. */
static sr_load_sum_t *make_load(unsigned host)
{
	const sr_load_item_t item = { 1, 1000 };
	sr_load_sum_t *sum = sr_load_sum_new();

	for (unsigned i = 0; i < INSTANCES_USED; i++) {
		char name[24];

		g_snprintf(name, sizeof(name), "i-%010x",
			   i ? 1 + (host + 7 * i) % (INSTANCES - 1) : 0);
		sr_load_sum_add_item(sum, name, &item);
	}
	sr_load_sum_add_work(sum, "s", 0.1);
	return sum;
}

static void run(fleet_t *fleet, unsigned n_intervals)
{
	for (unsigned k = 0; k < n_intervals; k++) {
		fleet->now +=
			sr_load_exchange_interval(fleet->hosts[0].exchange);
		for (unsigned i = 0; i < fleet->n; i++) {
			host_t *host = &fleet->hosts[i];

			if (!host->is_down)
				sr_load_exchange_tick(host->exchange,
						      fleet->now, make_load(i));
		}
	}
}

static unsigned included(const fleet_t *fleet, const host_t *host)
{
	const sr_load_sum_t *own;
	const sr_load_sum_t *total =
		sr_load_exchange_total(host->exchange, fleet->now, &own);

	return total ? sr_load_sum_hosts(total) : 0;
}

/* The work of all hosts is known at each of them, though none knows more than
 * its own domain and the delegates of the others. */
static void test_all_hosts_know_the_total(void **state)
{
	fleet_t *fleet = new_fleet(33);

	(void)state;
	run(fleet, 8);
	for (unsigned i = 0; i < fleet->n; i++) {
		const host_t *host = &fleet->hosts[i];
		const sr_load_sum_t *own;
		const sr_load_sum_t *total = sr_load_exchange_total(
			host->exchange, fleet->now, &own);

		assert_non_null(total);
		assert_int_equal(sr_load_sum_hosts(total), fleet->n);
		assert_float_equal(sr_load_sum_work(total, "s"), 0.1 * fleet->n,
				   0.1);
		assert_float_equal(
			sr_load_sum_item(total, "i-0000000000").in_flight,
			fleet->n, 0.5);
		assert_true(host->n_totals > 0);
	}
	free_fleet(fleet);
}

static host_t *collector_of(fleet_t *fleet, unsigned domain)
{
	for (unsigned i = 0; i < fleet->per_domain; i++) {
		host_t *host = &fleet->hosts[domain * fleet->per_domain + i];

		if (!host->is_down &&
		    sr_members_domain_rank(host->members) == 0)
			return host;
	}
	return NULL;
}

/* The first collector of a domain dies. Before the membership notices it, the
 * second one takes over, so that no total expires. */
static void test_second_collector_takes_over(void **state)
{
	fleet_t *fleet = new_fleet(33);

	(void)state;
	run(fleet, 8);
	collector_of(fleet, 2)->is_down = TRUE;
	for (unsigned k = 0; k < 10; k++) {
		run(fleet, 1);
		for (unsigned i = 0; i < fleet->n; i++) {
			const host_t *host = &fleet->hosts[i];

			if (!host->is_down)
				assert_true(included(fleet, host) >=
					    fleet->n - 33);
		}
	}
	for (unsigned i = 0; i < fleet->n; i++) {
		if (!fleet->hosts[i].is_down)
			assert_int_equal(included(fleet, &fleet->hosts[i]),
					 fleet->n - 1);
	}
	free_fleet(fleet);
}

/* A collector that restarts has no reports at first. A total of few hosts must
 * not replace that of all; the collector itself knows none for a while. */
static void test_restarted_collector_waits_for_reports(void **state)
{
	fleet_t *fleet = new_fleet(33);
	host_t *restarted;

	(void)state;
	run(fleet, 8);
	restarted = collector_of(fleet, 1);
	start_exchange(restarted, 2);
	for (unsigned k = 0; k < 10; k++) {
		run(fleet, 1);
		for (unsigned i = 0; i < fleet->n; i++) {
			unsigned n = included(fleet, &fleet->hosts[i]);

			assert_true(n >= fleet->n - 33 ||
				    (n == 0 && k < 4 &&
				     &fleet->hosts[i] == restarted));
		}
	}
	free_fleet(fleet);
}

/* A domain that is cut off knows its own load and that no more is known. */
static void test_cut_domain_knows_how_much_is_missing(void **state)
{
	fleet_t *fleet = new_fleet(20);

	(void)state;
	run(fleet, 8);
	fleet->is_cut[3] = TRUE;
	run(fleet, 12);
	for (unsigned i = 0; i < fleet->n; i++)
		assert_int_equal(included(fleet, &fleet->hosts[i]),
				 i / 20 == 3 ? 20 : fleet->n - 20);
	fleet->is_cut[3] = FALSE;
	run(fleet, 4);
	for (unsigned i = 0; i < fleet->n; i++)
		assert_int_equal(included(fleet, &fleet->hosts[i]), fleet->n);
	free_fleet(fleet);
}

/* What a host that is no collector receives doesn't grow with the fleet. */
static void test_received_bytes_are_bounded(void **state)
{
	static const unsigned sizes[] = { 4, 33, 52 };
	guint64 most = 0;

	(void)state;
	for (gsize k = 0; k < G_N_ELEMENTS(sizes); k++) {
		fleet_t *fleet = new_fleet(sizes[k]);
		sr_usec_t started = fleet->now;

		run(fleet, 20);
		for (unsigned i = 0; i < fleet->n; i++) {
			const host_t *host = &fleet->hosts[i];

			if (sr_members_domain_rank(host->members) > 1)
				most = MAX(most, host->bytes_received);
		}
		/* under the 9 KB/s that control may take on a host */
		assert_true((double)most * SR_SEC /
				    (double)(fleet->now - started) <
			    9000);
		free_fleet(fleet);
		most = 0;
	}
}

/* More instances than fit a sum: those with most load are kept, and the rest
 * is counted. */
static void test_instances_with_little_load_are_dropped(void **state)
{
	sr_load_sum_t *sum = sr_load_sum_new();
	unsigned n_dropped;
	GPtrArray *texts;

	(void)state;
	for (unsigned i = 0; i < 10000; i++) {
		const sr_load_item_t item = { i, 0 };
		char name[24];

		g_snprintf(name, sizeof(name), "i%u", i);
		sr_load_sum_add_item(sum, name, &item);
	}
	texts = sr_load_sum_encode(sum, 900, 3, &n_dropped);
	assert_int_equal(texts->len, 3);
	assert_true(n_dropped > 9000 && n_dropped < 10000);
	sr_load_sum_free(sum);
	sum = sr_load_sum_new();
	sr_load_sum_decode(sum, texts->pdata[0]);
	assert_float_equal(sr_load_sum_item(sum, "i9999").in_flight, 9999, 0);
	assert_float_equal(sr_load_sum_item(sum, "i1").in_flight, 0, 0);
	g_ptr_array_unref(texts);
	sr_load_sum_free(sum);
}

static void test_malformed_datagrams_are_counted(void **state)
{
	static const char *const texts[] = {
		"T",
		"T host-9 domain-0 7 0 1\n",
		"T host-9 domain-0 7 1 1 3\n",
		"T host-9 domain-0 7 0 99 3\n",
		"T host-9 domain-0 x 0 1 3\ni 1 1\n",
		"T host-9 other 7 0 1 3\ni 1 1\n",
		"L host-9 other 7 0 1 3\ni 1 1\n",
	};
	fleet_t *fleet = new_fleet(2);
	host_t *host = &fleet->hosts[0];

	(void)state;
	for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_true(sr_load_exchange_receive(host->exchange, fleet->now,
						     (const guint8 *)texts[i],
						     strlen(texts[i])));
		assert_int_equal(
			sr_load_exchange_stats(host->exchange)->malformed,
			i + 1);
	}
	assert_false(sr_load_exchange_receive(host->exchange, fleet->now,
					      (const guint8 *)"U", 1));
	assert_int_equal(included(fleet, host), 0);
	free_fleet(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_hosts_know_the_total),
		cmocka_unit_test(test_second_collector_takes_over),
		cmocka_unit_test(test_restarted_collector_waits_for_reports),
		cmocka_unit_test(test_cut_domain_knows_how_much_is_missing),
		cmocka_unit_test(test_received_bytes_are_bounded),
		cmocka_unit_test(test_instances_with_little_load_are_dropped),
		cmocka_unit_test(test_malformed_datagrams_are_counted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
