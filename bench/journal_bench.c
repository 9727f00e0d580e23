#include "bench.h"

#include <math.h>
#include <string.h>

#include "../test/prove/fake_platform.c" /* NOLINT(bugprone-suspicious-include) */
#include "core/journal.h"

/* Load and time of one run. */
#define POSTINGS_PER_S 200
#define WARM_UP (10 * SR_SEC)
#define MEASURED (60 * SR_SEC)
#define STEP SR_MSEC
/* The platform's answer time: there and back, one step each. */
#define ANSWER_TIME (2 * SR_MSEC)
#define UPSTREAM_TIME (20 * SR_MSEC)
#define MAX_HOSTS 90

typedef struct world world_t;

typedef struct {
	world_t *world;
	fake_client_t *client;
	sr_journal_t *journal;
	gboolean woken;
} host_t;

typedef struct {
	host_t *host;
	guint64 run;
	sr_usec_t ends;
} run_t;

struct world {
	fake_platform_t *platform;
	sr_usec_t now;
	guint64 random;
	unsigned n_hosts;
	host_t hosts[MAX_HOSTS];
	GQueue *runs;	       /* run_t, in order of their end */
	GHashTable *submitted; /* key -> sr_usec_t, until it runs */
	GArray *delays;	       /* of double, in ms */
	gboolean measuring;
	guint64 answered;
	guint64 refused;
};

static void on_run(void *user, const sr_journal_run_t *journal_run)
{
	host_t *host = user;
	world_t *world = host->world;
	run_t *run = g_new0(run_t, 1);
	sr_usec_t *submitted =
		g_hash_table_lookup(world->submitted, journal_run->key);

	run->host = host;
	run->run = journal_run->run_id;
	run->ends = world->now + UPSTREAM_TIME;
	g_queue_push_tail(world->runs, run);
	if (submitted && world->measuring) {
		double ms = (double)(world->now - *submitted - ANSWER_TIME) /
			    SR_MSEC;

		g_array_append_val(world->delays, ms);
	}
	g_hash_table_remove(world->submitted, journal_run->key);
}

static void on_answer(void *user, void *ticket,
		      const sr_journal_answer_t *answer)
{
	host_t *host = user;

	if (answer->kind == SR_ANSWER_RESULT)
		host->world->answered++;
	else
		host->world->refused++;
}

static void on_wake(void *user)
{
	((host_t *)user)->woken = TRUE;
}

static void start_host(world_t *world, unsigned i)
{
	host_t *host = &world->hosts[i];
	char name[16];
	sr_journal_options_t options = {
		.node = name,
		.home = "failure-domain-ahd",
		.n_shards = SR_JOURNAL_N_SHARDS,
		.seed = prove_random(&world->random),
		.lease = SR_JOURNAL_LEASE,
		.retention = 30 * SR_SEC,
		.write_interval = SR_JOURNAL_WRITE_INTERVAL,
		.ring_slots = SR_JOURNAL_RING_SLOTS,
		.max_entries = SR_JOURNAL_MAX_ENTRIES,
		.max_bytes = SR_JOURNAL_MAX_BYTES,
		.run = on_run,
		.answer = on_answer,
		.wake = on_wake,
		.user = host,
	};

	g_snprintf(name, sizeof(name), "host-%u", i);
	host->world = world;
	host->client = fake_client_new(world->platform);
	options.store = fake_client_store(host->client);
	host->journal = sr_journal_new(&options);
}

static unsigned owner_of(const world_t *world, unsigned shard)
{
	return shard % world->n_hosts;
}

static void end_runs(world_t *world)
{
	static const char result[] = "201 Created";
	run_t *run;

	while ((run = g_queue_peek_head(world->runs)) &&
	       run->ends <= world->now) {
		sr_journal_run_result_t end = {
			.end = SR_RUN_ANSWERED,
			.status = 201,
			.result = g_bytes_new_static(result, sizeof(result)),
		};

		sr_journal_run_ended(run->host->journal, world->now, run->run,
				     &end);
		g_bytes_unref(end.result);
		g_free(g_queue_pop_head(world->runs));
	}
}

static void post(world_t *world, guint64 number)
{
	char key[32];
	sr_usec_t *when = g_new(sr_usec_t, 1);
	unsigned shard;
	sr_journal_posting_t posting = {
		.account = "branch-12",
		.key = key,
		.service = "payledger",
		.deadline = world->now + 10 * SR_SEC,
		.ticket = GSIZE_TO_POINTER(number),
	};

	g_snprintf(key, sizeof(key), "rev-%" G_GUINT64_FORMAT, number);
	*when = world->now;
	g_hash_table_insert(world->submitted, g_strdup(key), when);
	shard = sr_journal_shard_index(posting.account, key,
				       SR_JOURNAL_N_SHARDS);
	posting.request = g_bytes_new(key, strlen(key));
	sr_journal_submit(world->hosts[owner_of(world, shard)].journal,
			  world->now, &posting);
	g_bytes_unref(posting.request);
}

