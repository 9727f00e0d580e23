#ifndef SR_CORE_JOURNAL_RECORD_H
#define SR_CORE_JOURNAL_RECORD_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * What the objects of a journal shard hold, and how it is coded.
 *
 * Objects are GVariants in little-endian normal form. Decoders take bytes
 * from outside: they check form, sizes and ranges and change nothing if one
 * of them is wrong.
 */

/** Longest account, key, service and owner name, in bytes. */
#define SR_JOURNAL_NAME_MAX 256
/** Largest request or result in a record, in bytes. */
#define SR_JOURNAL_BODY_MAX (256 * 1024)
/** A batch is closed once its records reach this size, in bytes. */
#define SR_JOURNAL_BATCH_BYTES (384 * 1024)
/** Largest number of segments in a manifest. */
#define SR_JOURNAL_SEGMENTS_MAX 4096

typedef enum {
	SR_RECORD_ACCEPTED = 1, /* may be run by whoever holds the shard */
	SR_RECORD_DISPATCHED,	/* may have run; only its writer runs it */
	SR_RECORD_DONE,		/* ran; status and result are known */
	SR_RECORD_UNKNOWN,	/* may have run; the outcome was lost */
	SR_RECORD_WITHDRAWN,	/* did not run and never will */
} sr_record_kind_t;

/** sr_record_t - one transition of one posting. */
typedef struct {
	sr_record_kind_t kind;
	char *account;
	char *key;
	char *service;
	guint64 hash[2]; /* of the request */
	guint64 run;	 /* identifies the run from DISPATCHED on */
	guint64 epoch;	 /* in which it was dispatched */
	sr_usec_t time;	 /* shard time of the transition */
	unsigned status; /* DONE: HTTP status of the answer */
	GBytes *request; /* ACCEPTED; else NULL */
	GBytes *result;	 /* DONE; NULL if none or too large to keep */
} sr_record_t;

/** sr_batch_t - one object of the log. */
typedef struct {
	guint64 number; /* place in the log, from 1 */
	guint64 epoch;
	guint64 write_id;
	char *owner;
	gboolean release;   /* the owner gives the shard up */
	sr_usec_t time;	    /* shard time of the write */
	GPtrArray *records; /* sr_record_t, owned */
} sr_batch_t;

/** sr_segment_ref_t - a segment as the manifest names it. */
typedef struct {
	char *name;
	sr_usec_t newest; /* shard time of its newest record */
} sr_segment_ref_t;

/** sr_manifest_t - which segments replace the log up to and with base. */
typedef struct {
	guint64 base;
	guint64 epoch;
	guint64 write_id;
	GPtrArray *segments; /* sr_segment_ref_t, owned, oldest first */
} sr_manifest_t;

void sr_record_free(sr_record_t *record);

/** sr_record_size - bytes that a record takes up in a batch, roughly. */
gsize sr_record_size(const sr_record_t *record);

sr_batch_t *sr_batch_new(const char *owner, guint64 epoch, guint64 write_id);
void sr_batch_free(sr_batch_t *batch);
GBytes *sr_batch_encode(const sr_batch_t *batch);

/** sr_batch_decode - returns SR_ERR_PROTOCOL for anything malformed. */
sr_err_t sr_batch_decode(GBytes *bytes, sr_batch_t **batch);

/** A segment is coded as an array of records. */
GBytes *sr_segment_encode(const GPtrArray *records);
sr_err_t sr_segment_decode(GBytes *bytes, GPtrArray **records);

sr_manifest_t *sr_manifest_new(void);
void sr_manifest_free(sr_manifest_t *manifest);
GBytes *sr_manifest_encode(const sr_manifest_t *manifest);
sr_err_t sr_manifest_decode(GBytes *bytes, sr_manifest_t **manifest);

#endif
