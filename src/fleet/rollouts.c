#include "fleet/rollouts_internal.h"

/** Time after which a status that the platform doesn't show is written again.
 */
#define WRITE_INTERVAL (600 * SR_MSEC)

static void free_rollout(gpointer data)
{
	rollout_t *rollout = data;

	sr_version_trial_free(rollout->trial);
	g_free(rollout->service);
	g_free(rollout->target);
	g_free(rollout);
}

sr_rollouts_t *sr_rollouts_new(const sr_rollouts_options_t *options)
{
	sr_rollouts_t *rollouts = g_new0(sr_rollouts_t, 1);
	rollouts->options = *options;
	rollouts->evidence = sr_rollouts_new_evidence(rollouts);
	rollouts->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_rollout);
	rollouts->random = g_rand_new_with_seed((guint32)options->seed);
	return rollouts;
}

void sr_rollouts_free(sr_rollouts_t *rollouts)
{
	if (!rollouts)
		return;
	g_hash_table_unref(rollouts->orders);
	sr_evidence_free(rollouts->evidence);
	g_rand_free(rollouts->random);
	g_free(rollouts);
}

static const char *phase_name(sr_version_trial_phase_t phase)
{
	switch (phase) {
	case SR_VERSION_TRIAL_MOVING:
		return "moving";
	case SR_VERSION_TRIAL_COMPLETED:
		return "completed";
	case SR_VERSION_TRIAL_ROLLED_BACK:
		return "rolled-back";
	}
	g_assert_not_reached();
}

static void log_rollout(const sr_rollouts_t *rollouts, const char *event,
			const rollout_t *rollout, const char *detail)
{
	char share[16];
	char age[24];

	g_snprintf(share, sizeof(share), "%.3f",
		   sr_version_trial_share(rollout->trial,
					  sr_rollouts_now(rollouts)));
	g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT,
		   sr_clock_unix_ms(rollouts->options.clock) -
			   rollout->start_unix_ms);
	sr_log_event(rollouts->options.log, SR_LOG_INFO, event, "service",
		     rollout->service, "target", rollout->target, "phase",
		     phase_name(sr_version_trial_phase(rollout->trial)),
		     "share", share, "age_ms", age, "detail", detail, NULL);
}

/* Key "SERVICE/TARGET", version 1 + phase, value "START_MS DURATION_MS
 * REVISION": the end of an order supersedes its start. */
static void publish(const sr_rollouts_t *rollouts, const rollout_t *rollout)
{
	char *key = g_strconcat(rollout->service, "/", rollout->target, NULL);
	char *value = g_strdup_printf(
		"%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GUINT64_FORMAT,
		rollout->start_unix_ms, rollout->duration / SR_MSEC,
		rollout->revision);

	rollouts->options.publish(
		rollouts->options.user, key,
		(guint64)sr_version_trial_phase(rollout->trial) + 1, value);
	g_free(value);
	g_free(key);
}

/* The end of an order, learned from the platform or a peer. */
static void end_order(sr_rollouts_t *rollouts, rollout_t *rollout,
		      sr_version_trial_phase_t phase, const char *reason)
{
	sr_version_trial_phase_t before =
		sr_version_trial_phase(rollout->trial);

	switch (phase) {
	case SR_VERSION_TRIAL_MOVING:
		break;
	case SR_VERSION_TRIAL_COMPLETED:
		sr_version_trial_complete(rollout->trial);
		break;
	case SR_VERSION_TRIAL_ROLLED_BACK:
		if (before == SR_VERSION_TRIAL_MOVING)
			sr_version_trial_roll_back(rollout->trial, reason);
		break;
	}
	if (sr_version_trial_phase(rollout->trial) == before)
		return;
	log_rollout(rollouts, "rollout-ended", rollout, reason);
	publish(rollouts, rollout);
}

static rollout_t *add_order(sr_rollouts_t *rollouts, const char *service,
			    const char *target, sr_usec_t duration,
			    gint64 start_unix_ms)
{
	gint64 age_ms =
		sr_clock_unix_ms(rollouts->options.clock) - start_unix_ms;
	const sr_version_trial_options_t options = {
		.service = service,
		.target = target,
		.started_at =
			sr_rollouts_now(rollouts) - MAX(age_ms, 0) * SR_MSEC,
		.now = sr_rollouts_now(rollouts),
		.duration = duration,
		.exposure = rollouts->options.exposure,
		.n_hosts = rollouts->options.host_count(rollouts->options.user),
		.jitter = g_rand_double(rollouts->random),
	};
	rollout_t *rollout = g_new0(rollout_t, 1);

	rollout->service = g_strdup(service);
	rollout->target = g_strdup(target);
	rollout->duration = duration;
	rollout->start_unix_ms = start_unix_ms;
	rollout->trial = sr_version_trial_new(&options);
	sr_gateway_set_version_trial(rollouts->options.gateway, service,
				     rollout->trial);
	g_hash_table_replace(rollouts->orders, rollout->service, rollout);
	return rollout;
}

