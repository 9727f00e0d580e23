#include "core/crash_suspects.h"

#include "base/list.h"

/** Suspects and quarantined fingerprints that are held, at about 800 bytes
 * each. */
#define SUSPECTS_MAX 4096
#define QUARANTINED_MAX 256

/** Fingerprints whose last survival is held. */
#define SURVIVALS_MAX 8192

/** Strikes that are held of a suspect. */
#define STRIKES_HELD 24

/** Weight of a strike: an instance that had begun to answer, and one that had
 * not, under which the request may have waited only. */
#define WEIGHT_BEGUN 3
#define WEIGHT_WAITED 1

/** Weight of the strikes that lead to a quarantine. */
#define WEIGHT_QUARANTINE (SR_CRASH_STRIKES * WEIGHT_BEGUN)

/** For so long after a survival it takes so many times the weight. */
#define SURVIVAL_TIME (60 * SR_SEC)
#define SURVIVAL_FACTOR 2

/** Instances that end within so short a time of each other count once: they
 * have a cause in common, such as a rack that fails. One that ends under a
 * request takes the next one with it only after that has been sent there and
 * has begun to run. */
#define STRIKE_SPACING (50 * SR_MSEC)

/** Time without a strike after which the earlier ones no longer count. */
#define STRIKE_LIFETIME (600 * SR_SEC)

/** Time from a quarantine to its first probe, the factor between its intervals
 * and the longest one. A part is shared by requests of many callers, so that an
 * innocent one is to be found out soon. */
#define PROBE_INTERVAL_PART (8 * SR_SEC)
#define PROBE_INTERVAL_REQUEST (32 * SR_SEC)
#define PROBE_FACTOR 4
#define PROBE_INTERVAL_MAX (3600 * SR_SEC)

/** Suspects are evicted in this order. */
enum {
	LIST_FEW_STRIKES, /* at most one */
	LIST_MORE_STRIKES,
	LIST_QUARANTINED,
	N_LISTS,
};

typedef struct {
	guint64 instance;
	sr_usec_t at;
	unsigned weight;
} strike_t;

/** survival_t - the last request with a fingerprint that survived */
typedef struct {
	sr_list_t link; /* in suspects->survivals, longest ago first */
	guint64 fingerprint;
	sr_usec_t at;
} survival_t;

typedef struct {
	sr_list_t link; /* in suspects->lists, longest unchanged first */
	guint64 fingerprint;
	gboolean is_request; /* as a whole, not a part */
	strike_t strikes[STRIKES_HELD];
	unsigned n_strikes;
	/* parts that were in a request with it in each instance */
	guint64 partners[SR_REQUEST_PRINT_PARTS];
	unsigned n_partners;
	gboolean is_quarantined;
	unsigned n_probes;
	sr_usec_t next_probe_at;
} suspect_t;

struct sr_crash_suspects {
	sr_crash_suspects_options_t options;
	GHashTable *table; /* fingerprint -> suspect_t, owned */
	sr_list_t lists[N_LISTS];
	GHashTable *survived; /* fingerprint -> survival_t, owned */
	sr_list_t survivals;
	unsigned n_quarantined;
};

sr_crash_suspects_t *
sr_crash_suspects_new(const sr_crash_suspects_options_t *options)
{
	sr_crash_suspects_t *suspects = g_new0(sr_crash_suspects_t, 1);

	suspects->options = *options;
	suspects->table = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	suspects->survived = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	sr_list_init(&suspects->survivals);
	for (unsigned i = 0; i < N_LISTS; i++)
		sr_list_init(&suspects->lists[i]);
	return suspects;
}

void sr_crash_suspects_free(sr_crash_suspects_t *suspects)
{
	if (!suspects)
		return;
	g_hash_table_unref(suspects->table);
	g_hash_table_unref(suspects->survived);
	g_free(suspects);
}

static suspect_t *find(const sr_crash_suspects_t *suspects, guint64 fingerprint)
{
	return g_hash_table_lookup(suspects->table, &fingerprint);
}

