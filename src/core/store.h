#ifndef SR_CORE_STORE_H
#define SR_CORE_STORE_H

#include <glib.h>

#include "base/clock.h"

/**
 * Typed calls to the platform's object API, as the decision modules ask for
 * them and as answers come back.
 *
 * A module never does I/O. It calls sr_store_submit() with a call and gets
 * exactly one reply for it later, never from inside sr_store_submit(). The
 * daemon backs a store with HTTP, tests with an in-memory table.
 */

/** Values larger than this are refused by the platform, in bytes. */
#define SR_STORE_VALUE_MAX (1024 * 1024)

typedef enum {
	SR_STORE_GET,
	SR_STORE_CREATE, /* fails with CONFLICT if the key exists */
	SR_STORE_UPDATE, /* conditional on if_version */
	SR_STORE_DELETE, /* conditional on if_version, 0 for any */
	SR_STORE_LIST,	 /* keys under a prefix, in order, after a key */
	SR_STORE_WATCH,	 /* waits until the version differs from if_version */
} sr_store_op_t;

/** Classes of calls, the most urgent first; a scarce budget goes in order. */
typedef enum {
	SR_STORE_JOURNAL,
	SR_STORE_RECALL,
	SR_STORE_LEASE,
	SR_STORE_CONFIG,
	SR_STORE_STATUS,
	SR_STORE_N_CLASSES,
} sr_store_class_t;

typedef enum {
	SR_STORE_OK,
	SR_STORE_NOT_FOUND,
	SR_STORE_CONFLICT,     /* the condition failed; nothing was written */
	SR_STORE_NOT_DONE,     /* throttled or never sent; nothing happened */
	SR_STORE_UNKNOWN,      /* lost; a write may have taken effect */
	SR_STORE_NOT_MODIFIED, /* a watch ended without a change */
} sr_store_status_t;

typedef struct {
	char *key;
	guint64 version;
	guint64 size;
} sr_store_entry_t;

/** sr_store_reply_t - borrowed by the callback; valid during the call only. */
typedef struct {
	sr_store_status_t status;
	guint64 version;       /* of the object, after the call */
	GBytes *value;	       /* GET and WATCH */
	const GPtrArray *list; /* LIST: of sr_store_entry_t */
	gboolean more;	       /* LIST: there are further keys */
	sr_usec_t retry_after; /* NOT_DONE: 0 if the platform gave none */
} sr_store_reply_t;

typedef void (*sr_store_fn)(void *user, const sr_store_reply_t *reply);

typedef struct {
	sr_store_op_t op;
	sr_store_class_t class;
	const char *key;    /* LIST: the prefix; copied by the store */
	const char *after;  /* LIST: continue after this key, or NULL */
	GBytes *value;	    /* CREATE and UPDATE; a reference is taken */
	guint64 if_version; /* UPDATE, DELETE, WATCH */
	unsigned limit;	    /* LIST: 0 for the platform's own */
	sr_usec_t timeout;  /* 0 for the default of the store */
	sr_store_fn done;
	void *user;
} sr_store_call_t;

/**
 * sr_store_t - where calls go; embedded by an implementation
 *
 * submit() takes the call by copy. cancel_all() drops every call of one user
 * pointer without a reply; a dropped write may still take effect.
 */
typedef struct sr_store {
	void (*submit)(struct sr_store *store, const sr_store_call_t *call);
	void (*cancel_all)(struct sr_store *store, void *user);
} sr_store_t;

static inline void sr_store_submit(sr_store_t *store,
				   const sr_store_call_t *call)
{
	store->submit(store, call);
}

static inline void sr_store_cancel_all(sr_store_t *store, void *user)
{
	store->cancel_all(store, user);
}

#endif
