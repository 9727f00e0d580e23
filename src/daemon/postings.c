#include "daemon/postings.h"

#include <string.h>

#include "daemon/postings_internal.h"

/* Interval of sr_journal_tick(). */
#define TICK_INTERVAL (10 * SR_MSEC)
/* Interval at which the wanted shards are updated from membership. */
#define MEMBERSHIP_CHECK_INTERVAL (200 * SR_MSEC)
/* Number of times a posting may be forwarded between entry hosts. */
#define MAX_HOPS 2

/* Submissions and their results */

char *sr_posting_id(const char *account, const char *key)
{
	return g_strdup_printf("%s\n%s", account, key);
}

sr_submission_t *sr_postings_find_submission(sr_postings_t *postings,
					     const char *account,
					     const char *key)
{
	char *id = sr_posting_id(account, key);
	sr_submission_t *found = NULL;

	sr_list_for_each (link, &postings->submissions) {
		sr_submission_t *submission =
			sr_list_entry(link, sr_submission_t, link);

		if (!submission->forwarded && !strcmp(submission->id, id)) {
			found = submission;
			break;
		}
	}
	g_free(id);
	return found;
}

static void free_submission(sr_submission_t *submission)
{
	sr_list_remove(&submission->link);
	sr_timer_cancel(submission->timer);
	sr_span_end(submission->span, NULL);
	g_clear_pointer(&submission->result.body, g_bytes_unref);
	g_free(submission->id);
	g_free(submission->detail);
	g_free(submission->content_type);
	g_free(submission);
}

static sr_submission_t *new_submission(sr_postings_t *postings,
				       const char *account, const char *key,
				       const char *traceparent)
{
	sr_submission_t *submission = g_new0(sr_submission_t, 1);

	submission->postings = postings;
	submission->id = sr_posting_id(account, key);
	sr_trace_start(postings->options.trace, traceparent,
		       &submission->context);
	sr_list_init(&submission->link);
	sr_list_append(&postings->submissions, &submission->link);
	return submission;
}

static void answer_peer(const sr_submission_t *submission)
{
	static const sr_forward_executed_t executed[] = {
		[SR_EXECUTED_NOT_RUN] = SR_FORWARD_NOT_RUN,
		[SR_EXECUTED_RUN] = SR_FORWARD_RUN,
		[SR_EXECUTED_UNKNOWN] = SR_FORWARD_UNKNOWN,
		[SR_EXECUTED_PENDING] = SR_FORWARD_PENDING,
	};
	const sr_posting_result_t *result = &submission->result;
	const sr_forward_result_t forward = {
		.err = result->err,
		.executed = executed[result->executed],
		.detail = result->detail,
		.status = result->status,
		.content_type = result->content_type,
		.body = result->body,
		.retry_after = result->retry_after,
	};

	sr_peer_answer(submission->request, &forward);
}

static void on_deliver(void *user)
{
	sr_submission_t *submission = user;

	submission->timer = NULL;
	if (submission->request)
		answer_peer(submission);
	else if (submission->done)
		submission->done(submission->user, &submission->result);
	free_submission(submission);
}

/* Copies the result and delivers it from the main loop. */
static void deliver(sr_submission_t *submission,
		    const sr_posting_result_t *result)
{
	g_assert(!submission->timer);
	submission->detail = g_strdup(result->detail);
	submission->content_type = g_strdup(result->content_type);
	submission->result = *result;
	submission->result.detail = submission->detail;
	submission->result.content_type = submission->content_type;
	if (result->body)
		submission->result.body = g_bytes_ref(result->body);
	submission->timer = sr_timer_start(submission->postings->options.clock,
					   0, on_deliver, submission);
}

/*
 * The journal of this host was not consulted. The result is "unknown" and not
 * "not run", since the submission may repeat a posting that has already run.
 */
static void refuse(sr_submission_t *submission, sr_err_t err,
		   sr_usec_t retry_after)
{
	const sr_posting_result_t result = {
		.err = err,
		.executed = SR_EXECUTED_UNKNOWN,
		.retry_after = retry_after,
	};

	deliver(submission, &result);
}