static void remove_suspect(sr_crash_suspects_t *suspects, suspect_t *suspect)
{
	suspects->n_quarantined -= suspect->is_quarantined;
	sr_list_remove(&suspect->link);
	g_hash_table_remove(suspects->table, &suspect->fingerprint);
}

static void evict(sr_crash_suspects_t *suspects)
{
	for (unsigned i = 0; i < N_LISTS; i++) {
		sr_list_t *list = &suspects->lists[i];

		if (sr_list_is_empty(list))
			continue;
		remove_suspect(suspects,
			       sr_list_entry(list->next, suspect_t, link));
		return;
	}
}

static suspect_t *get(sr_crash_suspects_t *suspects, guint64 fingerprint)
{
	suspect_t *suspect = find(suspects, fingerprint);

	if (suspect)
		return suspect;
	if (g_hash_table_size(suspects->table) >= SUSPECTS_MAX)
		evict(suspects);
	suspect = g_new0(suspect_t, 1);
	suspect->fingerprint = fingerprint;
	sr_list_append(&suspects->lists[LIST_FEW_STRIKES], &suspect->link);
	g_hash_table_insert(suspects->table, &suspect->fingerprint, suspect);
	return suspect;
}

/* Moves a suspect that has changed to the end of its list. */
static void relist(sr_crash_suspects_t *suspects, suspect_t *suspect)
{
	unsigned list = suspect->is_quarantined ? LIST_QUARANTINED :
			suspect->n_strikes > 1	? LIST_MORE_STRIKES :
						  LIST_FEW_STRIKES;

	sr_list_remove(&suspect->link);
	sr_list_append(&suspects->lists[list], &suspect->link);
}

static sr_quarantine_t describe(const suspect_t *suspect)
{
	sr_quarantine_t quarantine = {
		.fingerprint = suspect->fingerprint,
		.is_request = suspect->is_request,
		.n_strikes = suspect->n_strikes,
		.n_probes = suspect->n_probes,
		.next_probe_at = suspect->next_probe_at,
		.n_partners = suspect->n_partners,
	};

	for (unsigned i = 0; i < suspect->n_partners; i++)
		quarantine.partners[i] = suspect->partners[i];
	return quarantine;
}

/* The interval between a probe and the one before it. */
static sr_usec_t probe_interval(const suspect_t *suspect)
{
	sr_usec_t interval = suspect->is_request ? PROBE_INTERVAL_REQUEST :
						   PROBE_INTERVAL_PART;

	for (unsigned i = 0;
	     i < suspect->n_probes && interval < PROBE_INTERVAL_MAX; i++)
		interval *= PROBE_FACTOR;
	return MIN(interval, PROBE_INTERVAL_MAX);
}

static void quarantine(sr_crash_suspects_t *suspects, suspect_t *suspect,
		       sr_usec_t now)
{
	sr_list_t *list = &suspects->lists[LIST_QUARANTINED];

	if (suspects->n_quarantined >= QUARANTINED_MAX)
		remove_suspect(suspects,
			       sr_list_entry(list->next, suspect_t, link));
	suspect->is_quarantined = TRUE;
	suspects->n_quarantined++;
	suspect->next_probe_at = now + probe_interval(suspect);
}

/* G_MININT64 if none is known. */
static sr_usec_t survived_at(const sr_crash_suspects_t *suspects,
			     guint64 fingerprint)
{
	const survival_t *survival =
		g_hash_table_lookup(suspects->survived, &fingerprint);

	return survival ? survival->at : G_MININT64;
}

