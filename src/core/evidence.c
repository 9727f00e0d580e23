#include "core/evidence.h"

#include <string.h>

#include "base/list.h"

/** How long an attempt that ended with a connection error is held. */
#define HOLD_TIME (6 * SR_SEC)

/** Upper end of the first bucket of the time to the first byte. */
#define FIRST_BUCKET_END (2 * SR_MSEC)

#define N_COUNTERS (2 * SR_EVIDENCE_N_GROUPS + SR_EVIDENCE_N_BUCKETS)

/* One node's counters of one version and route. */
typedef struct {
	char *key;    /* node/service/version/route */
	char *series; /* service/version/route, points into key */
	sr_evidence_counters_t counters;
	gboolean is_published;
} record_t;

/* An attempt that ended with a connection error. */
typedef struct {
	sr_list_t link;
	char *series;
	char *upstream;
	char *failure_domain;
	sr_usec_t at; /* when it ended */
} held_attempt_t;

/* The two upstreams of a failure domain that answered last, latest first. */
typedef struct {
	struct {
		char *upstream;
		sr_usec_t at;
	} answers[2];
} domain_t;

struct sr_evidence {
	sr_evidence_options_t options;
	char *node;
	GHashTable *records;   /* key -> record_t */
	GHashTable *by_series; /* series -> GPtrArray of record_t */
	GHashTable *domains;   /* name -> domain_t */
	sr_list_t held;	       /* held_attempt_t, oldest first */
};

static void record_free(gpointer data)
{
	record_t *record = data;

	g_free(record->key);
	g_free(record);
}

static void domain_free(gpointer data)
{
	domain_t *domain = data;

	g_free(domain->answers[0].upstream);
	g_free(domain->answers[1].upstream);
	g_free(domain);
}

static void held_free(held_attempt_t *held)
{
	sr_list_remove(&held->link);
	g_free(held->series);
	g_free(held->upstream);
	g_free(held->failure_domain);
	g_free(held);
}

sr_evidence_t *sr_evidence_new(const sr_evidence_options_t *options)
{
	sr_evidence_t *evidence = g_new0(sr_evidence_t, 1);

	evidence->options = *options;
	evidence->node = g_strdup(options->node);
	evidence->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  record_free);
	evidence->by_series =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	evidence->domains = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, domain_free);
	sr_list_init(&evidence->held);
	return evidence;
}

void sr_evidence_free(sr_evidence_t *evidence)
{
	if (!evidence)
		return;
	sr_list_for_each_safe (link, &evidence->held)
		held_free(sr_list_entry(link, held_attempt_t, link));
	g_hash_table_unref(evidence->by_series);
	g_hash_table_unref(evidence->records);
	g_hash_table_unref(evidence->domains);
	g_free(evidence->node);
	g_free(evidence);
}

static record_t *get_record(sr_evidence_t *evidence, const char *key)
{
	record_t *record = g_hash_table_lookup(evidence->records, key);
	GPtrArray *records;

	if (record)
		return record;
	record = g_new0(record_t, 1);
	record->key = g_strdup(key);
	record->series = strchr(record->key, '/') + 1;
	record->is_published = TRUE;
	g_hash_table_insert(evidence->records, record->key, record);
	records = g_hash_table_lookup(evidence->by_series, record->series);
	if (!records) {
		records = g_ptr_array_new();
		g_hash_table_insert(evidence->by_series,
				    g_strdup(record->series), records);
	}
	g_ptr_array_add(records, record);
	return record;
}

static record_t *own_record(sr_evidence_t *evidence, const char *series)
{
	char *key = g_strconcat(evidence->node, "/", series, NULL);
	record_t *record = get_record(evidence, key);

	g_free(key);
	record->is_published = FALSE;
	return record;
}

unsigned sr_evidence_latency_bucket(sr_usec_t first_byte)
{
	sr_usec_t end = FIRST_BUCKET_END;
	unsigned i = 0;

	while (i + 1 < SR_EVIDENCE_N_BUCKETS && first_byte > end) {
		end += end / 2;
		i++;
	}
	return i;
}

static void record_answer(sr_evidence_t *evidence, sr_usec_t now,
			  const sr_observation_t *observation)
{
	domain_t *domain = g_hash_table_lookup(evidence->domains,
					       observation->failure_domain);

	if (!domain) {
		domain = g_new0(domain_t, 1);
		g_hash_table_insert(evidence->domains,
				    g_strdup(observation->failure_domain),
				    domain);
	}
	if (g_strcmp0(domain->answers[0].upstream, observation->upstream) !=
	    0) {
		g_free(domain->answers[1].upstream);
		domain->answers[1] = domain->answers[0];
		domain->answers[0].upstream = g_strdup(observation->upstream);
	}
	domain->answers[0].at = now;
}

static gboolean has_other_answer(const sr_evidence_t *evidence,
				 const held_attempt_t *held)
{
	const domain_t *domain =
		g_hash_table_lookup(evidence->domains, held->failure_domain);

	for (int i = 0; domain && i < 2; i++) {
		if (domain->answers[i].upstream &&
		    strcmp(domain->answers[i].upstream, held->upstream) != 0 &&
		    domain->answers[i].at >= held->at)
			return TRUE;
	}
	return FALSE;
}

