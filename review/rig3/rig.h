#ifndef SR_REVIEW_RIG3_H
#define SR_REVIEW_RIG3_H

/*
 * Stand-ins of the users' platform for cases that are scripts: its store, a
 * server that answers with as many bytes as the path says, callers that take
 * an answer slowly, and entry hosts as processes. All listen on loopback.
 */
#include <glib.h>
#include <stdio.h>

#define RIG_HOSTS_MAX 2
#define RIG_SERVERS_MAX 4

/** End of the arguments of rig_text(). */
#define RIG_END ((const char *)NULL)

/** rig_t - what a case is played on */
typedef struct {
	const char *program; /* of an entry host */
	GKeyFile *wire;	     /* texts in the words of the platform */
	FILE *record;
	GMutex lock; /* of record and runs */
	GHashTable *runs;
	gint64 started; /* monotonic, in us */
	char *folder;	/* of settings and logs */
	int store_port;
	struct rig_store *store;
	unsigned n_servers;
	unsigned work_ms;    /* of a request */
	unsigned down_ms;    /* of a server that has crashed */
	unsigned n_archive;  /* the last ones are of the service "archive" */
	gboolean is_crashed; /* by requests for RIG_CRASH */
	int server_ports[RIG_SERVERS_MAX];
	gint64 born_ms[RIG_SERVERS_MAX]; /* start of the server, Unix time */
	GArray *crashes;      /* rig_arrival_t, of the request at fault */
	GArray *arrivals;     /* rig_arrival_t, of requests for RIG_CRASH */
	unsigned n_misrouted; /* of the service "ledger", run by the other */
	int host_port;	      /* the first of five; the same for all hosts */
	GPid hosts[RIG_HOSTS_MAX];
} rig_t;

/** rig_result_t - of a case; the exit code of the program */
typedef enum {
	RIG_HELD,
	RIG_BROKEN,
	RIG_CANNOT_RUN,
} rig_result_t;

/** rig_arrival_t - a request at a server */
typedef struct {
	char id[24];
	gint64 at; /* in ms since the start */
} rig_arrival_t;

/** What a request asks for that crashes the server which begins to run it. */
#define RIG_CRASH "crash"

/** rig_text - a text of wire.txt with @NAME@ replaced; the arguments are pairs
 * of names and values up to RIG_END. To be freed. */
char *rig_text(const rig_t *rig, const char *group, const char *key,
	       ...) G_GNUC_NULL_TERMINATED;

/** rig_note - writes a line to the record, with the time since the start. */
void rig_note(rig_t *rig, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** rig_ms - time since the start. */
gint64 rig_ms(const rig_t *rig);

/** rig_has_run - the server has begun to work on the request. */
gboolean rig_has_run(rig_t *rig, const char *id);

/** rig_start_store - lists, watches and conditional writes of objects, and
 * the calls of duties, which are all accepted. Serves in the default context.
 */
gboolean rig_start_store(rig_t *rig);

/** rig_register_server - the server writes its entry anew, from any thread. */
void rig_register_server(rig_t *rig, unsigned server);

/** rig_write_foreign_entry - another writer replaces the server's entry, from
 * any thread. */
void rig_write_foreign_entry(rig_t *rig, unsigned server);

/** rig_is_archive - whether the server is of the service "archive". */
gboolean rig_is_archive(const rig_t *rig, unsigned server);

/** rig_start_servers - they answer a request after work_ms with the number of
 * bytes that its path ends in; a thread for each connection. */
gboolean rig_start_servers(rig_t *rig);

gboolean rig_start_host(rig_t *rig, unsigned host);

/** rig_end_hosts - ends all hosts by SIGKILL. */
void rig_end_hosts(rig_t *rig);

/** rig_remove_folder - removes the hosts' settings and logs. */
void rig_remove_folder(const rig_t *rig);

/** rig_find_ports - sets host_port and server_ports to free ones. */
gboolean rig_find_ports(rig_t *rig);

/** rig_listen - a listening socket on 127.0.0.1; -1 if there is none. */
int rig_listen(int port);

/** rig_ask_t - a request on a connection, and what came of it */
typedef struct {
	char id[24];
	gboolean is_crash; /* asks for RIG_CRASH, one of several kinds */
	unsigned kind;
	gboolean is_keep; /* of the service "archive" */
	gsize size;	  /* of the body that is asked for */
	unsigned time_ms; /* limit of the caller */
	/* result */
	int status; /* 0 without an answer */
	gsize got;  /* bytes of the body */
	gint64 sent_at;
	gint64 ended_at; /* both in ms since the start */
} rig_ask_t;

/** rig_connect - a connection of a caller to a host; -1 if there is none. */
int rig_connect(const rig_t *rig, unsigned host);

/** rig_ask - sends a request and reads its answer; TRUE if it is complete. */
gboolean rig_ask(rig_t *rig, int fd, rig_ask_t *ask);

/** rig_play_crash - requests that crash servers come again and again beside
 * sound ones; broken if they reach servers more often than the rule allows. */
rig_result_t rig_play_crash(rig_t *rig, gboolean has_trouble);

/** rig_play_foreign - another writer changes the entry of a server; broken if a
 * request is run by a service to which no route leads. */
rig_result_t rig_play_foreign(rig_t *rig, gboolean has_trouble);

#endif
