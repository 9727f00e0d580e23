#include "core/evidence.h"

#include <string.h>

#include "base/list.h"

/** How long an attempt that lost its connection is held back. */
#define HOLD (6 * SR_SEC)

/** Upper end of the first bucket of the time to the first byte. */
#define FIRST_BUCKET (2 * SR_MSEC)

#define N_COUNTERS (2 * SR_EVIDENCE_GROUPS + SR_EVIDENCE_BUCKETS)

/* One node's counters of one version and route. */
typedef struct {
	char *key;  /* node/service/version/route */
	char *what; /* service/version/route, within key */
	sr_evidence_counters_t counters;
	gboolean is_told;
} record_t;

/* An attempt that is held back. */
typedef struct {
	sr_list_t link;
	char *what;
	char *upstream;
	char *failure_domain;
	sr_usec_t at;
} held_t;

/* The latest answers from a failure domain, by two different upstreams. */
typedef struct {
	struct {
		char *upstream;
		sr_usec_t at;
	} answers[2];
} domain_t;

struct sr_evidence {
	sr_evidence_options_t options;
	char *node;
	GHashTable *records; /* key -> record_t */
	GHashTable *by_what; /* what -> GPtrArray of record_t */
	GHashTable *domains; /* name -> domain_t */
	sr_list_t held;	     /* in order of time */
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

static void held_free(held_t *held)
{
	sr_list_remove(&held->link);
	g_free(held->what);
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
	evidence->by_what =
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
		held_free(sr_list_entry(link, held_t, link));
	g_hash_table_unref(evidence->by_what);
	g_hash_table_unref(evidence->records);
	g_hash_table_unref(evidence->domains);
	g_free(evidence->node);
	g_free(evidence);
}

static record_t *record_of(sr_evidence_t *evidence, const char *key)
{
	record_t *record = g_hash_table_lookup(evidence->records, key);
	GPtrArray *same;

	if (record)
		return record;
	record = g_new0(record_t, 1);
	record->key = g_strdup(key);
	record->what = strchr(record->key, '/') + 1;
	record->is_told = TRUE;
	g_hash_table_insert(evidence->records, record->key, record);
	same = g_hash_table_lookup(evidence->by_what, record->what);
	if (!same) {
		same = g_ptr_array_new();
		g_hash_table_insert(evidence->by_what, g_strdup(record->what),
				    same);
	}
	g_ptr_array_add(same, record);
	return record;
}

static record_t *own_record(sr_evidence_t *evidence, const char *what)
{
	char *key = g_strconcat(evidence->node, "/", what, NULL);
	record_t *record = record_of(evidence, key);

	g_free(key);
	record->is_told = FALSE;
	return record;
}

unsigned sr_evidence_bucket(sr_usec_t first_byte)
{
	sr_usec_t end = FIRST_BUCKET;
	unsigned i = 0;

	while (i + 1 < SR_EVIDENCE_BUCKETS && first_byte > end) {
		end += end / 2;
		i++;
	}
	return i;
}

static void note_answer(sr_evidence_t *evidence, sr_usec_t now,
			const sr_observation_t *seen)
{
	domain_t *domain =
		g_hash_table_lookup(evidence->domains, seen->failure_domain);

	if (!domain) {
		domain = g_new0(domain_t, 1);
		g_hash_table_insert(evidence->domains,
				    g_strdup(seen->failure_domain), domain);
	}
	if (g_strcmp0(domain->answers[0].upstream, seen->upstream) != 0) {
		g_free(domain->answers[1].upstream);
		domain->answers[1] = domain->answers[0];
		domain->answers[0].upstream = g_strdup(seen->upstream);
	}
	domain->answers[0].at = now;
}

static gboolean others_answered(const sr_evidence_t *evidence,
				const held_t *held)
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

static void count(sr_evidence_t *evidence, const char *what,
		  const char *upstream, gboolean failed, sr_usec_t first_byte)
{
	record_t *record = own_record(evidence, what);
	unsigned group = g_str_hash(upstream) % SR_EVIDENCE_GROUPS;

	record->counters.requests[group]++;
	if (failed)
		record->counters.failures[group]++;
	else
		record->counters.latency[sr_evidence_bucket(first_byte)]++;
}

static void hold(sr_evidence_t *evidence, sr_usec_t now, char *what,
		 const sr_observation_t *seen)
{
	held_t *held = g_new0(held_t, 1);

	held->what = what;
	held->upstream = g_strdup(seen->upstream);
	held->failure_domain = g_strdup(seen->failure_domain);
	held->at = now;
	sr_list_append(&evidence->held, &held->link);
}

void sr_evidence_record(sr_evidence_t *evidence, sr_usec_t now,
			const sr_observation_t *seen)
{
	char *what =
		g_strjoin("/", seen->service, seen->version, seen->route, NULL);
	gboolean gone = evidence->options.is_gone(evidence->options.user,
						  seen->upstream);

	switch (seen->outcome) {
	case SR_OUTCOME_ANSWERED:
		note_answer(evidence, now, seen);
		count(evidence, what, seen->upstream, FALSE, seen->first_byte);
		break;
	case SR_OUTCOME_FAILED:
		if (!gone)
			count(evidence, what, seen->upstream, TRUE, 0);
		break;
	case SR_OUTCOME_CONNECTION:
		if (gone)
			break;
		hold(evidence, now, what, seen);
		return;
	}
	g_free(what);
}

static void settle_held(sr_evidence_t *evidence, sr_usec_t now)
{
	sr_list_for_each_safe (link, &evidence->held) {
		held_t *held = sr_list_entry(link, held_t, link);

		if (now - held->at < HOLD)
			return;
		if (!evidence->options.is_gone(evidence->options.user,
					       held->upstream) &&
		    others_answered(evidence, held))
			count(evidence, held->what, held->upstream, TRUE, 0);
		held_free(held);
	}
}

static guint64 version_of(const sr_evidence_counters_t *counters)
{
	return sr_evidence_requests(counters);
}

static void tell(sr_evidence_t *evidence, record_t *record)
{
	guint32 wire[N_COUNTERS];
	const guint32 *from = (const guint32 *)&record->counters;

	G_STATIC_ASSERT(sizeof(wire) == sizeof(record->counters));
	for (unsigned i = 0; i < N_COUNTERS; i++)
		wire[i] = GUINT32_TO_BE(from[i]);
	record->is_told = TRUE;
	evidence->options.changed(evidence->options.user, record->key,
				  version_of(&record->counters),
				  (const guint8 *)wire, sizeof(wire));
}

void sr_evidence_tick(sr_evidence_t *evidence, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	settle_held(evidence, now);
	g_hash_table_iter_init(&iter, evidence->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (!record->is_told)
			tell(evidence, record);
	}
}

static gboolean is_key(const sr_evidence_t *evidence, const char *key)
{
	gsize own = strlen(evidence->node);
	unsigned n = 0;

	for (const char *p = key; *p; p++)
		n += *p == '/';
	return n == 3 &&
	       !(strncmp(key, evidence->node, own) == 0 && key[own] == '/');
}

void sr_evidence_heard(sr_evidence_t *evidence, const char *key,
		       const guint8 *value, gsize size)
{
	sr_evidence_counters_t heard;
	guint32 *to = (guint32 *)&heard;
	record_t *record;

	if (size != sizeof(heard) || !is_key(evidence, key))
		return;
	memcpy(&heard, value, sizeof(heard));
	for (unsigned i = 0; i < N_COUNTERS; i++)
		to[i] = GUINT32_FROM_BE(to[i]);
	record = record_of(evidence, key);
	if (version_of(&heard) > version_of(&record->counters))
		record->counters = heard;
}

void sr_evidence_total(const sr_evidence_t *evidence, const char *service,
		       const char *version, const char *route,
		       sr_evidence_counters_t *total)
{
	char *what = g_strjoin("/", service, version, route, NULL);
	const GPtrArray *same = g_hash_table_lookup(evidence->by_what, what);
	guint32 *to = (guint32 *)total;

	memset(total, 0, sizeof(*total));
	for (guint i = 0; same && i < same->len; i++) {
		const record_t *record = same->pdata[i];
		const guint32 *from = (const guint32 *)&record->counters;

		for (unsigned j = 0; j < N_COUNTERS; j++)
			to[j] += from[j];
	}
	g_free(what);
}

guint32 sr_evidence_requests(const sr_evidence_counters_t *counters)
{
	guint32 n = 0;

	for (int i = 0; i < SR_EVIDENCE_GROUPS; i++)
		n += counters->requests[i];
	return n;
}
