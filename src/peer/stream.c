#include "peer/stream.h"

#include <string.h>

#define READ_CHUNK (64 * 1024)
#define LAST_FRAGMENT 0x80000000U
#define MARKER_SIZE 4

struct sr_stream {
	sr_stream_options_t options;
	GCancellable *cancellable;
	GByteArray *in;	    /* bytes that are not yet a whole fragment */
	GByteArray *record; /* fragments of the record so far */
	GByteArray *out;    /* waits while a write is under way */
	GByteArray *writing;
	unsigned pending; /* reads and writes that GIO still holds */
	gboolean closed;
	guint8 chunk[READ_CHUNK];
};

static void release(sr_stream_t *stream)
{
	if (!stream->closed || stream->pending)
		return;
	g_object_unref(stream->options.connection);
	g_object_unref(stream->cancellable);
	g_byte_array_unref(stream->in);
	g_byte_array_unref(stream->record);
	g_byte_array_unref(stream->out);
	g_clear_pointer(&stream->writing, g_byte_array_unref);
	g_free(stream);
}

static void shut(sr_stream_t *stream)
{
	GSocket *socket =
		g_socket_connection_get_socket(stream->options.connection);

	stream->closed = TRUE;
	g_cancellable_cancel(stream->cancellable);
	g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static void fail(sr_stream_t *stream)
{
	if (stream->closed)
		return;
	shut(stream);
	stream->options.closed(stream->options.user);
}

/* Takes one fragment out of the buffer; FALSE if it is not whole or bad. */
static gboolean take_fragment(sr_stream_t *stream, gsize *at)
{
	guint32 marker;
	gsize size;

	if (stream->in->len - *at < MARKER_SIZE)
		return FALSE;
	memcpy(&marker, stream->in->data + *at, MARKER_SIZE);
	marker = GUINT32_FROM_BE(marker);
	size = marker & ~LAST_FRAGMENT;
	if (!size || stream->record->len + size > stream->options.record_max) {
		fail(stream);
		return FALSE;
	}
	if (stream->in->len - *at - MARKER_SIZE < size)
		return FALSE;
	g_byte_array_append(stream->record,
			    stream->in->data + *at + MARKER_SIZE, (guint)size);
	*at += MARKER_SIZE + size;
	if (marker & LAST_FRAGMENT) {
		stream->options.record(stream->options.user,
				       stream->record->data,
				       stream->record->len);
		g_byte_array_set_size(stream->record, 0);
	}
	return !stream->closed;
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void read_more(sr_stream_t *stream)
{
	GInputStream *input = g_io_stream_get_input_stream(
		G_IO_STREAM(stream->options.connection));

	stream->pending++;
	g_input_stream_read_async(input, stream->chunk, READ_CHUNK,
				  G_PRIORITY_DEFAULT, stream->cancellable,
				  on_read, stream);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_stream_t *stream = data;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						 NULL);
	gsize at = 0;

	if (size <= 0) {
		fail(stream);
	} else if (!stream->closed) {
		g_byte_array_append(stream->in, stream->chunk, (guint)size);
		while (take_fragment(stream, &at))
			;
		if (at)
			g_byte_array_remove_range(stream->in, 0, (guint)at);
	}
	if (!stream->closed)
		read_more(stream);
	stream->pending--;
	release(stream);
}

static void write_more(sr_stream_t *stream);

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_stream_t *stream = data;
	gboolean good = g_output_stream_write_all_finish(
		G_OUTPUT_STREAM(source), result, NULL, NULL);

	g_clear_pointer(&stream->writing, g_byte_array_unref);
	if (!good)
		fail(stream);
	else if (!stream->closed)
		write_more(stream);
	stream->pending--;
	release(stream);
}

static void write_more(sr_stream_t *stream)
{
	GOutputStream *output = g_io_stream_get_output_stream(
		G_IO_STREAM(stream->options.connection));

	if (stream->writing || !stream->out->len)
		return;
	stream->writing = stream->out;
	stream->out = g_byte_array_new();
	stream->pending++;
	g_output_stream_write_all_async(
		output, stream->writing->data, stream->writing->len,
		G_PRIORITY_DEFAULT, stream->cancellable, on_written, stream);
}

sr_stream_t *sr_stream_new(const sr_stream_options_t *options)
{
	sr_stream_t *stream = g_new0(sr_stream_t, 1);

	stream->options = *options;
	g_object_ref(options->connection);
	stream->cancellable = g_cancellable_new();
	stream->in = g_byte_array_new();
	stream->record = g_byte_array_new();
	stream->out = g_byte_array_new();
	read_more(stream);
	return stream;
}

void sr_stream_set_record_max(sr_stream_t *stream, gsize record_max)
{
	stream->options.record_max = record_max;
}

gboolean sr_stream_send(sr_stream_t *stream, const GByteArray *record)
{
	guint32 marker = GUINT32_TO_BE(record->len | LAST_FRAGMENT);

	if (stream->out->len + record->len > stream->options.queue_max)
		return FALSE;
	g_byte_array_append(stream->out, (const guint8 *)&marker, MARKER_SIZE);
	g_byte_array_append(stream->out, record->data, record->len);
	write_more(stream);
	return TRUE;
}

void sr_stream_free(sr_stream_t *stream)
{
	if (!stream)
		return;
	shut(stream);
	release(stream);
}
