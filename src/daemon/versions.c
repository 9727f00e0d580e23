#include "daemon/versions.h"

#include <string.h>

#include "base/list.h"
#include "core/evidence.h"
#include "core/recall.h"
#include "core/rollout.h"

#define TICK_INTERVAL SR_SEC
/** Time for which the evidence of a node is kept as a rumour: as long as a soak
 * usually takes. */
#define EVIDENCE_TTL (10 * SR_MINUTE)
/** Shares are encoded in millionths. */
#define SHARE_SCALE 1000000.0
/** Bytes of an encoded step: big-endian 32-bit share, then the state. */
#define ENCODED_STEP_SIZE 5
/** Shares that differ by less count as equal. */
#define SHARE_TOLERANCE 1e-9

struct sr_versions {
	sr_versions_options_t options;
	char *node;
	char *failure_domain;
	char *owner;
	sr_config_t *config; /* in force, or NULL */
	sr_evidence_t *evidence;
	sr_recall_t *recall;
	sr_list_t entries; /* of rollout_entry_t */
	sr_timer_t *timer;
	gboolean draining; /* competes for no lease */
};

/* The rollout of one version of a service. */
typedef struct {
	sr_list_t link;
	sr_versions_t *versions;
	char *key; /* "SERVICE/VERSION" */
	char *service;
	char *version;
	char *old_version;
	double target_share;
	gint64 by_unix_ms;
	gboolean is_configured; /* in the configuration being applied */
	sr_rollout_t *rollout;
} rollout_entry_t;

static sr_usec_t current_time(const sr_versions_t *versions)
{
	return sr_clock_now(versions->options.clock);
}

static void put_rumour(sr_versions_t *versions, const sr_rumour_t *rumour,
		       sr_usec_t ttl)
{
	sr_gossip_put(versions->options.gossip, current_time(versions), rumour,
		      ttl);
}

static void on_set_share(void *user, const char *service, const char *version,
			 double share)
{
	rollout_entry_t *entry = user;

	sr_dispatch_set_share(entry->versions->options.dispatch, service,
			      version, share);
}

static void on_recall_version(void *user, const char *service,
			      const char *version, const char *reason)
{
	sr_versions_t *versions = ((rollout_entry_t *)user)->versions;

	sr_recall_add(versions->recall, current_time(versions), service,
		      version, reason);
}

static void encode_step(const sr_rollout_step_t *step,
			guint8 value[ENCODED_STEP_SIZE])
{
	guint32 share = GUINT32_TO_BE((guint32)(step->share * SHARE_SCALE));

	memcpy(value, &share, sizeof(share));
	value[sizeof(share)] = (guint8)step->state;
}

static gboolean decode_step(const sr_rumour_t *rumour, sr_rollout_step_t *step)
{
	guint32 share;

	if (rumour->size != ENCODED_STEP_SIZE ||
	    rumour->value[sizeof(share)] > SR_ROLLOUT_ROLLED_BACK)
		return FALSE;
	memcpy(&share, rumour->value, sizeof(share));
	step->number = rumour->version;
	step->share = MIN(GUINT32_FROM_BE(share) / SHARE_SCALE, 1);
	step->state = (sr_rollout_state_t)rumour->value[sizeof(share)];
	return TRUE;
}

static const char *state_name(sr_rollout_state_t state)
{
	switch (state) {
	case SR_ROLLOUT_MOVING:
		return "moving";
	case SR_ROLLOUT_SOAKING:
		return "soaking";
	case SR_ROLLOUT_FINISHED:
		return "finished";
	case SR_ROLLOUT_ROLLED_BACK:
		return "taken-back";
	}
	g_assert_not_reached();
}

static void on_step_taken(void *user, const sr_rollout_step_t *step)
{
	rollout_entry_t *entry = user;
	guint8 value[ENCODED_STEP_SIZE];
	const sr_rumour_t rumour = {
		.kind = SR_RUMOUR_ROLLOUT,
		.key = entry->key,
		.version = step->number,
		.value = value,
		.size = sizeof(value),
	};
	char share[16];

	encode_step(step, value);
	put_rumour(entry->versions, &rumour, 0);
	g_snprintf(share, sizeof(share), "%.4f", step->share);
	sr_log_event(entry->versions->options.log, SR_LOG_INFO, "rollout-step",
		     "version", entry->key, "state", state_name(step->state),
		     "share", share, NULL);
}

static void free_entry(rollout_entry_t *entry)
{
	sr_list_remove(&entry->link);
	sr_rollout_free(entry->rollout);
	g_free(entry->key);
	g_free(entry->service);
	g_free(entry->version);
	g_free(entry->old_version);
	g_free(entry);
}

