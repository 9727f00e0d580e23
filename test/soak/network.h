#ifndef SR_TEST_SOAK_NETWORK_H
#define SR_TEST_SOAK_NETWORK_H

#include <glib.h>
#include <sys/types.h>

/**
 * The network of a soak run: links between entry hosts and the store.
 *
 * Each host has an address of its own on loopback. In a host's process this
 * file takes the place of connect() and of the functions that send datagrams: a
 * forwarder, a process of its own, passes the bytes of connections on or loses
 * them, and datagrams are dropped at their sender. Callers and instances are
 * reached directly.
 */

#define SOAK_HOSTS_MAX 24

/** Ends of links: the hosts by their index, and the store. */
#define SOAK_STORE SOAK_HOSTS_MAX
#define SOAK_ENDS (SOAK_HOSTS_MAX + 1)

/** Ports of each host, and of the store; below those that the kernel gives. */
#define SOAK_PORT_STORE 21000
#define SOAK_PORT_PEER 21001
#define SOAK_PORT_RELAY 21002
#define SOAK_PORT_CALLERS 21003
#define SOAK_PORT_READY 21004
#define SOAK_PORT_METRICS 21005
#define SOAK_PORT_INSTANCES 21010

/** soak_link_t - state of a link in one direction. */
typedef enum {
	SOAK_LINK_UP,
	/* What is sent is lost, without an error at the sender. A connection
	 * on which something was lost stays silent when the link is back. */
	SOAK_LINK_DOWN,
	/* connections are reset, open ones and new ones */
	SOAK_LINK_REFUSED,
	/* Packets are lost by chance: datagrams for good, bytes of connections
	 * until they are sent again. */
	SOAK_LINK_LOSSY,
} soak_link_t;

/** soak_network_t - mapped by all processes of a run. */
typedef struct {
	unsigned subnet; /* 127.0.0.0 + subnet * 256 is its first address */
	guint16 forward_ports[SOAK_ENDS][2]; /* store or peers, relay */
	guint8 links[SOAK_ENDS][SOAK_ENDS];  /* soak_link_t, by sender */
	guint32 n_silenced[SOAK_ENDS];	     /* see soak_network_silence() */
} soak_network_t;

/** soak_network_new - in a new file at the path; NULL if no subnet is free. */
soak_network_t *soak_network_new(const char *path);

/** soak_network_open - in a host's process, whose connections it redirects. */
soak_network_t *soak_network_open(const char *path, unsigned host);

/** soak_network_ip - of a host or of the store; the caller frees it. */
char *soak_network_ip(const soak_network_t *network, unsigned end);

/** soak_network_end_of - of an address in network order; SOAK_ENDS or more if
 * it is none of an end. */
unsigned soak_network_end_of(guint32 address);

/** soak_network_start - start the forwarder; -1 if it fails. Call it before
 * anything uses GLib's loop. */
pid_t soak_network_start(soak_network_t *network);

/** soak_network_cut - set the links of an end with all others, or with the
 * store only, to a state; one way: those that begin there. */
void soak_network_cut(soak_network_t *network, unsigned end,
		      gboolean only_store, gboolean one_way, soak_link_t state);

/** soak_network_silence - open connections of an end stay silent for good,
 * without an error; new ones work. */
void soak_network_silence(soak_network_t *network, unsigned end);

#endif
