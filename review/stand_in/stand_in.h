#ifndef REVIEW_STAND_IN_H
#define REVIEW_STAND_IN_H

/*
 * Stand-ins of the users' platform for the review: its store, the receiver of
 * duties, workers, clients and machines, on loopback and the real clock. All
 * functions may be called from any thread.
 */
#include <glib.h>
#include <json-c/json.h>

/* names.c, record.c */

/** names_load - reads names.txt; ends the program if it can't. */
void names_load(const char *path);

/** name_of - a name of the users' interface by its key. */
const char *name_of(const char *key);

/** record_open - begins the record; its times count from here. */
void record_open(const char *path);

/** record - adds a line to the record. */
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** now_ms - time since record_open(). */
gint64 now_ms(void);

void sleep_ms(gint64 ms);

/** fail_to_run - ends the program with status 2: the case couldn't run. */
G_NORETURN void fail_to_run(const char *what);

/* http.c */

/** connection_t - one connection, with bytes that were read ahead. */
typedef struct {
	int fd;
	GByteArray *input;
} connection_t;

typedef struct {
	char *first;	   /* method or version */
	char *second;	   /* target or status */
	GPtrArray *fields; /* names and values by turns */
	GByteArray *body;
} message_t;

connection_t *connection_new(int fd);
void connection_free(connection_t *connection);

/** connect_to - a connected socket, or -1; reads time out after timeout_ms. */
int connect_to(const char *ip, int port, int timeout_ms);

/** message_read - NULL if the connection ends before the message does. */
message_t *message_read(connection_t *connection);
void message_free(message_t *message);

/** message_read_head, message_read_body - the parts of a message. */
message_t *message_read_head(connection_t *connection);
gboolean message_read_body(connection_t *connection, message_t *message);

/** message_read_line - records the next line; FALSE if there is none. */
gboolean message_read_line(connection_t *connection);
const char *message_field(const message_t *message, const char *name);

/** send_text - FALSE if the peer has gone. */
gboolean send_text(int fd, const char *text, gsize size);

/** respond - a complete response; fields are whole lines, or NULL. */
gboolean respond(int fd, int status, const char *fields, const char *body);

/** serve_fn - handles one request; FALSE closes the connection. */
typedef gboolean (*serve_fn)(void *user, int fd, const message_t *request);

/** serve - listens on a free port of the address and returns it; each
 * connection has a thread. */
int serve(const char *ip, serve_fn fn, void *user);

/** free_port - a port that is free on each of n addresses. */
int free_port(const char *const *ips, unsigned n);

/* store.c */

/** store_start - an empty store with the era of its first start. */
int store_start(const char *ip, unsigned era);

/** store_put - writes an object as the operator or a worker does; no new
 * revision if nothing changes. */
void store_put(const char *kind, const char *name, const char *spec);
void store_remove(const char *kind, const char *name);

/** store_down - ends all connections and refuses calls until store_up(). */
void store_down(void);

/** store_up - serves again; with restored_ms > 0 from the copy that is so old,
 * in the next era. The caller writes again what operator and workers wrote. */
void store_up(gint64 restored_ms);

/* duties.c */

int duties_start(const char *ip);

/** duties_reports - how many reports of usage were accepted. */
unsigned duties_reports(void);

/** duties_conflicts - windows for which reports with different counts were
 * accepted. */
unsigned duties_conflicts(void);

/** duties_shared_epochs - calls with an epoch number that another holder has
 * sent for the same duty and subject. */
unsigned duties_shared_epochs(void);

/** duties_last_holder - the machine that called last; MACHINES_MAX for none. */
unsigned duties_last_holder(void);

/** duties_has_report - whether a report of the window was accepted. */
gboolean duties_has_report(gint64 window);

/* worker.c */

typedef struct worker worker_t;

/** answer_fn - answers a request that the worker named has begun to run; FALSE
 * closes the connection. */
typedef gboolean (*answer_fn)(const char *name, int fd,
			      const message_t *request);

typedef struct {
	const char *name;
	const char *service;
	const char *ip;
	const char *zone;
	int work_ms;
	answer_fn answer; /* NULL for a short success */
} worker_options_t;

/** worker_fields - the lines that each answer to a request has; freed by the
 * caller. */
char *worker_fields(const char *name, const message_t *request);

/** worker_start - serves, and registers itself every 1,200 ms. */
worker_t *worker_start(const worker_options_t *options);

/** worker_runs - requests that workers began to run. */
unsigned worker_runs(void);

/* machine.c */

#define MACHINES_MAX 8

typedef struct {
	const char *program;  /* of the deploy file */
	const char *template; /* of the settings */
	const char *folder;   /* for settings and logs */
	int store_port;
	int duties_port;
	unsigned n;
} machines_options_t;

void machines_init(const machines_options_t *options);
/** machine_name - freed by the caller. */
char *machine_name(unsigned i);
const char *machine_ip(unsigned i);
int machine_port(void);
void machine_start(unsigned i);
void machine_signal(unsigned i, int signal);

/** machine_wait - until its process has ended. */
void machine_wait(unsigned i);
gboolean machine_runs(unsigned i);

/** machine_is_ready - as the platform asks it. */
gboolean machine_is_ready(unsigned i);
void machines_end(void);

/* bed.c */

/** bed_start - store, receiver of duties and machines of a case, which aren't
 * started yet. Arguments: the folder of the stand-ins, that of the case, the
 * program, the template of its settings, and a folder for settings and logs. */
void bed_start(char **argv, unsigned n_machines);

/** bed_file - path of a file of the stand-ins. */
const char *bed_file(const char *name);

/** bed_case_text - a file of the case; freed by the caller. */
char *bed_case_text(const char *name);

/** bed_put_config - the operator writes config/main from a file of the case. */
void bed_put_config(const char *name);

/** bed_has_trouble - FALSE with TROUBLE=0 in the environment. */
gboolean bed_has_trouble(void);

/** bed_wait_ready - until all machines say that they are ready; FALSE if they
 * aren't in time. */
gboolean bed_wait_ready(gint64 timeout_ms);

/* client.c */

typedef struct {
	const char *host;
	const char *path;
	const char *key;
	int deadline_ms;
} request_t;

/** client_ask - one attempt on a new connection; the status, or 0 if there is
 * no answer. */
int client_ask(unsigned machine, const request_t *request);

#endif
