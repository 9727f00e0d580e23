/*
 * Propagation of configurations on a manual clock: the time until a change is
 * in force on every node, the bytes that it transfers, and the gossip traffic
 * of a node.
 *
 * Nodes run the real modules; the platform is one object in memory.
 */
#include <string.h>

#include "bench.h"
#include "core/config_sync.h"
#include "core/config_sync_parts.h"
#include "core/gossip.h"

#define MAX_NODES 90
#define N_DOMAINS 4
#define TIME_STEP (20 * SR_MSEC)
/* Network delays, one way: between nodes and to the platform. */
#define NODE_DELAY ((sr_usec_t)1500)
#define PLATFORM_DELAY (3 * SR_MSEC)
#define N_CHANGES 10
#define N_SERVICES 1000
/* Changes that a node has missed after a partition. */
#define N_PARTITION_CHANGES 20

typedef struct cluster cluster_t;

typedef struct {
	sr_store_t store; /* must be first: calls cast it to node_t */
	cluster_t *cluster;
	unsigned index;
	char name[16];
	char domain[16];
	sr_gossip_t *gossip;
	sr_config_sync_t *sync;
	guint64 generation;
	sr_usec_t in_force_at;
} node_t;

struct cluster {
	sr_clock_t *clock;
	GRand *random;
	node_t nodes[MAX_NODES];
	unsigned n_nodes;
	GBytes *value; /* of the platform object */
	guint64 version;
	guint64 calls;	  /* to the platform, of all nodes */
	guint64 accepted; /* latest published generation */
};

/** message_t - a datagram, fetch or platform call in transit */
typedef struct {
	cluster_t *cluster;
	node_t *node;
	sr_store_call_t call;
	GBytes *data;
	sr_config_fetch_fn fetched;
	void *user;
} message_t;

static void free_message(message_t *message)
{
	g_clear_pointer(&message->data, g_bytes_unref);
	g_free(message);
}

static void on_datagram(void *user)
{
	message_t *message = user;
	gsize size;
	const guint8 *data = g_bytes_get_data(message->data, &size);

	sr_gossip_receive(message->node->gossip,
			  sr_clock_now(message->cluster->clock), data, size);
	free_message(message);
}

static void on_send(void *user, const char *address, const guint8 *data,
		    gsize size)
{
	node_t *node = user;
	message_t *message = g_new0(message_t, 1);
	unsigned to = (unsigned)g_ascii_strtoull(address, NULL, 10);

	message->cluster = node->cluster;
	message->node = &node->cluster->nodes[to];
	message->data = g_bytes_new(data, size);
	sr_timer_start(node->cluster->clock, NODE_DELAY, on_datagram, message);
}

static void on_fetched(void *user)
{
	message_t *message = user;

	message->fetched(message->user, message->data);
	free_message(message);
}

static void on_fetch(void *user, const char *key, sr_config_fetch_fn done,
		     void *done_user)
{
	node_t *node = user;
	cluster_t *c = node->cluster;
	message_t *message = g_new0(message_t, 1);
	unsigned members =
		(c->n_nodes - node->index % N_DOMAINS + N_DOMAINS - 1) /
		N_DOMAINS;
	unsigned pick =
		(unsigned)g_rand_int_range(c->random, 0, (gint32)members);
	node_t *peer = &c->nodes[node->index % N_DOMAINS + pick * N_DOMAINS];

	message->cluster = c;
	message->data = sr_config_sync_serve(peer->sync, key);
	message->fetched = done;
	message->user = done_user;
	sr_timer_start(c->clock, 2 * NODE_DELAY, on_fetched, message);
}

static void on_cancel_fetches(void *user, void *done_user)
{
}

static void on_in_force(void *user, const char *text, gsize size,
			guint64 generation)
{
	node_t *node = user;

	node->generation = generation;
	node->in_force_at = sr_clock_now(node->cluster->clock);
}

static void on_announce(void *user, guint64 generation, const guint8 *digest,
			gsize size)
{
	node_t *node = user;
	sr_rumour_t rumour = { .kind = SR_RUMOUR_CONFIG,
			       .key = "",
			       .version = generation,
			       .value = digest,
			       .size = size };

	sr_gossip_put(node->gossip, sr_clock_now(node->cluster->clock), &rumour,
		      0);
}