/* Callbacks of the journal */

static void deliver_result(sr_submission_t *submission,
			   const sr_journal_answer_t *answer)
{
	sr_posting_result_t result = {
		.executed = SR_EXECUTED_RUN,
		.status = answer->status,
	};
	sr_stored_result_t stored = { NULL, NULL };

	if (sr_stored_result_decode(answer->result, &stored) == SR_OK) {
		result.content_type = stored.content_type;
		result.body = stored.body;
	} else {
		result.err = SR_ERR_TOO_LARGE;
		result.detail =
			"the request ran, but its answer was too large to store";
	}
	deliver(submission, &result);
	sr_stored_result_clear(&stored);
}

static void on_answer(void *user, void *ticket,
		      const sr_journal_answer_t *answer)
{
	sr_submission_t *submission = ticket;
	sr_posting_result_t result = {
		.err = answer->err,
		.retry_after = answer->retry_after,
	};

	switch (answer->kind) {
	case SR_ANSWER_RESULT:
		deliver_result(submission, answer);
		return;
	case SR_ANSWER_ACCEPTED:
		result.executed = SR_EXECUTED_PENDING;
		break;
	case SR_ANSWER_NOT_RUN:
		result.executed = SR_EXECUTED_NOT_RUN;
		break;
	case SR_ANSWER_UNKNOWN:
		result.executed = SR_EXECUTED_UNKNOWN;
		break;
	}
	deliver(submission, &result);
}

static void on_wake_timer(void *user)
{
	sr_postings_t *postings = user;

	postings->wake_timer = NULL;
	sr_journal_tick(postings->journal,
			sr_clock_now(postings->options.clock));
}

/* The journal may not be called back from here; the timer calls it. */
static void on_wake(void *user)
{
	sr_postings_t *postings = user;

	if (!postings->wake_timer)
		postings->wake_timer = sr_timer_start(
			postings->options.clock, 0, on_wake_timer, postings);
}

static void on_tick(void *user)
{
	sr_postings_t *postings = user;
	sr_usec_t now = sr_clock_now(postings->options.clock);

	postings->tick_timer = sr_timer_start(postings->options.clock,
					      TICK_INTERVAL, on_tick, postings);
	if (now >= postings->next_membership_check) {
		postings->next_membership_check =
			now + MEMBERSHIP_CHECK_INTERVAL;
		sr_posting_update_wanted_shards(postings);
	}
	sr_journal_tick(postings->journal, now);
}

/* Local and forwarded submissions */

static void submit_locally(sr_submission_t *submission,
			   const sr_posting_t *posting)
{
	sr_postings_t *postings = submission->postings;
	const sr_stored_request_t stored = {
		.service = (char *)posting->service,
		.route = (char *)posting->route,
		.method = (char *)posting->method,
		.path = (char *)posting->path,
		.content_type = (char *)posting->content_type,
		.body = posting->body,
	};
	sr_journal_posting_t journal_posting = {
		.account = posting->account,
		.key = posting->key,
		.service = posting->service,
		.request = sr_stored_request_encode(&stored),
		.deadline = posting->deadline,
		.respond_async = posting->async,
		.ticket = submission,
	};

	sr_journal_submit(postings->journal,
			  sr_clock_now(postings->options.clock),
			  &journal_posting);
	g_bytes_unref(journal_posting.request);
}

