#include "core/journal_record.h"

#include <string.h>

#include "core/store.h"

/* First member of each object: "sr", the type as a letter, and the version of
 * the encoding. */
#define FORMAT_BATCH 0x73724202U
#define FORMAT_SEGMENT 0x73725301U
#define FORMAT_MANIFEST 0x73724d01U

#define RECORD_TYPE "(yssstttttqayay)"
#define BATCH_TYPE "(utttsbta" RECORD_TYPE ")"
#define SEGMENT_TYPE "(ua" RECORD_TYPE ")"
#define MANIFEST_TYPE "(uttta(st))"

/* Fixed part of an encoded record, in bytes. */
#define RECORD_OVERHEAD 80

void sr_journal_record_free(sr_journal_record_t *record)
{
	if (!record)
		return;
	g_free(record->account);
	g_free(record->key);
	g_free(record->service);
	g_clear_pointer(&record->request, g_bytes_unref);
	g_clear_pointer(&record->result, g_bytes_unref);
	g_free(record);
}

static gsize size_or_zero(GBytes *bytes)
{
	return bytes ? g_bytes_get_size(bytes) : 0;
}

gsize sr_journal_record_size(const sr_journal_record_t *record)
{
	return RECORD_OVERHEAD + strlen(record->account) + strlen(record->key) +
	       strlen(record->service) + size_or_zero(record->request) +
	       size_or_zero(record->result);
}

sr_batch_t *sr_batch_new(const char *owner, guint64 epoch, guint64 write_id)
{
	sr_batch_t *batch = g_new0(sr_batch_t, 1);

	batch->owner = g_strdup(owner);
	batch->epoch = epoch;
	batch->write_id = write_id;
	batch->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)sr_journal_record_free);
	return batch;
}

void sr_batch_free(sr_batch_t *batch)
{
	if (!batch)
		return;
	g_free(batch->owner);
	g_ptr_array_unref(batch->records);
	g_free(batch);
}

static GVariant *bytes_variant(GBytes *bytes)
{
	if (!bytes)
		return g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, NULL, 0,
						 1);
	return g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING, bytes, TRUE);
}

static GVariant *record_variant(const sr_journal_record_t *record)
{
	return g_variant_new(
		"(yssstttttq@ay@ay)", (guchar)record->kind, record->account,
		record->key, record->service, record->hash[0], record->hash[1],
		record->run_id, record->epoch, (guint64)record->time,
		(guint16)record->status, bytes_variant(record->request),
		bytes_variant(record->result));
}

static GVariant *records_variant(const GPtrArray *records)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a" RECORD_TYPE));
	for (guint i = 0; i < records->len; i++)
		g_variant_builder_add_value(&builder,
					    record_variant(records->pdata[i]));
	return g_variant_builder_end(&builder);
}

/* Consumes the floating reference of the variant. */
static GBytes *encode(GVariant *variant)
{
	GVariant *ordered = variant;
	GBytes *bytes;

	g_variant_ref_sink(variant);
	if (G_BYTE_ORDER == G_BIG_ENDIAN)
		ordered = g_variant_byteswap(variant);
	bytes = g_variant_get_data_as_bytes(ordered);
	if (ordered != variant)
		g_variant_unref(ordered);
	g_variant_unref(variant);
	return bytes;
}

/* Returns NULL unless bytes are a value of the type in normal form. */
static GVariant *decode(GBytes *bytes, const char *type)
{
	GVariant *variant;
	GVariant *swapped;

	if (!bytes || g_bytes_get_size(bytes) > SR_STORE_VALUE_MAX)
		return NULL;
	variant = g_variant_new_from_bytes(G_VARIANT_TYPE(type), bytes, FALSE);
	g_variant_ref_sink(variant);
	if (G_BYTE_ORDER == G_BIG_ENDIAN) {
		swapped = g_variant_byteswap(variant);
		g_variant_unref(variant);
		variant = swapped;
	}
	if (!g_variant_is_normal_form(variant)) {
		g_variant_unref(variant);
		return NULL;
	}
	return variant;
}

/* Releases the variant; returns NULL if it is empty. */
static GBytes *take_bytes(GVariant *variant)
{
	GBytes *bytes = NULL;

	if (g_variant_get_size(variant)) {
		gsize size;
		gconstpointer data =
			g_variant_get_fixed_array(variant, &size, 1);

		bytes = g_bytes_new(data, size);
	}
	g_variant_unref(variant);
	return bytes;
}

static gboolean is_valid_name(const char *name)
{
	gsize size = strlen(name);

	return size > 0 && size <= SR_JOURNAL_NAME_MAX;
}

static gboolean is_record_valid(const sr_journal_record_t *record)
{
	return record->kind >= SR_RECORD_ACCEPTED &&
	       record->kind <= SR_RECORD_WITHDRAWN &&
	       is_valid_name(record->account) && is_valid_name(record->key) &&
	       is_valid_name(record->service) && record->time >= 0 &&
	       size_or_zero(record->request) <= SR_JOURNAL_BODY_MAX &&
	       size_or_zero(record->result) <= SR_JOURNAL_BODY_MAX;
}

static sr_journal_record_t *record_from(GVariant *variant)
{
	sr_journal_record_t *record = g_new0(sr_journal_record_t, 1);
	GVariant *request;
	GVariant *result;
	guchar kind;
	guint16 status;
	guint64 time;

	g_variant_get(variant, "(yssstttttq@ay@ay)", &kind, &record->account,
		      &record->key, &record->service, &record->hash[0],
		      &record->hash[1], &record->run_id, &record->epoch, &time,
		      &status, &request, &result);
	record->kind = kind;
	record->status = status;
	record->time = (sr_usec_t)time;
	record->request = take_bytes(request);
	record->result = take_bytes(result);
	if (!is_record_valid(record)) {
		sr_journal_record_free(record);
		return NULL;
	}
	return record;
}

