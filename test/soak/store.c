#include "soak.h"

#include <sys/socket.h>

#include "../platform_store.h"

/** Answers of the store, and while it is slow, in ms; a part of the writes
 * whose answers are lost. */
#define ANSWER_MS 4
#define SLOW_ANSWER_MS 240
#define LOST_SHARE 0.35

/** Routes without traffic, those that are added at once, and their limit. */
#define ROUTES 100
#define ROUTES_ADDED 350
#define ROUTES_MAX 1400

/** Interval of copies of the store, how many are kept, and how many at the most
 * are lost in a restore; the time until the operator writes again, in ms. */
#define COPY_MS 500
#define COPIES_MAX 24
#define COPIES_LOST_MAX 20
#define REWRITE_MS 2000

typedef struct {
	gint64 revision;
	char *objects; /* as a text */
} store_copy_t;

struct soak_store {
	store_t store;
	GQueue copies;	      /* store_copy_t; the latest is the last */
	gboolean is_restored; /* the operator has yet to write again */
	unsigned answer_ms;
	double lost_share;
	gint32 turned_away[SOAK_HOSTS_MAX]; /* soak_kind_t; negative for none */
	gint32 away; /* soak_kind_t of all calls; negative for none */
	unsigned n_idle_routes;
	unsigned n_waiting_changes; /* while the store is away */
};

/* The store. */

/** store_call_t - a call that waits for its answer. */
typedef struct {
	soak_t *soak;
	SoupServerMessage *message;
	char *path;
	GHashTable *query;
	gboolean is_gone;
} store_call_t;

static void on_call_gone(SoupServerMessage *message, gpointer user)
{
	(void)message;
	((store_call_t *)user)->is_gone = TRUE;
}

unsigned soak_caller_of(SoupServerMessage *message)
{
	GSocketAddress *address =
		soup_server_message_get_remote_address(message);
	GInetAddress *inet;
	guint32 ip;

	if (!G_IS_INET_SOCKET_ADDRESS(address))
		return SOAK_ENDS;
	inet = g_inet_socket_address_get_address(
		G_INET_SOCKET_ADDRESS(address));
	memcpy(&ip, g_inet_address_to_bytes(inet), sizeof(ip));
	return soak_network_end_of(ip);
}

/* Ends the connection of a call without an answer. */
static void reset_call(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	const struct linger abort = { .l_onoff = 1 };
	GIOStream *stream;

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &abort,
		   sizeof(abort));
	stream = soup_server_message_steal_connection(message);
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

/* Never answers; the caller has to give up. */
static void ignore_call(SoupServerMessage *message)
{
	soup_server_message_pause(g_object_ref(message));
}

/* Ends a call in the way of a disruption; FALSE if it is answered. */
static gboolean turn_away(SoupServerMessage *message, gint32 kind)
{
	switch (kind) {
	case SOAK_STORE_BUSY:
	case SOAK_TURNED_BUSY:
		respond(message, 503, NULL);
		return TRUE;
	case SOAK_TURNED_MANY:
		respond(message, 429, NULL);
		return TRUE;
	case SOAK_STORE_RESET:
	case SOAK_TURNED_RESET:
		reset_call(message);
		return TRUE;
	case SOAK_STORE_SILENT:
	case SOAK_TURNED_SILENT:
		ignore_call(message);
		return TRUE;
	default:
		return FALSE;
	}
}

static gboolean on_call_due(gpointer user)
{
	store_call_t *call = user;
	soak_t *soak = call->soak;

	g_signal_handlers_disconnect_by_data(call->message, call);
	if (!call->is_gone) {
		gboolean writes =
			strcmp(soup_server_message_get_method(call->message),
			       "GET") != 0;

		soup_server_message_unpause(call->message);
		answer_store_call(&soak->store->store, call->message,
				  call->path, call->query);
		if (writes &&
		    g_rand_double(soak->random) < soak->store->lost_share)
			ignore_call(call->message);
	}
	g_clear_pointer(&call->query, g_hash_table_unref);
	g_object_unref(call->message);
	g_free(call->path);
	g_free(call);
	return G_SOURCE_REMOVE;
}

