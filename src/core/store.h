#ifndef SR_CORE_STORE_H
#define SR_CORE_STORE_H

#include <glib.h>

#include "base/clock.h"

/**
 * Typed calls to the platform's object API and their replies.
 *
 * The modules of core/ do no I/O. They pass a call to sr_store_submit() and
 * get exactly one reply to it later, never from inside sr_store_submit(). The
 * daemon implements a store over HTTP; tests use an in-memory table.
 */

/** Largest value that the platform accepts, in bytes. */
#define SR_STORE_VALUE_MAX (1024 * 1024)

/** sr_store_op_t - operation of a call */
typedef enum {
	SR_STORE_GET,
	SR_STORE_CREATE, /* fails with CONFLICT if the key exists */
	SR_STORE_UPDATE, /* conditional on if_version */
	SR_STORE_DELETE, /* conditional on if_version, 0 for any */
	SR_STORE_LIST,	 /* keys under a prefix, in order, after a key */
	SR_STORE_WATCH,	 /* returns once the version differs from if_version */
} sr_store_op_t;

/**
 * sr_store_class_t - purpose of a call, in order of priority
 *
 * When the call budget is short, calls of an earlier class are sent first.
 */
typedef enum {
	SR_STORE_JOURNAL,
	SR_STORE_RECALL,
	SR_STORE_LEASE,
	SR_STORE_CONFIG,
	SR_STORE_STATUS,
	SR_STORE_N_CLASSES,
} sr_store_class_t;

/** sr_store_status_t - how a call ended */
typedef enum {
	SR_STORE_OK,
	SR_STORE_NOT_FOUND,
	SR_STORE_CONFLICT,     /* the condition failed; nothing was written */
	SR_STORE_NOT_DONE,     /* throttled or never sent; it had no effect */
	SR_STORE_UNKNOWN,      /* reply lost; a write may have taken effect */
	SR_STORE_NOT_MODIFIED, /* a watch ended without a change */
} sr_store_status_t;

/** sr_store_entry_t - one object of a list */
typedef struct {
	char *key;
	guint64 version;
	guint64 size; /* of the value, in bytes */
} sr_store_entry_t;

/** sr_store_reply_t - result of a call; valid during the callback only */
typedef struct {
	sr_store_status_t status;
	/* of the object, after the call; NOT_FOUND: 0, or one that is lower
	 * than any which the object will have */
	guint64 version;
	/* rises each time the platform's store is restored from an older copy;
	 * 0 if not known. Versions of a later era are higher. */
	guint64 era;
	GBytes *value;	       /* GET and WATCH */
	const GPtrArray *list; /* LIST: sr_store_entry_t, by key */
	gboolean more;	       /* LIST: more keys follow */
	sr_usec_t retry_after; /* NOT_DONE: 0 if the platform gave none */
} sr_store_reply_t;

/** sr_store_fn - called once with the reply to a call */
typedef void (*sr_store_fn)(void *user, const sr_store_reply_t *reply);

/** sr_store_call_t - one call to the object API */
typedef struct {
	sr_store_op_t op;
	sr_store_class_t class;
	const char *key;    /* LIST: the prefix; copied by the store */
	const char *after;  /* LIST: continue after this key, or NULL */
	GBytes *value;	    /* CREATE and UPDATE; a reference is taken */
	guint64 if_version; /* UPDATE, DELETE, WATCH; CREATE: of NOT_FOUND */
	unsigned limit;	    /* LIST: page size; 0 for the platform's default */
	sr_usec_t timeout;  /* 0 for the default of the store */
	sr_store_fn done;
	void *user;
} sr_store_call_t;

/**
 * sr_store_t - interface to an object API; embedded by an implementation
 *
 * submit() copies the call. cancel_all() drops all calls with a given user
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
