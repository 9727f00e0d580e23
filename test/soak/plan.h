#ifndef SR_TEST_SOAK_PLAN_H
#define SR_TEST_SOAK_PLAN_H

#include <glib.h>

/**
 * What a run plays, drawn from its seed: disruptions of hosts, links and the
 * store, in series and overlapping, and changes of the configuration between
 * them.
 */

/** soak_kind_t - of a disruption. */
typedef enum {
	SOAK_KILL,	  /* hosts end by SIGKILL and start again */
	SOAK_STOP,	  /* hosts are stopped and started in turn */
	SOAK_FREEZE,	  /* hosts stand still */
	SOAK_CUT_STORE,	  /* from the store: bytes are lost */
	SOAK_CUT_ONE_WAY, /* from the store, in the direction of the store */
	SOAK_REFUSE,	  /* connections to the store are reset */
	SOAK_CUT,	  /* from the store and from all other hosts */
	SOAK_CUT_DOMAIN,  /* hosts of a failure domain, from all but each other
			   */
	SOAK_SILENCE,	  /* open connections stay silent for good */
	SOAK_LOSSY,	  /* links lose packets */
	SOAK_REPLACE,	  /* a host is gone, one at another address comes */
	SOAK_STORE_SILENT,
	SOAK_STORE_BUSY,    /* 503 */
	SOAK_STORE_RESET,   /* calls are reset */
	SOAK_TURNED_SILENT, /* the store doesn't answer some hosts */
	SOAK_TURNED_BUSY,
	SOAK_TURNED_MANY, /* 429 */
	SOAK_TURNED_RESET,
	SOAK_STORE_SLOW,
	SOAK_STORE_LOST,    /* answers to writes */
	SOAK_STORE_RESTORE, /* away, then back from an older copy */
	SOAK_STORE_COMPACT, /* watches hear nothing, then history is gone */
	SOAK_N_KINDS,
} soak_kind_t;

const char *soak_kind_name(soak_kind_t kind);

/** soak_kind_is_of_store - the store counts as disrupted, not hosts. */
gboolean soak_kind_is_of_store(soak_kind_t kind);

/** soak_change_kind_t - what the operator changes with a version. */
typedef enum {
	SOAK_ADD_ROUTE,
	SOAK_ADD_ROUTES, /* by hundreds */
	SOAK_REMOVE_ROUTE,
	SOAK_RETURN_ROUTE, /* one that was removed before */
	SOAK_REVOKE_KEY,
	SOAK_N_CHANGES,
} soak_change_kind_t;

/** soak_step_t - a disruption, or a change of the configuration. */
typedef struct {
	gint64 at_ms;
	gboolean is_change;
	soak_change_kind_t change;
	soak_kind_t kind;
	gint64 for_ms;
	guint64 hosts; /* a bit for each that is concerned */
	gint64 gap_ms; /* between hosts */
} soak_step_t;

/** soak_kind_by_name - SOAK_N_KINDS if there is none of that name. */
soak_kind_t soak_kind_by_name(const char *name);

typedef struct {
	guint32 seed;
	unsigned n_hosts;
	unsigned n_domains; /* to which hosts belong by turns */
	gint64 length_ms;
	soak_kind_t only; /* the only kind; SOAK_N_KINDS for all */
} soak_plan_options_t;

/** soak_plan_new - the steps (soak_step_t), in the order of their times. A seed
 * plays disruptions of hosts and links, or of the store, or of both. */
GArray *soak_plan_new(const soak_plan_options_t *options);

#endif
