#include "bench.h"

#include <math.h>
#include <string.h>

#include "../test/prove/fake_platform.c" /* NOLINT(bugprone-suspicious-include) */
#include "core/journal.h"

/*
 * Added latency and platform writes per posting of the journal, and the time
 * of a takeover, on simulated time with a fake platform.
 */

#define POSTINGS_PER_S 200
#define WARM_UP (10 * SR_SEC)
#define MEASURED_TIME (60 * SR_SEC)
#define TIME_STEP SR_MSEC
/* One time step for the request and one for the reply. */
#define PLATFORM_ROUND_TRIP (2 * SR_MSEC)
#define UPSTREAM_TIME (20 * SR_MSEC)
#define MAX_HOSTS 90

typedef struct cluster cluster_t;

typedef struct {
	cluster_t *cluster;
	fake_client_t *client;
	sr_journal_t *journal;
	gboolean wake_requested;
} host_t;

typedef struct {
	host_t *host;
	guint64 run;
	sr_usec_t ends_at;
} run_t;

struct cluster {
	fake_platform_t *platform;
	sr_usec_t now;
	guint64 random;
	unsigned n_hosts;
	host_t hosts[MAX_HOSTS];
	GQueue *runs;	       /* of run_t, by end */
	GHashTable *submitted; /* key -> sr_usec_t, until the run starts */
	GArray *added_ms; /* of double: latency without the platform's, ms */
	gboolean measuring;
	guint64 answered;
	guint64 refused;
};

static void on_run(void *user, const sr_journal_run_t *journal_run)
{
	host_t *host = user;
	cluster_t *cluster = host->cluster;
	run_t *run = g_new0(run_t, 1);
	sr_usec_t *submitted =
		g_hash_table_lookup(cluster->submitted, journal_run->key);

	run->host = host;
	run->run = journal_run->run_id;
	run->ends_at = cluster->now + UPSTREAM_TIME;
	g_queue_push_tail(cluster->runs, run);
	if (submitted && cluster->measuring) {
		double ms = (double)(cluster->now - *submitted -
				     PLATFORM_ROUND_TRIP) /
			    SR_MSEC;

		g_array_append_val(cluster->added_ms, ms);
	}
	g_hash_table_remove(cluster->submitted, journal_run->key);
}

static void on_answer(void *user, void *ticket,
		      const sr_journal_answer_t *answer)
{
	host_t *host = user;

	if (answer->kind == SR_ANSWER_RESULT)
		host->cluster->answered++;
	else
		host->cluster->refused++;
}

static void on_wake(void *user)
{
	((host_t *)user)->wake_requested = TRUE;
}

static void start_host(cluster_t *cluster, unsigned i)
{
	host_t *host = &cluster->hosts[i];
	char name[16];
	sr_journal_options_t options = {
		.node = name,
		.home = "failure-domain-ahd",
		.n_shards = SR_JOURNAL_N_SHARDS,
		.seed = prove_random(&cluster->random),
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
	host->cluster = cluster;
	host->client = fake_client_new(cluster->platform);
	options.store = fake_client_store(host->client);
	host->journal = sr_journal_new(&options);
}

static unsigned owner_of(const cluster_t *cluster, unsigned shard)
{
	return shard % cluster->n_hosts;
}

static void finish_runs(cluster_t *cluster)
{
	static const char result[] = "201 Created";
	run_t *run;

	while ((run = g_queue_peek_head(cluster->runs)) &&
	       run->ends_at <= cluster->now) {
		sr_journal_run_result_t end = {
			.end = SR_RUN_ANSWERED,
			.status = 201,
			.result = g_bytes_new_static(result, sizeof(result)),
		};

		sr_journal_run_ended(run->host->journal, cluster->now, run->run,
				     &end);
		g_bytes_unref(end.result);
		g_free(g_queue_pop_head(cluster->runs));
	}
}

static void submit_posting(cluster_t *cluster, guint64 number)
{
	char key[32];
	sr_usec_t *submitted_at = g_new(sr_usec_t, 1);
	unsigned shard;
	sr_journal_posting_t posting = {
		.account = "branch-12",
		.key = key,
		.service = "payledger",
		.deadline = cluster->now + 10 * SR_SEC,
		.ticket = GSIZE_TO_POINTER(number),
	};

	g_snprintf(key, sizeof(key), "rev-%" G_GUINT64_FORMAT, number);
	*submitted_at = cluster->now;
	g_hash_table_insert(cluster->submitted, g_strdup(key), submitted_at);
	shard = sr_journal_shard_index(posting.account, key,
				       SR_JOURNAL_N_SHARDS);
	posting.request = g_bytes_new(key, strlen(key));
	sr_journal_submit(cluster->hosts[owner_of(cluster, shard)].journal,
			  cluster->now, &posting);
	g_bytes_unref(posting.request);
}

static void advance_step(cluster_t *cluster)
{
	cluster->now += TIME_STEP;
	fake_platform_run(cluster->platform, cluster->now);
	finish_runs(cluster);
	for (unsigned i = 0; i < cluster->n_hosts; i++) {
		host_t *host = &cluster->hosts[i];

		if (!host->wake_requested && cluster->now % (10 * SR_MSEC))
			continue;
		host->wake_requested = FALSE;
		sr_journal_tick(host->journal, cluster->now);
	}
}

static void cluster_init(cluster_t *cluster, guint64 seed, unsigned n_hosts)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->random = seed;
	cluster->n_hosts = n_hosts;
	cluster->platform = fake_platform_new(prove_random(&cluster->random));
	fake_platform_faults(cluster->platform)->max_call_delay = 1;
	cluster->runs = g_queue_new();
	cluster->added_ms = g_array_new(FALSE, FALSE, sizeof(double));
	cluster->submitted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (unsigned i = 0; i < n_hosts; i++)
		start_host(cluster, i);
	for (unsigned shard = 0; shard < SR_JOURNAL_N_SHARDS; shard++)
		sr_journal_set_wanted(
			cluster->hosts[owner_of(cluster, shard)].journal,
			cluster->now, shard, TRUE);
}

