#include "ctl/commands.h"

#include <stdio.h>
#include <string.h>

#include "base/fields.h"
#include "ctl/files.h"

/** Maximum size of a parsed response, in bytes, and its nesting depth. */
#define RESPONSE_MAX_SIZE (16 * 1024 * 1024)
#define RESPONSE_MAX_DEPTH 32

static json_object *parse_response(const char *response)
{
	GPtrArray *findings = sr_findings_new();
	json_object *value =
		sr_json_read(response, strlen(response), RESPONSE_MAX_SIZE,
			     RESPONSE_MAX_DEPTH, findings);

	g_ptr_array_unref(findings);
	if (!value)
		g_printerr("sassafrasctl: the response is not JSON\nremedy: "
			   "check that --server names an admin address\n");
	return value;
}

static const char *member_text(json_object *object, const char *key)
{
	json_object *value = NULL;

	if (object)
		json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_string(value) : "-";
}

static json_object *member_array(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return json_object_is_type(value, json_type_array) ? value : NULL;
}

static size_t array_length(json_object *array)
{
	return array ? json_object_array_length(array) : 0;
}

static void print_changes(const char *response)
{
	json_object *value = parse_response(response);
	json_object *changes;

	if (!value)
		return;
	changes = member_array(value, "changes");
	for (size_t i = 0; i < array_length(changes); i++) {
		json_object *row = json_object_array_get_idx(changes, i);

		printf("%-8s %s\n", member_text(row, "change"),
		       member_text(row, "object"));
	}
	printf("%s generation %s, %zu changes\n",
	       strcmp(member_text(value, "accepted"), "true") ? "dry run on" :
								"accepted as",
	       member_text(value, "generation"), array_length(changes));
	json_object_put(value);
}

/* Calls print for each element of the array under key. */
static void print_rows(json_object *object, const char *key,
		       void (*print)(json_object *row))
{
	json_object *rows = member_array(object, key);

	for (size_t i = 0; i < array_length(rows); i++)
		print(json_object_array_get_idx(rows, i));
}

static void print_rollout(json_object *row)
{
	printf("rollout %s/%s %s share %s of %s %s\n",
	       member_text(row, "service"), member_text(row, "version"),
	       member_text(row, "state"), member_text(row, "share"),
	       member_text(row, "target"), member_text(row, "reason"));
}

static void print_recall(json_object *row)
{
	printf("recalled %s/%s %s\n", member_text(row, "service"),
	       member_text(row, "version"), member_text(row, "reason"));
}

static void print_member(json_object *row)
{
	printf("member %s in %s %s generation %s\n", member_text(row, "name"),
	       member_text(row, "failure_domain"), member_text(row, "state"),
	       member_text(row, "generation"));
}

static void print_upstream(json_object *row)
{
	printf("upstream %s %s/%s %s in flight %s\n", member_text(row, "name"),
	       member_text(row, "service"), member_text(row, "version"),
	       member_text(row, "state"), member_text(row, "in_flight"));
}

static void print_unknown_outcome(json_object *row)
{
	printf("unknown %s/%s key %s for %s s\n", member_text(row, "account"),
	       member_text(row, "service"), member_text(row, "key"),
	       member_text(row, "age_s"));
}

static void print_status(const char *response)
{
	json_object *status = parse_response(response);

	if (!status)
		return;
	printf("node %s in %s: %s\n", member_text(status, "node"),
	       member_text(status, "failure_domain"),
	       member_text(status, "state"));
	printf("generation %s in force on %s of %s members\n",
	       member_text(status, "generation"),
	       member_text(status, "in_force"),
	       member_text(status, "members_known"));
	print_rows(status, "members", print_member);
	print_rows(status, "rollouts", print_rollout);
	print_rows(status, "recalled", print_recall);
	print_rows(status, "upstreams", print_upstream);
	json_object_put(status);
}

static void print_journal(const char *response)
{
	json_object *journal = parse_response(response);

	if (!journal)
		return;
	print_rows(journal, "unknown", print_unknown_outcome);
	printf("%zu outcomes unknown on this node\n",
	       array_length(member_array(journal, "unknown")));
	json_object_put(journal);
}

static void print_raw(const char *response)
{
	size_t length = strlen(response);

	printf("%s%s", response,
	       length > 0 && response[length - 1] == '\n' ? "" : "\n");
}

/* Sends a request and prints the response: as received if --json was given,
 * else with the given function. */
static sr_exit_t call_and_print(sr_admin_client_t *client,
				const sr_command_line_t *line,
				const char *method, const char *path,
				GBytes *body, void (*print)(const char *))
{
	char *response = NULL;
	sr_exit_t result =
		sr_admin_client_call(client, method, path, body, &response);

	if (result == SR_EXIT_OK) {
		if (line->json)
			print_raw(response);
		else
			print(response);
	}
	g_free(response);
	return result;
}

static sr_exit_t print_usage(const char *text)
{
	g_printerr("usage: sassafrasctl %s\n", text);
	return SR_EXIT_USAGE;
}

static sr_exit_t apply(sr_admin_client_t *client, const sr_command_line_t *line)
{
	GString *path = g_string_new("/admin/config");
	sr_exit_t result = SR_EXIT_INVALID;
	GBytes *text;

	if (line->n_operands == 0)
		return print_usage(
			"apply [--dry-run] [--base GENERATION] FILE...");
	text = sr_config_files_join(line->operands, line->n_operands);
	g_string_append_printf(path, "?dry_run=%s",
			       line->dry_run ? "true" : "false");
	if (line->base >= 0)
		g_string_append_printf(path, "&base=%" G_GINT64_FORMAT,
				       line->base);
	if (text && sr_config_text_check(text))
		result = call_and_print(client, line, "PUT", path->str, text,
					print_changes);
	g_clear_pointer(&text, g_bytes_unref);
	g_string_free(path, TRUE);
	return result;
}