static void on_rumour(void *user, const sr_rumour_t *rumour)
{
	node_t *node = user;

	sr_config_sync_rumour_received(node->sync, rumour->version,
				       rumour->value, rumour->size);
}

static void on_store_call_due(void *user)
{
	message_t *message = user;
	cluster_t *c = message->cluster;
	const sr_store_call_t *call = &message->call;
	sr_store_entry_t entry = { .key = SR_CONFIG_KEY };
	GPtrArray *entries = g_ptr_array_new();
	sr_store_reply_t reply = { .status = SR_STORE_OK, .list = entries };

	if (call->op == SR_STORE_WATCH && c->version == call->if_version) {
		sr_timer_start(c->clock, PLATFORM_DELAY, on_store_call_due,
			       message);
		g_ptr_array_unref(entries);
		return;
	}
	if (call->op == SR_STORE_CREATE || call->op == SR_STORE_UPDATE) {
		g_clear_pointer(&c->value, g_bytes_unref);
		c->value = g_bytes_ref(call->value);
		c->version++;
	}
	entry.version = c->version;
	if (c->version)
		g_ptr_array_add(entries, &entry);
	else if (call->op == SR_STORE_GET)
		reply.status = SR_STORE_NOT_FOUND;
	reply.version = c->version;
	reply.value = c->value;
	call->done(call->user, &reply);
	g_clear_pointer(&message->call.value, g_bytes_unref);
	g_ptr_array_unref(entries);
	free_message(message);
}

static void on_submit(sr_store_t *store, const sr_store_call_t *call)
{
	node_t *node = (node_t *)store;
	message_t *message = g_new0(message_t, 1);

	message->cluster = node->cluster;
	message->call = *call;
	if (call->value)
		g_bytes_ref(call->value);
	node->cluster->calls++;
	sr_timer_start(node->cluster->clock, 2 * PLATFORM_DELAY,
		       on_store_call_due, message);
}

static void on_cancel_all(sr_store_t *store, void *user)
{
}

static void start_node(cluster_t *c, unsigned index)
{
	node_t *node = &c->nodes[index];
	char address[16];
	sr_gossip_options_t gossip = { .name = node->name,
				       .failure_domain = node->domain,
				       .address = address,
				       .incarnation = 1,
				       .seed = g_rand_int(c->random),
				       .send = on_send,
				       .rumour_changed = on_rumour,
				       .user = node };
	sr_config_sync_options_t sync = {
		.store = &node->store,
		.node = node->name,
		.seed = g_rand_int(c->random),
		.fetch = on_fetch,
		.cancel_fetches = on_cancel_fetches,
		.apply = on_in_force,
		.announce = on_announce,
		.user = node,
	};

	node->cluster = c;
	node->index = index;
	node->store.submit = on_submit;
	node->store.cancel_all = on_cancel_all;
	g_snprintf(node->name, sizeof(node->name), "node%u", index);
	g_snprintf(node->domain, sizeof(node->domain), "domain%u",
		   index % N_DOMAINS);
	g_snprintf(address, sizeof(address), "%u", index);
	node->gossip = sr_gossip_new(&gossip, sr_clock_now(c->clock));
	for (unsigned i = 0; i < N_DOMAINS; i++) {
		g_snprintf(address, sizeof(address), "%u", i);
		if (i != index)
			sr_gossip_add_seed(node->gossip, address);
	}
	node->sync = sr_config_sync_new(&sync, sr_clock_now(c->clock));
}

typedef struct {
	const char *domain;
	GPtrArray *names;
} alive_members_t;

static void collect_member(void *user, const sr_member_t *member)
{
	alive_members_t *members = user;

	if (!strcmp(member->failure_domain, members->domain) &&
	    member->state == SR_MEMBER_ALIVE)
		g_ptr_array_add(members->names, (gpointer)member->name);
}