static sr_version_trial_phase_t phase_of(sr_rollout_status_t status)
{
	switch (status) {
	case SR_ROLLOUT_STATUS_NONE:
	case SR_ROLLOUT_STATUS_IN_PROGRESS:
		break;
	case SR_ROLLOUT_STATUS_COMPLETED:
		return SR_VERSION_TRIAL_COMPLETED;
	case SR_ROLLOUT_STATUS_ROLLED_BACK:
		return SR_VERSION_TRIAL_ROLLED_BACK;
	}
	return SR_VERSION_TRIAL_MOVING;
}

void sr_rollouts_set_order(sr_rollouts_t *rollouts,
			   const sr_rollout_order_t *order)
{
	rollout_t *rollout =
		sr_rollouts_find(rollouts, order->service, order->target);

	if (!rollout) {
		rollout = add_order(rollouts, order->service, order->target,
				    order->duration,
				    sr_clock_unix_ms(rollouts->options.clock));
		rollout->revision = order->revision;
		log_rollout(rollouts, "rollout-seen", rollout, "platform");
		publish(rollouts, rollout);
	}
	rollout->revision = MAX(rollout->revision, order->revision);
	rollout->stored = order->status;
	end_order(rollouts, rollout, phase_of(order->status),
		  "status at the platform");
}

void sr_rollouts_remove_order(sr_rollouts_t *rollouts, const char *service)
{
	rollout_t *rollout = g_hash_table_lookup(rollouts->orders, service);

	if (!rollout ||
	    sr_version_trial_phase(rollout->trial) != SR_VERSION_TRIAL_MOVING)
		return;
	rollout->revision = 0; /* there is no status to write any more */
	end_order(rollouts, rollout, SR_VERSION_TRIAL_ROLLED_BACK,
		  "the order was taken back");
}

static void receive(sr_rollouts_t *rollouts, const char *service,
		    const char *target, sr_version_trial_phase_t phase,
		    char **words)
{
	rollout_t *rollout = g_hash_table_lookup(rollouts->orders, service);
	gint64 start_unix_ms = g_ascii_strtoll(words[0], NULL, 10);
	sr_usec_t duration = g_ascii_strtoll(words[1], NULL, 10) * SR_MSEC;
	guint64 revision = g_ascii_strtoull(words[2], NULL, 10);

	if (rollout && strcmp(rollout->target, target) != 0) {
		if (revision <= rollout->revision)
			return; /* of an order that was replaced */
		rollout = NULL;
	}
	if (!rollout) {
		rollout = add_order(rollouts, service, target, duration,
				    start_unix_ms);
		rollout->revision = revision;
		log_rollout(rollouts, "rollout-seen", rollout, "peer");
	}
	if (start_unix_ms < rollout->start_unix_ms) {
		sr_version_trial_started_earlier(
			rollout->trial,
			sr_rollouts_now(rollouts) -
				(sr_clock_unix_ms(rollouts->options.clock) -
				 start_unix_ms) *
					SR_MSEC);
		rollout->start_unix_ms = start_unix_ms;
	}
	/* A roll-back that overlaps the completion by another host stays until
	 * the platform shows which of them was written. */
	if (sr_version_trial_phase(rollout->trial) == SR_VERSION_TRIAL_MOVING)
		end_order(rollouts, rollout, phase, "another host");
}

void sr_rollouts_receive(sr_rollouts_t *rollouts, const char *key,
			 guint64 version, const guint8 *value, gsize size)
{
	char **names = g_strsplit(key, "/", 2);
	char *text = g_strndup((const char *)value, size);
	char **words = g_strsplit(text, " ", -1);

	if (g_strv_length(names) == 2 && g_strv_length(words) == 3 &&
	    version > 0 && version <= SR_VERSION_TRIAL_ROLLED_BACK + 1)
		receive(rollouts, names[0], names[1],
			(sr_version_trial_phase_t)(version - 1), words);
	g_strfreev(words);
	g_free(text);
	g_strfreev(names);
}

void sr_rollouts_save(const sr_rollouts_t *rollouts, GString *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const rollout_t *rollout = value;
		char *service =
			g_uri_escape_string(rollout->service, NULL, FALSE);
		char *target =
			g_uri_escape_string(rollout->target, NULL, FALSE);

		g_string_append_printf(
			out,
			SR_ROLLOUTS_SAVED_WORD " %s %s %d %" G_GINT64_FORMAT
					       " %" G_GINT64_FORMAT
					       " %" G_GUINT64_FORMAT "\n",
			service, target,
			(int)sr_version_trial_phase(rollout->trial),
			rollout->start_unix_ms, rollout->duration / SR_MSEC,
			rollout->revision);
		g_free(target);
		g_free(service);
	}
}

