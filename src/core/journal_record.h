#ifndef SR_CORE_JOURNAL_RECORD_H
#define SR_CORE_JOURNAL_RECORD_H

#include <glib.h>

#include "base/clock.h"
#include "base/error.h"

/**
 * The objects of a journal shard and their encoding.
 *
 * Objects are GVariants in little-endian normal form. Decoders take untrusted
 * bytes: they check form, sizes and ranges, and return SR_ERR_PROTOCOL and
 * leave their result unset if a check fails.
 */

/** Longest account, key, service and owner name, in bytes. */
#define SR_JOURNAL_NAME_MAX 256
/** Largest request or result in a record, in bytes. */
#define SR_JOURNAL_BODY_MAX (256 * 1024)
/** A batch is closed once its records reach this size, in bytes. */
#define SR_JOURNAL_BATCH_BYTES (384 * 1024)
/** Largest number of segments in a manifest. */
#define SR_JOURNAL_SEGMENTS_MAX 4096

/** sr_journal_record_kind_t - transition of a posting; values are stored */
typedef enum {
	SR_RECORD_ACCEPTED = 1, /* any holder of the shard may run it */
	SR_RECORD_DISPATCHED,	/* may have run; only its writer runs it */
	SR_RECORD_DONE,		/* ran; status and result are known */
	SR_RECORD_UNKNOWN,	/* may have run; the outcome was lost */
	SR_RECORD_WITHDRAWN,	/* did not run and never will */
} sr_journal_record_kind_t;

/** sr_journal_record_t - one transition of one posting; members are owned */
typedef struct {
	sr_journal_record_kind_t kind;
	char *account;
	char *key;
	char *service;
	guint64 hash[2]; /* of the request */
	guint64 run_id;	 /* from DISPATCHED on */
	guint64 epoch;	 /* in which it was dispatched */
	sr_usec_t time;	 /* shard time of the transition */
	unsigned status; /* DONE: HTTP status of the response */
	GBytes *request; /* ACCEPTED; else NULL */
	GBytes *result;	 /* DONE; NULL if none or too large to store */
} sr_journal_record_t;

/** sr_batch_t - one object of the log; members are owned */
typedef struct {
	guint64 number; /* position in the log, from 1 */
	guint64 epoch;
	guint64 write_id; /* random; recognizes a write whose reply was lost */
	char *owner;
	gboolean release;   /* the owner releases the shard */
	sr_usec_t time;	    /* shard time of the write */
	GPtrArray *records; /* sr_journal_record_t, owned */
} sr_batch_t;

/** sr_segment_ref_t - a segment as listed in a manifest */
typedef struct {
	char *name;
	sr_usec_t newest; /* shard time of its newest record */
} sr_segment_ref_t;

/** sr_manifest_t - segments that replace the log up to batch base */
typedef struct {
	guint64 base; /* number of the last batch that the segments replace */
	guint64 epoch;
	guint64 write_id;
	GPtrArray *segments; /* sr_segment_ref_t, owned, oldest first */
} sr_manifest_t;

/** sr_journal_record_free - NULL is allowed */
void sr_journal_record_free(sr_journal_record_t *record);

/** sr_journal_record_size - approximate size in a batch, in bytes */
gsize sr_journal_record_size(const sr_journal_record_t *record);

/** sr_batch_new - create a batch without records; owner is copied */
sr_batch_t *sr_batch_new(const char *owner, guint64 epoch, guint64 write_id);

/** sr_batch_free - NULL is allowed */
void sr_batch_free(sr_batch_t *batch);

/** sr_batch_encode - returns the bytes of an object, owned by the caller */
GBytes *sr_batch_encode(const sr_batch_t *batch);

/** sr_batch_decode - create a batch from the bytes of an object */
sr_err_t sr_batch_decode(GBytes *bytes, sr_batch_t **batch);

/** sr_segment_encode - returns a segment of these records */
GBytes *sr_segment_encode(const GPtrArray *records);

/** sr_segment_decode - create an array that owns the records of a segment */
sr_err_t sr_segment_decode(GBytes *bytes, GPtrArray **records);

/** sr_manifest_new - create a manifest without segments */
sr_manifest_t *sr_manifest_new(void);

/** sr_manifest_free - NULL is allowed */
void sr_manifest_free(sr_manifest_t *manifest);

/** sr_manifest_encode - returns the bytes of an object, owned by the caller */
GBytes *sr_manifest_encode(const sr_manifest_t *manifest);

/** sr_manifest_decode - create a manifest from the bytes of an object */
sr_err_t sr_manifest_decode(GBytes *bytes, sr_manifest_t **manifest);

#endif
