#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "core/gossip.h"
#include "core/gossip_table.h"

#define TICK (100 * SR_MSEC)
#define NODES_MAX 204
/* Budget of a node for all control traffic, in bytes per second. */
#define CONTROL_BYTES_PER_S (9 * 1024)
/* Limit of the time in which a rumour reaches all nodes: a leaving upstream
 * must get no new work after a few seconds. */
#define SPREAD_MAX (2 * SR_SEC)

typedef struct cluster cluster_t;

typedef struct {
	cluster_t *cluster;
	unsigned index;
	char name[16];
	char domain[16];
	sr_gossip_t *gossip;
	sr_usec_t received_at;	 /* the latest rumour with awaited_key */
	unsigned rumours;	 /* received */
	const char *awaited_key; /* NULL for any */
	unsigned member_events;
	GHashTable *alive; /* set of the names reported as live */
} node_t;

struct cluster {
	node_t nodes[NODES_MAX];
	unsigned n;
	unsigned seed; /* index of the node whose address all others have */
	sr_usec_t now;
	GQueue *packets; /* of packet_t */
	gboolean drop_pushes;
	unsigned pings[NODES_MAX]; /* sent by each node */
	unsigned syncs[NODES_MAX]; /* sent to each node */
};

typedef struct {
	unsigned to;
	GBytes *data;
} packet_t;

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	node_t *node = user;
	packet_t *packet;
	sr_gossip_datagram_t datagram;
	gboolean push;

	assert_true(size <= SR_GOSSIP_DATAGRAM_MAX);
	assert_true(sr_gossip_decode(data, size, &datagram));
	push = datagram.message.type == SR_GOSSIP_PUSH;
	node->cluster->syncs[g_ascii_strtoull(address, NULL, 10)] +=
		datagram.message.type == SR_GOSSIP_SYNC;
	node->cluster->pings[node->index] +=
		datagram.message.type == SR_GOSSIP_PING;
	sr_gossip_datagram_clear(&datagram);
	if (push && node->cluster->drop_pushes)
		return;
	packet = g_new0(packet_t, 1);
	packet->to = (unsigned)g_ascii_strtoull(address, NULL, 10);
	packet->data = g_bytes_new(data, size);
	g_queue_push_tail(node->cluster->packets, packet);
}

static void on_rumour_changed(void *user, const sr_rumour_t *rumour)
{
	node_t *node = user;

	node->rumours++;
	if (!node->awaited_key || !strcmp(rumour->key, node->awaited_key))
		node->received_at = node->cluster->now;
}

static void on_member_changed(void *user, const sr_member_t *member)
{
	node_t *node = user;

	node->member_events++;
	if (member->state == SR_MEMBER_ALIVE ||
	    member->state == SR_MEMBER_SUSPECT)
		g_hash_table_add(node->alive, g_strdup(member->name));
	else
		g_hash_table_remove(node->alive, member->name);
}

static void on_member_removed(void *user, const char *name)
{
	node_t *node = user;

	node->member_events++;
	g_hash_table_remove(node->alive, name);
}

/* Returns the node of the first domain with the highest delegate score: the
 * last to become a delegate. */
static unsigned last_delegate(unsigned per_domain)
{
	unsigned last = 0;
	guint64 highest = 0;

	for (unsigned i = 0; i < per_domain; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "node%u", i);
		if (sr_gossip_delegate_score(name) > highest) {
			highest = sr_gossip_delegate_score(name);
			last = i;
		}
	}
	return last;
}

static void start(cluster_t *c, unsigned domains, unsigned per_domain)
{
	char seed[16];

	memset(c, 0, sizeof(*c));
	c->packets = g_queue_new();
	c->n = domains * per_domain;
	c->now = SR_SEC;
	c->seed = last_delegate(per_domain);
	for (unsigned i = 0; i < c->n; i++) {
		node_t *node = &c->nodes[i];
		char address[16];
		sr_gossip_options_t options = {
			.name = node->name,
			.failure_domain = node->domain,
			.address = address,
			.incarnation = 1,
			.seed = i,
			.send = on_send,
			.rumour_changed = on_rumour_changed,
			.member_changed = on_member_changed,
			.member_removed = on_member_removed,
			.user = node
		};

		node->alive = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, NULL);

		node->cluster = c;
		node->index = i;
		g_snprintf(node->name, sizeof(node->name), "node%u", i);
		g_snprintf(node->domain, sizeof(node->domain), "domain%u",
			   i / per_domain);
		g_snprintf(address, sizeof(address), "%u", i);
		node->gossip = sr_gossip_new(&options, c->now);
	}
	g_snprintf(seed, sizeof(seed), "%u", c->seed);
	for (unsigned i = 0; i < c->n; i++) {
		if (i != c->seed)
			sr_gossip_add_seed(c->nodes[i].gossip, seed);
	}
}

