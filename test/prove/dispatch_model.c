#include "prove.h"

#include <string.h>

#include "../config_builder.h"
#include "core/dispatch.h"

/*
 * One dispatcher under random calls, attempt results, notices, host lists,
 * recalls, load reports, cache events and configurations. The oracle counts
 * the calls in flight by upstream and account and checks that each request is
 * sent only to an upstream that may receive it.
 */

#define N_UPSTREAMS 6 /* three of each version */
#define N_VERSIONS 2
#define N_ACCOUNTS 3
#define MAX_CALLS 64
#define UPSTREAM_SLOTS 4 /* configured slots of each upstream */
#define ACCOUNT_LIMIT 3	 /* calls in flight of the last account */
#define N_COMMANDS 200
/* Operand of begin_call(): a lookup with a deadline of ten seconds. */
#define FLOOD_CALL 39

typedef struct {
	sr_call_t *call; /* NULL if the slot is free */
	unsigned upstream;
	unsigned account;
	unsigned tried; /* bit mask of upstreams */
	gboolean idempotent;
	gboolean ended; /* no further attempt; only finish may follow */
	sr_usec_t deadline;
} slot_t;

typedef struct {
	sr_dispatch_t *dispatch;
	sr_config_t *config;
	sr_service_config_t *service;
	sr_usec_t now;
	slot_t slots[MAX_CALLS];
	unsigned in_flight[N_UPSTREAMS];
	unsigned account_in_flight[N_ACCOUNTS];
	gboolean leaving[N_UPSTREAMS];
	gboolean present[N_UPSTREAMS];
	gboolean recalled[N_VERSIONS];
	double share[N_VERSIONS];
	guint64 sequence[N_UPSTREAMS]; /* of the last cache event */
	char *violation;
} model_t;

static const char *const upstream_names[N_UPSTREAMS] = { "u0", "u1", "u2",
							 "u3", "u4", "u5" };
static const char *const version_names[N_VERSIONS] = { "v0", "v1" };
static const char *const account_names[N_ACCOUNTS] = { "a0", "a1", "a2" };

static void fail(model_t *model, const char *what, unsigned detail)
{
	if (!model->violation)
		model->violation = g_strdup_printf("%s (%u)", what, detail);
}

static void *model_new(guint64 seed)
{
	const sr_dispatch_options_t options = { .failure_domain = "d0",
						.seed = seed };
	model_t *model = g_new0(model_t, 1);

	model->config = config_builder_new(1);
	model->service =
		config_builder_service(model->config, "s", SR_SERVICE_MODEL);
	for (int i = 0; i < N_VERSIONS; i++) {
		model->share[i] = 0.5;
		config_builder_version(model->service, version_names[i], 0.5,
				       0);
	}
	for (int i = 0; i < SR_N_PRIORITIES; i++)
		config_builder_route(model->service, "r", (sr_priority_t)i,
				     10 * SR_SEC);
	for (int i = 0; i < N_ACCOUNTS; i++)
		config_builder_account(model->config, account_names[i], 1)
			->in_flight = i == N_ACCOUNTS - 1 ? ACCOUNT_LIMIT : 0;
	for (int i = 0; i < N_UPSTREAMS; i++) {
		model->present[i] = TRUE;
		config_builder_upstream(model->config, upstream_names[i], "s",
					version_names[i % N_VERSIONS],
					i < 3 ? "d0" : "d1", UPSTREAM_SLOTS);
	}
	model->dispatch = sr_dispatch_new(&options);
	sr_dispatch_set_config(model->dispatch, 0, model->config);
	return model;
}

static void check_target(model_t *model, slot_t *slot,
			 const sr_decision_t *decision)
{
	unsigned upstream = (unsigned)(decision->u.send.name[1] - '0');

	if (model->leaving[upstream])
		fail(model, "sent to a leaving upstream", upstream);
	if (!model->present[upstream])
		fail(model, "sent to an absent upstream", upstream);
	if (model->recalled[upstream % N_VERSIONS])
		fail(model, "sent to a recalled version", upstream);
	if (model->share[upstream % N_VERSIONS] <= 0)
		fail(model, "sent to a version without share", upstream);
	if (slot->tried & (1u << upstream))
		fail(model, "sent to the same upstream again", upstream);
	slot->upstream = upstream;
	slot->tried |= 1u << upstream;
	if (++model->in_flight[upstream] > 2 * UPSTREAM_SLOTS * 5 / 4)
		fail(model, "more in flight than any limit", upstream);
}

static void check_refusal(model_t *model, const sr_decision_t *decision)
{
	if (decision->u.refuse.err >= SR_OK)
		fail(model, "a refusal without a kind", 0);
	if (decision->u.refuse.retry_after <= 0)
		fail(model, "a refusal without a time to come back", 0);
}

