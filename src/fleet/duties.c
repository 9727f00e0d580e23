#include "fleet/duties.h"

#include <string.h>

#include "core/lease.h"

/** Interval at which due writes, calls and claims are checked. */
#define TICK (200 * SR_MSEC)

/** Longest duration of a call to the platform. A call is sent only if the lease
 * is valid for longer than this. */
#define CALL_MARGIN (1100 * SR_MSEC)

/** Added to the configured time in which the duties must not return to a host;
 * the sum is the duration of the lease and the time for which a host holds off
 * its claim. */
#define LEASE_EXTRA SR_SEC

/** Time for the counts of other hosts to arrive after a window has ended: they
 * are sent once a second and arrive within another. */
#define USAGE_SETTLE (3 * SR_SEC)

/** Longest duration of a report: a write and a call, each at most
 * CALL_MARGIN, and a tick between them. */
#define USAGE_MARGIN (2 * CALL_MARGIN + TICK)

/** Interval at which the counts of open windows are written; each write renews
 * the lease. With a tick added it is still shorter than the lease's own renewal
 * interval; otherwise a renewal would always come first and block the write. */
#define SAVE_INTERVAL (700 * SR_MSEC)

/** Live hosts that claim the lease: the holder and its successor. */
#define CLAIMANTS 2

/** Time after which a report that was not accepted is sent again. */
#define RETRY_DELAY (500 * SR_MSEC)

/** Lines of the lease's payload after those of the usage reports: the number of
 * entry hosts with the time of writing in Unix milliseconds, what each pool of
 * an account had granted then, the orders of roll-outs, and quarantines. */
#define HOSTS_WORD "hosts"

/** Line of the payload with the store's era at its writing: a restored copy of
 * an earlier era may not be the latest payload. */
#define ERA_WORD "era"

#define GRANTED_WORD "granted"

/** Age from which the lines don't matter any more. */
#define RESTORE_AGE_MAX (30 * SR_SEC)

struct sr_duties {
	sr_duties_options_t options;
	sr_lease_t *lease;
	sr_usage_reports_t *reports;
	sr_fleet_plan_t *plan;
	sr_timer_t *timer;
	guint64 last_seen_epoch; /* of another holder */
	sr_usec_t retry_at;	 /* no report is sent before */
	sr_usec_t save_at;	 /* next write of the open windows */
	gboolean has_read;	 /* the leased object, after the start */
	gboolean is_stopping;
};

static sr_usec_t current_time(const sr_duties_t *duties)
{
	return sr_clock_now(duties->options.clock);
}

static void log_event(const sr_duties_t *duties, const char *event,
		      guint64 epoch, const char *detail)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, epoch);
	sr_log_event(duties->options.log, SR_LOG_INFO, event, "epoch", text,
		     "detail", detail, NULL);
}

/* Time for which a host that has started or lost the duties doesn't claim
 * them. */
static sr_usec_t hold_off_time(const sr_duties_t *duties)
{
	return duties->options.lease + LEASE_EXTRA;
}

/* Start of the uninterrupted receipt of usage counts, in Unix milliseconds. */
static gint64 counts_since_ms(const sr_duties_t *duties)
{
	return sr_clock_unix_ms(duties->options.clock) -
	       sr_fleet_usage_received_for(duties->options.fleet_state) /
		       SR_MSEC;
}

/* 0 if the payload does not name it. */
static guint64 era_of(GBytes *payload)
{
	gsize size = 0;
	const char *data = payload ? g_bytes_get_data(payload, &size) : NULL;
	char *text = g_strndup(data ? data : "", size);
	char **lines = g_strsplit(text, "\n", -1);
	guint64 era = 0;

	for (char **line = lines; *line; line++) {
		if (g_str_has_prefix(*line, ERA_WORD " "))
			era = g_ascii_strtoull(*line + strlen(ERA_WORD " "),
					       NULL, 10);
	}
	g_strfreev(lines);
	g_free(text);
	return era;
}

