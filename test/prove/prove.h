#ifndef SR_TEST_PROVE_H
#define SR_TEST_PROVE_H

#include <glib.h>

/**
 * A model runs real decision modules on a manual clock under random commands
 * and compares them with a simple oracle.
 *
 * Commands are plain numbers, so that a seed, a shortened list or the bytes
 * of a fuzzer give the same run. A model maps op onto what it knows with a
 * remainder and must accept every value.
 */
typedef struct {
	guint8 op;
	guint8 a;
	guint16 b;
} prove_command_t;

typedef struct {
	const char *name;
	unsigned n_commands; /* of one run */
	void *(*new)(guint64 seed);
	/* returns NULL, or why the oracle is violated (freed by the caller) */
	char *(*step)(void *model, const prove_command_t *command);
	/* heals every fault, lets time pass, then checks what must hold */
	char *(*finish)(void *model);
	/* a line about a command, for the shortened list */
	char *(*describe)(const prove_command_t *command);
	void (*free)(void *model);
} prove_model_t;

/* One line for each model; main.c lists them. */
extern const prove_model_t prove_journal_model;
extern const prove_model_t prove_lease_model;
extern const prove_model_t prove_orders_model;
extern const prove_model_t prove_gossip_model;
extern const prove_model_t prove_config_model;
extern const prove_model_t prove_dispatch_model;
extern const prove_model_t prove_rollout_model;

#endif
