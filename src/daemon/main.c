#include <argtable2.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/process.h"
#include "daemon/daemon.h"

/* Exit status for invalid arguments or settings. */
#define EXIT_USAGE 2

typedef struct {
	sr_daemon_t *daemon;
	GMainLoop *loop;
	const char *settings_path;
} program_t;

static void on_drained(void *user)
{
	program_t *program = user;

	g_main_loop_quit(program->loop);
}

static gboolean on_stop_signal(gpointer data)
{
	program_t *program = data;

	sr_daemon_drain(program->daemon);
	return G_SOURCE_CONTINUE;
}

/* Reloads the log level; other settings take effect after a restart only. */
static gboolean on_reload_signal(gpointer data)
{
	program_t *program = data;
	GPtrArray *findings = sr_findings_new();
	sr_settings_t *settings =
		sr_settings_load(program->settings_path, findings);

	if (settings) {
		sr_log_set_level(program->daemon->log, settings->log_level);
		sr_log_event(program->daemon->log, SR_LOG_INFO, "reloaded",
			     NULL);
	} else {
		char *text = sr_findings_text(findings);

		sr_log_event(program->daemon->log, SR_LOG_ERROR,
			     "reload-failed", "detail", text, NULL);
		g_free(text);
	}
	sr_settings_free(settings);
	g_ptr_array_unref(findings);
	return G_SOURCE_CONTINUE;
}

static int run(const sr_settings_t *settings, const char *settings_path)
{
	sr_clock_t *clock = sr_clock_new_real();
	program_t program = {
		.loop = g_main_loop_new(NULL, FALSE),
		.settings_path = settings_path,
	};
	const sr_daemon_options_t options = {
		.settings = settings,
		.clock = clock,
		.log_file = stderr,
		.seed = sr_process_random_seed(),
		.drained = on_drained,
		.user = &program,
	};
	char *detail = NULL;
	sr_err_t err;

	sr_process_raise_file_limit();
	program.daemon = sr_daemon_new(&options);
	err = sr_daemon_start(program.daemon, &detail);
	if (err) {
		fprintf(stderr, "sassafrasd: %s: %s\nremedy: %s\n",
			sr_err_message(err), detail, sr_err_remedy(err));
	} else {
		g_unix_signal_add(SIGTERM, on_stop_signal, &program);
		g_unix_signal_add(SIGINT, on_stop_signal, &program);
		g_unix_signal_add(SIGHUP, on_reload_signal, &program);
		g_main_loop_run(program.loop);
	}
	g_free(detail);
	sr_daemon_free(program.daemon);
	g_main_loop_unref(program.loop);
	sr_clock_free(clock);
	return err ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int load_and_run(const char *path, gboolean only_check)
{
	GPtrArray *findings = sr_findings_new();
	sr_settings_t *settings = sr_settings_load(path, findings);
	char *text = sr_findings_text(findings);
	int code = EXIT_SUCCESS;

	if (!settings) {
		fprintf(stderr, "sassafrasd: %s is not usable\n%s", path, text);
		code = EXIT_USAGE;
	} else if (!only_check) {
		code = run(settings, path);
	}
	g_free(text);
	sr_settings_free(settings);
	g_ptr_array_unref(findings);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_file *settings = arg_file1(NULL, "settings", "FILE",
					      "settings, JSON with comments");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "show this help and exit");
	struct arg_end *end = arg_end(5);
	void *table[] = { settings, check, help, end };
	int code = EXIT_USAGE;
	int n_errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("usage: sassafrasd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_SUCCESS;
	} else if (n_errors) {
		arg_print_errors(stderr, end, "sassafrasd");
	} else {
		code = load_and_run(settings->filename[0], check->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
