#include "peer/stream.h"

#include <string.h>

/* Largest single read, in bytes. */
#define READ_SIZE (64 * 1024)
/* Bit of a record mark that is set in the last fragment of a record; the other
 * bits are the size of the fragment in bytes. */
#define LAST_FRAGMENT 0x80000000U
/* Size of a record mark, in bytes. */
#define MARK_SIZE 4

struct sr_stream {
	sr_stream_options_t options;
	GCancellable *cancellable;
	GByteArray *unparsed; /* received bytes after the last whole fragment */
	GByteArray *record;   /* fragments of the current record */
	GByteArray *queue;    /* to be sent after writing */
	GByteArray *writing;  /* the write in progress, or NULL */
	unsigned pending_operations; /* reads and writes not completed */
	gboolean closed;
	guint8 read_buffer[READ_SIZE];
};

/* GIO's callbacks use the stream until the last operation has completed. */
static void free_if_idle(sr_stream_t *stream)
{
	if (!stream->closed || stream->pending_operations)
		return;
	g_object_unref(stream->options.connection);
	g_object_unref(stream->cancellable);
	g_byte_array_unref(stream->unparsed);
	g_byte_array_unref(stream->record);
	g_byte_array_unref(stream->queue);
	g_clear_pointer(&stream->writing, g_byte_array_unref);
	g_free(stream);
}

static void shut_down(sr_stream_t *stream)
{
	GSocket *socket =
		g_socket_connection_get_socket(stream->options.connection);

	stream->closed = TRUE;
	g_cancellable_cancel(stream->cancellable);
	g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static void close_and_notify(sr_stream_t *stream)
{
	if (stream->closed)
		return;
	shut_down(stream);
	stream->options.closed(stream->options.user);
}

/*
 * Moves the fragment at offset to the current record and delivers the record
 * once it is complete. Returns FALSE if there is no whole fragment or the
 * stream was closed.
 */
static gboolean consume_fragment(sr_stream_t *stream, gsize *offset)
{
	guint32 mark;
	gsize size;

	if (stream->unparsed->len - *offset < MARK_SIZE)
		return FALSE;
	memcpy(&mark, stream->unparsed->data + *offset, MARK_SIZE);
	mark = GUINT32_FROM_BE(mark);
	size = mark & ~LAST_FRAGMENT;
	if (!size || stream->record->len + size > stream->options.record_max) {
		close_and_notify(stream);
		return FALSE;
	}
	if (stream->unparsed->len - *offset - MARK_SIZE < size)
		return FALSE;
	g_byte_array_append(stream->record,
			    stream->unparsed->data + *offset + MARK_SIZE,
			    (guint)size);
	*offset += MARK_SIZE + size;
	if (mark & LAST_FRAGMENT) {
		stream->options.record(stream->options.user,
				       stream->record->data,
				       stream->record->len);
		g_byte_array_set_size(stream->record, 0);
	}
	return !stream->closed;
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data);

static void start_read(sr_stream_t *stream)
{
	GInputStream *input = g_io_stream_get_input_stream(
		G_IO_STREAM(stream->options.connection));

	stream->pending_operations++;
	g_input_stream_read_async(input, stream->read_buffer, READ_SIZE,
				  G_PRIORITY_DEFAULT, stream->cancellable,
				  on_read, stream);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_stream_t *stream = data;
	gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						 NULL);
	gsize offset = 0;

	if (size <= 0) {
		close_and_notify(stream);
	} else if (!stream->closed) {
		g_byte_array_append(stream->unparsed, stream->read_buffer,
				    (guint)size);
		while (consume_fragment(stream, &offset))
			;
		if (offset)
			g_byte_array_remove_range(stream->unparsed, 0,
						  (guint)offset);
	}
	if (!stream->closed)
		start_read(stream);
	stream->pending_operations--;
	free_if_idle(stream);
}

static void start_write(sr_stream_t *stream);

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	sr_stream_t *stream = data;
	gboolean ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source),
						       result, NULL, NULL);

	g_clear_pointer(&stream->writing, g_byte_array_unref);
	if (!ok)
		close_and_notify(stream);
	else if (!stream->closed)
		start_write(stream);
	stream->pending_operations--;
	free_if_idle(stream);
}

static void start_write(sr_stream_t *stream)
{
	GOutputStream *output = g_io_stream_get_output_stream(
		G_IO_STREAM(stream->options.connection));

	if (stream->writing || !stream->queue->len)
		return;
	stream->writing = stream->queue;
	stream->queue = g_byte_array_new();
	stream->pending_operations++;
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
	stream->unparsed = g_byte_array_new();
	stream->record = g_byte_array_new();
	stream->queue = g_byte_array_new();
	start_read(stream);
	return stream;
}

void sr_stream_set_record_max(sr_stream_t *stream, gsize record_max)
{
	stream->options.record_max = record_max;
}

gboolean sr_stream_send(sr_stream_t *stream, const GByteArray *record)
{
	guint32 mark = GUINT32_TO_BE(record->len | LAST_FRAGMENT);

	if (stream->queue->len + record->len > stream->options.queue_max)
		return FALSE;
	g_byte_array_append(stream->queue, (const guint8 *)&mark, MARK_SIZE);
	g_byte_array_append(stream->queue, record->data, record->len);
	start_write(stream);
	return TRUE;
}

void sr_stream_free(sr_stream_t *stream)
{
	if (!stream)
		return;
	shut_down(stream);
	free_if_idle(stream);
}
