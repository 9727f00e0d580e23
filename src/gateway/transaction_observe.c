#include "gateway/transaction.h"

/** Time after which a response that isn't complete shows its speed. */
#define INCOMPLETE_TIME (2 * SR_SEC)

/* While a service is moved to another version. */
static void count_by_version(sr_gateway_t *gateway,
			     const sr_observation_t *observation)
{
	static const char *const outcomes[] = {
		[SR_OUTCOME_ANSWERED] = "answered",
		[SR_OUTCOME_FAILED] = "failed",
		[SR_OUTCOME_CONNECTION_ERROR] = "connection-error",
	};
	char *labels =
		sr_metrics_labels("service", observation->service, "version",
				  observation->version, "outcome",
				  outcomes[observation->outcome], NULL);

	sr_counter_add(sr_metrics_counter(
			       gateway->options.metrics,
			       "sassafras_gateway_version_attempts_total",
			       "attempts by version, while an order to move "
			       "the service is known",
			       labels),
		       1);
	g_free(labels);
}

static void pass_on(sr_gateway_t *gateway, const sr_observation_t *observation)
{
	if (gateway->options.attempt_observed)
		gateway->options.attempt_observed(gateway->options.user,
						  observation);
	if (sr_gateway_service_state(gateway, observation->service)->trial)
		count_by_version(gateway, observation);
}

/** held_failure_t - a failure that may have been that of the path */
typedef struct {
	sr_blame_t blame;
	sr_gateway_t *gateway;
	sr_observation_t observation; /* with strings of its own */
} held_failure_t;

static void on_decided(void *user, gboolean is_instance)
{
	held_failure_t *held = user;

	if (is_instance)
		pass_on(held->gateway, &held->observation);
	g_free((char *)held->observation.service);
	g_free((char *)held->observation.version);
	g_free((char *)held->observation.route);
	g_free((char *)held->observation.upstream);
	g_free((char *)held->observation.failure_domain);
	g_free(held);
}

static void hold(sr_gateway_t *gateway, const sr_instance_t *instance,
		 const sr_observation_t *observation)
{
	held_failure_t *held = g_new0(held_failure_t, 1);

	held->gateway = gateway;
	held->observation = *observation;
	held->observation.service = g_strdup(observation->service);
	held->observation.version = g_strdup(observation->version);
	held->observation.route = g_strdup(observation->route);
	held->observation.upstream = g_strdup(observation->upstream);
	held->observation.failure_domain =
		g_strdup(observation->failure_domain);
	held->blame.decided = on_decided;
	held->blame.user = held;
	sr_gateway_decide_blame(gateway, instance, &held->blame);
}

/* has_response: the instance itself has shown that it failed, or how fast it
 * is. */
static void observe(sr_transaction_t *transaction, sr_outcome_t outcome,
		    sr_usec_t latency, gboolean has_response)
{
	const sr_instance_t *instance =
		sr_attempt_instance(transaction->attempt);
	const sr_observation_t observation = {
		.service = transaction->service,
		.version = instance->version,
		.route = transaction->route->name,
		.upstream = instance->name,
		.failure_domain = instance->failure_domain,
		.outcome = outcome,
		.first_byte = latency,
	};

	if (sr_attempt_is_relay(transaction->attempt))
		return; /* observed by the other host */
	if (has_response)
		pass_on(transaction->gateway, &observation);
	else
		hold(transaction->gateway, instance, &observation);
	transaction->is_observed = TRUE;
}

/* Time of the response, for a stream by the number of its events. Without the
 * time that reading the prompt is expected to take: a new instance has none of
 * it cached. */
static sr_usec_t observed_latency(const sr_transaction_t *transaction)
{
	sr_usec_t elapsed =
		sr_transaction_now(transaction) - transaction->sent_at;
	sr_usec_t expected =
		(sr_usec_t)(transaction->expected_first_event_s * SR_SEC);

	if (transaction->route->kind != SR_ROUTE_STREAM)
		return elapsed;
	return MAX(elapsed - expected, 0) / MAX(transaction->n_events, 1);
}

/* An instance is slow for a while after its start, whatever its version. */
static void observe_speed(sr_transaction_t *transaction)
{
	const sr_instance_t *instance =
		sr_attempt_instance(transaction->attempt);

	if (!transaction->is_observed &&
	    instance->cold_until <= transaction->sent_at)
		observe(transaction, SR_OUTCOME_ANSWERED,
			observed_latency(transaction),
			sr_attempt_message(transaction->attempt)
				->headers_complete);
}

void sr_transaction_observe_end(sr_transaction_t *transaction,
				sr_attempt_outcome_t outcome)
{
	switch (outcome) {
	case SR_ATTEMPT_ANSWERED:
		observe_speed(transaction);
		break;
	case SR_ATTEMPT_FAILED:
		observe(transaction, SR_OUTCOME_FAILED, 0, TRUE);
		break;
	case SR_ATTEMPT_NOT_SENT:
	case SR_ATTEMPT_BROKEN:
	case SR_ATTEMPT_TRUNCATED:
		observe(transaction, SR_OUTCOME_CONNECTION_ERROR, 0, FALSE);
		break;
	case SR_ATTEMPT_REJECTED:
		break;
	}
}

void sr_transaction_observe_deadline(sr_transaction_t *transaction)
{
	if (transaction->attempt && sr_attempt_is_sent(transaction->attempt) &&
	    !transaction->is_observed)
		observe(transaction, SR_OUTCOME_FAILED, 0, FALSE);
}

sr_attempt_t *sr_attempt_of_link(sr_list_t *link)
{
	return sr_list_entry(link, sr_transaction_t, link)->attempt;
}

void sr_transactions_sweep(sr_gateway_t *gateway)
{
	sr_list_for_each_safe (link, &gateway->transactions) {
		sr_transaction_t *transaction =
			sr_list_entry(link, sr_transaction_t, link);

		sr_transaction_observe_incomplete(transaction);
		sr_transaction_check_path(transaction);
	}
}

void sr_transaction_observe_incomplete(sr_transaction_t *transaction)
{
	if (transaction->attempt && sr_attempt_is_sent(transaction->attempt) &&
	    sr_transaction_now(transaction) - transaction->sent_at >=
		    INCOMPLETE_TIME)
		observe_speed(transaction);
}