static void record_survival(sr_crash_suspects_t *suspects, guint64 fingerprint,
			    sr_usec_t at)
{
	survival_t *survival =
		g_hash_table_lookup(suspects->survived, &fingerprint);

	if (!survival &&
	    g_hash_table_size(suspects->survived) >= SURVIVALS_MAX) {
		survival_t *oldest = sr_list_entry(suspects->survivals.next,
						   survival_t, link);

		sr_list_remove(&oldest->link);
		g_hash_table_remove(suspects->survived, &oldest->fingerprint);
	}
	if (!survival) {
		survival = g_new0(survival_t, 1);
		survival->fingerprint = fingerprint;
		survival->at = at;
		sr_list_init(&survival->link);
		g_hash_table_insert(suspects->survived, &survival->fingerprint,
				    survival);
	}
	survival->at = MAX(survival->at, at);
	sr_list_remove(&survival->link);
	sr_list_append(&suspects->survivals, &survival->link);
}

/* A request with the fingerprint survived a short time ago. */
static gboolean is_in_use(const sr_crash_suspects_t *suspects,
			  guint64 fingerprint, sr_usec_t now)
{
	return survived_at(suspects, fingerprint) >= now - SURVIVAL_TIME;
}

/* Time in which ends of instances count once. Several copies of a request that
 * is never answered have no other cause in common. */
static sr_usec_t strike_spacing(const sr_crash_suspects_t *suspects,
				const sr_crash_report_t *report,
				const sr_crash_request_t *request,
				guint64 fingerprint)
{
	if (fingerprint == request->print.request &&
	    !is_in_use(suspects, fingerprint, report->ended_at))
		return 0;
	return STRIKE_SPACING;
}

/* Whether the end of the instance is counted already, by itself or together
 * with others. */
static gboolean is_counted(suspect_t *suspect, const sr_crash_report_t *report,
			   unsigned weight, sr_usec_t spacing)
{
	for (unsigned i = 0; i < suspect->n_strikes; i++) {
		strike_t *counted = &suspect->strikes[i];

		if (counted->instance != report->instance &&
		    ABS(counted->at - report->ended_at) >= spacing)
			continue;
		counted->weight = MAX(counted->weight, weight);
		return TRUE;
	}
	return FALSE;
}

/* Drops strikes from before the last survival, or all if the last of them is
 * too long ago. */
static void drop_strikes(const sr_crash_suspects_t *suspects,
			 suspect_t *suspect, sr_usec_t now)
{
	sr_usec_t survived = survived_at(suspects, suspect->fingerprint);
	sr_usec_t last = G_MININT64;
	unsigned n = 0;

	for (unsigned i = 0; i < suspect->n_strikes; i++) {
		if (suspect->strikes[i].at <= survived)
			continue;
		last = MAX(last, suspect->strikes[i].at);
		suspect->strikes[n++] = suspect->strikes[i];
	}
	suspect->n_strikes = n > 0 && now - last <= STRIKE_LIFETIME ? n : 0;
}

static gboolean has_weight(const sr_crash_suspects_t *suspects,
			   const suspect_t *suspect, sr_usec_t now)
{
	unsigned needed = WEIGHT_QUARANTINE;
	unsigned weight = 0;

	if (is_in_use(suspects, suspect->fingerprint, now))
		needed *= SURVIVAL_FACTOR;
	for (unsigned i = 0; i < suspect->n_strikes; i++)
		weight += suspect->strikes[i].weight;
	return weight >= needed;
}

/* Of the partners only those that were in this request too remain. */
static void update_partners(suspect_t *suspect,
			    const sr_request_print_t *request)
{
	unsigned n = 0;

	if (suspect->fingerprint == request->request)
		return;
	if (suspect->n_strikes == 0) {
		for (unsigned i = 0; i < request->n_parts; i++) {
			if (request->parts[i] != suspect->fingerprint)
				suspect->partners[n++] = request->parts[i];
		}
	} else {
		for (unsigned i = 0; i < suspect->n_partners; i++) {
			if (sr_request_print_has(request, suspect->partners[i]))
				suspect->partners[n++] = suspect->partners[i];
		}
	}
	suspect->n_partners = n;
}