static void deliver_packets(cluster_t *c)
{
	for (guint n = g_queue_get_length(c->packets); n > 0; n--) {
		packet_t *packet = g_queue_pop_head(c->packets);
		sr_gossip_t *gossip = c->nodes[packet->to].gossip;
		gsize size;
		const guint8 *data = g_bytes_get_data(packet->data, &size);

		if (gossip)
			sr_gossip_receive(gossip, c->now, data, size);
		g_bytes_unref(packet->data);
		g_free(packet);
	}
}

static void run(cluster_t *c, sr_usec_t duration)
{
	for (; duration > 0; duration -= TICK) {
		c->now += TICK;
		deliver_packets(c);
		for (unsigned i = 0; i < c->n; i++)
			if (c->nodes[i].gossip)
				sr_gossip_tick(c->nodes[i].gossip, c->now);
	}
}

static void stop(cluster_t *c)
{
	for (unsigned i = 0; i < c->n; i++)
		sr_gossip_free(c->nodes[i].gossip);
	for (unsigned i = 0; i < c->n; i++)
		g_hash_table_unref(c->nodes[i].alive);
	for (packet_t *p; (p = g_queue_pop_head(c->packets));) {
		g_bytes_unref(p->data);
		g_free(p);
	}
	g_queue_free(c->packets);
}

static void put(node_t *node, sr_rumour_kind_t kind, const char *key,
		sr_usec_t ttl)
{
	sr_rumour_t rumour = { .kind = kind,
			       .key = key,
			       .version = 1,
			       .value = (const guint8 *)"v",
			       .size = 1 };

	sr_gossip_put(node->gossip, node->cluster->now, &rumour, ttl);
}

static void add_if_live(void *user, const sr_member_t *member)
{
	unsigned *live = user;

	if (member->state == SR_MEMBER_ALIVE ||
	    member->state == SR_MEMBER_SUSPECT)
		++*live;
}

static unsigned count_live_members(node_t *node)
{
	unsigned live = 0;

	sr_gossip_foreach_member(node->gossip, add_if_live, &live);
	return live;
}

static void test_state_does_not_grow_with_fleet(void **state)
{
	static cluster_t c;

	start(&c, 12, 8);
	run(&c, 30 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++) {
		assert_int_equal(count_live_members(&c.nodes[i]),
				 8 + 11 * SR_GOSSIP_DELEGATES);
		assert_true(sr_gossip_n_records(c.nodes[i].gossip) <=
			    8 + 11 * 2 * SR_GOSSIP_DELEGATES);
	}
	stop(&c);
}

/* The members reported as live must be those in the table, and no change may be
 * reported while there is none. */
static void test_member_callbacks_match_table(void **state)
{
	static cluster_t c;

	start(&c, 12, 8);
	run(&c, 30 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++) {
		assert_int_equal(g_hash_table_size(c.nodes[i].alive) + 1,
				 count_live_members(&c.nodes[i]));
		c.nodes[i].member_events = 0;
	}
	run(&c, 20 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++)
		assert_int_equal(c.nodes[i].member_events, 0);
	stop(&c);
}

/* A seed that is not a delegate is never in the tables of other domains.
 * Without a limit every node of the fleet would contact it again and again. */
static void test_syncs_to_seed_are_bounded(void **state)
{
	static cluster_t c;

	start(&c, 12, 8);
	run(&c, 30 * SR_SEC);
	memset(c.syncs, 0, sizeof(c.syncs));
	run(&c, 30 * SR_SEC);
	/* at most one per second from each domain, not from each node */
	assert_true(c.syncs[c.seed] <= 12 * 30);
	stop(&c);
}

/* The number of live members of the node's own domain that it knows, itself
 * included, and of the domains of which it knows all delegates. */
typedef struct {
	const node_t *node;
	unsigned n_local;
	unsigned n_remote;
} known_t;

static void count_known(void *user, const sr_member_t *member)
{
	known_t *known = user;

	if (member->state != SR_MEMBER_ALIVE)
		return;
	if (!strcmp(member->failure_domain, known->node->domain))
		known->n_local++;
	else
		known->n_remote++;
}

/* Hundreds of nodes start together with three seeds, and each of them has read
 * the list of the instances. The rumours about these must not delay the
 * members, since owners are chosen among them. */
