#ifndef SR_TEST_PROVE_H
#define SR_TEST_PROVE_H

#include <glib.h>

/**
 * prove_command_t - one random operation and its operands
 *
 * A model runs the decision modules of core/ on a manual clock under random
 * commands and compares their results with a simple oracle.
 *
 * Commands are plain numbers, so that a seed, a shortened list and the input
 * of a fuzzer can all drive a model. A model must accept every value of op
 * and of the operands.
 */
typedef struct {
	guint8 op;
	guint8 a;
	guint16 b;
} prove_command_t;

/** prove_model_t - a model and its oracle */
typedef struct {
	const char *name;    /* for --model; part of the seed of each run */
	unsigned n_commands; /* commands of one run */
	void *(*new)(guint64 seed);
	/* returns NULL or the violation, to be freed with g_free() */
	char *(*step)(void *model, const prove_command_t *command);
	/* ends the faults, advances the clock, then checks the final state;
	   returns as step() does */
	char *(*finish)(void *model);
	/* returns one line for the printed list; free with g_free() */
	char *(*describe)(const prove_command_t *command);
	void (*free)(void *model);
} prove_model_t;

/** The models; main.c lists them, too. */
extern const prove_model_t prove_journal_model;
extern const prove_model_t prove_lease_model;
extern const prove_model_t prove_orders_model;
extern const prove_model_t prove_gossip_model;
extern const prove_model_t prove_config_model;
extern const prove_model_t prove_dispatch_model;
extern const prove_model_t prove_rollout_model;
extern const prove_model_t prove_trial_model;
extern const prove_model_t prove_crash_model;

#endif