static void on_store_received(void *user, SoupServerMessage *message,
			      const char *path, GHashTable *query)
{
	soak_t *soak = user;
	unsigned host = soak_caller_of(message);
	store_call_t *call;

	if (turn_away(message, soak->store->away) ||
	    (host < soak->n_hosts &&
	     turn_away(message, soak->store->turned_away[host])))
		return;
	call = g_new0(store_call_t, 1);
	call->soak = soak;
	call->message = g_object_ref(message);
	call->path = g_strdup(path);
	call->query = query ? g_hash_table_ref(query) : NULL;
	g_signal_connect(message, "disconnected", G_CALLBACK(on_call_gone),
			 call);
	soup_server_message_pause(message);
	g_timeout_add(soak->store->answer_ms, on_call_due, call);
}

/* Cuts the watches off that wait there. */
static void reset_watches(const soak_t *soak)
{
	const GPtrArray *held = soak->store->store.held;

	for (guint i = held ? held->len : 0; i > 0; i--) {
		held_watch_t *watch = held->pdata[i - 1];
		SoupServerMessage *message = g_object_ref(watch->message);
		gboolean is_gone = watch->is_gone;

		end_watch(watch);
		if (!is_gone)
			reset_call(message);
		g_object_unref(message);
	}
}

SoupServer *soak_listen(const soak_t *soak, int port,
			SoupServerCallback handler, gpointer user)
{
	char *ip = soak_network_ip(soak->network, SOAK_STORE);
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(ip, (guint)port);
	SoupServer *server = soup_server_new(NULL, NULL);

	soup_server_add_handler(server, NULL, handler, user, NULL);
	assert_true(soup_server_listen(server, address, 0, NULL));
	g_object_unref(address);
	g_free(ip);
	return server;
}

/* The operator. */

static void append_route(GString *spec, const char *name, const char *service,
			 gboolean is_public)
{
	g_string_append_printf(
		spec,
		"%s{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":"
		"\"/%s/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,"
		"\"target_latency_ms\":200,\"priority\":1,\"service\":\"%s\","
		"\"max_attempts\":3,\"public\":%s}",
		spec->str[spec->len - 1] == '[' ? "" : ",", name, name, service,
		is_public ? "true" : "false");
}

static void write_config(soak_t *soak, unsigned version)
{
	GString *spec = g_string_new(NULL);
	const char *comma = "";

	g_string_append_printf(spec, "{\"version\":%u,\"route_table\":[",
			       version);
	append_route(spec, "private", "desk", FALSE);
	append_route(spec, "hot", "desk", FALSE);
	append_route(spec, "frail", "frail", TRUE);
	append_route(spec, "limited", "limited", TRUE);
	for (guint i = 0; i < soak->routes->len; i++) {
		const soak_subject_t *route = soak->routes->pdata[i];

		if (soak_subject_is_valid(route, version))
			append_route(spec, route->name, "desk", TRUE);
	}
	for (unsigned i = 0; i < soak->store->n_idle_routes; i++) {
		char name[24];

		g_snprintf(name, sizeof(name), "idle%u", i);
		append_route(spec, name, "desk", TRUE);
	}
	g_string_append(spec,
			"],\"services\":[{\"name\":\"desk\"},{\"name\":"
			"\"frail\"},{\"name\":\"limited\"}],\"limits\":{"
			"\"max_header_bytes\":16384,\"max_body_bytes\":65536},"
			"\"tenants\":[{\"name\":\"x\",\"api_keys\":[");
	for (guint i = 0; i < soak->keys->len; i++) {
		const soak_subject_t *key = soak->keys->pdata[i];

		if (!soak_subject_is_valid(key, version))
			continue;
		g_string_append_printf(spec, "%s\"%s\"", comma, key->name);
		comma = ",";
	}
	g_string_append_printf(
		spec,
		"]},{\"name\":\"hot\",\"api_keys\":[\"hot\"],\"unit\":"
		"\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":%d,"
		"\"burst\":%d}]}",
		SOAK_ACCOUNT_RATE, SOAK_ACCOUNT_RATE);
	put_text(&soak->store->store, "config/main", spec->str);
	g_string_free(spec, TRUE);
}

