#ifndef SR_EMULATOR_LOAD_CALL_H
#define SR_EMULATOR_LOAD_CALL_H

#include <libsoup/soup.h>

#include "load_plan.h"

/** sr_emu_outcome_t - outcome of a call of the load tool. */
typedef enum {
	SR_EMU_OUTCOME_WHOLE,	/* complete and correct answer */
	SR_EMU_OUTCOME_REFUSED, /* problem with executed "not-run" */
	SR_EMU_OUTCOME_UNKNOWN, /* other problem; may have run */
	SR_EMU_OUTCOME_FAILED,	/* error status without a problem */
	SR_EMU_OUTCOME_BROKEN,	/* answer cut short, or no JSON (posting) */
	SR_EMU_OUTCOME_WRONG,	/* incorrect answer */
	SR_EMU_OUTCOME_LOST,	/* no answer: connection refused or closed */
	SR_EMU_OUTCOME_TIMEOUT, /* the plan's timeout expired */
	SR_EMU_N_OUTCOMES,
} sr_emu_outcome_t;

/** sr_emu_call_result_t - valid during the callback only. */
typedef struct {
	const sr_emu_load_caller_t *caller;
	sr_emu_outcome_t outcome;
	const char *problem_kind; /* "kind" of the problem, or NULL */
	const char *detail;	  /* error text, or NULL */
	const char *key;	  /* of a posting, or NULL */
	sr_usec_t due;
	sr_usec_t total; /* from due to the end of the answer */
} sr_emu_call_result_t;

typedef struct {
	SoupSession *session;
	sr_clock_t *clock;
	const sr_emu_load_caller_t *caller;
	const char *target; /* IP:PORT */
	GBytes *body;	    /* NULL for a read */
	const char *key;    /* of a posting, or NULL */
	guint max_tokens;
	sr_usec_t due; /* intended start; latencies count from it */
	sr_usec_t timeout;
	/* n tokens were received in one read, since_due after the call was
	 * due and gap after the previous tokens, 0 for the first */
	void (*tokens_received)(void *user, const sr_emu_load_caller_t *caller,
				guint n, sr_usec_t since_due, sr_usec_t gap);
	/* called once, never from inside sr_emu_call_start() */
	void (*ended)(void *user, const sr_emu_call_result_t *result);
	void *user;
} sr_emu_call_options_t;

/**
 * sr_emu_call_start - send a request
 *
 * The key is copied and the body referenced; session, clock and caller must
 * remain valid until `ended`.
 */
void sr_emu_call_start(const sr_emu_call_options_t *options);

/** sr_emu_outcome_name - name in the output, e.g. "whole". */
const char *sr_emu_outcome_name(sr_emu_outcome_t outcome);

#endif
