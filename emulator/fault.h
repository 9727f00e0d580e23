#ifndef SR_EMULATOR_FAULT_H
#define SR_EMULATOR_FAULT_H

#include <glib.h>
#include <json-c/json.h>

#include "base/clock.h"

/**
 * sr_emu_faults_t - the active faults of an emulated server
 *
 * Several faults can be active. A new fault replaces one of the same mode and
 * path; mode "ok" removes all.
 */
typedef struct sr_emu_faults sr_emu_faults_t;

/** sr_emu_fault_effects_t - combined effects of all faults on a request. */
typedef struct {
	gboolean down;	     /* answered with 503, not run */
	gboolean frozen;     /* never answered, not run */
	gboolean failing;    /* answered with 500, not run */
	gboolean lost_reply; /* run, then the connection is closed */
	sr_usec_t delay;     /* added to the latency */
} sr_emu_fault_effects_t;

/** sr_emu_faults_new - no faults; seed is for the random choices by ratio. */
sr_emu_faults_t *sr_emu_faults_new(guint64 seed);
void sr_emu_faults_free(sr_emu_faults_t *faults);

/**
 * sr_emu_faults_add - add the fault {"mode", "ms", "ratio", "path", "after",
 * "min_running"}
 *
 * Only mode is required. The fault affects the fraction "ratio" of the requests
 * whose path begins with "path", once "after" of them were received, and only
 * while at least "min_running" requests run. "ms" is the delay of mode "slow".
 *
 * Returns FALSE and changes nothing if the mode is unknown. The object is
 * borrowed.
 */
gboolean sr_emu_faults_add(sr_emu_faults_t *faults, struct json_object *fault);

/**
 * sr_emu_faults_evaluate - determine the effects of the faults on a request
 *
 * The request counts towards "after" of the faults that match its path.
 * running is the number of running requests.
 */
sr_emu_fault_effects_t sr_emu_faults_evaluate(sr_emu_faults_t *faults,
					      const char *path,
					      unsigned running);

#endif