static sr_exit_t check(sr_admin_client_t *client, const sr_command_line_t *line)
{
	GBytes *text;
	gboolean valid;

	if (line->n_operands == 0)
		return print_usage("check FILE...");
	text = sr_config_files_join(line->operands, line->n_operands);
	valid = text && sr_config_text_check(text);
	g_clear_pointer(&text, g_bytes_unref);
	if (valid)
		printf("valid\n");
	return valid ? SR_EXIT_OK : SR_EXIT_INVALID;
}

static sr_exit_t get(sr_admin_client_t *client, const sr_command_line_t *line)
{
	return call_and_print(client, line, "GET", "/admin/config", NULL,
			      print_raw);
}

static sr_exit_t status(sr_admin_client_t *client,
			const sr_command_line_t *line)
{
	return call_and_print(client, line, "GET", "/admin/status", NULL,
			      print_status);
}

static sr_exit_t journal(sr_admin_client_t *client,
			 const sr_command_line_t *line)
{
	return call_and_print(client, line, "GET", "/admin/journal", NULL,
			      print_journal);
}

static void print_done(const char *response)
{
	(void)response;
	printf("done\n");
}

static sr_exit_t recall(sr_admin_client_t *client,
			const sr_command_line_t *line)
{
	json_object *body;
	const char *text;
	GBytes *bytes;
	sr_exit_t result;

	if (line->n_operands != 2)
		return print_usage("recall [--reason TEXT] SERVICE VERSION");
	body = json_object_new_object();
	json_object_object_add(body, "service",
			       json_object_new_string(line->operands[0]));
	json_object_object_add(body, "version",
			       json_object_new_string(line->operands[1]));
	json_object_object_add(body, "reason",
			       json_object_new_string(line->reason));
	text = json_object_to_json_string(body);
	bytes = g_bytes_new(text, strlen(text));
	result = call_and_print(client, line, "POST", "/admin/recall", bytes,
				print_done);
	g_bytes_unref(bytes);
	json_object_put(body);
	return result;
}

static sr_exit_t drain(sr_admin_client_t *client, const sr_command_line_t *line)
{
	return call_and_print(client, line, "POST", "/admin/drain", NULL,
			      print_done);
}

static sr_exit_t watch(sr_admin_client_t *client, const sr_command_line_t *line)
{
	sr_exit_t result;

	while ((result = status(client, line)) == SR_EXIT_OK) {
		fflush(stdout);
		g_usleep((gulong)line->interval_s * G_USEC_PER_SEC);
	}
	return result;
}

static sr_exit_t hash_token(sr_admin_client_t *client,
			    const sr_command_line_t *line)
{
	char token[1024];
	char *hash;

	if (!fgets(token, sizeof(token), stdin))
		return print_usage(
			"hash-token <FILE (a token of up to 1,000 bytes)");
	g_strchomp(token);
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	printf("%s\n", hash);
	g_free(hash);
	return SR_EXIT_OK;
}

/* Where a request would go; the server is the metrics address of an entry host
 * of a gateway. */
static sr_exit_t explain(sr_admin_client_t *client,
			 const sr_command_line_t *line)
{
	char *host;
	char *route;
	char *path;
	char *response = NULL;
	sr_exit_t result;

	if (line->n_operands < 2 || line->n_operands > 3) {
		g_printerr("sassafrasctl: explain takes HOST, PATH and maybe "
			   "an account\n");
		return SR_EXIT_USAGE;
	}
	host = g_uri_escape_string(line->operands[0], NULL, FALSE);
	route = g_uri_escape_string(line->operands[1], NULL, FALSE);
	path = g_strdup_printf("/explain?host=%s&path=%s", host, route);
	if (line->n_operands == 3) {
		char *account =
			g_uri_escape_string(line->operands[2], NULL, FALSE);
		char *longer = g_strdup_printf("%s&account=%s", path, account);

		g_free(account);
		g_free(path);
		path = longer;
	}
	result = sr_admin_client_call(client, "GET", path, NULL, &response);
	if (result == SR_EXIT_OK)
		fputs(response, stdout);
	g_free(response);
	g_free(path);
	g_free(route);
	g_free(host);
	return result;
}

typedef struct {
	const char *name;
	sr_exit_t (*run)(sr_admin_client_t *client,
			 const sr_command_line_t *line);
} command_t;

static const command_t commands[] = {
	{ "apply", apply },
	{ "check", check },
	{ "get", get },
	{ "status", status },
	{ "journal", journal },
	{ "recall", recall },
	{ "drain", drain },
	{ "watch", watch },
	{ "hash-token", hash_token },
	{ "explain", explain },
};

const char *sr_commands_help(void)
{
	return "commands:\n"
	       "  apply FILE...          put a configuration in force\n"
	       "  check FILE...          validate without a daemon\n"
	       "  get                    print the configuration in force\n"
	       "  status                 members, rollouts and upstreams\n"
	       "  watch                  print the status at an interval\n"
	       "  recall SERVICE VERSION take a version out of service\n"
	       "  journal                list requests with unknown outcomes\n"
	       "  drain                  drain the daemon and stop it\n"
	       "  hash-token             SHA-256 of the token on stdin\n"
	       "  explain HOST PATH [ACCOUNT]\n"
	       "                         where a request would go now, and why\n";
}

sr_exit_t sr_commands_run(sr_admin_client_t *client,
			  const sr_command_line_t *line)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i].name, line->command))
			return commands[i].run(client, line);
	}
	g_printerr("sassafrasctl: \"%s\" is not a command\n%s", line->command,
		   sr_commands_help());
	return SR_EXIT_USAGE;
}
