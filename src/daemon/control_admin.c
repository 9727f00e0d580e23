#include "daemon/control_internal.h"

#include "daemon/control_status.h"

static const sr_config_t *admin_config(void *user)
{
	return ((sr_control_t *)user)->config;
}

static GBytes *admin_config_text(void *user)
{
	GBytes *text = sr_config_sync_text(((sr_control_t *)user)->sync);

	return text ? g_bytes_ref(text) : NULL;
}

static void on_published(void *user, const sr_publish_result_t *result)
{
	sr_admin_report_published(user, result->err, result->generation);
}

static void admin_publish(void *user, guint64 base, GBytes *text,
			  sr_admin_change_t *ticket)
{
	sr_control_t *control = user;
	gsize size;
	const char *data = g_bytes_get_data(text, &size);

	sr_config_sync_publish(control->sync, base, data, size, on_published,
			       ticket);
}

static json_object *admin_status(void *user)
{
	sr_control_t *control = user;
	const sr_control_status_input_t input = {
		.settings = control->options.settings,
		.gossip = control->gossip,
		.generation = sr_config_sync_generation(control->sync),
		.draining = control->draining,
		.platform_is_unavailable =
			sr_platform_is_unavailable(control->platform),
	};
	json_object *status = sr_control_status(&input);

	control->options.add_status(control->options.user, status);
	return status;
}

static json_object *admin_journal(void *user)
{
	sr_control_t *control = user;

	return control->options.journal(control->options.user);
}

static sr_err_t admin_recall(void *user, const char *service,
			     const char *version, const char *reason)
{
	sr_control_t *control = user;

	return control->options.recall(control->options.user, service, version,
				       reason);
}

static void admin_drain(void *user)
{
	sr_control_t *control = user;

	control->options.drain(control->options.user);
}

void sr_control_create_admin(sr_control_t *control)
{
	const char *bootstrap =
		control->options.settings->bootstrap_token_sha256;
	const sr_admin_options_t options = {
		.server = control->options.admin_server,
		.log = control->options.log,
		.bootstrap_token_sha256 = *bootstrap ? bootstrap : NULL,
		.hooks = {
			.config = admin_config,
			.config_text = admin_config_text,
			.publish = admin_publish,
			.status = admin_status,
			.journal = admin_journal,
			.recall = admin_recall,
			.drain = admin_drain,
			.user = control,
		},
	};

	control->admin = sr_admin_new(&options);
}
