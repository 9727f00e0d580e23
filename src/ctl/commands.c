#include "ctl/commands.h"

#include <stdio.h>
#include <string.h>

#include "base/fields.h"
#include "ctl/files.h"

#define ANSWER_MAX (16 * 1024 * 1024)
#define ANSWER_DEPTH 32

static json_object *parse_answer(const char *answer)
{
	GPtrArray *findings = sr_findings_new();
	json_object *value = sr_json_read(answer, strlen(answer), ANSWER_MAX,
					  ANSWER_DEPTH, findings);

	g_ptr_array_unref(findings);
	if (!value)
		g_printerr("sassafrasctl: the answer is not JSON\nremedy: "
			   "check that --server names an admin address\n");
	return value;
}

static const char *text_of(json_object *object, const char *key)
{
	json_object *value = NULL;

	if (object)
		json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_string(value) : "-";
}

static json_object *array_of(json_object *object, const char *key)
{
	json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return json_object_is_type(value, json_type_array) ? value : NULL;
}

static size_t length_of(json_object *array)
{
	return array ? json_object_array_length(array) : 0;
}

static void print_changes(const char *answer)
{
	json_object *value = parse_answer(answer);
	json_object *changes;

	if (!value)
		return;
	changes = array_of(value, "changes");
	for (size_t i = 0; i < length_of(changes); i++) {
		json_object *row = json_object_array_get_idx(changes, i);

		printf("%-8s %s\n", text_of(row, "change"),
		       text_of(row, "object"));
	}
	printf("%s generation %s, %zu changes\n",
	       strcmp(text_of(value, "accepted"), "true") ? "dry run on" :
							    "accepted as",
	       text_of(value, "generation"), length_of(changes));
	json_object_put(value);
}

/* Calls print for each element of an array member. */
static void for_each_row(json_object *object, const char *key,
			 void (*print)(json_object *row))
{
	json_object *rows = array_of(object, key);

	for (size_t i = 0; i < length_of(rows); i++)
		print(json_object_array_get_idx(rows, i));
}

static void print_rollout(json_object *row)
{
	printf("rollout %s/%s %s share %s of %s %s\n", text_of(row, "service"),
	       text_of(row, "version"), text_of(row, "state"),
	       text_of(row, "share"), text_of(row, "target"),
	       text_of(row, "reason"));
}

static void print_recall(json_object *row)
{
	printf("recalled %s/%s %s\n", text_of(row, "service"),
	       text_of(row, "version"), text_of(row, "reason"));
}

static void print_member(json_object *row)
{
	printf("member %s in %s %s generation %s\n", text_of(row, "name"),
	       text_of(row, "failure_domain"), text_of(row, "state"),
	       text_of(row, "generation"));
}

static void print_upstream(json_object *row)
{
	printf("upstream %s %s/%s %s in flight %s\n", text_of(row, "name"),
	       text_of(row, "service"), text_of(row, "version"),
	       text_of(row, "state"), text_of(row, "in_flight"));
}

static void print_unknown(json_object *row)
{
	printf("unknown %s/%s key %s for %s s\n", text_of(row, "account"),
	       text_of(row, "service"), text_of(row, "key"),
	       text_of(row, "age_s"));
}

static void print_status(const char *answer)
{
	json_object *status = parse_answer(answer);

	if (!status)
		return;
	printf("node %s in %s: %s\n", text_of(status, "node"),
	       text_of(status, "failure_domain"), text_of(status, "state"));
	printf("generation %s in force on %s of %s members\n",
	       text_of(status, "generation"), text_of(status, "in_force"),
	       text_of(status, "members_known"));
	for_each_row(status, "members", print_member);
	for_each_row(status, "rollouts", print_rollout);
	for_each_row(status, "recalled", print_recall);
	for_each_row(status, "upstreams", print_upstream);
	json_object_put(status);
}

static void print_journal(const char *answer)
{
	json_object *journal = parse_answer(answer);

	if (!journal)
		return;
	for_each_row(journal, "unknown", print_unknown);
	printf("%zu outcomes unknown on this node\n",
	       length_of(array_of(journal, "unknown")));
	json_object_put(journal);
}

static void print_raw(const char *answer)
{
	size_t length = strlen(answer);

	printf("%s%s", answer,
	       length > 0 && answer[length - 1] == '\n' ? "" : "\n");
}

/* Calls and prints, raw with --json or by the given function. */
static sr_exit_t call_and_print(sr_client_t *client,
				const sr_command_line_t *line,
				const char *method, const char *path,
				GBytes *body, void (*print)(const char *))
{
	char *answer = NULL;
	sr_exit_t result = sr_client_call(client, method, path, body, &answer);

	if (result == SR_EXIT_OK) {
		if (line->json)
			print_raw(answer);
		else
			print(answer);
	}
	g_free(answer);
	return result;
}

