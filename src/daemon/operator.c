#include <string.h>

#include "daemon/parts.h"

typedef struct {
	sr_daemon_t *daemon;
	json_object *rows;
	unsigned n_alive;
	unsigned n_in_force;
} member_rows_t;

static void add_string(json_object *object, const char *key, const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void add_number(json_object *object, const char *key, guint64 value)
{
	json_object_object_add(object, key,
			       json_object_new_int64((gint64)value));
}

static const sr_config_t *get_config(void *user)
{
	const sr_daemon_t *daemon = user;

	return daemon->config;
}

static GBytes *get_config_text(void *user)
{
	sr_daemon_t *daemon = user;
	GBytes *text = daemon->sync ? sr_config_sync_text(daemon->sync) :
				      daemon->bootstrap_text;

	return text ? g_bytes_ref(text) : NULL;
}

static void on_published(void *user, const sr_publish_result_t *result)
{
	sr_admin_published(user, result->err, result->generation);
}

static void publish(void *user, guint64 base, GBytes *text,
		    sr_admin_ticket_t *ticket)
{
	sr_daemon_t *daemon = user;

	if (!daemon->sync) {
		sr_admin_published(ticket, SR_ERR_PLATFORM, base);
		return;
	}
	sr_config_sync_publish(daemon->sync, base, g_bytes_get_data(text, NULL),
			       g_bytes_get_size(text), on_published, ticket);
}

/* The generation that a member told last, and whether it is draining. */
static guint64 read_status(sr_daemon_t *daemon, const char *node,
			   gboolean *draining)
{
	sr_rumour_t rumour = { .size = 0 };
	guint64 generation;
	char *text;

	*draining = FALSE;
	if (!sr_gossip_get(daemon->gossip, SR_RUMOUR_STATUS, node, &rumour))
		return 0;
	text = g_strndup((const char *)rumour.value, rumour.size);
	generation = g_ascii_strtoull(text, NULL, 10);
	*draining = strstr(text, "draining") != NULL;
	g_free(text);
	return generation;
}

static void add_member(void *user, const sr_member_t *member)
{
	static const char *const names[] = { "alive", "suspect", "left",
					     "dead" };
	member_rows_t *rows = user;
	json_object *row = json_object_new_object();
	gboolean draining;
	guint64 generation = read_status(rows->daemon, member->name, &draining);
	const sr_config_t *config = rows->daemon->config;

	add_string(row, "name", member->name);
	add_string(row, "failure_domain", member->failure_domain);
	add_string(row, "address", member->address);
	add_string(row, "state", draining ? "draining" : names[member->state]);
	add_number(row, "generation", generation);
	json_object_array_add(rows->rows, row);
	if (member->state != SR_MEMBER_ALIVE)
		return;
	rows->n_alive++;
	if (config && generation >= config->generation)
		rows->n_in_force++;
}

static void add_members(sr_daemon_t *daemon, json_object *status)
{
	member_rows_t rows = {
		.daemon = daemon,
		.rows = json_object_new_array(),
	};

	if (daemon->gossip) {
		sr_gossip_foreach_member(daemon->gossip, add_member, &rows);
	} else {
		rows.n_alive = 1;
		rows.n_in_force = daemon->config ? 1 : 0;
	}
	add_number(status, "members_known", rows.n_alive);
	add_number(status, "in_force", rows.n_in_force);
	json_object_object_add(status, "members", rows.rows);
}

static void add_recall(void *user, const sr_rumour_t *rumour)
{
	json_object *rows = user;
	json_object *row = json_object_new_object();
	const char *slash = strchr(rumour->key, '/');
	char *service = g_strndup(rumour->key,
				  slash ? (gsize)(slash - rumour->key) : 0);
	char *reason = g_strndup((const char *)rumour->value, rumour->size);

	add_string(row, "service", service);
	add_string(row, "version", slash ? slash + 1 : "");
	add_string(row, "reason", reason);
	json_object_array_add(rows, row);
	g_free(service);
	g_free(reason);
}

static json_object *get_status(void *user)
{
	sr_daemon_t *daemon = user;
	json_object *status = json_object_new_object();
	json_object *recalled = json_object_new_array();

	add_string(status, "node", daemon->settings->node);
	add_string(status, "failure_domain", daemon->settings->failure_domain);
	add_string(status, "state", daemon->draining ? "draining" : "serving");
	add_number(status, "generation",
		   daemon->config ? daemon->config->generation : 0);
	add_members(daemon, status);
	if (daemon->gossip)
		sr_gossip_foreach(daemon->gossip, SR_RUMOUR_RECALL, add_recall,
				  recalled);
	json_object_object_add(status, "recalled", recalled);
	add_number(status, "requests", sr_caller_n_requests(daemon->caller));
	return status;
}

static void add_unknown(void *user, const sr_journal_unknown_t *unknown)
{
	json_object *rows = user;
	json_object *row = json_object_new_object();

	add_string(row, "account", unknown->account);
	add_string(row, "key", unknown->key);
	add_string(row, "service", unknown->service);
	add_number(row, "age_s", (guint64)(unknown->age / SR_SEC));
	json_object_array_add(rows, row);
}

static json_object *get_journal(void *user)
{
	sr_daemon_t *daemon = user;
	json_object *journal = json_object_new_object();
	json_object *rows = json_object_new_array();

	if (daemon->postings)
		sr_journal_foreach_unknown(
			sr_postings_journal(daemon->postings),
			sr_clock_now(daemon->clock), add_unknown, rows);
	json_object_object_add(journal, "unknown", rows);
	return journal;
}

static sr_err_t recall(void *user, const char *service, const char *version,
		       const char *reason)
{
	sr_daemon_t *daemon = user;
	char *key = g_strdup_printf("%s/%s", service, version);

	sr_dispatch_recall(daemon->dispatch, service, version);
	sr_membership_tell(daemon, SR_RUMOUR_RECALL, key, reason, 0);
	sr_log_event(daemon->log, SR_LOG_WARN, "recalled", "version", key,
		     "reason", reason, NULL);
	g_free(key);
	return SR_OK;
}

static void drain(void *user)
{
	sr_daemon_drain(user);
}

void sr_operator_open(sr_daemon_t *daemon)
{
	const char *token = daemon->settings->bootstrap_token_sha256;
	const sr_admin_options_t options = {
		.server = sr_probes_server(daemon->probes),
		.log = daemon->log,
		.bootstrap_token_sha256 = *token ? token : NULL,
		.hooks = {
			.config = get_config,
			.config_text = get_config_text,
			.publish = publish,
			.status = get_status,
			.journal = get_journal,
			.recall = recall,
			.drain = drain,
			.user = daemon,
		},
	};

	daemon->admin = sr_admin_new(&options);
}

void sr_operator_close(sr_daemon_t *daemon)
{
	if (daemon->admin)
		sr_admin_free(daemon->admin);
	daemon->admin = NULL;
}