static void on_forward_result(void *user, const sr_forward_result_t *forward)
{
	static const sr_executed_t executed[SR_FORWARD_N_EXECUTED] = {
		[SR_FORWARD_NOT_RUN] = SR_EXECUTED_NOT_RUN,
		[SR_FORWARD_RUN] = SR_EXECUTED_RUN,
		[SR_FORWARD_UNKNOWN] = SR_EXECUTED_UNKNOWN,
		[SR_FORWARD_PENDING] = SR_EXECUTED_PENDING,
	};
	sr_submission_t *submission = user;
	/* Not sent, but it may repeat a posting that has already run. */
	gboolean not_sent = forward->err == SR_ERR_HOME_UNREACHABLE;
	const sr_posting_result_t result = {
		.err = forward->err,
		.executed = not_sent ? SR_EXECUTED_UNKNOWN :
				       executed[forward->executed],
		.detail = forward->detail,
		.status = forward->status,
		.content_type = forward->content_type,
		.body = forward->body,
		.retry_after = forward->retry_after,
	};

	sr_span_end(submission->span,
		    forward->err ? sr_err_message(forward->err) : NULL);
	submission->span = NULL;
	deliver(submission, &result);
}

static void forward_to(sr_submission_t *submission, const sr_posting_t *posting,
		       const char *address, unsigned hops)
{
	const sr_postings_options_t *options = &submission->postings->options;
	char traceparent[SR_TRACEPARENT_SIZE];
	sr_trace_context_t context;
	const sr_forward_t forward = {
		.account = posting->account,
		.service = posting->service,
		.route = posting->route,
		.method = posting->method,
		.path = posting->path,
		.content_type = posting->content_type,
		.key = posting->key,
		.request_id = posting->request_id,
		.traceparent = traceparent,
		.body = posting->body,
		.time_left = posting->deadline - sr_clock_now(options->clock),
		.async = posting->async,
		.hops = hops + 1,
	};

	submission->forwarded = TRUE;
	submission->span = sr_span_begin(options->trace, &submission->context,
					 "forward", SR_SPAN_CLIENT, &context);
	sr_span_set(submission->span, "peer", address);
	sr_trace_format(&context, traceparent);
	sr_peer_forward(options->peer, address, &forward, on_forward_result,
			submission);
}

/* Submits to the journal of this host, or forwards to the owner. */
static void route_submission(sr_submission_t *submission,
			     const sr_posting_t *posting, unsigned hops)
{
	sr_postings_t *postings = submission->postings;
	const sr_account_config_t *account =
		postings->config ?
			sr_config_account(postings->config, posting->account) :
			NULL;
	unsigned shard = sr_journal_shard_index(posting->account, posting->key,
						SR_JOURNAL_N_SHARDS);
	gboolean is_home;
	char *address;

	if (!account) {
		refuse(submission, SR_ERR_NOT_FOUND, 0);
		return;
	}
	is_home = !strcmp(account->home, postings->options.failure_domain);
	if (is_home && sr_journal_is_held(postings->journal, shard)) {
		submit_locally(submission, posting);
		return;
	}
	address = sr_posting_find_owner(postings, account->home, shard);
	if (!address && !is_home)
		refuse(submission, SR_ERR_HOME_UNREACHABLE, 2 * SR_SEC);
	else if (!address || hops >= MAX_HOPS)
		refuse(submission, SR_ERR_NOT_OWNER, SR_SEC);
	else
		forward_to(submission, posting, address, hops);
	g_free(address);
}

void sr_postings_submit(sr_postings_t *postings, const sr_posting_t *posting)
{
	sr_submission_t *submission = new_submission(
		postings, posting->account, posting->key, posting->traceparent);

	submission->done = posting->done;
	submission->user = posting->user;
	route_submission(submission, posting, 0);
}

void sr_postings_submit_forwarded(sr_postings_t *postings,
				  sr_peer_request_t *request,
				  const sr_forward_t *forward)
{
	sr_submission_t *submission = new_submission(
		postings, forward->account, forward->key, forward->traceparent);
	GBytes *empty = g_bytes_new_static("", 0);
	const sr_posting_t posting = {
		.account = forward->account,
		.service = forward->service,
		.route = forward->route,
		.method = forward->method,
		.path = forward->path,
		.content_type = forward->content_type,
		.key = forward->key,
		.request_id = forward->request_id,
		.traceparent = forward->traceparent,
		.body = forward->body ? forward->body : empty,
		.deadline = sr_clock_now(postings->options.clock) +
			    forward->time_left,
		.async = forward->async,
	};

	submission->request = request;
	route_submission(submission, &posting, forward->hops);
	g_bytes_unref(empty);
}