static sr_exit_t usage(const char *text)
{
	g_printerr("usage: sassafrasctl %s\n", text);
	return SR_EXIT_USAGE;
}

static sr_exit_t apply(sr_client_t *client, const sr_command_line_t *line)
{
	GString *path = g_string_new("/admin/config");
	sr_exit_t result = SR_EXIT_INVALID;
	GBytes *text;

	if (line->n_words == 0)
		return usage("apply [--dry-run] [--base GENERATION] FILE...");
	text = sr_files_join(line->words, line->n_words);
	g_string_append_printf(path, "?dry_run=%s",
			       line->dry_run ? "true" : "false");
	if (line->base >= 0)
		g_string_append_printf(path, "&base=%" G_GINT64_FORMAT,
				       line->base);
	if (text && sr_files_check(text))
		result = call_and_print(client, line, "PUT", path->str, text,
					print_changes);
	g_clear_pointer(&text, g_bytes_unref);
	g_string_free(path, TRUE);
	return result;
}

static sr_exit_t check(sr_client_t *client, const sr_command_line_t *line)
{
	GBytes *text;
	gboolean valid;

	if (line->n_words == 0)
		return usage("check FILE...");
	text = sr_files_join(line->words, line->n_words);
	valid = text && sr_files_check(text);
	g_clear_pointer(&text, g_bytes_unref);
	if (valid)
		printf("valid\n");
	return valid ? SR_EXIT_OK : SR_EXIT_INVALID;
}

static sr_exit_t get(sr_client_t *client, const sr_command_line_t *line)
{
	return call_and_print(client, line, "GET", "/admin/config", NULL,
			      print_raw);
}

static sr_exit_t status(sr_client_t *client, const sr_command_line_t *line)
{
	return call_and_print(client, line, "GET", "/admin/status", NULL,
			      print_status);
}

static sr_exit_t journal(sr_client_t *client, const sr_command_line_t *line)
{
	return call_and_print(client, line, "GET", "/admin/journal", NULL,
			      print_journal);
}

static void print_nothing(const char *answer)
{
	(void)answer;
	printf("done\n");
}

static sr_exit_t recall(sr_client_t *client, const sr_command_line_t *line)
{
	json_object *body;
	const char *text;
	GBytes *bytes;
	sr_exit_t result;

	if (line->n_words != 2)
		return usage("recall [--reason TEXT] SERVICE VERSION");
	body = json_object_new_object();
	json_object_object_add(body, "service",
			       json_object_new_string(line->words[0]));
	json_object_object_add(body, "version",
			       json_object_new_string(line->words[1]));
	json_object_object_add(body, "reason",
			       json_object_new_string(line->reason));
	text = json_object_to_json_string(body);
	bytes = g_bytes_new(text, strlen(text));
	result = call_and_print(client, line, "POST", "/admin/recall", bytes,
				print_nothing);
	g_bytes_unref(bytes);
	json_object_put(body);
	return result;
}

static sr_exit_t drain(sr_client_t *client, const sr_command_line_t *line)
{
	return call_and_print(client, line, "POST", "/admin/drain", NULL,
			      print_nothing);
}

static sr_exit_t watch(sr_client_t *client, const sr_command_line_t *line)
{
	sr_exit_t result;

	while ((result = status(client, line)) == SR_EXIT_OK) {
		fflush(stdout);
		g_usleep((gulong)line->interval_s * G_USEC_PER_SEC);
	}
	return result;
}

static sr_exit_t hash_token(sr_client_t *client, const sr_command_line_t *line)
{
	char token[1024];
	char *hash;

	if (!fgets(token, sizeof(token), stdin))
		return usage("hash-token <FILE (a token of up to 1,000 bytes)");
	g_strchomp(token);
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	printf("%s\n", hash);
	g_free(hash);
	return SR_EXIT_OK;
}

typedef struct {
	const char *name;
	sr_exit_t (*run)(sr_client_t *client, const sr_command_line_t *line);
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
};

const char *sr_commands_help(void)
{
	return "commands:\n"
	       "  apply FILE...          put a configuration in force\n"
	       "  check FILE...          validate without a daemon\n"
	       "  get                    print the configuration in force\n"
	       "  status                 members, rollouts and upstreams\n"
	       "  watch                  print the status again and again\n"
	       "  recall SERVICE VERSION take a version out of service\n"
	       "  journal                list outcomes that are unknown\n"
	       "  drain                  stop the daemon in an orderly way\n"
	       "  hash-token             SHA-256 of the token on stdin\n";
}

sr_exit_t sr_commands_run(sr_client_t *client, const sr_command_line_t *line)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i].name, line->command))
			return commands[i].run(client, line);
	}
	g_printerr("sassafrasctl: \"%s\" is not a command\n%s", line->command,
		   sr_commands_help());
	return SR_EXIT_USAGE;
}