static void note_recent(soak_t *soak, soak_subject_t *subject)
{
	g_ptr_array_remove(soak->recent, subject);
	g_ptr_array_add(soak->recent, subject);
	if (soak->recent->len > SOAK_RECENT)
		g_ptr_array_remove_index(soak->recent, 0);
}

static soak_subject_t *add_subject(GPtrArray *subjects, const char *prefix)
{
	char *name = g_strdup_printf("%s%u", prefix, subjects->len);
	soak_subject_t *subject = soak_subject_new(name);

	g_ptr_array_add(subjects, subject);
	g_free(name);
	return subject;
}

/* The latest subject that is valid, or isn't, but not the first one; NULL if
 * there is none. */
static soak_subject_t *find_subject(const GPtrArray *subjects, unsigned version,
				    gboolean is_valid)
{
	for (guint i = subjects->len; i > 1; i--) {
		if (soak_subject_is_valid(subjects->pdata[i - 1], version) ==
		    is_valid)
			return subjects->pdata[i - 1];
	}
	return NULL;
}

static void change_config(soak_t *soak, soak_change_kind_t kind)
{
	unsigned version =
		soak_rules_acknowledge(soak->rules, soak_now_ms(soak));
	soak_subject_t *subject = NULL;
	gboolean is_valid = TRUE;

	switch (kind) {
	case SOAK_REMOVE_ROUTE:
		subject = find_subject(soak->routes, version, TRUE);
		is_valid = FALSE;
		break;
	case SOAK_RETURN_ROUTE:
		subject = find_subject(soak->routes, version, FALSE);
		break;
	case SOAK_REVOKE_KEY:
		subject = find_subject(soak->keys, version, TRUE);
		is_valid = FALSE;
		soak_subject_set(add_subject(soak->keys, "key-"), version,
				 TRUE);
		break;
	case SOAK_ADD_ROUTES:
		soak->store->n_idle_routes = MIN(
			soak->store->n_idle_routes + ROUTES_ADDED, ROUTES_MAX);
		break;
	case SOAK_ADD_ROUTE:
	case SOAK_N_CHANGES:
		break;
	}
	if (!subject) {
		subject = add_subject(soak->routes, "s");
		is_valid = TRUE;
	}
	soak_subject_set(subject, version, is_valid);
	note_recent(soak, subject);
	write_config(soak, version);
}

static gboolean is_writable(const soak_t *soak)
{
	return soak->store->away < 0 && !soak->store->is_restored;
}

void soak_store_change(soak_t *soak, soak_change_kind_t kind)
{
	if (is_writable(soak))
		change_config(soak, kind);
	else
		soak->store->n_waiting_changes++;
}

static void write_waiting_changes(soak_t *soak)
{
	for (; soak->store->n_waiting_changes > 0;
	     soak->store->n_waiting_changes--)
		change_config(soak, SOAK_ADD_ROUTE);
}

/* Restores: the store is back with what it had some seconds ago. */

static void free_copy(store_copy_t *copy)
{
	g_free(copy->objects);
	g_free(copy);
}

static gboolean on_copy_timer(gpointer user)
{
	soak_t *soak = user;
	GQueue *copies = &soak->store->copies;
	store_copy_t *copy;

	if (!is_writable(soak))
		return G_SOURCE_CONTINUE;
	copy = g_new0(store_copy_t, 1);
	copy->revision = soak->store->store.revision;
	copy->objects = g_strdup(
		json_object_to_json_string(soak->store->store.objects));
	g_queue_push_tail(copies, copy);
	if (g_queue_get_length(copies) > COPIES_MAX)
		free_copy(g_queue_pop_head(copies));
	return G_SOURCE_CONTINUE;
}

static gboolean on_rewrite(gpointer user)
{
	soak_t *soak = user;

	soak->store->is_restored = FALSE;
	write_config(soak, soak->rules->acknowledged_ms->len - 1);
	soak_calm_end(&soak->rules->store_calm, soak_now_ms(soak));
	soak_calm_end(&soak->rules->store_answering, soak_now_ms(soak));
	write_waiting_changes(soak);
	return G_SOURCE_REMOVE;
}