/* Number of the window before which a payload that the store has lost may have
 * closed windows; 0 if the given one is the latest. A window is closed by a
 * write after its end, and none of an earlier era was accepted since this host
 * has seen the present one. */
static guint64 find_lost_before(sr_duties_t *duties, GBytes *payload,
				const sr_usage_windows_t *usage)
{
	guint64 era = sr_lease_era(duties->lease);
	sr_usec_t age =
		current_time(duties) - sr_lease_era_since(duties->lease);

	if (era == 0 || era_of(payload) == era)
		return 0;
	return sr_usage_windows_at(
		usage, sr_clock_unix_ms(duties->options.clock) - age / SR_MSEC);
}

static void load_reports(sr_duties_t *duties, GBytes *payload)
{
	sr_usage_windows_t *usage = sr_fleet_usage(duties->options.fleet_state);
	sr_usage_reports_source_t source = {
		.payload = payload,
		.receiving_since_ms = counts_since_ms(duties),
		.reported_before =
			sr_fleet_reported_windows(duties->options.fleet_state),
	};
	char text[80];

	if (!usage)
		return;
	source.lost_before = find_lost_before(duties, payload, usage);
	sr_usage_reports_load(duties->reports, &source, usage);
	g_snprintf(text, sizeof(text),
		   "era %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
		   ", windows before %" G_GUINT64_FORMAT " may be lost",
		   era_of(payload), sr_lease_era(duties->lease),
		   source.lost_before);
	if (source.lost_before > 0)
		log_event(duties, "usage-payload-older",
			  sr_lease_epoch(duties->lease), text);
}

static void on_lease_acquired(void *user, guint64 epoch, GBytes *payload)
{
	sr_duties_t *duties = user;
	char text[80];

	g_snprintf(text, sizeof(text),
		   "payload %" G_GSIZE_FORMAT
		   " bytes, counts received for %" G_GINT64_FORMAT " ms",
		   payload ? g_bytes_get_size(payload) : 0,
		   sr_fleet_usage_received_for(duties->options.fleet_state) /
			   SR_MSEC);
	log_event(duties, "duties-taken", epoch, text);
	sr_fleet_announce_duty_holder(duties->options.fleet_state, epoch);
	load_reports(duties, payload);
	sr_fleet_plan_reset_orders(duties->plan);
}

static void on_lease_lost(void *user)
{
	sr_duties_t *duties = user;

	log_event(duties, "duties-lost", 0, sr_lease_holder(duties->lease));
	sr_lease_defer_claims(duties->lease,
			      current_time(duties) + hold_off_time(duties));
}

static const char *claim_outcome(sr_lease_event_t event)
{
	switch (event) {
	case SR_LEASE_CHANGED:
	case SR_LEASE_ERA_BEGAN:
		break;
	case SR_LEASE_CLAIM_SENT:
		return "sent";
	case SR_LEASE_CLAIM_SUCCEEDED:
		return "taken";
	case SR_LEASE_CLAIM_CONFLICT:
		return "another host was faster";
	case SR_LEASE_CLAIM_UNKNOWN:
		return "reply lost";
	case SR_LEASE_CLAIM_NOT_DONE:
		return "not written";
	}
	return "";
}

/* "granted POOL ACCOUNT AMOUNT...", the account escaped as in a URI */
static void restore_granted(sr_duties_t *duties, char **words, sr_usec_t age)
{
	char *account = g_uri_unescape_string(words[2], NULL);
	sr_allowance_use_t use;
	guint64 pool;

	for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++)
		use.granted[i] = g_ascii_strtod(words[3 + i], NULL);
	if (account &&
	    g_ascii_string_to_unsigned(words[1], 10, 0, SR_ALLOWANCE_POOLS - 1,
				       &pool, NULL))
		sr_allowance_restore_use(
			sr_gateway_allowance(duties->options.gateway),
			current_time(duties), account, (unsigned)pool, age,
			&use);
	g_free(account);
}

