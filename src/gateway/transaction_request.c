#include <string.h>

#include "base/token.h"
#include "gateway/transaction.h"

static gboolean find_route(sr_transaction_t *transaction)
{
	const sr_headers_t *headers = transaction->request->headers;
	const char *host = sr_headers_get(headers, "Host");
	char *authority = g_strndup(host, strcspn(host, ":"));
	char *path = g_strndup(transaction->request->target,
			       strcspn(transaction->request->target, "?"));

	transaction->route =
		sr_route_table_find_route(transaction->table, authority, path);
	g_free(authority);
	g_free(path);
	if (!transaction->route)
		return FALSE;
	transaction->service = sr_gateway_route_pick(
		transaction->route, g_rand_double(transaction->gateway->rng));
	return transaction->service != NULL;
}

/* TRUE if the route is public or the API key belongs to an account. */
static gboolean authenticate(sr_transaction_t *transaction)
{
	const sr_headers_t *headers = transaction->request->headers;
	const char *key;

	if (transaction->route->is_public || !transaction->table->requires_keys)
		return TRUE;
	if (sr_headers_count(headers, "Authorization") != 1)
		return FALSE;
	key = sr_token_from_header(sr_headers_get(headers, "Authorization"));
	if (key)
		transaction->account =
			sr_route_table_account_by_key(transaction->table, key);
	return transaction->account != NULL;
}

double sr_transaction_cost(const sr_transaction_t *transaction)
{
	const sr_gateway_account_t *account = transaction->account;
	const sr_prompt_parts_t *prompt = &transaction->prompt;

	if (!account->counts_tokens)
		return 1;
	return prompt->is_declared ?
		       prompt->prompt_tokens + prompt->output_tokens :
		       account->default_tokens;
}

sr_err_t sr_transaction_classify(sr_transaction_t *transaction)
{
	const sr_headers_t *headers = transaction->request->headers;
	const sr_dialect_t *dialect = transaction->gateway->options.dialect;

	transaction->id = sr_headers_get(headers, dialect->request_id);
	if (sr_headers_count(headers, dialect->request_id) != 1 ||
	    sr_headers_count(headers, "Host") != 1 ||
	    transaction->request->target[0] != '/')
		return SR_ERR_INVALID;
	if (!transaction->table)
		return SR_ERR_NO_UPSTREAM;
	if (!find_route(transaction))
		return SR_ERR_NOT_FOUND;
	if (!authenticate(transaction))
		return SR_ERR_UNAUTHENTICATED;
	return SR_OK;
}

void sr_transaction_read_last_event(sr_transaction_t *transaction)
{
	const char *name = transaction->gateway->options.dialect->last_event_id;
	const char *text =
		name ? sr_headers_get(transaction->request->headers, name) :
		       NULL;

	if (text && g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64,
					       &transaction->last_event, NULL))
		transaction->has_last_event = TRUE;
}