static void test_members_are_known_soon_after_a_common_start(void **state)
{
	const unsigned domains = 6;
	const unsigned per_domain = 34;
	cluster_t c;

	(void)state;
	start(&c, domains, per_domain);
	for (unsigned i = 0; i < c.n; i++) {
		for (unsigned k = 0; k < 3; k++) {
			char seed[16];

			g_snprintf(seed, sizeof(seed), "%u", k * per_domain);
			if (i != k * per_domain)
				sr_gossip_add_seed(c.nodes[i].gossip, seed);
		}
		for (unsigned k = 0; k < 84; k++) {
			static const guint8 value[120];
			char key[24];
			const sr_rumour_t rumour = {
				.kind = SR_RUMOUR_INSTANCE,
				.key = key,
				.version = 10 + k,
				.value = value,
				.size = sizeof(value),
			};

			g_snprintf(key, sizeof(key), "instance-%u", k);
			sr_gossip_put(c.nodes[i].gossip, c.now, &rumour, 0);
		}
	}
	run(&c, 3 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++) {
		known_t known = { .node = &c.nodes[i] };

		sr_gossip_foreach_member(c.nodes[i].gossip, count_known,
					 &known);
		assert_int_equal(known.n_local, per_domain);
		assert_int_equal(known.n_remote,
				 (domains - 1) * SR_GOSSIP_DELEGATES);
	}
	stop(&c);
}

static void test_rumour_reaches_all_nodes_in_time(void **state)
{
	static cluster_t c;
	sr_usec_t start_at;

	start(&c, 12, 8);
	run(&c, 30 * SR_SEC);
	start_at = c.now;
	put(&c.nodes[c.n - 1], SR_RUMOUR_HOST_STATE, "upstream-1", 0);
	run(&c, 10 * SR_SEC);
	for (unsigned i = 0; i + 1 < c.n; i++) {
		assert_int_equal(c.nodes[i].rumours, 1);
		assert_true(c.nodes[i].received_at - start_at <= SPREAD_MAX);
	}
	stop(&c);
}

/* When all nodes put 300 instances at once, a new version of the route table
 * that one node puts right after must not wait behind them. */
static void test_route_table_overtakes_instances(void **state)
{
	static cluster_t c;
	sr_usec_t start_at;
	char key[16];

	start(&c, 6, 8);
	run(&c, 30 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++) {
		for (unsigned k = 0; k < 300; k++) {
			g_snprintf(key, sizeof(key), "instance-%u", k);
			put(&c.nodes[i], SR_RUMOUR_INSTANCE, key, 0);
		}
	}
	run(&c, SR_SEC);
	start_at = c.now;
	for (unsigned i = 0; i < c.n; i++)
		c.nodes[i].awaited_key = "table";
	put(&c.nodes[c.n - 1], SR_RUMOUR_ROUTE_TABLE, "table", 0);
	run(&c, 10 * SR_SEC);
	for (unsigned i = 0; i + 1 < c.n; i++) {
		assert_true(c.nodes[i].received_at > start_at);
		assert_true(c.nodes[i].received_at - start_at <= SPREAD_MAX);
	}
	stop(&c);
}

/* When all nodes put the same records, each must stop sending them after a few
 * times, since the records that it receives show that others have them. */
static void test_known_records_are_sent_few_times(void **state)
{
	static cluster_t c;
	guint64 before = 0;
	guint64 after = 0;
	char key[16];

	start(&c, 6, 8);
	run(&c, 30 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++)
		before += sr_gossip_stats(c.nodes[i].gossip)->bytes_sent;
	run(&c, 20 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++)
		after += sr_gossip_stats(c.nodes[i].gossip)->bytes_sent;
	before = after - before; /* in 20 s without a change */
	for (unsigned i = 0; i < c.n; i++) {
		for (unsigned k = 0; k < 100; k++) {
			g_snprintf(key, sizeof(key), "instance-%u", k);
			put(&c.nodes[i], SR_RUMOUR_INSTANCE, key, 0);
		}
	}
	run(&c, 20 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++)
		after -= sr_gossip_stats(c.nodes[i].gossip)->bytes_sent;
	/* A record takes about 40 bytes. Each node may send it five times;
	 * without the reduction a node sends it 3 ceil(log2(9)) = 12 times,
	 * and a delegate 3 ceil(log2(7)) = 9 times more. */
	assert_true(-after - before <= (guint64)c.n * 100 * 40 * 5);
	stop(&c);
}

