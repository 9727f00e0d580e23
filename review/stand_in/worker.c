#include <string.h>

#include "stand_in.h"

#define BEAT_MS 1200

struct worker {
	worker_options_t options;
	int port;
};

static gint n_runs;

char *worker_fields(const char *name, const message_t *request)
{
	const char *id = message_field(request, name_of("request_id"));

	return g_strdup_printf("%s: %s\r\n%s: %s.%s\r\n", name_of("request_id"),
			       id, name_of("signature"), name, id);
}

static gboolean on_request(void *user, int fd, const message_t *request)
{
	const worker_t *worker = user;
	const char *id = message_field(request, name_of("request_id"));
	const char *expected = message_field(request, name_of("expected"));
	char *fields;
	gboolean is_sent;

	if (expected && strcmp(expected, worker->options.name) != 0) {
		fields = g_strdup_printf("%s: %s\r\n", name_of("instance_id"),
					 worker->options.name);
		is_sent = respond(fd, 421, fields, "");
		g_free(fields);
		return is_sent;
	}
	if (!id) {
		fields = g_strdup_printf("%s: %s\r\n", name_of("instance_id"),
					 worker->options.name);
		is_sent = respond(fd, 200, fields, "");
		g_free(fields);
		return is_sent;
	}
	g_atomic_int_inc(&n_runs);
	record("run %s at %s", id, worker->options.name);
	sleep_ms(worker->options.work_ms);
	if (worker->options.answer)
		return worker->options.answer(worker->options.name, fd,
					      request);
	fields = worker_fields(worker->options.name, request);
	is_sent = respond(fd, 200, fields, "done");
	g_free(fields);
	return is_sent;
}

/* What stands in the store changes only when more than the count does. */
static gpointer beat(gpointer data)
{
	worker_t *worker = data;
	const worker_options_t *options = &worker->options;
	char *address = g_strdup_printf("%s:%d", options->ip, worker->port);
	json_object *entry = json_object_from_file(bed_file("entry.json"));

	if (!entry)
		fail_to_run("entry.json can't be read");
	json_object_object_add(entry, "service",
			       json_object_new_string(options->service));
	json_object_object_add(entry, "address",
			       json_object_new_string(address));
	json_object_object_add(entry, "zone",
			       json_object_new_string(options->zone));
	for (;;) {
		store_put("servers", options->name,
			  json_object_to_json_string(entry));
		sleep_ms(BEAT_MS);
	}
	return NULL;
}

worker_t *worker_start(const worker_options_t *options)
{
	worker_t *worker = g_new0(worker_t, 1);

	worker->options = *options;
	worker->port = serve(options->ip, on_request, worker);
	g_thread_unref(g_thread_new("beat", beat, worker));
	return worker;
}

unsigned worker_runs(void)
{
	return (unsigned)g_atomic_int_get(&n_runs);
}
