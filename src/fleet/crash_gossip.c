#include <string.h>

#include "fleet/crash_report_codec.h"
#include "fleet/fleet_internal.h"

/** How long a report is spread: longer than it takes to reach all hosts. Older
 * ones would reach hosts that have forgotten what has cleared them. */
#define REPORT_TTL (10 * SR_SEC)

/** How long hosts remember that a fingerprint was cleared, and that it is
 * quarantined. */
#define CLEARED_TTL (600 * SR_SEC)
#define QUARANTINE_TTL (86400 * SR_SEC)

/** Rumours of one report; requests beyond them are left out. */
#define RUMOURS_MAX 8

/** Word of a saved quarantine, and in place of a list of partners: none, or the
 * fingerprint is that of a request as a whole. */
#define QUARANTINE_WORD "quarantine"
#define NO_PARTNERS "-"
#define WHOLE_REQUEST "="

static void put_report(sr_fleet_t *fleet, GBytes *value)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(value, &size);
	char *key = g_strdup_printf("%s/%" G_GUINT64_FORMAT, fleet->owner_id,
				    ++fleet->n_crash_reports);
	const sr_rumour_t rumour = {
		.kind = SR_RUMOUR_EVIDENCE,
		.key = key,
		.version = 1,
		.value = data,
		.size = size,
	};

	sr_gossip_put(fleet->gossip, sr_fleet_now(fleet), &rumour, REPORT_TTL);
	g_free(key);
}

void sr_fleet_publish_crash(sr_fleet_t *fleet, const sr_crash_report_t *report)
{
	unsigned first = 0;

	for (unsigned i = 0; i < RUMOURS_MAX && first < report->n_requests;
	     i++) {
		unsigned n;
		GBytes *value = sr_crash_report_encode(report, first,
						       SR_RUMOUR_VALUE_MAX, &n);

		put_report(fleet, value);
		g_bytes_unref(value);
		first += n;
	}
	if (first < report->n_requests)
		fleet->n_large_rumours++;
}

/* Time at which a rumour was first put, by the clock of this host. */
static sr_usec_t put_at(const sr_fleet_t *fleet, const sr_rumour_t *rumour,
			sr_usec_t ttl)
{
	return sr_fleet_now(fleet) - MAX(ttl - rumour->expires_in, 0);
}

void sr_crash_gossip_receive_report(sr_fleet_t *fleet,
				    const sr_rumour_t *rumour)
{
	GArray *requests =
		g_array_new(FALSE, FALSE, sizeof(sr_crash_request_t));
	sr_crash_report_t report = {
		.ended_at = put_at(fleet, rumour, REPORT_TTL),
	};

	/* what has cleared an older report may not be known here */
	if (report.ended_at >= fleet->started_at &&
	    sr_crash_report_decode(rumour->value, rumour->size,
				   &report.instance, requests)) {
		report.requests =
			(const sr_crash_request_t *)(void *)requests->data;
		report.n_requests = requests->len;
		sr_gateway_add_crash_report(fleet->options.gateway, &report);
	}
	g_array_unref(requests);
}

/* The version under which the state of a fingerprint was published last, 0 for
 * none. It is even if the fingerprint is quarantined and odd if it was cleared,
 * so that of two hosts that publish at once the one that clears wins. */
static guint64 known_version(const sr_fleet_t *fleet, const char *key)
{
	sr_rumour_t rumour;

	return sr_gossip_get(fleet->gossip, SR_RUMOUR_RECALL, key, &rumour) ?
		       rumour.version :
		       0;
}

void sr_fleet_publish_cleared(sr_fleet_t *fleet, guint64 fingerprint)
{
	char key[SR_REQUEST_PRINT_TEXT_SIZE];
	guint64 version;

	sr_request_print_format(fingerprint, key);
	version = known_version(fleet, key);
	sr_fleet_publish(fleet, SR_RUMOUR_RECALL, key,
			 version + 1 + version % 2, "", CLEARED_TTL);
}