/* Returns TRUE if the call was admitted. Remainders of b set its properties. */
static gboolean begin_call(model_t *model, unsigned account, unsigned b)
{
	guint64 blocks[3] = { b % 5, 100 + b % 7, 1000 + b % 11 };
	sr_decision_t decision;
	slot_t *slot = NULL;

	for (int i = 0; i < MAX_CALLS && !slot; i++) {
		if (!model->slots[i].call)
			slot = &model->slots[i];
	}
	if (!slot)
		return FALSE;
	memset(slot, 0, sizeof(*slot));
	slot->account = account;
	slot->idempotent = b % 3 != 0;
	slot->deadline = model->now + (1 + b % 10) * SR_SEC;
	const sr_call_options_t options = {
		.service = model->service,
		.route = model->service->routes->pdata[b % SR_N_PRIORITIES],
		.account = model->config->accounts->pdata[account],
		.priority = (sr_priority_t)(b % SR_N_PRIORITIES),
		.deadline = slot->deadline,
		.idempotent = slot->idempotent,
		.blocks = blocks,
		.n_blocks = b % 4,
		.prompt_tokens = b % 4 * 16,
		.max_tokens = b % 50,
	};

	slot->call = sr_dispatch_begin(model->dispatch, model->now, &options,
				       &decision);
	if (!slot->call) {
		check_refusal(model, &decision);
		return FALSE;
	}
	check_target(model, slot, &decision);
	if (++model->account_in_flight[account] > ACCOUNT_LIMIT &&
	    account == N_ACCOUNTS - 1)
		fail(model, "an account over its limit", account);
	return TRUE;
}

static slot_t *pick_slot(model_t *model, unsigned b)
{
	for (unsigned i = 0; i < MAX_CALLS; i++) {
		slot_t *slot = &model->slots[(b + i) % MAX_CALLS];

		if (slot->call)
			return slot;
	}
	return NULL;
}

static void finish_call(model_t *model, slot_t *slot)
{
	if (!slot->ended)
		model->in_flight[slot->upstream]--;
	model->account_in_flight[slot->account]--;
	sr_dispatch_finish(model->dispatch, model->now, slot->call);
	slot->call = NULL;
}

static void end_attempt(model_t *model, slot_t *slot,
			sr_attempt_result_t result)
{
	gboolean may_have_run = result != SR_ATTEMPT_NOT_STARTED &&
				result != SR_ATTEMPT_REFUSED;
	sr_decision_t decision;

	model->in_flight[slot->upstream]--;
	if (!sr_dispatch_attempt_ended(model->dispatch, model->now, slot->call,
				       result, 0, &decision)) {
		slot->ended = TRUE;
		if (result != SR_ATTEMPT_OK && result != SR_ATTEMPT_CANCELLED)
			check_refusal(model, &decision);
		finish_call(model, slot);
		return;
	}
	if (result == SR_ATTEMPT_OK || result == SR_ATTEMPT_CANCELLED)
		fail(model, "repeated what had ended", slot->upstream);
	if (may_have_run && !slot->idempotent)
		fail(model, "ran a non-idempotent call twice", slot->upstream);
	if (model->now >= slot->deadline)
		fail(model, "repeated past the deadline", slot->upstream);
	check_target(model, slot, &decision);
}

static void change_upstream(model_t *model, const prove_command_t *command)
{
	unsigned i = command->a % N_UPSTREAMS;
	gboolean present = command->b % 3 != 0;

	if (command->b % 2) {
		model->leaving[i] = TRUE;
		sr_dispatch_set_leaving(model->dispatch, upstream_names[i]);
		return;
	}
	if (present && !model->present[i])
		model->leaving[i] = FALSE;
	model->present[i] = present;
	sr_dispatch_set_present(model->dispatch, upstream_names[i], present);
}

static void change_version(model_t *model, const prove_command_t *command)
{
	unsigned i = command->a % N_VERSIONS;

	if (command->b % 16 == 0) {
		model->recalled[i] = TRUE;
		sr_dispatch_recall(model->dispatch, "s", version_names[i]);
	} else if (command->b % 16 == 1) {
		sr_dispatch_set_config(model->dispatch, model->now,
				       model->config);
	} else {
		model->share[i] = (command->b % 5) / 4.0;
		sr_dispatch_set_share(model->dispatch, "s", version_names[i],
				      model->share[i]);
	}
}

static void report_load(model_t *model, const prove_command_t *command)
{
	unsigned i = command->a % N_UPSTREAMS;
	const sr_load_report_t load = {
		.running = command->b % 12,
		.waiting = command->b % 5,
		.tokens_per_s = command->b % 60,
		.measured_at = model->now - command->b % 1000 * SR_MSEC,
	};

	sr_dispatch_report_load(model->dispatch, upstream_names[i], &load);
	model->sequence[i] += 1 + (command->b % 9 == 0) * 5;
	sr_dispatch_cache_event(model->dispatch, upstream_names[i],
				model->sequence[i], command->b % 20,
				command->b % 3 != 0);
	sr_dispatch_set_usage(model->dispatch, command->b % 2 ? "s/a0" : "x/y",
			      "n2", command->b % 6, model->now);
}

