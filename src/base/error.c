#include "base/error.h"

#include <glib.h>

typedef struct {
	sr_err_t err;
	unsigned http_status;
	const char *name;
	const char *message;
	const char *remedy;
} error_info_t;

static const error_info_t error_infos[] = {
	{ SR_OK, 200, "ok", "no error", "nothing to do" },
	{ SR_ERR_INVALID, 400, "invalid", "the request is not valid",
	  "correct the part that the detail names and send it again" },
	{ SR_ERR_TOO_LARGE, 413, "too-large",
	  "the request exceeds a size limit",
	  "send a smaller request, or ask the operator to raise the limit" },
	{ SR_ERR_UNAUTHENTICATED, 401, "unauthenticated",
	  "the bearer token is missing or unknown",
	  "send a token of a configured client account" },
	{ SR_ERR_FORBIDDEN, 403, "forbidden",
	  "the account may not use this service",
	  "ask the operator to grant the account access" },
	{ SR_ERR_NOT_FOUND, 404, "not-found",
	  "no such service, route or object",
	  "check the path against the configuration in force" },
	{ SR_ERR_CONFLICT, 409, "conflict", "another change was accepted first",
	  "fetch the newer generation, merge, and apply again" },
	{ SR_ERR_KEY_REUSED, 422, "key-reused",
	  "this idempotency key was used with another body",
	  "use a new key for a new request" },
	{ SR_ERR_OVERLOADED, 503, "overloaded",
	  "the service cannot answer within the deadline",
	  "retry after the given delay" },
	{ SR_ERR_ACCOUNT_LIMIT, 429, "account-limit",
	  "the client account has used up its allowance",
	  "retry after the given delay, or ask for a larger allowance" },
	{ SR_ERR_DEADLINE, 504, "deadline",
	  "the deadline passed or cannot be met",
	  "retry with a longer deadline; see executed for what ran" },
	{ SR_ERR_NO_UPSTREAM, 503, "no-upstream",
	  "no upstream of the service is available",
	  "retry after the given delay" },
	{ SR_ERR_UPSTREAM_FAILED, 502, "upstream-failed", "the upstream failed",
	  "retry if executed is not-run or the request is idempotent" },
	{ SR_ERR_OUTCOME_UNKNOWN, 502, "outcome-unknown",
	  "the request may have run; its outcome is not known",
	  "do not resend it under a new key; query the same key later" },
	{ SR_ERR_PLATFORM, 503, "platform",
	  "the platform's object API is unavailable",
	  "retry after the given delay; reads and model calls still work" },
	{ SR_ERR_NOT_OWNER, 503, "not-owner",
	  "this host does not own the key's journal shard",
	  "retry after the given delay; another host takes over" },
	{ SR_ERR_HOME_UNREACHABLE, 503, "home-unreachable",
	  "the account's home failure domain cannot be reached",
	  "retry after the given delay, or call the home failure domain" },
	{ SR_ERR_DRAINING, 503, "draining", "this host is shutting down",
	  "retry at once through the load balancer" },
	{ SR_ERR_STALE_FENCE, 409, "stale-fence",
	  "a newer owner holds the object",
	  "stop using the old epoch and read the object again" },
	{ SR_ERR_IO, 502, "io", "the connection failed",
	  "check that the peer runs and can be reached" },
	{ SR_ERR_PROTOCOL, 502, "protocol", "the peer violated the protocol",
	  "check that both sides run compatible versions" },
	{ SR_ERR_CANCELLED, 499, "cancelled", "the caller disconnected",
	  "none needed" },
	{ SR_ERR_HEAD_TOO_LARGE, 431, "head-too-large",
	  "the request header exceeds the size limit",
	  "send fewer or shorter header fields" },
	{ SR_ERR_CALLER_TIMEOUT, 408, "caller-timeout",
	  "the request did not arrive in time",
	  "send the whole request without a pause" },
	{ SR_ERR_QUARANTINED, 503, "quarantined",
	  "instances have ended under requests like this one",
	  "change the request; one like it is tried again after the given "
	  "delay" },
	{ SR_ERR_UNREACHED, 421, "unreached",
	  "this host reaches no instance of the service",
	  "pass the request on to another host" },
};

static const error_info_t *find_info(sr_err_t err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(error_infos); i++) {
		if (error_infos[i].err == err)
			return &error_infos[i];
	}
	g_assert_not_reached();
}

const char *sr_err_name(sr_err_t err)
{
	return find_info(err)->name;
}

const char *sr_err_message(sr_err_t err)
{
	return find_info(err)->message;
}

const char *sr_err_remedy(sr_err_t err)
{
	return find_info(err)->remedy;
}

unsigned sr_err_http_status(sr_err_t err)
{
	return find_info(err)->http_status;
}