/* Of the copies, those after the one that is restored are lost, too. */
static void restore_copy(soak_t *soak)
{
	store_t *store = &soak->store->store;
	GQueue *copies = &soak->store->copies;
	gint n_lost = g_rand_int_range(soak->random, 0, COPIES_LOST_MAX);
	const store_copy_t *copy;

	while (n_lost-- > 0 && g_queue_get_length(copies) > 1)
		free_copy(g_queue_pop_tail(copies));
	copy = g_queue_peek_tail(copies);
	json_object_put(store->objects);
	json_object_put(store->removed);
	store->objects = json_tokener_parse(copy->objects);
	store->removed = json_object_new_object();
	store->revision = copy->revision;
	store->oldest = copy->revision;
	store->era++;
	soak->store->is_restored = TRUE;
	soak_instances_register(soak);
	/* the store counts as disrupted until the operator has written */
	soak_calm_begin(&soak->rules->store_calm);
	soak_calm_begin(&soak->rules->store_answering);
	g_timeout_add(REWRITE_MS, on_rewrite, soak);
}

static void on_duty(void *user, SoupServerMessage *message, const char *path)
{
	soak_duties_called(user, message, path);
}

void soak_store_disrupt(soak_t *soak, const soak_step_t *step, gboolean is_on)
{
	switch (step->kind) {
	case SOAK_STORE_SILENT:
	case SOAK_STORE_BUSY:
	case SOAK_STORE_RESET:
		soak->store->away = is_on ? (gint32)step->kind : -1;
		if (is_on)
			reset_watches(soak);
		else
			write_waiting_changes(soak);
		break;
	case SOAK_STORE_RESTORE:
		soak->store->away = is_on ? SOAK_STORE_BUSY : -1;
		if (is_on)
			reset_watches(soak);
		else
			restore_copy(soak);
		break;
	case SOAK_TURNED_SILENT:
	case SOAK_TURNED_BUSY:
	case SOAK_TURNED_MANY:
	case SOAK_TURNED_RESET:
		for (unsigned i = 0; i < soak->n_hosts; i++) {
			if (step->hosts >> i & 1)
				soak->store->turned_away[i] =
					is_on ? (gint32)step->kind : -1;
		}
		break;
	case SOAK_STORE_SLOW:
		soak->store->answer_ms = is_on ? SLOW_ANSWER_MS : ANSWER_MS;
		break;
	case SOAK_STORE_LOST:
		soak->store->lost_share = is_on ? LOST_SHARE : 0;
		break;
	case SOAK_STORE_COMPACT:
		soak->store->store.is_mute = is_on;
		if (!is_on) {
			soak->store->store.oldest = soak->store->store.revision;
			reset_watches(soak);
		}
		break;
	default:
		break;
	}
}

void soak_store_register(soak_t *soak, const char *name, const char *entry)
{
	char *key = g_strdup_printf("servers/%s", name);

	put_text(&soak->store->store, key, entry);
	g_free(key);
}

void soak_store_start(soak_t *soak)
{
	soak->store = g_new0(soak_store_t, 1);
	soak->store->n_idle_routes = ROUTES;
	soak->store->answer_ms = ANSWER_MS;
	soak->store->away = -1;
	for (unsigned i = 0; i < SOAK_HOSTS_MAX; i++)
		soak->store->turned_away[i] = -1;
	soak->store->store.objects = json_object_new_object();
	soak->store->store.removed = json_object_new_object();
	soak->store->store.revision = 500;
	soak->store->store.oldest = 500;
	soak->store->store.holds_watches = TRUE;
	soak->store->store.era = 1;
	soak->store->store.duty_called = on_duty;
	soak->store->store.call_received = on_store_received;
	soak->store->store.user = soak;
	soak->store->store.server = soak_listen(
		soak, SOAK_PORT_STORE, on_store_call, &soak->store->store);
	change_config(soak, SOAK_ADD_ROUTE);
	change_config(soak, SOAK_REVOKE_KEY);
	change_config(soak, SOAK_ADD_ROUTE);
	g_queue_init(&soak->store->copies);
	on_copy_timer(soak);
	g_timeout_add(COPY_MS, on_copy_timer, soak);
}
