#include "daemon/versions.h"

#include <string.h>

#include "base/list.h"
#include "core/evidence.h"
#include "core/recall.h"
#include "core/rollout.h"

#define TICK SR_SEC
/** What another node counted is kept for as long as a soak usually takes. */
#define EVIDENCE_TTL (10 * SR_MINUTE)
/** Shares travel in millionths. */
#define SHARE_UNIT 1000000.0
#define STEP_SIZE 5

struct sr_versions {
	sr_versions_options_t options;
	char *node;
	char *failure_domain;
	char *owner;
	sr_config_t *config; /* in force, or NULL */
	sr_evidence_t *evidence;
	sr_recall_t *recall;
	sr_list_t moves;
	sr_timer_t *timer;
	gboolean draining;
};

/* One service on its way to another version. */
typedef struct {
	sr_list_t link;
	sr_versions_t *versions;
	char *key; /* "SERVICE/VERSION" */
	char *service;
	char *version;
	char *old_version;
	double target;
	gint64 by_unix_ms;
	gboolean is_listed;
	sr_rollout_t *rollout;
} move_t;

static sr_usec_t now_of(const sr_versions_t *versions)
{
	return sr_clock_now(versions->options.clock);
}

static void put_rumour(sr_versions_t *versions, const sr_rumour_t *rumour,
		       sr_usec_t ttl)
{
	sr_gossip_put(versions->options.gossip, now_of(versions), rumour, ttl);
}

static void on_set_share(void *user, const char *service, const char *version,
			 double share)
{
	move_t *move = user;

	sr_dispatch_set_share(move->versions->options.dispatch, service,
			      version, share);
}

static void on_bad_version(void *user, const char *service, const char *version,
			   const char *reason)
{
	sr_versions_t *versions = ((move_t *)user)->versions;

	sr_recall_add(versions->recall, now_of(versions), service, version,
		      reason);
}

static void encode_step(const sr_rollout_step_t *step, guint8 value[STEP_SIZE])
{
	guint32 share = GUINT32_TO_BE((guint32)(step->share * SHARE_UNIT));

	memcpy(value, &share, sizeof(share));
	value[sizeof(share)] = (guint8)step->state;
}

