#include "gateway/internal.h"

/** holder_t - what holds bytes of a response: a session that has not sent them,
 * or an attempt that waits for the rest */
typedef struct {
	sr_session_t *session; /* NULL for an attempt */
	sr_attempt_t *attempt; /* NULL for a session */
	gsize size;
} holder_t;

static void add(gsize *total, holder_t *largest, const holder_t *holder)
{
	*total += holder->size;
	if (holder->size > largest->size)
		*largest = *holder;
}

/* Returns the bytes of all responses. */
static gsize measure(sr_gateway_t *gateway, holder_t *largest)
{
	gsize total = 0;

	*largest = (holder_t){ 0 };
	sr_list_for_each (link, &gateway->sessions) {
		holder_t holder = { .session = sr_session_of_link(link) };

		holder.size = sr_session_unsent(holder.session);
		add(&total, largest, &holder);
	}
	sr_list_for_each (link, &gateway->transactions) {
		holder_t holder = { .attempt = sr_attempt_of_link(link) };

		if (!holder.attempt)
			continue;
		holder.size = sr_attempt_message(holder.attempt)->body->len;
		add(&total, largest, &holder);
	}
	return total;
}

static void end_holder(sr_gateway_t *gateway, const holder_t *holder,
		       gsize total)
{
	char size[24];
	char all[24];

	g_snprintf(size, sizeof(size), "%" G_GSIZE_FORMAT, holder->size);
	g_snprintf(all, sizeof(all), "%" G_GSIZE_FORMAT, total);
	sr_log_event(gateway->options.log, SR_LOG_WARN, "response-memory-full",
		     "ended", holder->session ? "connection" : "attempt",
		     "bytes", size, "all", all, NULL);
	if (holder->session)
		sr_session_free(holder->session);
	else
		sr_attempt_give_up(holder->attempt,
				   "the memory for responses is used up");
}

void sr_gateway_limit_response_memory(sr_gateway_t *gateway)
{
	holder_t largest;
	gsize total;

	while ((total = measure(gateway, &largest)) >
	       gateway->options.response_bytes)
		end_holder(gateway, &largest, total);
	sr_gauge_set(gateway->metrics.response_bytes, (double)total);
}
