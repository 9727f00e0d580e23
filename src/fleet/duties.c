#include "fleet/duties.h"

#include "core/lease.h"

/** Period in which what is due is looked at. */
#define TICK (200 * SR_MSEC)

/** A call to the platform takes at most this long; the lease has to hold for
 * longer when it is sent. */
#define CALL_MARGIN (1100 * SR_MSEC)

/** A lease is this much longer than the time in which the duties must not
 * return to a host. */
#define LEASE_EXTRA SR_SEC

/** Time for the counts of a window to come in from the other hosts: they are
 * told once a second and spread within another. */
#define USAGE_SETTLE (3 * SR_SEC)

/** A report takes a write and a call, each at most a call's time, and a tick
 * between them. */
#define USAGE_MARGIN (2 * CALL_MARGIN + TICK)

/** Period in which the open windows are written; each write renews the lease.
 * A tick more is still below the period of renewals, which would come first
 * and leave no room for it. */
#define USAGE_SAVE (700 * SR_MSEC)

/** Live hosts that want the lease: the holder and who follows it. */
#define CLAIMANTS 2

/** A report or order that was not taken is sent again after this. */
#define RETRY_DELAY (500 * SR_MSEC)

struct sr_duties {
	sr_duties_options_t options;
	sr_lease_t *lease;
	sr_usage_reports_t *reports;
	sr_fleet_plan_t *plan;
	sr_timer_t *timer;
	guint64 seen_epoch; /* of the holder that was seen last */
	sr_usec_t retry_at;
	sr_usec_t save_at; /* the open windows are written again */
	gboolean stopping;
};

static sr_usec_t now_of(const sr_duties_t *duties)
{
	return sr_clock_now(duties->options.clock);
}

static void log_duty(const sr_duties_t *duties, const char *event,
		     guint64 epoch, const char *detail)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, epoch);
	sr_log_event(duties->options.log, SR_LOG_INFO, event, "epoch", text,
		     "detail", detail, NULL);
}

/* Time in which the duties must not come back to a host that had them. */
static sr_usec_t hold_off(const sr_duties_t *duties)
{
	return duties->options.lease + LEASE_EXTRA;
}

/* Since when the counts come in here, by the wall clock. */
static gint64 told_since_ms(const sr_duties_t *duties)
{
	return sr_clock_unix_ms(duties->options.clock) -
	       sr_beliefs_usage_told_for(duties->options.beliefs) / SR_MSEC;
}

static void on_acquired(void *user, guint64 epoch, GBytes *payload)
{
	sr_duties_t *duties = user;
	sr_usage_windows_t *usage = sr_beliefs_usage(duties->options.beliefs);
	char text[80];

	g_snprintf(text, sizeof(text),
		   "payload %" G_GSIZE_FORMAT
		   " bytes, told for %" G_GINT64_FORMAT " ms",
		   payload ? g_bytes_get_size(payload) : 0,
		   sr_beliefs_usage_told_for(duties->options.beliefs) /
			   SR_MSEC);
	log_duty(duties, "duties-taken", epoch, text);
	sr_beliefs_announce_holder(duties->options.beliefs, epoch);
	if (usage)
		sr_usage_reports_load(duties->reports, payload, usage,
				      told_since_ms(duties));
	sr_fleet_plan_reset_orders(duties->plan);
}

static void on_lost(void *user)
{
	sr_duties_t *duties = user;

	log_duty(duties, "duties-lost", 0, sr_lease_holder(duties->lease));
	sr_lease_defer_claims(duties->lease, now_of(duties) + hold_off(duties));
}

static const char *claim_outcome(sr_lease_event_t note)
{
	switch (note) {
	case SR_LEASE_CHANGED:
		break;
	case SR_LEASE_CLAIM_SENT:
		return "sent";
	case SR_LEASE_CLAIM_SUCCEEDED:
		return "taken";
	case SR_LEASE_CLAIM_CONFLICT:
		return "another was faster";
	case SR_LEASE_CLAIM_UNKNOWN:
		return "reply lost";
	case SR_LEASE_CLAIM_NOT_DONE:
		return "not written";
	}
	return "";
}

/* Renewals of a holder are seen once a second; only another holder is news. */
static void on_noted(void *user, sr_lease_event_t note, guint64 epoch,
		     const char *holder)
{
	sr_duties_t *duties = user;

	if (note != SR_LEASE_CHANGED) {
		log_duty(duties, "duties-claim", epoch, claim_outcome(note));
	} else if (epoch != duties->seen_epoch) {
		duties->seen_epoch = epoch;
		log_duty(duties, "duties-seen", epoch, holder);
	}
}

static void on_written(void *user, sr_err_t err)
{
	sr_duties_t *duties = user;

	sr_usage_reports_written(duties->reports, err == SR_OK);
}