static void count_attempt(sr_evidence_t *evidence, const char *series,
			  const char *upstream, gboolean failed,
			  sr_usec_t first_byte)
{
	record_t *record = own_record(evidence, series);
	unsigned group = g_str_hash(upstream) % SR_EVIDENCE_N_GROUPS;

	record->counters.requests[group]++;
	if (failed)
		record->counters.failures[group]++;
	else
		record->counters
			.latency[sr_evidence_latency_bucket(first_byte)]++;
}

static void hold_attempt(sr_evidence_t *evidence, sr_usec_t now, char *series,
			 const sr_observation_t *observation)
{
	held_attempt_t *held = g_new0(held_attempt_t, 1);

	held->series = series;
	held->upstream = g_strdup(observation->upstream);
	held->failure_domain = g_strdup(observation->failure_domain);
	held->at = now;
	sr_list_append(&evidence->held, &held->link);
}

void sr_evidence_record(sr_evidence_t *evidence, sr_usec_t now,
			const sr_observation_t *observation)
{
	char *series =
		g_strjoin("/", observation->service, observation->version,
			  observation->route, NULL);
	gboolean gone = evidence->options.is_gone(evidence->options.user,
						  observation->upstream);

	switch (observation->outcome) {
	case SR_OUTCOME_ANSWERED:
		record_answer(evidence, now, observation);
		count_attempt(evidence, series, observation->upstream, FALSE,
			      observation->first_byte);
		break;
	case SR_OUTCOME_FAILED:
		if (!gone)
			count_attempt(evidence, series, observation->upstream,
				      TRUE, 0);
		break;
	case SR_OUTCOME_CONNECTION_ERROR:
		if (gone)
			break;
		hold_attempt(evidence, now, series, observation);
		return;
	}
	g_free(series);
}

static void resolve_held(sr_evidence_t *evidence, sr_usec_t now)
{
	sr_list_for_each_safe (link, &evidence->held) {
		held_attempt_t *held =
			sr_list_entry(link, held_attempt_t, link);

		if (now - held->at < HOLD_TIME)
			return;
		if (!evidence->options.is_gone(evidence->options.user,
					       held->upstream) &&
		    has_other_answer(evidence, held))
			count_attempt(evidence, held->series, held->upstream,
				      TRUE, 0);
		held_free(held);
	}
}

static guint64 counters_version(const sr_evidence_counters_t *counters)
{
	return sr_evidence_request_count(counters);
}

static void publish(sr_evidence_t *evidence, record_t *record)
{
	guint32 encoded[N_COUNTERS];
	const guint32 *from = (const guint32 *)&record->counters;

	G_STATIC_ASSERT(sizeof(encoded) == sizeof(record->counters));
	for (unsigned i = 0; i < N_COUNTERS; i++)
		encoded[i] = GUINT32_TO_BE(from[i]);
	record->is_published = TRUE;
	evidence->options.publish_counters(evidence->options.user, record->key,
					   counters_version(&record->counters),
					   (const guint8 *)encoded,
					   sizeof(encoded));
}

void sr_evidence_tick(sr_evidence_t *evidence, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	resolve_held(evidence, now);
	g_hash_table_iter_init(&iter, evidence->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (!record->is_published)
			publish(evidence, record);
	}
}

static gboolean is_own_key(const sr_evidence_t *evidence, const char *key)
{
	gsize length = strlen(evidence->node);

	return strncmp(key, evidence->node, length) == 0 && key[length] == '/';
}

static gboolean is_peer_key(const sr_evidence_t *evidence, const char *key)
{
	unsigned n = 0;

	for (const char *p = key; *p; p++)
		n += *p == '/';
	return n == 3 && !is_own_key(evidence, key);
}

void sr_evidence_receive(sr_evidence_t *evidence, const char *key,
			 const guint8 *value, gsize size)
{
	sr_evidence_counters_t received;
	guint32 *to = (guint32 *)&received;
	record_t *record;

	if (size != sizeof(received) || !is_peer_key(evidence, key))
		return;
	memcpy(&received, value, sizeof(received));
	for (unsigned i = 0; i < N_COUNTERS; i++)
		to[i] = GUINT32_FROM_BE(to[i]);
	record = get_record(evidence, key);
	if (counters_version(&received) > counters_version(&record->counters))
		record->counters = received;
}

void sr_evidence_foreach_own(const sr_evidence_t *evidence,
			     void (*fn)(void *user, const char *series,
					const sr_evidence_counters_t *counters),
			     void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, evidence->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const record_t *record = value;

		if (is_own_key(evidence, record->key))
			fn(user, record->series, &record->counters);
	}
}

void sr_evidence_add(sr_evidence_counters_t *sum,
		     const sr_evidence_counters_t *counters)
{
	guint32 *to = (guint32 *)sum;
	const guint32 *from = (const guint32 *)counters;

	for (unsigned i = 0; i < N_COUNTERS; i++)
		to[i] += from[i];
}

void sr_evidence_total(const sr_evidence_t *evidence, const char *service,
		       const char *version, const char *route,
		       sr_evidence_counters_t *total)
{
	char *series = g_strjoin("/", service, version, route, NULL);
	const GPtrArray *records =
		g_hash_table_lookup(evidence->by_series, series);

	memset(total, 0, sizeof(*total));
	for (guint i = 0; records && i < records->len; i++) {
		const record_t *record = records->pdata[i];

		sr_evidence_add(total, &record->counters);
	}
	g_free(series);
}

guint32 sr_evidence_request_count(const sr_evidence_counters_t *counters)
{
	guint32 n = 0;

	for (int i = 0; i < SR_EVIDENCE_N_GROUPS; i++)
		n += counters->requests[i];
	return n;
}