void sr_rollouts_restore(sr_rollouts_t *rollouts, char **words)
{
	char *service;
	char *target;
	guint64 phase;

	if (g_strv_length(words) != 7 ||
	    strcmp(words[0], SR_ROLLOUTS_SAVED_WORD) != 0 ||
	    !g_ascii_string_to_unsigned(words[3], 10, 0,
					SR_VERSION_TRIAL_ROLLED_BACK, &phase,
					NULL))
		return;
	service = g_uri_unescape_string(words[1], NULL);
	target = g_uri_unescape_string(words[2], NULL);
	if (service && target)
		receive(rollouts, service, target,
			(sr_version_trial_phase_t)phase, words + 4);
	g_free(target);
	g_free(service);
}

static void evaluate(sr_rollouts_t *rollouts, rollout_t *rollout)
{
	sr_rollouts_analyse(rollouts, rollout);
	if (sr_version_trial_phase(rollout->trial) != SR_VERSION_TRIAL_MOVING) {
		log_rollout(rollouts, "rollout-ended", rollout,
			    sr_version_trial_reason(rollout->trial));
		publish(rollouts, rollout);
	}
}

void sr_rollouts_tick(sr_rollouts_t *rollouts)
{
	sr_usec_t now = sr_rollouts_now(rollouts);
	GHashTableIter iter;
	gpointer value;

	sr_evidence_tick(rollouts->evidence, now);
	g_hash_table_iter_init(&iter, rollouts->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		rollout_t *rollout = value;
		double share;

		if (sr_version_trial_phase(rollout->trial) !=
		    SR_VERSION_TRIAL_MOVING)
			continue;
		evaluate(rollouts, rollout);
		share = sr_version_trial_share(rollout->trial, now);
		if (share != rollout->share)
			log_rollout(rollouts, "rollout-share", rollout, "");
		rollout->share = share;
	}
}

static void decide(sr_rollouts_t *rollouts, rollout_t *rollout)
{
	const sr_version_trial_fleet_t state =
		sr_rollouts_fleet_state(rollouts, rollout);

	switch (sr_version_trial_decide(rollout->trial,
					sr_rollouts_now(rollouts), &state)) {
	case SR_VERSION_TRIAL_WAIT:
		break;
	case SR_VERSION_TRIAL_FINISH:
		end_order(rollouts, rollout, SR_VERSION_TRIAL_COMPLETED,
			  "all requests have moved");
		break;
	case SR_VERSION_TRIAL_GIVE_UP:
		end_order(rollouts, rollout, SR_VERSION_TRIAL_ROLLED_BACK,
			  "not enough evidence within the time limit");
		break;
	}
}

static sr_rollout_status_t wanted_status(const rollout_t *rollout)
{
	switch (sr_version_trial_phase(rollout->trial)) {
	case SR_VERSION_TRIAL_MOVING:
		break;
	case SR_VERSION_TRIAL_COMPLETED:
		return SR_ROLLOUT_STATUS_COMPLETED;
	case SR_VERSION_TRIAL_ROLLED_BACK:
		return SR_ROLLOUT_STATUS_ROLLED_BACK;
	}
	return SR_ROLLOUT_STATUS_IN_PROGRESS;
}

void sr_rollouts_perform(sr_rollouts_t *rollouts)
{
	sr_usec_t now = sr_rollouts_now(rollouts);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		rollout_t *rollout = value;
		sr_rollout_order_t order = {
			.service = rollout->service,
			.target = rollout->target,
			.duration = rollout->duration,
			.revision = rollout->revision,
		};

		decide(rollouts, rollout);
		order.status = wanted_status(rollout);
		if (order.status == rollout->stored || rollout->revision == 0 ||
		    now < rollout->write_at)
			continue;
		rollout->write_at = now + WRITE_INTERVAL;
		log_rollout(rollouts, "rollout-status-sent", rollout, "");
		rollouts->options.write_status(rollouts->options.user, &order);
	}
}

/* Instances of a version that was rolled back are removed by the platform a
 * little later. */
gboolean sr_rollouts_blocks_orders(const sr_rollouts_t *rollouts,
				   const char *service)
{
	const rollout_t *rollout =
		g_hash_table_lookup(rollouts->orders, service);
	const GPtrArray *list = sr_instances_of_service(
		sr_gateway_instances(rollouts->options.gateway), service);
	unsigned n_target = 0;
	unsigned n_others = 0;

	for (guint i = 0; rollout && list && i < list->len; i++) {
		const sr_instance_t *instance = list->pdata[i];

		if (!strcmp(instance->version, rollout->target))
			n_target++;
		else
			n_others++;
	}
	return rollout && ((n_target > 0 && n_others > 0) ||
			   sr_version_trial_phase(rollout->trial) ==
				   SR_VERSION_TRIAL_MOVING);
}