static void tick_node(node_t *node, sr_usec_t now)
{
	alive_members_t members = { .domain = node->domain,
				    .names = g_ptr_array_new() };

	sr_gossip_tick(node->gossip, now);
	sr_gossip_foreach_member(node->gossip, collect_member, &members);
	sr_config_sync_set_members(node->sync,
				   (const char *const *)members.names->pdata,
				   members.names->len);
	sr_config_sync_tick(node->sync, now);
	g_ptr_array_unref(members.names);
}

/* Ticks each node every 100 ms, a fifth of the nodes in each time step. */
static void advance(cluster_t *c, sr_usec_t time)
{
	for (; time > 0; time -= TIME_STEP) {
		sr_usec_t now;
		unsigned phase;

		sr_clock_advance(c->clock, TIME_STEP);
		now = sr_clock_now(c->clock);
		phase = (unsigned)(now / TIME_STEP % 5);
		for (unsigned i = phase; i < c->n_nodes; i += 5)
			tick_node(&c->nodes[i], now);
	}
}

static char *make_config_text(unsigned generation, unsigned services)
{
	GString *text = g_string_new("{\n");

	for (unsigned i = 0; i < services; i++)
		g_string_append_printf(
			text,
			"\t\"service-%u\": {\n\t\t\"kind\": \"plain\",\n"
			"\t\t\"path\": \"/service/%u\",\n"
			"\t\t\"soak_s\": %u,\n\t\t\"versions\": [\n"
			"\t\t\t{ \"name\": \"v%u\", \"share\": 1 }\n\t\t]\n"
			"\t},\n",
			i, i, i == generation * 37 % services ? generation : 60,
			i % 7);
	g_string_append(text, "}\n");
	return g_string_free(text, FALSE);
}

static void on_published(void *user, const sr_publish_result_t *result)
{
	cluster_t *c = user;

	if (result->err == SR_OK)
		c->accepted = result->generation;
}

/*
 * Publishes the next generation. Returns the seconds until it is in force on
 * every node.
 */
static double publish(cluster_t *c, unsigned publisher, unsigned services)
{
	sr_usec_t start = sr_clock_now(c->clock);
	sr_usec_t last = start;
	guint64 next = c->accepted + 1;
	char *text = make_config_text((unsigned)next, services);

	sr_config_sync_publish(c->nodes[publisher].sync, next - 1, text,
			       strlen(text), on_published, c);
	g_free(text);
	for (int i = 0; i < 3000; i++) {
		unsigned n_in_force = 0;

		advance(c, TIME_STEP);
		for (unsigned n = 0; n < c->n_nodes; n++)
			n_in_force += c->nodes[n].generation == next;
		if (n_in_force == c->n_nodes)
			break;
	}
	for (unsigned n = 0; n < c->n_nodes; n++) {
		g_assert(c->nodes[n].generation == next);
		last = MAX(last, c->nodes[n].in_force_at);
	}
	return (double)(last - start) / (double)SR_SEC;
}

static void cluster_free(cluster_t *c)
{
	for (unsigned i = 0; i < c->n_nodes; i++) {
		sr_config_sync_free(c->nodes[i].sync);
		sr_gossip_free(c->nodes[i].gossip);
	}
	sr_clock_free(c->clock);
	g_rand_free(c->random);
	g_clear_pointer(&c->value, g_bytes_unref);
	g_free(c);
}

static void measure_gossip(cluster_t *c, const char *suffix)
{
	guint64 before = 0;
	guint64 after = 0;
	guint64 calls = c->calls;
	char *figure;

	for (unsigned i = 0; i < c->n_nodes; i++)
		before += sr_gossip_stats(c->nodes[i].gossip)->bytes_sent;
	advance(c, SR_MINUTE);
	for (unsigned i = 0; i < c->n_nodes; i++)
		after += sr_gossip_stats(c->nodes[i].gossip)->bytes_sent;
	figure = g_strconcat("gossip_bytes_per_s_", suffix, NULL);
	bench_print("config", figure,
		    (double)(after - before) / 60 / c->n_nodes);
	g_free(figure);
	figure = g_strconcat("platform_calls_per_s_", suffix, NULL);
	bench_print("config", figure, (double)(c->calls - calls) / 60);
	g_free(figure);
}

