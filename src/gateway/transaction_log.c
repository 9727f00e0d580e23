#include "gateway/transaction.h"

void sr_transaction_log_end(const sr_transaction_t *transaction,
			    const char *event, unsigned status,
			    const char *cause)
{
	const sr_gateway_t *gateway = transaction->gateway;
	const sr_instance_t *instance =
		transaction->attempt ?
			sr_attempt_instance(transaction->attempt) :
			NULL;
	char code[16];
	char sent[32];
	char elapsed[24];
	char table[24];
	char first[40]; /* actual/expected time to the first event, in ms */

	g_snprintf(first, sizeof(first), "%.1f/%.1f",
		   transaction->first_event_at > 0 ?
			   (double)(transaction->first_event_at -
				    transaction->sent_at) /
				   SR_MSEC :
			   0,
		   transaction->expected_first_event_s * 1000);
	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(sent, sizeof(sent), "%u+%u", transaction->n_sent,
		   transaction->n_unsent);
	g_snprintf(elapsed, sizeof(elapsed), "%.1f",
		   (double)(sr_transaction_now(transaction) -
			    transaction->started_at) /
			   SR_MSEC);
	g_snprintf(table, sizeof(table), "%" G_GUINT64_FORMAT,
		   transaction->table ? transaction->table->version : 0);
	sr_log_event(gateway->options.log, SR_LOG_INFO, event, "request",
		     transaction->id ? transaction->id : "", "route",
		     transaction->route ? transaction->route->name : "",
		     "account",
		     transaction->account ? transaction->account->name : "",
		     "status", code, "cause", cause, "instance",
		     instance ? instance->name : "", "version",
		     instance ? instance->version : "", "sent", sent, "ms",
		     elapsed, "first_ms", first, "table", table, NULL);
}

void sr_transaction_count_end(const sr_transaction_t *transaction,
			      unsigned status)
{
	const sr_gateway_metrics_t *metrics = &transaction->gateway->metrics;

	sr_counter_add(metrics->responses[MIN(status / 100, 5)], 1);
	sr_histogram_observe(metrics->duration,
			     (double)(sr_transaction_now(transaction) -
				      transaction->started_at) /
				     SR_SEC);
}

void sr_transaction_log_retry(const sr_transaction_t *transaction,
			      const sr_instance_t *instance, const char *cause)
{
	unsigned status =
		transaction->attempt ?
			sr_attempt_message(transaction->attempt)->status :
			0;
	char sent[16];
	char code[16];
	char last[24];

	g_snprintf(sent, sizeof(sent), "%u", transaction->n_sent);
	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(last, sizeof(last), "%" G_GUINT64_FORMAT,
		   transaction->last_event);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "retried",
		     "request", transaction->id, "instance",
		     instance ? instance->name : "", "cause", cause, "status",
		     code, "sent", sent, "last_event", last, NULL);
}

void sr_transaction_log_limited(const sr_transaction_t *transaction,
				double cost, sr_usec_t wait)
{
	const sr_gateway_account_t *account = transaction->account;
	char cost_text[24];
	char rate[24];
	char share[24];
	char seconds[24];

	g_snprintf(cost_text, sizeof(cost_text), "%.0f", cost);
	g_snprintf(rate, sizeof(rate), "%.0f", account->rate_per_s);
	g_snprintf(share, sizeof(share), "%.3f",
		   sr_allowance_share(transaction->gateway->allowance,
				      sr_transaction_now(transaction),
				      account->name));
	g_snprintf(seconds, sizeof(seconds), "%.2f", (double)wait / SR_SEC);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "limited",
		     "request", transaction->id, "account", account->name,
		     "amount", cost_text, "rate_per_s", rate, "share", share,
		     "wait_s", seconds, NULL);
}
