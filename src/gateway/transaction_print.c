#include "gateway/transaction.h"

/** An instance whose output on a request has gone on for so long was not ended
 * by the request. */
#define SURVIVAL_TIME SR_SEC

const sr_request_print_t *sr_transaction_print(sr_transaction_t *transaction)
{
	const sr_message_t *request = transaction->request;
	const sr_request_source_t source = {
		.method = request->method,
		.target = request->target,
		.account = transaction->account ? transaction->account->name :
						  NULL,
		.body = request->body->data,
		.size = request->body->len,
	};

	if (transaction->print)
		return transaction->print;
	transaction->print = g_new0(sr_request_print_t, 1);
	transaction->print->request = sr_request_print_whole(&source);
	if (transaction->prompt.parts)
		sr_request_print_set_parts(transaction->print,
					   transaction->prompt.parts,
					   transaction->prompt.n_blocks);
	return transaction->print;
}

static const char *progress(const sr_transaction_t *transaction)
{
	if (transaction->output_at > 0)
		return "output";
	return sr_attempt_message(transaction->attempt)->headers_complete ?
		       "head" :
		       "sent";
}

static void log_cut(sr_transaction_t *transaction)
{
	const sr_request_print_t *print = sr_transaction_print(transaction);
	GString *parts = g_string_new(NULL);
	char text[SR_REQUEST_PRINT_TEXT_SIZE];
	char elapsed[24];

	for (unsigned i = 0; i < print->n_parts; i++) {
		sr_request_print_format(print->parts[i], text);
		g_string_append_printf(parts, "%s%s", i > 0 ? "," : "", text);
	}
	sr_request_print_format(print->request, text);
	g_snprintf(elapsed, sizeof(elapsed), "%.1f",
		   (double)(sr_transaction_now(transaction) -
			    transaction->sent_at) /
			   SR_MSEC);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO, "cut-off",
		     "request", transaction->id, "instance",
		     sr_attempt_instance(transaction->attempt)->name,
		     "progress", progress(transaction), "sent_ms", elapsed,
		     "fingerprint", text, "parts", parts->str, NULL);
	g_string_free(parts, TRUE);
}

static void check_instance(sr_transaction_t *transaction, gboolean is_answered)
{
	const sr_crash_request_t request = {
		.print = *sr_transaction_print(transaction),
		.has_begun = sr_attempt_message(transaction->attempt)
				     ->headers_complete,
	};

	sr_gateway_check_instance(transaction->gateway,
				  sr_attempt_instance(transaction->attempt),
				  &request, is_answered);
}

void sr_transaction_report_cut(sr_transaction_t *transaction)
{
	log_cut(transaction);
	if (!transaction->has_survived)
		check_instance(transaction, FALSE);
}

static void survive(sr_transaction_t *transaction, gboolean with_parts)
{
	transaction->has_survived = TRUE;
	sr_gateway_instance_answered(transaction->gateway,
				     sr_attempt_instance(transaction->attempt));
	sr_gateway_request_survived(transaction->gateway,
				    sr_transaction_print(transaction),
				    with_parts);
}

/* A response without a length ends alike whether it is complete or the instance
 * has ended. A failure says nothing of parts: their answer was not begun. */
void sr_transaction_report_answer(sr_transaction_t *transaction)
{
	const sr_message_t *response = sr_attempt_message(transaction->attempt);
	gboolean succeeded = response->status < 300;

	if (!response->ends_at_close)
		survive(transaction, succeeded);
	else if (succeeded &&
		 sr_crash_suspects_size(transaction->gateway->suspects) > 0)
		check_instance(transaction, TRUE);
}

void sr_transaction_report_output(sr_transaction_t *transaction)
{
	if (!transaction->has_survived &&
	    sr_transaction_now(transaction) - transaction->output_at >=
		    SURVIVAL_TIME)
		survive(transaction, TRUE);
}

static void log_quarantined(const sr_transaction_t *transaction,
			    const sr_quarantine_t *reason,
			    sr_crash_verdict_t verdict)
{
	char fingerprint[SR_REQUEST_PRINT_TEXT_SIZE];
	char strikes[16];
	char wait[24];

	sr_request_print_format(reason->fingerprint, fingerprint);
	g_snprintf(strikes, sizeof(strikes), "%u", reason->n_strikes);
	g_snprintf(wait, sizeof(wait), "%.2f",
		   (double)(reason->next_probe_at -
			    sr_transaction_now(transaction)) /
			   SR_SEC);
	sr_log_event(transaction->gateway->options.log, SR_LOG_INFO,
		     verdict == SR_CRASH_PROBE ? "quarantine-probe" :
						 "quarantined",
		     "request", transaction->id, "fingerprint", fingerprint,
		     "ended", strikes, "next_probe_s", wait, NULL);
}

gboolean sr_transaction_is_quarantined(sr_transaction_t *transaction,
				       sr_usec_t *retry_after)
{
	sr_gateway_t *gateway = transaction->gateway;
	sr_usec_t now = sr_transaction_now(transaction);
	sr_crash_verdict_t verdict;
	sr_quarantine_t reason;

	if (sr_crash_suspects_n_quarantined(gateway->suspects) == 0)
		return FALSE;
	if (transaction->is_probe &&
	    transaction->n_sent + transaction->n_unsent == 0)
		return FALSE;
	verdict = sr_crash_suspects_judge(gateway->suspects, now,
					  sr_transaction_print(transaction),
					  &reason);
	if (verdict == SR_CRASH_ALLOWED)
		return FALSE;
	log_quarantined(transaction, &reason, verdict);
	if (verdict == SR_CRASH_PROBE) {
		transaction->is_probe = TRUE;
		sr_counter_add(gateway->metrics.probes, 1);
		return FALSE;
	}
	sr_counter_add(gateway->metrics.quarantined_requests, 1);
	*retry_after = reason.next_probe_at - now;
	return TRUE;
}
