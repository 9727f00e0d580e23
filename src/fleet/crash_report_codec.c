#include "fleet/crash_report_codec.h"

#include <string.h>

#define NUMBER_SIZE sizeof(guint64)

/** Bit of the first byte of a request; the others are its number of parts. */
#define HAS_BEGUN 0x80

static void append_number(GByteArray *out, guint64 number)
{
	guint64 wire = GUINT64_TO_BE(number);

	g_byte_array_append(out, (const guint8 *)&wire, NUMBER_SIZE);
}

static gsize encoded_size(const sr_crash_request_t *request)
{
	return 1 + NUMBER_SIZE * (1 + request->print.n_parts);
}

GBytes *sr_crash_report_encode(const sr_crash_report_t *report, unsigned first,
			       gsize max_size, unsigned *n_encoded)
{
	GByteArray *out = g_byte_array_new();
	unsigned i = first;

	append_number(out, report->instance);
	for (; i < report->n_requests &&
	       out->len + encoded_size(&report->requests[i]) <= max_size;
	     i++) {
		const sr_crash_request_t *request = &report->requests[i];
		const sr_request_print_t *print = &request->print;
		guint8 first_byte = (guint8)print->n_parts;

		if (request->has_begun)
			first_byte |= HAS_BEGUN;
		g_byte_array_append(out, &first_byte, 1);
		append_number(out, print->request);
		for (unsigned k = 0; k < print->n_parts; k++)
			append_number(out, print->parts[k]);
	}
	*n_encoded = i - first;
	return g_byte_array_free_to_bytes(out);
}

/* Returns FALSE if no whole number is left. */
static gboolean read_number(const guint8 **data, gsize *size, guint64 *number)
{
	guint64 wire;

	if (*size < NUMBER_SIZE)
		return FALSE;
	memcpy(&wire, *data, NUMBER_SIZE);
	*number = GUINT64_FROM_BE(wire);
	*data += NUMBER_SIZE;
	*size -= NUMBER_SIZE;
	return TRUE;
}

static gboolean read_request(const guint8 **data, gsize *size,
			     sr_crash_request_t *request)
{
	sr_request_print_t *print = &request->print;

	request->has_begun = (**data & HAS_BEGUN) != 0;
	print->n_parts = **data & ~HAS_BEGUN;
	(*data)++;
	(*size)--;
	if (print->n_parts > SR_REQUEST_PRINT_PARTS ||
	    !read_number(data, size, &print->request))
		return FALSE;
	for (unsigned i = 0; i < print->n_parts; i++) {
		if (!read_number(data, size, &print->parts[i]))
			return FALSE;
	}
	return TRUE;
}

gboolean sr_crash_report_decode(const guint8 *data, gsize size,
				guint64 *instance, GArray *requests)
{
	if (!read_number(&data, &size, instance))
		return FALSE;
	while (size > 0) {
		sr_crash_request_t request = { 0 };

		if (!read_request(&data, &size, &request))
			return FALSE;
		g_array_append_val(requests, request);
	}
	return TRUE;
}