static rollout_entry_t *find_entry(const sr_versions_t *versions,
				   const char *key)
{
	sr_list_for_each (link, &versions->entries) {
		rollout_entry_t *entry =
			sr_list_entry(link, rollout_entry_t, link);

		if (!strcmp(entry->key, key))
			return entry;
	}
	return NULL;
}

static void on_recalled(void *user, const char *service, const char *version,
			const char *reason)
{
	sr_versions_t *versions = user;
	char *key = g_strdup_printf("%s/%s", service, version);
	rollout_entry_t *entry = find_entry(versions, key);

	sr_dispatch_recall(versions->options.dispatch, service, version);
	if (entry)
		sr_rollout_roll_back(entry->rollout, reason);
	sr_log_event(versions->options.log, SR_LOG_WARN, "recalled", "service",
		     service, "version", version, "reason", reason, NULL);
	g_free(key);
}

static void on_publish_recall(void *user, const char *key, guint64 version,
			      const char *reason)
{
	const sr_rumour_t rumour = {
		.kind = SR_RUMOUR_RECALL,
		.key = key,
		.version = version,
		.value = (const guint8 *)reason,
		.size = MIN(strlen(reason), SR_RUMOUR_VALUE_MAX),
	};

	put_rumour(user, &rumour, 0);
}

static gboolean on_is_gone(void *user, const char *upstream)
{
	sr_versions_t *versions = user;

	return sr_dispatch_is_gone(versions->options.dispatch, upstream);
}

static void on_evidence_changed(void *user, const char *key, guint64 version,
				const guint8 *value, gsize size)
{
	const sr_rumour_t rumour = {
		.kind = SR_RUMOUR_EVIDENCE,
		.key = key,
		.version = version,
		.value = value,
		.size = size,
	};

	put_rumour(user, &rumour, EVIDENCE_TTL);
}

static void on_observation(void *user, sr_usec_t now,
			   const sr_observation_t *observation)
{
	sr_evidence_record(((sr_versions_t *)user)->evidence, now, observation);
}

/* One node of each failure domain competes for the lease of a rollout, unless
 * it drains. */
static gboolean is_claimant(const sr_versions_t *versions,
			    const rollout_entry_t *entry)
{
	const char *owner =
		sr_members_domain_owner(versions->options.members,
					versions->failure_domain, entry->key);

	return !versions->draining && owner && !strcmp(owner, versions->node);
}

static void on_tick(void *user)
{
	sr_versions_t *versions = user;
	sr_usec_t now = current_time(versions);

	sr_evidence_tick(versions->evidence, now);
	sr_recall_tick(versions->recall, now);
	sr_list_for_each_safe (link, &versions->entries) {
		rollout_entry_t *entry =
			sr_list_entry(link, rollout_entry_t, link);

		sr_rollout_set_wanted(entry->rollout,
				      is_claimant(versions, entry));
		sr_rollout_tick(entry->rollout, now);
	}
	versions->timer = sr_timer_start(versions->options.clock, TICK_INTERVAL,
					 on_tick, versions);
}

/*
 * Finds the version with a target time and, in *old_version, the one that it
 * replaces: the first without a target time. Returns NULL if either is missing.
 */
static const sr_version_config_t *
find_rollout_versions(const sr_service_config_t *service,
		      const sr_version_config_t **old_version)
{
	const sr_version_config_t *new_version = NULL;

	*old_version = NULL;
	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_config_t *version =
			g_ptr_array_index(service->versions, i);

		if (version->by_unix_ms > 0)
			new_version = version;
		else if (!*old_version)
			*old_version = version;
	}
	return *old_version ? new_version : NULL;
}

static void create_rollout(rollout_entry_t *entry,
			   const sr_service_config_t *service)
{
	sr_versions_t *versions = entry->versions;
	guint n = service->routes->len;
	const char **routes = g_new0(const char *, n + 1);
	gint64 wall_ms =
		(gint64)(sr_clock_wall_ns(versions->options.clock) / 1000000);
	sr_usec_t now = current_time(versions);
	sr_usec_t remaining = MAX(entry->by_unix_ms - wall_ms, 0) * SR_MSEC;
	const sr_rollout_options_t options = {
		.service = entry->service,
		.old_version = entry->old_version,
		.new_version = entry->version,
		.target = entry->target_share,
		.start = now,
		.due = now + remaining,
		.soak = service->soak,
		.routes = routes,
		.evidence = versions->evidence,
		.store = versions->options.store,
		.owner = versions->owner,
		.seed = versions->options.seed ^ g_str_hash(entry->key),
		.set_share = on_set_share,
		.recall = on_recall_version,
		.step_written = on_step_taken,
		.user = entry,
	};

	for (guint i = 0; i < n; i++) {
		const sr_route_config_t *route =
			g_ptr_array_index(service->routes, i);

		routes[i] = route->name;
	}
	entry->rollout = sr_rollout_new(&options);
	g_free(routes);
}