void sr_postings_abandon(sr_postings_t *postings, void *user)
{
	sr_list_for_each_safe (link, &postings->submissions) {
		sr_submission_t *submission =
			sr_list_entry(link, sr_submission_t, link);

		if (submission->request || submission->user != user)
			continue;
		if (submission->forwarded)
			sr_peer_cancel_calls(postings->options.peer,
					     submission);
		else
			sr_journal_abandon(postings->journal, submission);
		free_submission(submission);
	}
}

/* Creation, shutdown and destruction */

static void create_journal(sr_postings_t *postings)
{
	const sr_postings_options_t *options = &postings->options;
	const sr_journal_options_t journal = {
		.store = options->store,
		.node = options->node,
		.home = options->failure_domain,
		.n_shards = SR_JOURNAL_N_SHARDS,
		.seed = options->seed,
		.lease = options->lease ? options->lease : SR_JOURNAL_LEASE,
		.retention = options->retention ? options->retention :
						  SR_JOURNAL_RETENTION,
		.write_interval = SR_JOURNAL_WRITE_INTERVAL,
		.ring_slots = SR_JOURNAL_RING_SLOTS,
		.max_entries = SR_JOURNAL_MAX_ENTRIES,
		.max_bytes = SR_JOURNAL_MAX_BYTES,
		.run = sr_posting_run,
		.answer = on_answer,
		.query_outcome = sr_posting_query_outcome,
		.may_be_displaced = sr_posting_may_be_displaced,
		.owner_changed = sr_posting_owner_changed,
		.wake = on_wake,
		.user = postings,
	};

	postings->journal = sr_journal_new(&journal);
}

sr_postings_t *sr_postings_new(const sr_postings_options_t *options)
{
	sr_postings_t *postings = g_new0(sr_postings_t, 1);

	postings->options = *options;
	postings->options.node = g_strdup(options->node);
	postings->options.failure_domain = g_strdup(options->failure_domain);
	sr_list_init(&postings->submissions);
	sr_list_init(&postings->runs);
	create_journal(postings);
	/* Shards are claimed 1 s later, once members have been discovered. */
	postings->next_membership_check = sr_clock_now(options->clock);
	if (options->gossip)
		postings->next_membership_check += SR_SEC;
	postings->tick_timer = sr_timer_start(options->clock, TICK_INTERVAL,
					      on_tick, postings);
	return postings;
}

void sr_postings_free(sr_postings_t *postings)
{
	if (!postings)
		return;
	sr_timer_cancel(postings->tick_timer);
	sr_timer_cancel(postings->wake_timer);
	sr_posting_runs_free(postings);
	sr_list_for_each_safe (link, &postings->submissions) {
		sr_submission_t *submission =
			sr_list_entry(link, sr_submission_t, link);

		if (submission->forwarded)
			sr_peer_cancel_calls(postings->options.peer,
					     submission);
		else
			sr_journal_abandon(postings->journal, submission);
		free_submission(submission);
	}
	sr_journal_free(postings->journal);
	sr_config_unref(postings->config);
	g_free((char *)postings->options.node);
	g_free((char *)postings->options.failure_domain);
	g_free(postings);
}

void sr_postings_set_config(sr_postings_t *postings, sr_config_t *config)
{
	sr_config_ref(config);
	sr_config_unref(postings->config);
	postings->config = config;
}

void sr_postings_release(sr_postings_t *postings, sr_usec_t deadline)
{
	sr_journal_release(postings->journal,
			   sr_clock_now(postings->options.clock), deadline);
}

gboolean sr_postings_is_released(const sr_postings_t *postings)
{
	return sr_journal_is_released(postings->journal);
}

sr_journal_t *sr_postings_journal(sr_postings_t *postings)
{
	return postings->journal;
}
