#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "daemon/members.h"

/* Each host knows all hosts of its own failure domain and the delegates of the
 * other domains. The hosts must compute the same owners from these different
 * views. */

#define DOMAINS 5
#define HOSTS 15 /* per failure domain */

typedef struct {
	char name[32];
	char domain[16];
	char address[32];
} host_t;

typedef struct {
	host_t hosts[DOMAINS * HOSTS];
	sr_members_t *views[DOMAINS * HOSTS];
} fleet_t;

static gboolean is_delegate(const fleet_t *fleet, const host_t *host)
{
	unsigned n_before = 0;

	for (unsigned i = 0; i < DOMAINS * HOSTS; i++) {
		const host_t *other = &fleet->hosts[i];

		if (!strcmp(other->domain, host->domain) &&
		    sr_gossip_delegate_score(other->name) <
			    sr_gossip_delegate_score(host->name))
			n_before++;
	}
	return n_before < SR_GOSSIP_DELEGATES;
}

static void report_member(sr_members_t *view, const host_t *host,
			  sr_member_state_t state)
{
	const sr_member_t member = {
		.name = host->name,
		.failure_domain = host->domain,
		.address = host->address,
		.state = state,
	};

	sr_members_update(view, &member);
}

static void start_fleet(fleet_t *fleet)
{
	for (unsigned i = 0; i < DOMAINS * HOSTS; i++) {
		host_t *host = &fleet->hosts[i];

		g_snprintf(host->name, sizeof(host->name), "host-%u", i);
		g_snprintf(host->domain, sizeof(host->domain), "zone-%u",
			   i / HOSTS);
		g_snprintf(host->address, sizeof(host->address), "10.%u.0.%u:1",
			   i / HOSTS, i % HOSTS);
	}
	for (unsigned i = 0; i < DOMAINS * HOSTS; i++) {
		const host_t *host = &fleet->hosts[i];
		const sr_members_options_t options = {
			.node = host->name,
			.failure_domain = host->domain,
			.address = host->address,
			.seed = i,
		};

		fleet->views[i] = sr_members_new(&options);
		for (unsigned j = 0; j < DOMAINS * HOSTS; j++) {
			const host_t *other = &fleet->hosts[j];

			if (!strcmp(other->domain, host->domain) ||
			    is_delegate(fleet, other))
				report_member(fleet->views[i], other,
					      SR_MEMBER_ALIVE);
		}
	}
}

static void stop_fleet(fleet_t *fleet)
{
	for (unsigned i = 0; i < DOMAINS * HOSTS; i++)
		sr_members_free(fleet->views[i]);
}

/* Counts the hosts that compute themselves as the owner.
 * sr_members_owner_addresses() leaves out the own address, so that the list of
 * an owner is empty. */
static unsigned count_owners(const fleet_t *fleet, const char *key)
{
	unsigned n = 0;

	for (unsigned i = 0; i < DOMAINS * HOSTS; i++) {
		GPtrArray *others =
			sr_members_owner_addresses(fleet->views[i], key, 1);

		n += others->len == 0;
		g_ptr_array_unref(others);
	}
	return n;
}

static void test_each_key_has_one_owner(void **state)
{
	fleet_t fleet;
	char key[16];

	(void)state;
	start_fleet(&fleet);
	for (unsigned i = 0; i < 50; i++) {
		g_snprintf(key, sizeof(key), "thing-%u", i);
		assert_int_equal(count_owners(&fleet, key), 1);
	}
	stop_fleet(&fleet);
}

static void test_two_hosts_have_the_top_ranks(void **state)
{
	fleet_t fleet;
	unsigned n = 0;

	(void)state;
	start_fleet(&fleet);
	for (unsigned i = 0; i < DOMAINS * HOSTS; i++)
		n += sr_members_rank(fleet.views[i], "duties") < 2;
	assert_int_equal(n, 2);
	stop_fleet(&fleet);
}

/* The only live host of a domain becomes its delegate, also if it was none
 * before. */
static void test_last_host_of_a_domain_becomes_delegate(void **state)
{
	fleet_t fleet;
	unsigned last = 0;

	(void)state;
	start_fleet(&fleet);
	while (is_delegate(&fleet, &fleet.hosts[last]))
		last++;
	for (unsigned i = 0; i < DOMAINS * HOSTS; i++) {
		if (i != last)
			report_member(fleet.views[last], &fleet.hosts[i],
				      SR_MEMBER_DEAD);
	}
	assert_int_equal(sr_members_rank(fleet.views[last], "duties"), 0);
	stop_fleet(&fleet);
}

/* Other domains count with the sizes that their delegates report, the own
 * domain with its known hosts. */
static void test_count_includes_unknown_hosts(void **state)
{
	GHashTable *sizes = g_hash_table_new(g_str_hash, g_str_equal);
	fleet_t fleet;

	(void)state;
	start_fleet(&fleet);
	assert_int_equal(sr_members_count(fleet.views[0]),
			 HOSTS + (DOMAINS - 1) * SR_GOSSIP_DELEGATES);
	for (unsigned i = 0; i < DOMAINS; i++)
		g_hash_table_insert(sizes, fleet.hosts[i * HOSTS].domain,
				    GUINT_TO_POINTER(i == 0 ? 99 : HOSTS));
	/* a domain without a known host counts as empty */
	g_hash_table_insert(sizes, "zone-9", GUINT_TO_POINTER(7));
	sr_members_set_domain_sizes(fleet.views[0], sizes);
	assert_int_equal(sr_members_count(fleet.views[0]), DOMAINS * HOSTS);
	/* a size that is missing, or lower than the number of known hosts */
	g_hash_table_remove(sizes, "zone-1");
	g_hash_table_insert(sizes, "zone-2", GUINT_TO_POINTER(1));
	assert_int_equal(sr_members_count(fleet.views[0]),
			 (DOMAINS - 2) * HOSTS + 2 * SR_GOSSIP_DELEGATES);
	g_hash_table_unref(sizes);
	stop_fleet(&fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_key_has_one_owner),
		cmocka_unit_test(test_two_hosts_have_the_top_ranks),
		cmocka_unit_test(test_last_host_of_a_domain_becomes_delegate),
		cmocka_unit_test(test_count_includes_unknown_hosts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