/* Applies a step and a recall that arrived before the entry was added. */
static void apply_known_rumours(rollout_entry_t *entry)
{
	sr_versions_t *versions = entry->versions;
	sr_rollout_step_t step;
	sr_rumour_t rumour;

	if (sr_gossip_get(versions->options.gossip, SR_RUMOUR_ROLLOUT,
			  entry->key, &rumour) &&
	    decode_step(&rumour, &step))
		sr_rollout_receive(entry->rollout, &step);
	if (sr_gossip_get(versions->options.gossip, SR_RUMOUR_RECALL,
			  entry->key, &rumour)) {
		char *reason =
			g_strndup((const char *)rumour.value, rumour.size);

		sr_rollout_roll_back(entry->rollout, reason);
		g_free(reason);
	}
}

static void add_entry(sr_versions_t *versions,
		      const sr_service_config_t *service,
		      const sr_version_config_t *new_version,
		      const sr_version_config_t *old_version)
{
	rollout_entry_t *entry = g_new0(rollout_entry_t, 1);

	entry->versions = versions;
	entry->key = g_strdup_printf("%s/%s", service->name, new_version->name);
	entry->service = g_strdup(service->name);
	entry->version = g_strdup(new_version->name);
	entry->old_version = g_strdup(old_version->name);
	entry->target_share = new_version->share;
	entry->by_unix_ms = new_version->by_unix_ms;
	entry->is_configured = TRUE;
	sr_list_append(&versions->entries, &entry->link);
	/* until a step is known, the old version gets all of the traffic */
	on_set_share(entry, entry->service, entry->version, 0);
	on_set_share(entry, entry->service, entry->old_version, 1);
	create_rollout(entry, service);
	apply_known_rumours(entry);
}

static gboolean is_same_rollout(const rollout_entry_t *entry,
				const sr_version_config_t *new_version,
				const sr_version_config_t *old_version)
{
	return entry->target_share >= new_version->share - SHARE_TOLERANCE &&
	       entry->target_share <= new_version->share + SHARE_TOLERANCE &&
	       entry->by_unix_ms == new_version->by_unix_ms &&
	       !strcmp(entry->old_version, old_version->name);
}

static void set_fixed_shares(sr_versions_t *versions,
			     const sr_service_config_t *service)
{
	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_config_t *version =
			g_ptr_array_index(service->versions, i);

		sr_dispatch_set_share(versions->options.dispatch, service->name,
				      version->name, version->share);
	}
}

static void update_service(sr_versions_t *versions,
			   const sr_service_config_t *service)
{
	const sr_version_config_t *old_version;
	const sr_version_config_t *new_version =
		find_rollout_versions(service, &old_version);
	char *key;
	rollout_entry_t *entry;

	if (!new_version) {
		set_fixed_shares(versions, service);
		return;
	}
	key = g_strdup_printf("%s/%s", service->name, new_version->name);
	entry = find_entry(versions, key);
	if (entry && is_same_rollout(entry, new_version, old_version)) {
		entry->is_configured = TRUE;
	} else {
		if (entry)
			free_entry(entry);
		add_entry(versions, service, new_version, old_version);
	}
	g_free(key);
}

sr_versions_t *sr_versions_new(const sr_versions_options_t *options)
{
	sr_versions_t *versions = g_new0(sr_versions_t, 1);
	sr_evidence_options_t evidence = {
		.is_gone = on_is_gone,
		.publish_counters = on_evidence_changed,
		.user = versions,
	};
	const sr_recall_options_t recall = {
		.store = options->store,
		.seed = options->seed + 1,
		.recalled = on_recalled,
		.publish = on_publish_recall,
		.user = versions,
	};

	versions->options = *options;
	versions->node = g_strdup(options->node);
	versions->failure_domain = g_strdup(options->failure_domain);
	versions->owner = g_strdup(options->owner);
	sr_list_init(&versions->entries);
	evidence.node = versions->owner;
	versions->evidence = sr_evidence_new(&evidence);
	versions->recall = sr_recall_new(&recall);
	sr_dispatch_set_observer(options->dispatch, on_observation, versions);
	versions->timer = sr_timer_start(options->clock, TICK_INTERVAL, on_tick,
					 versions);
	return versions;
}

