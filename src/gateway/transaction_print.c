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

static gboolean has_survived(const sr_transaction_t *transaction)
{
	return transaction->output_at > 0 &&
	       sr_transaction_now(transaction) - transaction->output_at >=
		       SURVIVAL_TIME;
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

void sr_transaction_report_cut(sr_transaction_t *transaction)
{
	log_cut(transaction);
	if (!has_survived(transaction))
		sr_gateway_check_instance(
			transaction->gateway,
			sr_attempt_instance(transaction->attempt),
			sr_transaction_print(transaction));
}
