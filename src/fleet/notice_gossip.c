#include <string.h>

#include "fleet/fleet_internal.h"

/** How long a rumour of an instance is kept. */
#define RUMOUR_TTL (600 * SR_SEC)

/** In place of a limit: none is named. */
#define NO_LIMIT "-"

/* The hosts of the instance's own failure domain divide its limit, in an order
 * that they agree on. If none of them is known, the delegates of all domains
 * do. */
unsigned sr_notice_gossip_sharing(const sr_fleet_t *fleet,
				  const sr_instance_t *instance, unsigned most)
{
	GPtrArray *names = sr_members_names_in_domain(fleet->members,
						      instance->failure_domain);
	guint64 own = sr_rendezvous_score(fleet->options.node, instance->name);
	unsigned n = names->len;
	unsigned n_before = 0;

	for (guint i = 0; i < names->len; i++)
		n_before += sr_rendezvous_score(names->pdata[i],
						instance->name) > own;
	g_ptr_array_unref(names);
	if (n == 0)
		return sr_members_rank(fleet->members, instance->name) < most ?
			       most :
			       0;
	if (strcmp(instance->failure_domain, fleet->options.failure_domain) !=
		    0 ||
	    n_before >= most)
		return 0;
	return MIN(n, most);
}

static void update_sharing(const sr_fleet_t *fleet, sr_instance_t *instance)
{
	unsigned most =
		sr_instance_notices_max_hosts(instance->notices.rate_limit);

	sr_instance_notices_set_sharing(
		&instance->notices,
		sr_notice_gossip_sharing(fleet, instance, most),
		sr_fleet_now(fleet));
}

void sr_notice_gossip_tick(sr_fleet_t *fleet)
{
	const GPtrArray *all =
		sr_instances_all(sr_gateway_instances(fleet->options.gateway));

	for (guint i = 0; i < all->len; i++) {
		sr_instance_t *instance = all->pdata[i];

		if (instance->notices.is_limited)
			update_sharing(fleet, instance);
	}
}

/* Value "START_MS LIMIT LEAVING", and " REJECTIONS" if the instance is brittle;
 * the version is the time of the response. */
void sr_fleet_publish_notices(sr_fleet_t *fleet, sr_instance_t *instance)
{
	char limit[G_ASCII_DTOSTR_BUF_SIZE] = NO_LIMIT;
	char brittle[1 + G_ASCII_DTOSTR_BUF_SIZE] = "";
	char *value;

	if (instance->notices.is_limited)
		g_ascii_dtostr(limit, sizeof(limit),
			       instance->notices.rate_limit);
	if (instance->notices.is_brittle) {
		brittle[0] = ' ';
		g_ascii_dtostr(brittle + 1, sizeof(brittle) - 1,
			       instance->notices.rejections_max);
	}
	value = g_strdup_printf("%" G_GINT64_FORMAT " %s %d%s",
				instance->start_unix_ms, limit,
				instance->notices.leaving, brittle);
	update_sharing(fleet, instance);
	sr_fleet_publish(fleet, SR_RUMOUR_HOST_STATE, instance->name,
			 (guint64)sr_clock_unix_ms(fleet->options.clock), value,
			 RUMOUR_TTL);
	g_free(value);
}

static void apply(sr_fleet_t *fleet, sr_instance_t *instance, char **words)
{
	sr_notice_t notice = { 0 };
	char *end;

	if (g_ascii_strtoll(words[0], NULL, 10) != instance->start_unix_ms)
		return; /* of an earlier instance of the name */
	notice.rate_limit = g_ascii_strtod(words[1], &end);
	notice.has_rate_limit = end > words[1] && *end == '\0';
	notice.leaving = !strcmp(words[2], "1");
	if (words[3]) {
		notice.rejections_max = g_ascii_strtod(words[3], &end);
		notice.is_brittle = end > words[3] && *end == '\0';
	}
	sr_gateway_apply_notice(fleet->options.gateway, instance, &notice);
	update_sharing(fleet, instance);
}

void sr_notice_gossip_receive(sr_fleet_t *fleet, const sr_rumour_t *rumour)
{
	sr_instance_t *instance = sr_instances_find(
		sr_gateway_instances(fleet->options.gateway), rumour->key);
	char *text = g_strndup((const char *)rumour->value, rumour->size);
	char **words = g_strsplit(text, " ", -1);

	if (instance && g_strv_length(words) >= 3)
		apply(fleet, instance, words);
	g_strfreev(words);
	g_free(text);
}

void sr_notice_gossip_restore(sr_fleet_t *fleet, const char *instance)
{
	sr_rumour_t rumour;

	if (sr_gossip_get(fleet->gossip, SR_RUMOUR_HOST_STATE, instance,
			  &rumour))
		sr_notice_gossip_receive(fleet, &rumour);
}
