#ifndef SR_FLEET_SEND_QUEUE_H
#define SR_FLEET_SEND_QUEUE_H

#include <glib.h>

#include "base/clock.h"

/**
 * sr_send_queue_t - sends datagrams at a bounded rate, in order
 *
 * Many datagrams that are sent at once overrun the queue of a slow link, which
 * then drops all beyond its length.
 */
typedef struct sr_send_queue sr_send_queue_t;

/** sr_send_queue_options_t - the clock is borrowed. */
typedef struct {
	sr_clock_t *clock;
	sr_usec_t interval; /* between two sends */
	gsize bytes_max;    /* of one send; a larger datagram is sent alone */
	/* data is valid during the call */
	void (*send)(void *user, const char *address, const guint8 *data,
		     gsize size);
	void *user;
} sr_send_queue_options_t;

/** sr_send_queue_new - free the result with sr_send_queue_free(). */
sr_send_queue_t *sr_send_queue_new(const sr_send_queue_options_t *options);

/** sr_send_queue_free - what waits isn't sent; NULL is allowed. */
void sr_send_queue_free(sr_send_queue_t *queue);

/** sr_send_queue_push - copies the address and the data. */
void sr_send_queue_push(sr_send_queue_t *queue, const char *address,
			const guint8 *data, gsize size);

/** sr_send_queue_is_empty - nothing waits. */
gboolean sr_send_queue_is_empty(const sr_send_queue_t *queue);

#endif