/* "hosts NUMBER UNIX_MS"; returns the age of the lines. */
static sr_usec_t restore_hosts(sr_duties_t *duties, char **words)
{
	gint64 written_ms = g_ascii_strtoll(words[2], NULL, 10);
	sr_usec_t age = (sr_clock_unix_ms(duties->options.clock) - written_ms) *
			SR_MSEC;

	sr_fleet_expect_hosts(duties->options.fleet_state,
			      (unsigned)g_ascii_strtoull(words[1], NULL, 10));
	if (age <= RESTORE_AGE_MAX)
		sr_allowance_begin_restore(
			sr_gateway_allowance(duties->options.gateway),
			current_time(duties));
	return age;
}

static void restore_line(sr_fleet_t *fleet, char **words)
{
	sr_rollouts_restore(sr_fleet_rollouts(fleet), words);
	sr_fleet_restore_quarantine(fleet, words);
}

/* Reads what the holder knew of the fleet shortly before this host started. */
static void restore_fleet(sr_duties_t *duties)
{
	GBytes *payload = sr_lease_payload(duties->lease);
	gsize size = 0;
	const char *data = payload ? g_bytes_get_data(payload, &size) : NULL;
	char *text = g_strndup(data ? data : "", size);
	char **lines = g_strsplit(text, "\n", -1);
	sr_usec_t age = G_MAXINT64;

	for (char **line = lines; *line; line++) {
		char **words = g_strsplit(*line, " ", -1);
		guint n = g_strv_length(words);

		if (n == 3 && !strcmp(words[0], HOSTS_WORD))
			age = restore_hosts(duties, words);
		else if (n == 3 + SR_ALLOWANCE_PARTS &&
			 !strcmp(words[0], GRANTED_WORD) &&
			 age <= RESTORE_AGE_MAX)
			restore_granted(duties, words, age);
		else
			restore_line(duties->options.fleet_state, words);
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
}

static void append_granted(void *user, const char *account, unsigned pool,
			   const sr_allowance_use_t *use)
{
	char *escaped = g_uri_escape_string(account, NULL, FALSE);

	g_string_append_printf(user, GRANTED_WORD " %u %s", pool, escaped);
	for (unsigned i = 0; i < SR_ALLOWANCE_PARTS; i++)
		g_string_append_printf(user, " %.0f", use->granted[i]);
	g_string_append_c(user, '\n');
	g_free(escaped);
}

/* Adds what a host that starts needs to know; takes ownership of the payload of
 * the reports. */
static GBytes *add_fleet(const sr_duties_t *duties, GBytes *payload)
{
	const sr_duties_options_t *options = &duties->options;
	GString *granted = g_string_new(NULL);
	gboolean is_known = sr_fleet_foreach_use(options->fleet_state,
						 append_granted, granted);
	gsize size;
	const char *data = g_bytes_get_data(payload, &size);
	GString *text = g_string_new_len(data, (gssize)size);

	/* a time of 0 is too long ago for anything to be restored */
	g_string_append_printf(text, "\n" ERA_WORD " %" G_GUINT64_FORMAT "\n",
			       sr_lease_era(duties->lease));
	g_string_append_printf(text, HOSTS_WORD " %u %" G_GINT64_FORMAT "\n%s",
			       sr_fleet_recent_hosts(options->fleet_state),
			       is_known ? sr_clock_unix_ms(options->clock) : 0,
			       granted->str);
	sr_rollouts_save(sr_fleet_rollouts(options->fleet_state), text);
	sr_fleet_save_quarantines(options->fleet_state, text);
	g_string_free(granted, TRUE);
	g_bytes_unref(payload);
	return g_string_free_to_bytes(text);
}

/* A holder keeps the lease through a restore of the store. */
static void log_era(const sr_duties_t *duties)
{
	guint64 epoch = sr_lease_epoch(duties->lease);
	char detail[80];

	g_snprintf(detail, sizeof(detail),
		   "era %" G_GUINT64_FORMAT ", no claim for %" G_GINT64_FORMAT
		   " ms",
		   sr_lease_era(duties->lease),
		   epoch > 0 ? 0 : hold_off_time(duties) / SR_MSEC);
	log_event(duties, "duties-era", epoch, detail);
}

/* Other hosts believe the highest epoch. */
static void announce_epoch(const sr_duties_t *duties)
{
	guint64 epoch = sr_lease_epoch(duties->lease);

	if (epoch > 0)
		sr_fleet_announce_duty_holder(duties->options.fleet_state,
					      epoch);
}

/* Every renewal by a holder is reported, once a second; only a change of the
 * holder is logged. */
static void on_lease_event(void *user, sr_lease_event_t event, guint64 epoch,
			   const char *holder)
{
	sr_duties_t *duties = user;

	if (event == SR_LEASE_CHANGED && !duties->has_read) {
		duties->has_read = TRUE;
		restore_fleet(duties);
	}
	if (event == SR_LEASE_ERA_BEGAN) {
		log_era(duties);
	} else if (event != SR_LEASE_CHANGED) {
		log_event(duties, "duties-claim", epoch, claim_outcome(event));
		if (event == SR_LEASE_CLAIM_SUCCEEDED)
			announce_epoch(duties);
	} else if (epoch != duties->last_seen_epoch) {
		duties->last_seen_epoch = epoch;
		log_event(duties, "duties-seen", epoch, holder);
	}
}

static void on_payload_written(void *user, sr_err_t err)
{
	sr_duties_t *duties = user;

	sr_usage_reports_written(duties->reports, err == SR_OK);
}

static gboolean may_act(const sr_duties_t *duties)
{
	return sr_lease_is_held(duties->lease, current_time(duties),
				CALL_MARGIN);
}

static void write_windows(sr_duties_t *duties)
{
	const sr_usage_windows_t *usage =
		sr_fleet_usage(duties->options.fleet_state);
	gint64 unix_ms = sr_clock_unix_ms(duties->options.clock);
	GBytes *payload;

	if (!usage)
		return;
	payload = sr_usage_reports_close(duties->reports, usage, unix_ms);
	if (!payload && current_time(duties) >= duties->save_at)
		payload =
			sr_usage_reports_save(duties->reports, usage, unix_ms);
	if (!payload)
		return;
	payload = add_fleet(duties, payload);
	if (sr_lease_write(duties->lease, current_time(duties), payload) ==
	    SR_OK)
		duties->save_at = current_time(duties) + SAVE_INTERVAL;
	else
		sr_usage_reports_written(duties->reports, FALSE);
	g_bytes_unref(payload);
}

static void send_reports(sr_duties_t *duties)
{
	sr_usage_report_t report;

	while (sr_usage_reports_next(duties->reports, &report)) {
		const sr_duty_call_t call = {
			.epoch = sr_lease_epoch(duties->lease),
			.report = &report,
		};

		sr_fleet_announce_report(duties->options.fleet_state,
					 report.window);
		duties->options.call(duties->options.user, &call);
	}
}

static void order_instances(sr_duties_t *duties,
			    const sr_gateway_service_t *service)
{
	sr_fleet_plan_input_t input = {
		.service = service,
		.instances = sr_gateway_instances(duties->options.gateway),
	};
	sr_fleet_order_t order;

	input.is_work_known = sr_fleet_busy_instances(
		duties->options.fleet_state, service->name, &input.work);
	while (sr_fleet_plan_next(duties->plan, current_time(duties), &input,
				  &order)) {
		const sr_duty_call_t call = {
			.epoch = sr_lease_epoch(duties->lease),
			.order = &order,
		};
		char text[160];

		g_snprintf(text, sizeof(text), "%s in %s: %u%s, work %.2f%s",
			   order.service, order.failure_domain, order.desired,
			   order.reclaimable ? " reclaimable" : "", input.work,
			   input.is_work_known ? "" : " (not known)");
		log_event(duties, "ordered", call.epoch, text);
		duties->options.call(duties->options.user, &call);
	}
}

static void send_orders(sr_duties_t *duties)
{
	const sr_route_table_t *table =
		sr_gateway_table(duties->options.gateway);

	if (!table || !duties->options.orders_instances)
		return;
	for (guint i = 0; i < table->services->len; i++) {
		const sr_gateway_service_t *service = table->services->pdata[i];

		if (service->scaling &&
		    !sr_rollouts_blocks_orders(
			    sr_fleet_rollouts(duties->options.fleet_state),
			    service->name))
			order_instances(duties, service);
	}
}

static gboolean wants_lease(const sr_duties_t *duties)
{
	if (duties->is_stopping)
		return FALSE;
	if (sr_lease_is_held(duties->lease, current_time(duties), 0))
		return TRUE;
	/* A host that has just started has no other host in its member list and
	 * ranks first, so that it reads the leased object once. */
	return sr_fleet_rank(duties->options.fleet_state, SR_FLEET_DUTIES_KEY) <
	       CLAIMANTS;
}

static void on_tick(void *user)
{
	sr_duties_t *duties = user;

	duties->timer =
		sr_timer_start(duties->options.clock, TICK, on_tick, duties);
	sr_lease_set_wanted(duties->lease, wants_lease(duties));
	sr_lease_tick(duties->lease, current_time(duties));
	if (!may_act(duties))
		return;
	write_windows(duties);
	if (current_time(duties) >= duties->retry_at)
		send_reports(duties);
	send_orders(duties);
	sr_rollouts_perform(sr_fleet_rollouts(duties->options.fleet_state));
}

sr_duties_t *sr_duties_new(const sr_duties_options_t *options)
{
	sr_duties_t *duties = g_new0(sr_duties_t, 1);
	const sr_lease_options_t lease = {
		.store = options->store,
		.class = SR_STORE_LEASE,
		.key = options->key,
		.owner = sr_fleet_owner_id(options->fleet_state),
		.seed = options->seed,
		.duration = options->lease + LEASE_EXTRA,
		.has_eras = TRUE,
		.acquired = on_lease_acquired,
		.lost = on_lease_lost,
		.written = on_payload_written,
		.event_reported = on_lease_event,
		.user = duties,
	};
	const sr_usage_reports_options_t reports = {
		.window = options->usage_window,
		.settle = USAGE_SETTLE,
		.due = options->usage_due,
		.takeover_wait = USAGE_SETTLE,
		.due_margin = USAGE_MARGIN,
	};

	duties->options = *options;
	duties->lease = sr_lease_new(&lease);
	duties->reports = sr_usage_reports_new(&reports);
	duties->plan = sr_fleet_plan_new();
	sr_lease_defer_claims(duties->lease,
			      current_time(duties) + hold_off_time(duties));
	on_tick(duties);
	return duties;
}

void sr_duties_free(sr_duties_t *duties)
{
	if (!duties)
		return;
	sr_timer_cancel(duties->timer);
	sr_lease_free(duties->lease);
	sr_usage_reports_free(duties->reports);
	sr_fleet_plan_free(duties->plan);
	g_free(duties);
}

void sr_duties_report_answered(sr_duties_t *duties, guint64 window,
			       gboolean accepted)
{
	char text[40];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT " %s", window,
		   accepted ? "taken" : "not taken");
	log_event(duties, "usage-reported", sr_lease_epoch(duties->lease),
		  text);
	sr_usage_reports_sent(duties->reports, window, accepted);
	if (!accepted)
		duties->retry_at = current_time(duties) + RETRY_DELAY;
}

void sr_duties_order_answered(sr_duties_t *duties, const char *service,
			      const char *failure_domain, gboolean reclaimable,
			      gboolean accepted)
{
	if (!accepted)
		log_event(duties, "order-refused",
			  sr_lease_epoch(duties->lease), failure_domain);
	sr_fleet_plan_order_done(duties->plan, service, failure_domain,
				 reclaimable, accepted);
}

void sr_duties_release(sr_duties_t *duties)
{
	duties->is_stopping = TRUE;
	sr_lease_release(duties->lease, current_time(duties));
}