void sr_versions_free(sr_versions_t *versions)
{
	if (!versions)
		return;
	sr_timer_cancel(versions->timer);
	sr_dispatch_set_observer(versions->options.dispatch, NULL, NULL);
	sr_list_for_each_safe (link, &versions->entries) {
		free_entry(sr_list_entry(link, rollout_entry_t, link));
	}
	sr_recall_free(versions->recall);
	sr_evidence_free(versions->evidence);
	sr_config_unref(versions->config);
	g_free(versions->node);
	g_free(versions->failure_domain);
	g_free(versions->owner);
	g_free(versions);
}

void sr_versions_set_config(sr_versions_t *versions, sr_config_t *config)
{
	sr_config_ref(config);
	sr_config_unref(versions->config);
	versions->config = config;
	sr_list_for_each (link, &versions->entries) {
		sr_list_entry(link, rollout_entry_t, link)->is_configured =
			FALSE;
	}
	for (guint i = 0; i < config->services->len; i++)
		update_service(versions,
			       g_ptr_array_index(config->services, i));
	sr_list_for_each_safe (link, &versions->entries) {
		rollout_entry_t *entry =
			sr_list_entry(link, rollout_entry_t, link);

		if (!entry->is_configured)
			free_entry(entry);
	}
}

static void receive_step(sr_versions_t *versions, const sr_rumour_t *rumour)
{
	rollout_entry_t *entry = find_entry(versions, rumour->key);
	sr_rollout_step_t step;

	if (entry && decode_step(rumour, &step))
		sr_rollout_receive(entry->rollout, &step);
}

void sr_versions_receive_rumour(sr_versions_t *versions,
				const sr_rumour_t *rumour)
{
	switch (rumour->kind) {
	case SR_RUMOUR_RECALL:
		sr_recall_receive(versions->recall, current_time(versions),
				  rumour->key, rumour->version, rumour->value,
				  rumour->size);
		break;
	case SR_RUMOUR_EVIDENCE:
		sr_evidence_receive(versions->evidence, rumour->key,
				    rumour->value, rumour->size);
		break;
	case SR_RUMOUR_ROLLOUT:
		receive_step(versions, rumour);
		break;
	default:
		break; /* not about versions */
	}
}

static gboolean has_version(const sr_versions_t *versions, const char *service,
			    const char *version)
{
	const sr_service_config_t *found =
		versions->config ?
			sr_config_service(versions->config, service) :
			NULL;

	for (guint i = 0; found && i < found->versions->len; i++) {
		const sr_version_config_t *row =
			g_ptr_array_index(found->versions, i);

		if (!strcmp(row->name, version))
			return TRUE;
	}
	return FALSE;
}

sr_err_t sr_versions_recall(sr_versions_t *versions, const char *service,
			    const char *version, const char *reason)
{
	if (!has_version(versions, service, version))
		return SR_ERR_NOT_FOUND;
	sr_recall_add(versions->recall, current_time(versions), service,
		      version, reason);
	return SR_OK;
}

void sr_versions_drain(sr_versions_t *versions)
{
	versions->draining = TRUE;
}

static void add_text(json_object *row, const char *key, const char *text)
{
	json_object_object_add(row, key, json_object_new_string(text));
}

static json_object *rollout_status(const rollout_entry_t *entry)
{
	const sr_rollout_step_t *step = sr_rollout_step(entry->rollout);
	json_object *row = json_object_new_object();

	add_text(row, "service", entry->service);
	add_text(row, "version", entry->version);
	add_text(row, "state", state_name(step->state));
	json_object_object_add(row, "share",
			       json_object_new_double(step->share));
	json_object_object_add(row, "target",
			       json_object_new_double(entry->target_share));
	add_text(row, "reason", sr_rollout_reason(entry->rollout));
	return row;
}

static void add_recall(void *user, const sr_rumour_t *rumour)
{
	const char *slash = strchr(rumour->key, '/');
	json_object *row;
	char *service;
	char *reason;

	if (!slash)
		return;
	service = g_strndup(rumour->key, (gsize)(slash - rumour->key));
	reason = g_strndup((const char *)rumour->value, rumour->size);
	row = json_object_new_object();
	add_text(row, "service", service);
	add_text(row, "version", slash + 1);
	add_text(row, "reason", reason);
	json_object_array_add(user, row);
	g_free(service);
	g_free(reason);
}

void sr_versions_add_status(sr_versions_t *versions, json_object *status)
{
	json_object *rollouts = json_object_new_array();
	json_object *recalled = json_object_new_array();

	sr_list_for_each (link, &versions->entries) {
		json_object_array_add(rollouts,
				      rollout_status(sr_list_entry(
					      link, rollout_entry_t, link)));
	}
	sr_gossip_foreach_rumour(versions->options.gossip, SR_RUMOUR_RECALL,
				 add_recall, recalled);
	json_object_object_add(status, "rollouts", rollouts);
	json_object_object_add(status, "recalled", recalled);
}