static void step(world_t *world)
{
	world->now += STEP;
	fake_platform_run(world->platform, world->now);
	end_runs(world);
	for (unsigned i = 0; i < world->n_hosts; i++) {
		host_t *host = &world->hosts[i];

		if (!host->woken && world->now % (10 * SR_MSEC))
			continue;
		host->woken = FALSE;
		sr_journal_tick(host->journal, world->now);
	}
}

static void world_init(world_t *world, guint64 seed, unsigned n_hosts)
{
	memset(world, 0, sizeof(*world));
	world->random = seed;
	world->n_hosts = n_hosts;
	world->platform = fake_platform_new(prove_random(&world->random));
	fake_platform_faults(world->platform)->delay = 1;
	world->runs = g_queue_new();
	world->delays = g_array_new(FALSE, FALSE, sizeof(double));
	world->submitted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (unsigned i = 0; i < n_hosts; i++)
		start_host(world, i);
	for (unsigned shard = 0; shard < SR_JOURNAL_N_SHARDS; shard++)
		sr_journal_set_wanted(
			world->hosts[owner_of(world, shard)].journal,
			world->now, shard, TRUE);
}

static void world_clear(world_t *world)
{
	for (unsigned i = 0; i < world->n_hosts; i++) {
		sr_journal_free(world->hosts[i].journal);
		fake_client_free(world->hosts[i].client);
	}
	g_queue_free_full(world->runs, g_free);
	g_array_free(world->delays, TRUE);
	g_hash_table_unref(world->submitted);
	fake_platform_free(world->platform);
}

/* Poisson arrivals for a while; returns how many there were. */
static guint64 load(world_t *world, sr_usec_t span, guint64 first)
{
	sr_usec_t end = world->now + span;
	double next = (double)world->now;
	guint64 number = first;

	while (world->now < end) {
		while (next <= (double)world->now) {
			double u =
				((double)(prove_random(&world->random) >> 11) +
				 1) /
				9007199254740993.0;

			post(world, ++number);
			next -= log(u) * SR_SEC / POSTINGS_PER_S;
		}
		step(world);
	}
	return number - first;
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(GArray *values, double q)
{
	if (!values->len)
		return NAN;
	g_array_sort(values, compare_doubles);
	return g_array_index(values, double,
			     (guint)(q * (double)(values->len - 1)));
}

static void measure(guint64 seed, unsigned n_hosts)
{
	world_t world;
	guint64 before;
	guint64 posted;
	char figure[64];

	world_init(&world, seed, n_hosts);
	while (world.now < SR_SEC)
		step(&world);
	posted = load(&world, WARM_UP, 0);
	before = fake_platform_counts(world.platform)->writes;
	world.measuring = TRUE;
	world.refused = 0;
	posted = load(&world, MEASURED, posted);
	g_snprintf(figure, sizeof(figure),
		   "platform_writes_per_posting_%u_hosts", n_hosts);
	bench_print("journal", figure,
		    (double)(fake_platform_counts(world.platform)->writes -
			     before) /
			    (double)posted);
	if (n_hosts == 9) {
		bench_print("journal", "added_p50_ms",
			    quantile(world.delays, 0.5));
		bench_print("journal", "added_p99_ms",
			    quantile(world.delays, 0.99));
		bench_print("journal", "refused", (double)world.refused);
		bench_print(
			"journal", "largest_object_kb",
			(double)fake_platform_counts(world.platform)->largest /
				1024);
	}
	world_clear(&world);
}

/* From the moment another host is told to take over, to its first run. */
static void measure_takeover(guint64 seed)
{
	world_t world;
	sr_usec_t begin;

	world_init(&world, seed, 2);
	while (world.now < SR_SEC)
		step(&world);
	load(&world, WARM_UP, 0);
	fake_client_set_cut(world.hosts[0].client, TRUE);
	begin = world.now;
	sr_journal_set_wanted(world.hosts[1].journal, world.now, 0, TRUE);
	while (!sr_journal_is_held(world.hosts[1].journal, 0) &&
	       world.now < begin + SR_MINUTE)
		step(&world);
	bench_print("journal", "takeover_s",
		    (double)(world.now - begin) / SR_SEC);
	world_clear(&world);
}

void journal_bench_run(guint64 seed)
{
	static const unsigned hosts[] = { 1, 9, 90 };

	for (unsigned i = 0; i < G_N_ELEMENTS(hosts); i++)
		measure(seed, hosts[i]);
	measure_takeover(seed);
}
