#ifndef SR_EMULATOR_LOAD_PLAN_H
#define SR_EMULATOR_LOAD_PLAN_H

#include <glib.h>

#include "base/clock.h"

/** What a caller of the load tool sends, and what it must get back. */
typedef enum {
	SR_EMU_CALL_STREAM,  /* a prompt; the seeded token stream */
	SR_EMU_CALL_POSTING, /* a key; the answer of its only run */
	SR_EMU_CALL_READ,    /* GET; any 200 */
} sr_emu_call_kind_t;

/** sr_emu_load_caller_t - callers of one kind on one route. */
typedef struct {
	char *name;
	char *path;
	char *token;
	sr_emu_call_kind_t kind;
	double rate_per_s;  /* open loop; 0 for a closed one */
	guint concurrency;  /* closed loop */
	sr_usec_t think;    /* closed loop: from an answer to the next call */
	guint prompt_bytes; /* all of it */
	guint prefix_bytes; /* of them shared with others */
	guint prefixes;	    /* how many shared prefixes there are */
	guint max_tokens;
	char *priority;	     /* X-Priority, "" for none */
	guint deadline_ms;   /* X-Deadline-Ms, 0 for none */
	double double_ratio; /* of postings sent twice at once, to two targets
			      */
} sr_emu_load_caller_t;

/** sr_emu_load_plan_t - one experiment. */
typedef struct {
	GPtrArray *targets; /* char *, IP:PORT of entry hosts */
	GPtrArray *callers; /* sr_emu_load_caller_t */
	sr_usec_t duration;
	guint64 requests;  /* no more than this; 0 for no limit */
	sr_usec_t timeout; /* of one answer */
	guint in_flight;   /* calls beyond this are not sent */
} sr_emu_load_plan_t;

/** sr_emu_load_plan_read - returns NULL after printing every problem. */
sr_emu_load_plan_t *sr_emu_load_plan_read(const char *path);
void sr_emu_load_plan_free(sr_emu_load_plan_t *plan);

#endif