static void strike(sr_crash_suspects_t *suspects,
		   const sr_crash_report_t *report,
		   const sr_crash_request_t *request, guint64 fingerprint,
		   unsigned weight)
{
	suspect_t *suspect;

	if (report->ended_at <= survived_at(suspects, fingerprint))
		return;
	suspect = get(suspects, fingerprint);
	suspect->is_request = fingerprint == request->print.request;
	if (!is_counted(
		    suspect, report, weight,
		    strike_spacing(suspects, report, request, fingerprint))) {
		drop_strikes(suspects, suspect, report->ended_at);
		update_partners(suspect, &request->print);
		if (suspect->n_strikes < STRIKES_HELD)
			suspect->strikes[suspect->n_strikes++] =
				(strike_t){ report->instance, report->ended_at,
					    weight };
	}
	if (!suspect->is_quarantined &&
	    has_weight(suspects, suspect, report->ended_at)) {
		sr_quarantine_t entry;

		quarantine(suspects, suspect, report->ended_at);
		entry = describe(suspect);
		if (suspects->options.quarantined)
			suspects->options.quarantined(suspects->options.user,
						      &entry);
	}
	relist(suspects, suspect);
}

void sr_crash_suspects_add(sr_crash_suspects_t *suspects,
			   const sr_crash_report_t *report)
{
	for (unsigned i = 0; i < report->n_requests; i++) {
		const sr_crash_request_t *request = &report->requests[i];
		unsigned weight =
			request->has_begun ? WEIGHT_BEGUN : WEIGHT_WAITED;

		/* a response that is not a stream shows no beginning */
		strike(suspects, report, request, request->print.request,
		       WEIGHT_BEGUN);
		for (unsigned k = 0; k < request->print.n_parts; k++)
			strike(suspects, report, request,
			       request->print.parts[k], weight);
	}
}

static void release(sr_crash_suspects_t *suspects, suspect_t *suspect)
{
	suspect->is_quarantined = FALSE;
	suspect->n_probes = 0;
	suspects->n_quarantined--;
}

gboolean sr_crash_suspects_clear(sr_crash_suspects_t *suspects,
				 guint64 fingerprint, sr_usec_t at)
{
	suspect_t *suspect = find(suspects, fingerprint);
	gboolean was_quarantined;
	unsigned n_before;

	record_survival(suspects, fingerprint, at);
	if (!suspect)
		return FALSE;
	was_quarantined = suspect->is_quarantined;
	n_before = suspect->n_strikes;
	drop_strikes(suspects, suspect, at);
	if (was_quarantined && !has_weight(suspects, suspect, at))
		release(suspects, suspect);
	relist(suspects, suspect);
	return was_quarantined || suspect->n_strikes < n_before;
}

/* Returns FALSE if the suspect has no strike of the instance. */
static gboolean drop_strike(suspect_t *suspect, guint64 instance)
{
	for (unsigned i = 0; i < suspect->n_strikes; i++) {
		if (suspect->strikes[i].instance != instance)
			continue;
		suspect->strikes[i] = suspect->strikes[--suspect->n_strikes];
		return TRUE;
	}
	return FALSE;
}

static sr_usec_t last_strike(const suspect_t *suspect)
{
	sr_usec_t last = 0;

	for (unsigned i = 0; i < suspect->n_strikes; i++)
		last = MAX(last, suspect->strikes[i].at);
	return last;
}

void sr_crash_suspects_refute(sr_crash_suspects_t *suspects, guint64 instance)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, suspects->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		suspect_t *suspect = value;
		/* else the quarantine rests on what another host knows */
		gboolean had_weight =
			has_weight(suspects, suspect, last_strike(suspect));

		if (!drop_strike(suspect, instance))
			continue;
		if (suspect->is_quarantined && had_weight &&
		    !has_weight(suspects, suspect, last_strike(suspect))) {
			release(suspects, suspect);
			if (suspects->options.released)
				suspects->options.released(
					suspects->options.user,
					suspect->fingerprint);
		}
		relist(suspects, suspect);
	}
}

