#include "event_queue.h"

typedef struct {
	sr_usec_t due;
	guint64 order; /* of addition, among events with the same due time */
	event_fn fn;
	void *user;
	void *data;
} event_t;

struct event_queue {
	GArray *heap; /* binary heap of event_t, the next one first */
	sr_usec_t now;
	guint64 last_order;
};

event_queue_t *event_queue_new(void)
{
	event_queue_t *queue = g_new0(event_queue_t, 1);

	queue->heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	return queue;
}

void event_queue_free(event_queue_t *queue)
{
	g_array_unref(queue->heap);
	g_free(queue);
}

sr_usec_t event_queue_now(const event_queue_t *queue)
{
	return queue->now;
}

static gboolean is_before(const event_t *a, const event_t *b)
{
	return a->due != b->due ? a->due < b->due : a->order < b->order;
}

static void swap(event_t *a, event_t *b)
{
	event_t saved = *a;

	*a = *b;
	*b = saved;
}

static void sift_up(event_t *heap, guint index)
{
	while (index > 0 && is_before(&heap[index], &heap[(index - 1) / 2])) {
		swap(&heap[index], &heap[(index - 1) / 2]);
		index = (index - 1) / 2;
	}
}

static void sift_down(event_t *heap, guint len)
{
	guint index = 0;

	for (;;) {
		guint earliest = index;

		for (guint i = 2 * index + 1; i <= 2 * index + 2 && i < len;
		     i++) {
			if (is_before(&heap[i], &heap[earliest]))
				earliest = i;
		}
		if (earliest == index)
			return;
		swap(&heap[index], &heap[earliest]);
		index = earliest;
	}
}

void event_queue_add(event_queue_t *queue, sr_usec_t delay, event_fn fn,
		     void *user, void *data)
{
	event_t event = { .due = queue->now + MAX(delay, 0),
			  .order = ++queue->last_order,
			  .fn = fn,
			  .user = user,
			  .data = data };

	g_array_append_val(queue->heap, event);
	sift_up((event_t *)queue->heap->data, queue->heap->len - 1);
}

void event_queue_run(event_queue_t *queue, sr_usec_t until)
{
	while (queue->heap->len > 0) {
		event_t event = g_array_index(queue->heap, event_t, 0);

		if (event.due > until)
			break;
		swap(&g_array_index(queue->heap, event_t, 0),
		     &g_array_index(queue->heap, event_t,
				    queue->heap->len - 1));
		g_array_set_size(queue->heap, queue->heap->len - 1);
		sift_down((event_t *)queue->heap->data, queue->heap->len);
		queue->now = event.due;
		event.fn(event.user, event.data);
	}
	queue->now = until;
}