/* Releases the array; returns FALSE if one of its records is invalid. */
static gboolean take_records(GVariant *array, GPtrArray *records)
{
	gsize n = g_variant_n_children(array);
	gboolean valid = TRUE;

	for (gsize i = 0; valid && i < n; i++) {
		GVariant *child = g_variant_get_child_value(array, i);
		sr_journal_record_t *record = record_from(child);

		g_variant_unref(child);
		valid = record != NULL;
		if (valid)
			g_ptr_array_add(records, record);
	}
	g_variant_unref(array);
	return valid;
}

GBytes *sr_batch_encode(const sr_batch_t *batch)
{
	return encode(g_variant_new(
		"(utttsbt@a" RECORD_TYPE ")", FORMAT_BATCH, batch->number,
		batch->epoch, batch->write_id, batch->owner, batch->release,
		(guint64)batch->time, records_variant(batch->records)));
}

sr_err_t sr_batch_decode(GBytes *bytes, sr_batch_t **batch)
{
	GVariant *variant = decode(bytes, BATCH_TYPE);
	sr_batch_t *decoded;
	GVariant *records;
	guint32 format;
	guint64 time;
	char *owner;

	if (!variant)
		return SR_ERR_PROTOCOL;
	decoded = sr_batch_new(NULL, 0, 0);
	g_variant_get(variant, "(utttsbt@a" RECORD_TYPE ")", &format,
		      &decoded->number, &decoded->epoch, &decoded->write_id,
		      &owner, &decoded->release, &time, &records);
	g_variant_unref(variant);
	decoded->owner = owner;
	decoded->time = (sr_usec_t)time;
	if (!take_records(records, decoded->records) ||
	    format != FORMAT_BATCH || decoded->time < 0 ||
	    !is_valid_name(owner)) {
		sr_batch_free(decoded);
		return SR_ERR_PROTOCOL;
	}
	*batch = decoded;
	return SR_OK;
}

GBytes *sr_segment_encode(const GPtrArray *records)
{
	return encode(g_variant_new("(u@a" RECORD_TYPE ")", FORMAT_SEGMENT,
				    records_variant(records)));
}

sr_err_t sr_segment_decode(GBytes *bytes, GPtrArray **records)
{
	GVariant *variant = decode(bytes, SEGMENT_TYPE);
	GPtrArray *decoded;
	GVariant *array;
	guint32 format;

	if (!variant)
		return SR_ERR_PROTOCOL;
	decoded = g_ptr_array_new_with_free_func(
		(GDestroyNotify)sr_journal_record_free);
	g_variant_get(variant, "(u@a" RECORD_TYPE ")", &format, &array);
	g_variant_unref(variant);
	if (!take_records(array, decoded) || format != FORMAT_SEGMENT) {
		g_ptr_array_unref(decoded);
		return SR_ERR_PROTOCOL;
	}
	*records = decoded;
	return SR_OK;
}

static void segment_ref_free(gpointer data)
{
	sr_segment_ref_t *ref = data;

	g_free(ref->name);
	g_free(ref);
}

sr_manifest_t *sr_manifest_new(void)
{
	sr_manifest_t *manifest = g_new0(sr_manifest_t, 1);

	manifest->segments = g_ptr_array_new_with_free_func(segment_ref_free);
	return manifest;
}

void sr_manifest_free(sr_manifest_t *manifest)
{
	if (!manifest)
		return;
	g_ptr_array_unref(manifest->segments);
	g_free(manifest);
}

GBytes *sr_manifest_encode(const sr_manifest_t *manifest)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(st)"));
	for (guint i = 0; i < manifest->segments->len; i++) {
		const sr_segment_ref_t *ref = manifest->segments->pdata[i];

		g_variant_builder_add(&builder, "(st)", ref->name,
				      (guint64)ref->newest);
	}
	return encode(g_variant_new("(uttta(st))", FORMAT_MANIFEST,
				    manifest->base, manifest->epoch,
				    manifest->write_id, &builder));
}

sr_err_t sr_manifest_decode(GBytes *bytes, sr_manifest_t **manifest)
{
	GVariant *variant = decode(bytes, MANIFEST_TYPE);
	sr_manifest_t *decoded;
	GVariantIter *iter;
	guint32 format;
	guint64 newest;
	char *name;

	if (!variant)
		return SR_ERR_PROTOCOL;
	decoded = sr_manifest_new();
	g_variant_get(variant, "(uttta(st))", &format, &decoded->base,
		      &decoded->epoch, &decoded->write_id, &iter);
	while (g_variant_iter_next(iter, "(st)", &name, &newest)) {
		sr_segment_ref_t *ref = g_new0(sr_segment_ref_t, 1);

		ref->name = name;
		ref->newest = (sr_usec_t)newest;
		g_ptr_array_add(decoded->segments, ref);
	}
	g_variant_iter_free(iter);
	g_variant_unref(variant);
	if (format != FORMAT_MANIFEST ||
	    decoded->segments->len > SR_JOURNAL_SEGMENTS_MAX) {
		sr_manifest_free(decoded);
		return SR_ERR_PROTOCOL;
	}
	*manifest = decoded;
	return SR_OK;
}