static void cluster_clear(cluster_t *cluster)
{
	for (unsigned i = 0; i < cluster->n_hosts; i++) {
		sr_journal_free(cluster->hosts[i].journal);
		fake_client_free(cluster->hosts[i].client);
	}
	g_queue_free_full(cluster->runs, g_free);
	g_array_free(cluster->added_ms, TRUE);
	g_hash_table_unref(cluster->submitted);
	fake_platform_free(cluster->platform);
}

/*
 * Submits postings with Poisson arrivals, numbered after the given number.
 * Returns how many it submitted.
 */
static guint64 generate_load(cluster_t *cluster, sr_usec_t duration,
			     guint64 first)
{
	sr_usec_t end = cluster->now + duration;
	double next = (double)cluster->now;
	guint64 number = first;

	while (cluster->now < end) {
		while (next <= (double)cluster->now) {
			double u = ((double)(prove_random(&cluster->random) >>
					     11) +
				    1) /
				   9007199254740993.0;

			submit_posting(cluster, ++number);
			next -= log(u) * SR_SEC / POSTINGS_PER_S;
		}
		advance_step(cluster);
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
	cluster_t cluster;
	guint64 writes_before;
	guint64 posted;
	char figure[64];

	cluster_init(&cluster, seed, n_hosts);
	while (cluster.now < SR_SEC)
		advance_step(&cluster);
	posted = generate_load(&cluster, WARM_UP, 0);
	writes_before = fake_platform_counts(cluster.platform)->writes;
	cluster.measuring = TRUE;
	cluster.refused = 0;
	posted = generate_load(&cluster, MEASURED_TIME, posted);
	g_snprintf(figure, sizeof(figure),
		   "platform_writes_per_posting_%u_hosts", n_hosts);
	bench_print("journal", figure,
		    (double)(fake_platform_counts(cluster.platform)->writes -
			     writes_before) /
			    (double)posted);
	if (n_hosts == 9) {
		bench_print("journal", "added_p50_ms",
			    quantile(cluster.added_ms, 0.5));
		bench_print("journal", "added_p99_ms",
			    quantile(cluster.added_ms, 0.99));
		bench_print("journal", "refused", (double)cluster.refused);
		bench_print("journal", "largest_object_kb",
			    (double)fake_platform_counts(cluster.platform)
					    ->largest_value_size /
				    1024);
	}
	cluster_clear(&cluster);
}

/*
 * Measures the time until host 1 holds shard 0, after its owner, host 0, has
 * lost the platform.
 */
static void measure_takeover(guint64 seed)
{
	cluster_t cluster;
	sr_usec_t begin;

	cluster_init(&cluster, seed, 2);
	while (cluster.now < SR_SEC)
		advance_step(&cluster);
	generate_load(&cluster, WARM_UP, 0);
	fake_client_set_cut(cluster.hosts[0].client, TRUE);
	begin = cluster.now;
	sr_journal_set_wanted(cluster.hosts[1].journal, cluster.now, 0, TRUE);
	while (!sr_journal_is_held(cluster.hosts[1].journal, 0) &&
	       cluster.now < begin + SR_MINUTE)
		advance_step(&cluster);
	bench_print("journal", "takeover_s",
		    (double)(cluster.now - begin) / SR_SEC);
	cluster_clear(&cluster);
}

void journal_bench_run(guint64 seed)
{
	static const unsigned hosts[] = { 1, 9, 90 };

	for (unsigned i = 0; i < G_N_ELEMENTS(hosts); i++)
		measure(seed, hosts[i]);
	measure_takeover(seed);
}