static char *model_step(void *user, const prove_command_t *command)
{
	model_t *model = user;
	slot_t *slot = pick_slot(model, command->b);

	model->now += command->b % 200 * SR_MSEC;
	switch (command->op % 10) { /* names in model_describe() */
	case 0:
	case 1:
	case 2:
		begin_call(model, command->a % N_ACCOUNTS, command->b);
		break;
	case 3:
		if (slot)
			sr_dispatch_first_token(model->dispatch, model->now,
						slot->call);
		break;
	case 4:
	case 5:
		if (slot)
			end_attempt(model, slot,
				    (sr_attempt_result_t)(command->a % 7));
		break;
	case 6:
		if (slot)
			finish_call(model, slot);
		break;
	case 7:
		change_upstream(model, command);
		break;
	case 8:
		change_version(model, command);
		break;
	default:
		report_load(model, command);
	}
	return g_steal_pointer(&model->violation);
}

static void finish_all(model_t *model)
{
	for (int i = 0; i < MAX_CALLS; i++) {
		if (model->slots[i].call)
			finish_call(model, &model->slots[i]);
	}
	for (unsigned i = 0; i < N_UPSTREAMS; i++) {
		if (model->in_flight[i] != 0)
			fail(model, "the count isn't back at zero", i);
	}
}

/*
 * Account 0 has n calls in flight, which is all the capacity. Once account 1
 * has requested some, account 1 must get at least half of the capacity that
 * becomes free until it has its share, although account 0 requests first each
 * time.
 */
static void check_fairness(model_t *model, unsigned n)
{
	unsigned admitted = 0;

	if (begin_call(model, 1, FLOOD_CALL))
		return;
	for (unsigned i = 0; i < n / 3; i++) {
		finish_call(model, &model->slots[i]);
		model->now += SR_MSEC * 60;
		begin_call(model, 0, FLOOD_CALL);
		admitted += begin_call(model, 1, FLOOD_CALL);
	}
	if (admitted < n / 3 / 2)
		fail(model, "one account keeps out another", admitted);
}

static char *model_finish(void *user)
{
	model_t *model = user;
	unsigned n = 0;

	finish_all(model);
	model->now += SR_HOUR;
	for (int i = 0; i < N_UPSTREAMS; i++) {
		sr_dispatch_set_present(model->dispatch, upstream_names[i],
					FALSE);
		sr_dispatch_set_present(model->dispatch, upstream_names[i],
					TRUE);
		model->leaving[i] = FALSE;
		model->present[i] = TRUE;
	}
	for (int i = 0; i < N_VERSIONS; i++) {
		model->share[i] = model->recalled[i] ? 0 : 0.5;
		sr_dispatch_set_share(model->dispatch, "s", version_names[i],
				      0.5);
	}
	if (model->recalled[0] && model->recalled[1])
		return g_steal_pointer(&model->violation);
	/* These calls are the trials of ejected upstreams; all succeed. */
	while (begin_call(model, 0, FLOOD_CALL))
		n++;
	for (int i = 0; i < MAX_CALLS; i++) {
		if (model->slots[i].call)
			end_attempt(model, &model->slots[i], SR_ATTEMPT_OK);
	}
	model->now += SR_MINUTE;
	for (n = 0; begin_call(model, 0, FLOOD_CALL);)
		n++;
	if (n == 0)
		fail(model, "nothing was admitted though all is healed", n);
	check_fairness(model, n);
	finish_all(model);
	return g_steal_pointer(&model->violation);
}

static char *model_describe(const prove_command_t *command)
{
	static const char *const names[] = {
		"begin", "begin",  "begin",    "first token", "end",
		"end",	 "finish", "upstream", "version",     "report",
	};

	return g_strdup_printf("%s a=%u b=%u", names[command->op % 10],
			       command->a, command->b);
}

static void model_free(void *user)
{
	model_t *model = user;

	for (int i = 0; i < MAX_CALLS; i++) {
		if (model->slots[i].call)
			sr_dispatch_finish(model->dispatch, model->now,
					   model->slots[i].call);
	}
	sr_dispatch_free(model->dispatch);
	config_builder_free(model->config);
	g_free(model->violation);
	g_free(model);
}

const prove_model_t prove_dispatch_model = {
	.name = "dispatch",
	.n_commands = N_COMMANDS,
	.new = model_new,
	.step = model_step,
	.finish = model_finish,
	.describe = model_describe,
	.free = model_free,
};
