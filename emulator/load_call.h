#ifndef SR_EMULATOR_LOAD_CALL_H
#define SR_EMULATOR_LOAD_CALL_H

#include <libsoup/soup.h>

#include "load_plan.h"

/** How a call of the load tool ended. */
typedef enum {
	SR_EMU_OUTCOME_WHOLE,	/* the right answer, all of it */
	SR_EMU_OUTCOME_REFUSED, /* a problem that says it was not run */
	SR_EMU_OUTCOME_UNKNOWN, /* a problem that says it may have run */
	SR_EMU_OUTCOME_FAILED,	/* an error status without a problem */
	SR_EMU_OUTCOME_BROKEN,	/* the answer was right as far as it came */
	SR_EMU_OUTCOME_WRONG,	/* something in the answer was not right */
	SR_EMU_OUTCOME_LOST,	/* no answer: connection refused or closed */
	SR_EMU_OUTCOME_TIMEOUT,
	SR_EMU_N_OUTCOMES,
} sr_emu_outcome_t;

/** sr_emu_call_report_t - valid during the callback only. */
typedef struct {
	const sr_emu_load_caller_t *caller;
	sr_emu_outcome_t outcome;
	const char *kind;   /* of the problem, or NULL */
	const char *detail; /* why it is broken or wrong, or NULL */
	const char *key;    /* of a posting, or NULL */
	sr_usec_t due;
	sr_usec_t total;
} sr_emu_call_report_t;

typedef struct {
	SoupSession *session;
	sr_clock_t *clock;
	const sr_emu_load_caller_t *caller;
	const char *target; /* IP:PORT */
	GBytes *body;	    /* NULL for a read */
	const char *key;    /* of a posting, or NULL */
	guint max_tokens;
	sr_usec_t due; /* latencies count from here */
	sr_usec_t timeout;
	/* after each read: tokens came; gap is since the last, 0 if first */
	void (*tokens)(void *user, const sr_emu_load_caller_t *caller, guint n,
		       sr_usec_t since_due, sr_usec_t gap);
	void (*ended)(void *user, const sr_emu_call_report_t *report);
	void *user;
} sr_emu_call_options_t;

/** sr_emu_call_start - send; ended is called once, later. */
void sr_emu_call_start(const sr_emu_call_options_t *options);

const char *sr_emu_outcome_name(sr_emu_outcome_t outcome);

#endif
