#ifndef SR_EMULATOR_LOAD_PLAN_H
#define SR_EMULATOR_LOAD_PLAN_H

#include <glib.h>

#include "base/clock.h"

/** sr_emu_call_kind_t - kind of request and the answer expected. */
typedef enum {
	SR_EMU_CALL_STREAM,  /* prompt; the deterministic token stream */
	SR_EMU_CALL_POSTING, /* idempotency key; the answer of the only run */
	SR_EMU_CALL_READ,    /* GET; any status below 400 */
} sr_emu_call_kind_t;

/** sr_emu_load_caller_t - a group of identical clients of one route. */
typedef struct {
	char *name;
	char *path;
	char *token; /* bearer token */
	sr_emu_call_kind_t kind;
	double rate_per_s;    /* open loop; 0 for a closed one */
	guint concurrency;    /* clients of the closed loop */
	sr_usec_t think_time; /* closed loop: from an answer to the next call */
	guint prompt_bytes;   /* with the prefix */
	guint prefix_bytes;   /* shared with other calls */
	guint n_prefixes;     /* number of different shared prefixes */
	guint max_tokens;
	char *priority;		/* X-Priority, "" for none */
	guint deadline_ms;	/* X-Deadline-Ms, 0 for none */
	double duplicate_ratio; /* fraction of postings that are sent to two
				 * targets at once */
} sr_emu_load_caller_t;

/** sr_emu_load_plan_t - the load to generate. */
typedef struct {
	GPtrArray *targets; /* char *, IP:PORT of entry hosts */
	GPtrArray *callers; /* sr_emu_load_caller_t */
	sr_usec_t duration;
	guint64 max_requests; /* 0 for no limit */
	sr_usec_t timeout;    /* of a call, from its start */
	guint max_in_flight;  /* further calls are not sent */
} sr_emu_load_plan_t;

/**
 * sr_emu_load_plan_read - read and check a plan file
 *
 * Returns NULL after printing all errors to stderr.
 */
sr_emu_load_plan_t *sr_emu_load_plan_read(const char *path);
void sr_emu_load_plan_free(sr_emu_load_plan_t *plan);

#endif
