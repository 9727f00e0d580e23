#ifndef SR_FLEET_BELIEFS_H
#define SR_FLEET_BELIEFS_H

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"
#include "core/instances.h"
#include "core/route_table.h"
#include "core/usage_windows.h"
#include "gateway/gateway.h"

/**
 * sr_beliefs_t - what this entry host believes about the deployment, from the
 * platform and from the other entry hosts
 *
 * Whatever the platform says is spread among the entry hosts, and the newer
 * of two statements wins, so that a host which the platform does not answer
 * follows its peers. The hosts also tell each other what they run, what was
 * asked of them and what began to run. Beliefs are put into the gateway.
 */
typedef struct sr_beliefs sr_beliefs_t;

typedef struct {
	const char *node;
	const char *failure_domain;
	const char *peer_address; /* IP:PORT to listen on */
	const GPtrArray *seeds;	  /* char *, IP:PORT */
	const char *cluster;
	const guint8 *secret;
	gsize secret_size;
	sr_usec_t usage_window; /* 0 if usage is not counted */
	sr_clock_t *clock;
	sr_log_t *log;
	sr_gateway_t *gateway;
	guint64 seed;
	/* reads a table's text; NULL if it can't be read */
	sr_route_table_t *(*decode)(GBytes *text);
	/* peers know more than the platform has told this host */
	void (*behind)(void *user);
	void *user;
} sr_beliefs_options_t;

/** sr_beliefs_new - NULL if it can't listen; problem is freed by the caller. */
sr_beliefs_t *sr_beliefs_new(const sr_beliefs_options_t *options,
			     char **problem);
void sr_beliefs_free(sr_beliefs_t *beliefs);

/** What the platform says. */
void sr_beliefs_table(sr_beliefs_t *beliefs, GBytes *text);
void sr_beliefs_entry(sr_beliefs_t *beliefs, const sr_registration_t *entry);
void sr_beliefs_entry_removed(sr_beliefs_t *beliefs, const char *name,
			      guint64 revision);

/** sr_beliefs_began - a request of the account began to run here. */
void sr_beliefs_began(sr_beliefs_t *beliefs, const char *account);

/** sr_beliefs_ask_pool, sr_beliefs_cancel_ask - as the gateway's options. */
void sr_beliefs_ask_pool(sr_beliefs_t *beliefs, const char *account,
			 double amount, sr_pool_answer_fn done, void *user);
void sr_beliefs_cancel_ask(sr_beliefs_t *beliefs, void *user);

/** sr_beliefs_usage - NULL if usage is not counted; borrowed. */
sr_usage_windows_t *sr_beliefs_usage(const sr_beliefs_t *beliefs);

/** sr_beliefs_usage_told_for - how long other hosts have been sending their
 * counts to this one. */
sr_usec_t sr_beliefs_usage_told_for(const sr_beliefs_t *beliefs);

/** sr_beliefs_owner_name - node and incarnation, never used before. */
const char *sr_beliefs_owner_name(const sr_beliefs_t *beliefs);

/** sr_beliefs_hosts - live entry hosts that are known, this one too. */
unsigned sr_beliefs_hosts(const sr_beliefs_t *beliefs);

/** Name of the duties among the things that a host can own. */
#define SR_BELIEFS_DUTIES "duties"

/** sr_beliefs_announce_holder - this host has the duties under an epoch. */
void sr_beliefs_announce_holder(sr_beliefs_t *beliefs, guint64 epoch);

/** sr_beliefs_rank - how many live hosts should rather own a thing. */
unsigned sr_beliefs_rank(const sr_beliefs_t *beliefs, const char *thing);

/** sr_beliefs_work - of a service's engines for the prompts of all hosts, in
 * busy instances. */
double sr_beliefs_work(const sr_beliefs_t *beliefs, const char *service);

/** sr_beliefs_seed - an address to contact until its host is known. */
void sr_beliefs_seed(sr_beliefs_t *beliefs, const char *address);

/** sr_beliefs_leave - tell the others of a planned stop. */
void sr_beliefs_leave(sr_beliefs_t *beliefs);

#endif