/* Value "PROBES PARTNER,PARTNER,...". */
static char *format_quarantine(const sr_quarantine_t *quarantine)
{
	GString *text = g_string_new(NULL);
	char partner[SR_REQUEST_PRINT_TEXT_SIZE];

	g_string_append_printf(text, "%u ", quarantine->n_probes);
	for (unsigned i = 0; i < quarantine->n_partners; i++) {
		sr_request_print_format(quarantine->partners[i], partner);
		g_string_append_printf(text, "%s%s", i > 0 ? "," : "", partner);
	}
	if (quarantine->n_partners == 0)
		g_string_append(text, quarantine->is_request ? WHOLE_REQUEST :
							       NO_PARTNERS);
	return g_string_free(text, FALSE);
}

static gboolean parse_partners(const char *text, sr_quarantine_t *quarantine)
{
	char **items = g_strsplit(text, ",", SR_REQUEST_PRINT_PARTS + 1);
	guint n = g_strv_length(items);
	gboolean valid = n <= SR_REQUEST_PRINT_PARTS;

	quarantine->n_partners = 0;
	quarantine->is_request = !strcmp(text, WHOLE_REQUEST);
	if (quarantine->is_request || !strcmp(text, NO_PARTNERS))
		n = 0;
	for (guint i = 0; valid && i < n; i++)
		valid = sr_request_print_parse(
			items[i],
			&quarantine->partners[quarantine->n_partners++]);
	g_strfreev(items);
	return valid;
}

static gboolean parse_quarantine(const char *probes, const char *partners,
				 sr_quarantine_t *quarantine)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(probes, 10, 0, G_MAXUINT16, &n, NULL))
		return FALSE;
	quarantine->n_probes = (unsigned)n;
	return parse_partners(partners, quarantine);
}

void sr_fleet_publish_quarantine(sr_fleet_t *fleet,
				 const sr_quarantine_t *quarantine)
{
	char key[SR_REQUEST_PRINT_TEXT_SIZE];
	guint64 version;
	char *value;

	sr_request_print_format(quarantine->fingerprint, key);
	version = known_version(fleet, key);
	if (version > 0 && version % 2 == 0)
		return; /* another host was faster */
	value = format_quarantine(quarantine);
	sr_fleet_publish(fleet, SR_RUMOUR_RECALL, key,
			 version + 2 - version % 2, value, QUARANTINE_TTL);
	g_free(value);
}

static void receive_quarantine(sr_fleet_t *fleet, const sr_rumour_t *rumour,
			       guint64 fingerprint)
{
	sr_quarantine_t quarantine = { .fingerprint = fingerprint };
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	char **words = g_strsplit(text, " ", -1);

	if (g_strv_length(words) == 2 &&
	    parse_quarantine(words[0], words[1], &quarantine) &&
	    !sr_gateway_restore_quarantine(
		    fleet->options.gateway, &quarantine,
		    put_at(fleet, rumour, QUARANTINE_TTL), "peer"))
		sr_fleet_publish_cleared(fleet, fingerprint);
	g_strfreev(words);
	g_free(text);
}

void sr_crash_gossip_receive_state(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	guint64 fingerprint;

	if (!sr_request_print_parse(rumour->key, &fingerprint))
		return;
	if (rumour->version % 2)
		sr_gateway_clear_suspect(fleet->options.gateway, fingerprint,
					 put_at(fleet, rumour, CLEARED_TTL));
	else
		receive_quarantine(fleet, rumour, fingerprint);
}

static void save(void *user, const sr_quarantine_t *quarantine)
{
	char key[SR_REQUEST_PRINT_TEXT_SIZE];
	char *value = format_quarantine(quarantine);

	sr_request_print_format(quarantine->fingerprint, key);
	g_string_append_printf(user, QUARANTINE_WORD " %s %s\n", key, value);
	g_free(value);
}

void sr_fleet_save_quarantines(const sr_fleet_t *fleet, GString *text)
{
	sr_crash_suspects_foreach(sr_gateway_suspects(fleet->options.gateway),
				  save, text);
}

void sr_fleet_restore_quarantine(sr_fleet_t *fleet, char **words)
{
	sr_quarantine_t quarantine = { 0 };

	if (g_strv_length(words) != 4 || strcmp(words[0], QUARANTINE_WORD) ||
	    !sr_request_print_parse(words[1], &quarantine.fingerprint) ||
	    !parse_quarantine(words[2], words[3], &quarantine) ||
	    known_version(fleet, words[1]) % 2)
		return;
	sr_gateway_restore_quarantine(fleet->options.gateway, &quarantine,
				      fleet->started_at, "store");
}