static void test_counters_stay_within_byte_budget(void **state)
{
	static cluster_t c;
	char key[32];
	guint64 before;

	start(&c, 2, 5);
	run(&c, 10 * SR_SEC);
	before = sr_gossip_stats(c.nodes[0].gossip)->bytes_sent;
	for (unsigned round = 1; round <= 30; round++) {
		for (unsigned i = 0; i < 200; i++) {
			sr_rumour_t rumour = { .kind = SR_RUMOUR_USAGE,
					       .key = key,
					       .version = round,
					       .value = (const guint8 *)key,
					       .size = 8 };

			g_snprintf(key, sizeof(key), "node%u/account%u", i % 10,
				   i);
			sr_gossip_put(c.nodes[i % 10].gossip, c.now, &rumour,
				      0);
		}
		if (round == 20)
			put(&c.nodes[9], SR_RUMOUR_RECALL, "pay/v2", 0);
		run(&c, SR_SEC);
	}
	before = sr_gossip_stats(c.nodes[0].gossip)->bytes_sent - before;
	assert_true(before / 30 < CONTROL_BYTES_PER_S);
	for (unsigned i = 0; i < c.n; i++) {
		sr_rumour_t rumour;

		assert_true(sr_gossip_get(c.nodes[i].gossip, SR_RUMOUR_RECALL,
					  "pay/v2", &rumour));
	}
	stop(&c);
}

static void test_rumour_expires_everywhere(void **state)
{
	static cluster_t c;
	sr_rumour_t rumour;

	start(&c, 2, 4);
	run(&c, 10 * SR_SEC);
	put(&c.nodes[0], SR_RUMOUR_HOST_STATE, "upstream-1", 5 * SR_SEC);
	run(&c, 4 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++)
		assert_true(sr_gossip_get(c.nodes[i].gossip,
					  SR_RUMOUR_HOST_STATE, "upstream-1",
					  &rumour));
	run(&c, 10 * SR_SEC);
	for (unsigned i = 0; i < c.n; i++)
		assert_false(sr_gossip_get(c.nodes[i].gossip,
					   SR_RUMOUR_HOST_STATE, "upstream-1",
					   &rumour));
	stop(&c);
}

static void test_every_message_carries_leaving_state(void **state)
{
	static cluster_t c;

	start(&c, 1, 4);
	run(&c, 10 * SR_SEC);
	c.drop_pushes = TRUE;
	sr_gossip_leave(c.nodes[3].gossip, c.now);
	run(&c, 10 * SR_SEC); /* the leaving node still answers probes */
	c.drop_pushes = FALSE;
	for (unsigned i = 0; i < 3; i++)
		assert_int_equal(count_live_members(&c.nodes[i]), 3);
	stop(&c);
}

/* A node that was paused has missed the ACKs of its probe and must not suspect
 * the probed member. */
static void test_paused_node_suspects_no_member(void **state)
{
	static cluster_t c;
	sr_gossip_t *paused;
	guint64 before;
	unsigned pings;

	start(&c, 1, 4);
	run(&c, 10 * SR_SEC);
	pings = c.pings[3];
	while (c.pings[3] == pings) /* until a probe is under way */
		run(&c, TICK);
	paused = g_steal_pointer(&c.nodes[3].gossip);
	run(&c, 2 * SR_SEC);
	c.nodes[3].gossip = paused;
	before = sr_gossip_stats(paused)->suspects;
	sr_gossip_tick(paused, c.now + TICK);
	assert_int_equal(sr_gossip_stats(paused)->suspects, before);
	run(&c, 10 * SR_SEC);
	for (unsigned i = 0; i < 4; i++)
		assert_int_equal(count_live_members(&c.nodes[i]), 4);
	stop(&c);
}

static void test_oversized_rumour_is_refused(void **state)
{
	static cluster_t c;
	char key[SR_RUMOUR_KEY_MAX + 2];

	start(&c, 1, 1);
	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	put(&c.nodes[0], SR_RUMOUR_HOST_STATE, key, 0);
	assert_int_equal(sr_gossip_n_records(c.nodes[0].gossip), 1);
	assert_int_equal(sr_gossip_stats(c.nodes[0].gossip)->refused, 1);
	stop(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_state_does_not_grow_with_fleet),
		cmocka_unit_test(test_member_callbacks_match_table),
		cmocka_unit_test(test_syncs_to_seed_are_bounded),
		cmocka_unit_test(
			test_members_are_known_soon_after_a_common_start),
		cmocka_unit_test(test_rumour_reaches_all_nodes_in_time),
		cmocka_unit_test(test_route_table_overtakes_instances),
		cmocka_unit_test(test_known_records_are_sent_few_times),
		cmocka_unit_test(test_counters_stay_within_byte_budget),
		cmocka_unit_test(test_rumour_expires_everywhere),
		cmocka_unit_test(test_every_message_carries_leaving_state),
		cmocka_unit_test(test_paused_node_suspects_no_member),
		cmocka_unit_test(test_oversized_rumour_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