static gboolean may_act(const sr_duties_t *duties)
{
	return sr_lease_is_held(duties->lease, now_of(duties), CALL_MARGIN);
}

static void write_windows(sr_duties_t *duties)
{
	const sr_usage_windows_t *usage =
		sr_beliefs_usage(duties->options.beliefs);
	gint64 unix_ms = sr_clock_unix_ms(duties->options.clock);
	GBytes *payload;

	if (!usage)
		return;
	payload = sr_usage_reports_close(duties->reports, usage, unix_ms);
	if (!payload && now_of(duties) >= duties->save_at)
		payload =
			sr_usage_reports_save(duties->reports, usage, unix_ms);
	if (!payload)
		return;
	if (sr_lease_write(duties->lease, now_of(duties), payload) == SR_OK)
		duties->save_at = now_of(duties) + USAGE_SAVE;
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

		duties->options.call(duties->options.user, &call);
	}
}

static void order_for(sr_duties_t *duties, const sr_gateway_service_t *service)
{
	const sr_fleet_plan_input_t facts = {
		.service = service,
		.instances = sr_gateway_instances(duties->options.gateway),
		.work = sr_beliefs_work(duties->options.beliefs, service->name),
	};
	sr_fleet_order_t order;

	while (sr_fleet_plan_next(duties->plan, now_of(duties), &facts,
				  &order)) {
		const sr_duty_call_t call = {
			.epoch = sr_lease_epoch(duties->lease),
			.order = &order,
		};
		char text[160];

		g_snprintf(text, sizeof(text), "%s in %s: %u%s, work %.2f",
			   order.service, order.failure_domain, order.desired,
			   order.reclaimable ? " reclaimable" : "", facts.work);
		log_duty(duties, "ordered", call.epoch, text);
		duties->options.call(duties->options.user, &call);
	}
}

static void give_orders(sr_duties_t *duties)
{
	const sr_route_table_t *table =
		sr_gateway_table(duties->options.gateway);

	if (!table || !duties->options.orders_instances)
		return;
	for (guint i = 0; i < table->services->len; i++) {
		const sr_gateway_service_t *service = table->services->pdata[i];

		if (service->scaling)
			order_for(duties, service);
	}
}

static gboolean wants_lease(const sr_duties_t *duties)
{
	if (duties->stopping)
		return FALSE;
	if (sr_lease_is_held(duties->lease, now_of(duties), 0))
		return TRUE;
	/* a host that starts knows no other, so that it reads the object once
	 */
	return sr_beliefs_rank(duties->options.beliefs, SR_BELIEFS_DUTIES) <
	       CLAIMANTS;
}

static void on_tick(void *user)
{
	sr_duties_t *duties = user;

	duties->timer =
		sr_timer_start(duties->options.clock, TICK, on_tick, duties);
	sr_lease_set_wanted(duties->lease, wants_lease(duties));
	sr_lease_tick(duties->lease, now_of(duties));
	if (!may_act(duties))
		return;
	write_windows(duties);
	if (now_of(duties) >= duties->retry_at)
		send_reports(duties);
	give_orders(duties);
}

sr_duties_t *sr_duties_new(const sr_duties_options_t *options)
{
	sr_duties_t *duties = g_new0(sr_duties_t, 1);
	const sr_lease_options_t lease = {
		.store = options->store,
		.class = SR_STORE_LEASE,
		.key = options->key,
		.owner = sr_beliefs_owner_name(options->beliefs),
		.seed = options->seed,
		.duration = options->lease + LEASE_EXTRA,
		.acquired = on_acquired,
		.lost = on_lost,
		.written = on_written,
		.event_reported = on_noted,
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
	sr_lease_defer_claims(duties->lease, now_of(duties) + hold_off(duties));
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

void sr_duties_reported(sr_duties_t *duties, guint64 window, gboolean taken)
{
	char text[40];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT " %s", window,
		   taken ? "taken" : "not taken");
	log_duty(duties, "usage-reported", sr_lease_epoch(duties->lease), text);
	sr_usage_reports_sent(duties->reports, window, taken);
	if (!taken)
		duties->retry_at = now_of(duties) + RETRY_DELAY;
}

void sr_duties_ordered(sr_duties_t *duties, const char *service,
		       const char *failure_domain, gboolean reclaimable,
		       gboolean taken)
{
	if (!taken)
		log_duty(duties, "order-refused", sr_lease_epoch(duties->lease),
			 failure_domain);
	sr_fleet_plan_order_done(duties->plan, service, failure_domain,
				 reclaimable, taken);
}

void sr_duties_release(sr_duties_t *duties)
{
	duties->stopping = TRUE;
	sr_lease_release(duties->lease, now_of(duties));
}