static gboolean decode_step(const sr_rumour_t *rumour, sr_rollout_step_t *step)
{
	guint32 share;

	if (rumour->size != STEP_SIZE ||
	    rumour->value[sizeof(share)] > SR_ROLLOUT_ROLLED_BACK)
		return FALSE;
	memcpy(&share, rumour->value, sizeof(share));
	step->number = rumour->version;
	step->share = MIN(GUINT32_FROM_BE(share) / SHARE_UNIT, 1);
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

static void on_stepped(void *user, const sr_rollout_step_t *step)
{
	move_t *move = user;
	guint8 value[STEP_SIZE];
	const sr_rumour_t rumour = {
		.kind = SR_RUMOUR_ROLLOUT,
		.key = move->key,
		.version = step->number,
		.value = value,
		.size = sizeof(value),
	};
	char share[16];

	encode_step(step, value);
	put_rumour(move->versions, &rumour, 0);
	g_snprintf(share, sizeof(share), "%.4f", step->share);
	sr_log_event(move->versions->options.log, SR_LOG_INFO, "rollout-step",
		     "version", move->key, "state", state_name(step->state),
		     "share", share, NULL);
}

static void free_move(move_t *move)
{
	sr_list_remove(&move->link);
	sr_rollout_free(move->rollout);
	g_free(move->key);
	g_free(move->service);
	g_free(move->version);
	g_free(move->old_version);
	g_free(move);
}

static move_t *find_move(const sr_versions_t *versions, const char *key)
{
	sr_list_for_each (link, &versions->moves) {
		move_t *move = sr_list_entry(link, move_t, link);

		if (!strcmp(move->key, key))
			return move;
	}
	return NULL;
}

static void on_recalled(void *user, const char *service, const char *version,
			const char *reason)
{
	sr_versions_t *versions = user;
	char *key = g_strdup_printf("%s/%s", service, version);
	move_t *move = find_move(versions, key);

	sr_dispatch_recall(versions->options.dispatch, service, version);
	if (move)
		sr_rollout_roll_back(move->rollout, reason);
	sr_log_event(versions->options.log, SR_LOG_WARN, "recalled", "service",
		     service, "version", version, "reason", reason, NULL);
	g_free(key);
}

static void on_spread_recall(void *user, const char *key, guint64 version,
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

static void on_evidence(void *user, const char *key, guint64 version,
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

static void on_observed(void *user, sr_usec_t now, const sr_observation_t *seen)
{
	sr_evidence_record(((sr_versions_t *)user)->evidence, now, seen);
}

/* One node of each failure domain competes for the lease of a rollout. */
static gboolean is_claimant(const sr_versions_t *versions, const move_t *move)
{
	const char *owner = sr_members_owner(
		versions->options.members, versions->failure_domain, move->key);

	return !versions->draining && owner && !strcmp(owner, versions->node);
}

static void on_tick(void *user)
{
	sr_versions_t *versions = user;
	sr_usec_t now = now_of(versions);

	sr_evidence_tick(versions->evidence, now);
	sr_recall_tick(versions->recall, now);
	sr_list_for_each_safe (link, &versions->moves) {
		move_t *move = sr_list_entry(link, move_t, link);

		sr_rollout_set_wanted(move->rollout,
				      is_claimant(versions, move));
		sr_rollout_tick(move->rollout, now);
	}
	versions->timer = sr_timer_start(versions->options.clock, TICK, on_tick,
					 versions);
}

/* The version with a time and, in *old, the one that it replaces. */
static const sr_version_config_t *
moving_version(const sr_service_config_t *service,
	       const sr_version_config_t **old)
{
	const sr_version_config_t *moving = NULL;

	*old = NULL;
	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_config_t *version =
			g_ptr_array_index(service->versions, i);

		if (version->by_unix_ms > 0)
			moving = version;
		else if (!*old)
			*old = version;
	}
	return *old ? moving : NULL;
}

static void create_rollout(move_t *move, const sr_service_config_t *service)
{
	sr_versions_t *versions = move->versions;
	guint n = service->routes->len;
	const char **routes = g_new0(const char *, n + 1);
	gint64 wall_ms =
		(gint64)(sr_clock_wall_ns(versions->options.clock) / 1000000);
	sr_usec_t now = now_of(versions);
	sr_usec_t left = MAX(move->by_unix_ms - wall_ms, 0) * SR_MSEC;
	const sr_rollout_options_t options = {
		.service = move->service,
		.old_version = move->old_version,
		.new_version = move->version,
		.target = move->target,
		.start = now,
		.due = now + left,
		.soak = service->soak,
		.routes = routes,
		.evidence = versions->evidence,
		.store = versions->options.store,
		.owner = versions->owner,
		.seed = versions->options.seed ^ g_str_hash(move->key),
		.set_share = on_set_share,
		.recall = on_bad_version,
		.step_written = on_stepped,
		.user = move,
	};

	for (guint i = 0; i < n; i++) {
		const sr_route_config_t *route =
			g_ptr_array_index(service->routes, i);

		routes[i] = route->name;
	}
	move->rollout = sr_rollout_new(&options);
	g_free(routes);
}

/* What is already known of a move that begins here late. */
static void catch_up(move_t *move)
{
	sr_versions_t *versions = move->versions;
	sr_rollout_step_t step;
	sr_rumour_t rumour;

	if (sr_gossip_get(versions->options.gossip, SR_RUMOUR_ROLLOUT,
			  move->key, &rumour) &&
	    decode_step(&rumour, &step))
		sr_rollout_receive(move->rollout, &step);
	if (sr_gossip_get(versions->options.gossip, SR_RUMOUR_RECALL, move->key,
			  &rumour)) {
		char *reason =
			g_strndup((const char *)rumour.value, rumour.size);

		sr_rollout_roll_back(move->rollout, reason);
		g_free(reason);
	}
}

static void start_move(sr_versions_t *versions,
		       const sr_service_config_t *service,
		       const sr_version_config_t *moving,
		       const sr_version_config_t *old)
{
	move_t *move = g_new0(move_t, 1);

	move->versions = versions;
	move->key = g_strdup_printf("%s/%s", service->name, moving->name);
	move->service = g_strdup(service->name);
	move->version = g_strdup(moving->name);
	move->old_version = g_strdup(old->name);
	move->target = moving->share;
	move->by_unix_ms = moving->by_unix_ms;
	move->is_listed = TRUE;
	sr_list_append(&versions->moves, &move->link);
	/* until a step is known the old version has all of the traffic */
	on_set_share(move, move->service, move->version, 0);
	on_set_share(move, move->service, move->old_version, 1);
	create_rollout(move, service);
	catch_up(move);
}

static gboolean is_same_move(const move_t *move,
			     const sr_version_config_t *moving,
			     const sr_version_config_t *old)
{
	return move->target >= moving->share - 1e-9 &&
	       move->target <= moving->share + 1e-9 &&
	       move->by_unix_ms == moving->by_unix_ms &&
	       !strcmp(move->old_version, old->name);
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
	const sr_version_config_t *old;
	const sr_version_config_t *moving = moving_version(service, &old);
	char *key;
	move_t *move;

	if (!moving) {
		set_fixed_shares(versions, service);
		return;
	}
	key = g_strdup_printf("%s/%s", service->name, moving->name);
	move = find_move(versions, key);
	if (move && is_same_move(move, moving, old)) {
		move->is_listed = TRUE;
	} else {
		if (move)
			free_move(move);
		start_move(versions, service, moving, old);
	}
	g_free(key);
}

sr_versions_t *sr_versions_new(const sr_versions_options_t *options)
{
	sr_versions_t *versions = g_new0(sr_versions_t, 1);
	sr_evidence_options_t evidence = {
		.is_gone = on_is_gone,
		.changed = on_evidence,
		.user = versions,
	};
	const sr_recall_options_t recall = {
		.store = options->store,
		.seed = options->seed + 1,
		.recalled = on_recalled,
		.publish = on_spread_recall,
		.user = versions,
	};

	versions->options = *options;
	versions->node = g_strdup(options->node);
	versions->failure_domain = g_strdup(options->failure_domain);
	versions->owner = g_strdup(options->owner);
	sr_list_init(&versions->moves);
	evidence.node = versions->owner;
	versions->evidence = sr_evidence_new(&evidence);
	versions->recall = sr_recall_new(&recall);
	sr_dispatch_set_observer(options->dispatch, on_observed, versions);
	versions->timer =
		sr_timer_start(options->clock, TICK, on_tick, versions);
	return versions;
}

void sr_versions_free(sr_versions_t *versions)
{
	if (!versions)
		return;
	sr_timer_cancel(versions->timer);
	sr_dispatch_set_observer(versions->options.dispatch, NULL, NULL);
	sr_list_for_each_safe (link, &versions->moves) {
		free_move(sr_list_entry(link, move_t, link));
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
	sr_list_for_each (link, &versions->moves) {
		sr_list_entry(link, move_t, link)->is_listed = FALSE;
	}
	for (guint i = 0; i < config->services->len; i++)
		update_service(versions,
			       g_ptr_array_index(config->services, i));
	sr_list_for_each_safe (link, &versions->moves) {
		move_t *move = sr_list_entry(link, move_t, link);

		if (!move->is_listed)
			free_move(move);
	}
}

static void hear_step(sr_versions_t *versions, const sr_rumour_t *rumour)
{
	move_t *move = find_move(versions, rumour->key);
	sr_rollout_step_t step;

	if (move && decode_step(rumour, &step))
		sr_rollout_receive(move->rollout, &step);
}

void sr_versions_heard(sr_versions_t *versions, const sr_rumour_t *rumour)
{
	switch (rumour->kind) {
	case SR_RUMOUR_RECALL:
		sr_recall_receive(versions->recall, now_of(versions),
				  rumour->key, rumour->version, rumour->value,
				  rumour->size);
		break;
	case SR_RUMOUR_EVIDENCE:
		sr_evidence_receive(versions->evidence, rumour->key,
				    rumour->value, rumour->size);
		break;
	case SR_RUMOUR_ROLLOUT:
		hear_step(versions, rumour);
		break;
	default:
		break; /* of no concern to versions */
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
	sr_recall_add(versions->recall, now_of(versions), service, version,
		      reason);
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

static json_object *move_status(const move_t *move)
{
	const sr_rollout_step_t *step = sr_rollout_step(move->rollout);
	json_object *row = json_object_new_object();

	add_text(row, "service", move->service);
	add_text(row, "version", move->version);
	add_text(row, "state", state_name(step->state));
	json_object_object_add(row, "share",
			       json_object_new_double(step->share));
	json_object_object_add(row, "target",
			       json_object_new_double(move->target));
	add_text(row, "reason", sr_rollout_reason(move->rollout));
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

	sr_list_for_each (link, &versions->moves) {
		json_object_array_add(rollouts, move_status(sr_list_entry(
							link, move_t, link)));
	}
	sr_gossip_foreach_rumour(versions->options.gossip, SR_RUMOUR_RECALL,
				 add_recall, recalled);
	json_object_object_add(status, "rollouts", rollouts);
	json_object_object_add(status, "recalled", recalled);
}
