#ifndef SR_EMULATOR_FAULT_H
#define SR_EMULATOR_FAULT_H

#include <glib.h>
#include <json-c/json.h>

#include "base/clock.h"

/**
 * sr_emu_faults_t - the faults that a stand-in shows at present
 *
 * Several faults hold at a time; one of the same mode and path replaces the
 * former one, mode "ok" removes all.
 */
typedef struct sr_emu_faults sr_emu_faults_t;

/** What happens to one request; modes add up. */
typedef struct {
	gboolean down;	     /* 503, nothing is run */
	gboolean frozen;     /* never answered, nothing is run */
	gboolean failing;    /* 500, nothing is run */
	gboolean lost_reply; /* run, then the connection is closed */
	sr_usec_t delay;
} sr_emu_verdict_t;

sr_emu_faults_t *sr_emu_faults_new(guint64 seed);
void sr_emu_faults_free(sr_emu_faults_t *faults);

/**
 * sr_emu_faults_add - read {"mode", "ms", "ratio", "path", "after",
 * "min_running"}
 *
 * Returns FALSE and changes nothing if the mode is not known.
 */
gboolean sr_emu_faults_add(sr_emu_faults_t *faults, struct json_object *fault);

/** sr_emu_faults_judge - decide on one request; counts towards "after". */
sr_emu_verdict_t sr_emu_faults_judge(sr_emu_faults_t *faults, const char *path,
				     unsigned running);

#endif
