#include "fleet/send_queue.h"

#include "base/list.h"

typedef struct {
	sr_list_t link;
	char *address;
	guint8 *data;
	gsize size;
} datagram_t;

struct sr_send_queue {
	sr_send_queue_options_t options;
	sr_list_t datagrams; /* datagram_t */
	sr_timer_t *timer;   /* NULL while nothing waits or was sent lately */
};

sr_send_queue_t *sr_send_queue_new(const sr_send_queue_options_t *options)
{
	sr_send_queue_t *queue = g_new0(sr_send_queue_t, 1);

	queue->options = *options;
	sr_list_init(&queue->datagrams);
	return queue;
}

static void free_datagram(datagram_t *datagram)
{
	sr_list_remove(&datagram->link);
	g_free(datagram->address);
	g_free(datagram->data);
	g_free(datagram);
}

void sr_send_queue_free(sr_send_queue_t *queue)
{
	if (!queue)
		return;
	sr_timer_cancel(queue->timer);
	sr_list_for_each_safe (link, &queue->datagrams)
		free_datagram(sr_list_entry(link, datagram_t, link));
	g_free(queue);
}

/* Sends one datagram, and more as far as they fit. */
static void send_some(sr_send_queue_t *queue)
{
	gsize sent = 0;

	sr_list_for_each_safe (link, &queue->datagrams) {
		datagram_t *datagram = sr_list_entry(link, datagram_t, link);

		if (sent > 0 &&
		    sent + datagram->size > queue->options.bytes_max)
			break;
		sent += datagram->size;
		queue->options.send(queue->options.user, datagram->address,
				    datagram->data, datagram->size);
		free_datagram(datagram);
	}
}

static void on_timer(void *user)
{
	sr_send_queue_t *queue = user;

	queue->timer = NULL;
	if (sr_list_is_empty(&queue->datagrams))
		return;
	send_some(queue);
	queue->timer = sr_timer_start(queue->options.clock,
				      queue->options.interval, on_timer, queue);
}

void sr_send_queue_push(sr_send_queue_t *queue, const char *address,
			const guint8 *data, gsize size)
{
	datagram_t *datagram = g_new0(datagram_t, 1);

	datagram->address = g_strdup(address);
	datagram->data = g_memdup2(data, size);
	datagram->size = size;
	sr_list_append(&queue->datagrams, &datagram->link);
	if (!queue->timer)
		on_timer(queue);
}

gboolean sr_send_queue_is_empty(const sr_send_queue_t *queue)
{
	return sr_list_is_empty(&queue->datagrams);
}