gboolean sr_crash_suspects_restore(sr_crash_suspects_t *suspects, sr_usec_t now,
				   const sr_quarantine_t *entry,
				   sr_usec_t decided_at)
{
	suspect_t *suspect;

	if (survived_at(suspects, entry->fingerprint) > decided_at)
		return FALSE;
	suspect = get(suspects, entry->fingerprint);
	if (suspect->is_quarantined)
		return TRUE;
	suspect->is_request = entry->is_request;
	suspect->n_probes = entry->n_probes;
	suspect->n_partners = entry->n_partners;
	for (unsigned i = 0; i < entry->n_partners; i++)
		suspect->partners[i] = entry->partners[i];
	quarantine(suspects, suspect, now);
	relist(suspects, suspect);
	return TRUE;
}

/* Whether the request has all parts that can't be told apart from this one. */
static gboolean has_partners(const sr_crash_suspects_t *suspects,
			     const suspect_t *suspect,
			     const sr_request_print_t *request)
{
	for (unsigned i = 0; i < suspect->n_partners; i++) {
		const suspect_t *partner = find(suspects, suspect->partners[i]);

		if (partner && partner->is_quarantined &&
		    !sr_request_print_has(request, partner->fingerprint))
			return FALSE;
	}
	return TRUE;
}

/* Probes that fall due are counted at each host alike, whether it sends them or
 * not, so that a change of the host that does so brings no extra one. */
static gboolean is_probe_due(suspect_t *suspect, sr_usec_t now)
{
	gboolean due = FALSE;

	while (suspect->next_probe_at <= now) {
		suspect->n_probes++;
		suspect->next_probe_at += probe_interval(suspect);
		due = TRUE;
	}
	return due;
}

static sr_crash_verdict_t judge_fingerprint(sr_crash_suspects_t *suspects,
					    sr_usec_t now,
					    const sr_request_print_t *request,
					    guint64 fingerprint,
					    sr_quarantine_t *reason)
{
	const sr_crash_suspects_options_t *options = &suspects->options;
	suspect_t *suspect = find(suspects, fingerprint);
	gboolean probes;

	if (!suspect || !suspect->is_quarantined ||
	    !has_partners(suspects, suspect, request))
		return SR_CRASH_ALLOWED;
	probes = is_probe_due(suspect, now) &&
		 (!options->may_probe ||
		  options->may_probe(options->user, fingerprint));
	*reason = describe(suspect);
	return probes ? SR_CRASH_PROBE : SR_CRASH_REFUSED;
}

sr_crash_verdict_t sr_crash_suspects_judge(sr_crash_suspects_t *suspects,
					   sr_usec_t now,
					   const sr_request_print_t *request,
					   sr_quarantine_t *reason)
{
	sr_crash_verdict_t verdict = judge_fingerprint(
		suspects, now, request, request->request, reason);

	for (unsigned i = 0; i < request->n_parts; i++) {
		sr_quarantine_t other;
		sr_crash_verdict_t by_part = judge_fingerprint(
			suspects, now, request, request->parts[i], &other);

		if (by_part <= verdict)
			continue;
		verdict = by_part;
		*reason = other;
	}
	return verdict;
}

void sr_crash_suspects_foreach(const sr_crash_suspects_t *suspects,
			       void (*fn)(void *user,
					  const sr_quarantine_t *quarantine),
			       void *user)
{
	sr_list_for_each (link, &suspects->lists[LIST_QUARANTINED]) {
		const sr_quarantine_t entry =
			describe(sr_list_entry(link, suspect_t, link));

		fn(user, &entry);
	}
}

unsigned sr_crash_suspects_size(const sr_crash_suspects_t *suspects)
{
	return g_hash_table_size(suspects->table);
}

unsigned sr_crash_suspects_n_quarantined(const sr_crash_suspects_t *suspects)
{
	return suspects->n_quarantined;
}