static void measure_in_force(guint64 seed, unsigned n, const char *suffix)
{
	cluster_t *c = g_new0(cluster_t, 1);
	double worst = 0;
	char *figure = g_strconcat("in_force_s_", suffix, NULL);

	c->clock = sr_clock_new_manual(SR_SEC);
	c->random = g_rand_new_with_seed((guint32)seed);
	c->n_nodes = n;
	for (unsigned i = 0; i < n; i++)
		start_node(c, i);
	advance(c, 30 * SR_SEC);
	for (unsigned i = 0; i < N_CHANGES; i++) {
		double elapsed = publish(c, i * 7 % n, 20);

		worst = MAX(worst, elapsed);
	}
	bench_print("config", figure, worst);
	g_free(figure);
	measure_gossip(c, suffix);
	cluster_free(c);
}

/* Returns the bytes of the manifest and of the parts that the store lacks. */
static guint64 transfer_bytes(GHashTable *store, const char *text,
			      guint64 generation)
{
	GBytes *bytes = g_bytes_new(text, strlen(text));
	GHashTable *parts_by_hash =
		g_hash_table_new_full(sr_hash_hash, sr_hash_equal, g_free,
				      (GDestroyNotify)g_bytes_unref);
	sr_config_manifest_t *manifest =
		sr_parts_split(bytes, generation, 1, parts_by_hash);
	GBytes *encoded = sr_config_manifest_encode(manifest);
	guint64 total = g_bytes_get_size(encoded);

	for (guint i = 0; i < manifest->parts->len; i++)
		if (!g_hash_table_contains(
			    store,
			    &g_array_index(manifest->parts, sr_hash_t, i)))
			total += g_array_index(manifest->sizes, guint32, i);
	g_bytes_unref(encoded);
	g_bytes_unref(bytes);
	sr_config_manifest_free(manifest);
	g_hash_table_unref(parts_by_hash);
	return total;
}

/*
 * Estimates the bytes of a change if each part had a version: name and version
 * of every service, then the changed services.
 */
static guint64 per_part_version_bytes(unsigned changes, gsize text_size)
{
	gsize entry = strlen("service-000") + sizeof(guint64);

	return N_SERVICES * entry + changes * text_size / N_SERVICES;
}

static void measure_bytes(const char *figure_suffix, unsigned changes)
{
	GHashTable *store =
		g_hash_table_new_full(sr_hash_hash, sr_hash_equal, g_free,
				      (GDestroyNotify)g_bytes_unref);
	char *old = make_config_text(1, N_SERVICES);
	GString *next = g_string_new(old);
	GBytes *bytes = g_bytes_new(old, strlen(old));
	char *figure;

	sr_config_manifest_free(sr_parts_split(bytes, 1, 1, store));
	for (unsigned i = 0; i < changes; i++) {
		char *path = g_strdup_printf("\"/service/%u\",",
					     (i * 37 + 500) % N_SERVICES);

		g_string_replace(next, path, "\"/moved\",", 1);
		g_free(path);
	}
	figure = g_strconcat("bytes_whole_", figure_suffix, NULL);
	bench_print("config", figure, (double)next->len);
	g_free(figure);
	figure = g_strconcat("bytes_parts_", figure_suffix, NULL);
	bench_print("config", figure,
		    (double)transfer_bytes(store, next->str, 2));
	g_free(figure);
	figure = g_strconcat("bytes_versions_", figure_suffix, NULL);
	bench_print("config", figure,
		    (double)per_part_version_bytes(changes, next->len));
	g_free(figure);
	g_string_free(next, TRUE);
	g_bytes_unref(bytes);
	g_free(old);
	g_hash_table_unref(store);
}

void config_bench_run(guint64 seed)
{
	measure_in_force(seed, 9, "9");
	measure_in_force(seed, 30, "30");
	measure_in_force(seed, 90, "90");
	measure_bytes("one_change", 1);
	measure_bytes("after_partition", N_PARTITION_CHANGES);
}
