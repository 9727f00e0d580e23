#ifndef SR_TEST_SOAK_SOAK_H
#define SR_TEST_SOAK_SOAK_H

/*
 * A run of the soak, shared by its parts: the store with the operator who
 * writes to it, the hosts, and the callers.
 */
#include <libsoup/soup.h>

#include "network.h"
#include "plan.h"
#include "rules.h"
#include "sums.h"

/** Time within which a stopped host has to end, in ms. */
#define SOAK_STOP_MS 8000

/** Failure domains, to which hosts belong by turns. */
#define SOAK_DOMAINS 4

/** Subjects that were changed last, one of which is asked for. */
#define SOAK_RECENT 6

typedef struct {
	GPid pid;	    /* 0 while it doesn't run */
	gint64 stopping_ms; /* 0 if it isn't being stopped */
	char *settings;
	gboolean is_replaced; /* it doesn't start again */
	unsigned n_cuts;      /* that last */
	unsigned n_asked;
	unsigned n_served;
} soak_process_t;

/** Tokens of a request of the account whose use is summed up. */
#define SOAK_REQUEST_TOKENS 15000

typedef struct soak_store soak_store_t;
typedef struct soak_duties soak_duties_t;

typedef struct {
	/* options */
	guint32 seed;
	unsigned n_hosts; /* that were started, also those since replaced */
	gint64 length_ms;
	soak_kind_t only;    /* SOAK_N_KINDS for all */
	const char *program; /* of every second host; NULL for this one */
	gboolean is_verbose;

	char *self; /* path of this program */
	char *folder;
	char *network_path;
	soak_network_t *network;
	pid_t forwarder;
	GRand *random;
	gint64 started_us;
	soak_rules_t *rules;
	soak_store_t *store;
	soak_duties_t *duties;
	SoupSession *session; /* of the callers */
	soak_process_t hosts[SOAK_HOSTS_MAX];
	unsigned next_host; /* to be asked */
	guint64 n_asked;
	GPtrArray *routes; /* soak_subject_t; the first one always holds */
	GPtrArray *keys;   /* soak_subject_t */
	GPtrArray *recent; /* borrowed; the latest changed is the last */
	char limit[8];	   /* that an instance names, as a header */
	soak_sums_t *sums;
	gint64 sums_from_ms;  /* hosts have had the time to learn */
	GHashTable *seen_ids; /* of requests at instances */
	unsigned n_steps[SOAK_N_KINDS];
} soak_t;

/** soak_now_ms - since the start of the run. */
gint64 soak_now_ms(const soak_t *soak);

/** soak_listen - at a port of the store's address. */
SoupServer *soak_listen(const soak_t *soak, int port,
			SoupServerCallback handler, gpointer user);

/** soak_caller_of - the host that has sent a request; SOAK_ENDS or more if it
 * isn't known. */
unsigned soak_caller_of(SoupServerMessage *message);

/** soak_store_start - the store and the first configuration. */
void soak_store_start(soak_t *soak);

/** soak_store_register - write an instance's entry. */
void soak_store_register(soak_t *soak, const char *name, const char *entry);

/** soak_instances_start - start and register instances of all services. */
void soak_instances_start(soak_t *soak);

/** soak_instances_register - write their entries. */
void soak_instances_register(soak_t *soak);

/** soak_store_disrupt - begin or end a disruption of the store. */
void soak_store_disrupt(soak_t *soak, const soak_step_t *step, gboolean is_on);

/** soak_store_change - the operator writes the next version, as soon as the
 * store takes it. */
void soak_store_change(soak_t *soak, soak_change_kind_t kind);

soak_duties_t *soak_duties_new(void);

/** soak_duties_called - a host has called the platform; path: of the call. */
void soak_duties_called(soak_t *soak, SoupServerMessage *message,
			const char *path);

/** soak_duties_print - returns the number of breaches. */
unsigned soak_duties_print(const soak_duties_t *duties);
const char *soak_duties_breaches(const soak_duties_t *duties);

/** soak_callers_start - ask the hosts in turn until the run ends. */
void soak_callers_start(soak_t *soak);

/** soak_host_prepare - write the settings of a host. */
void soak_host_prepare(soak_t *soak, unsigned host);
void soak_host_start(soak_t *soak, unsigned host);

/** soak_host_replace - end a host for good, and start one at a new address. */
void soak_host_replace(soak_t *soak, unsigned host);

/** soak_host_end - by a signal; the host starts again unless it is replaced. */
void soak_host_end(soak_t *soak, unsigned host, int signal);

/** soak_host_run - be a host; returns the program's exit status. */
int soak_host_run(const char *settings_path, const char *network_path,
		  unsigned host);

#endif
