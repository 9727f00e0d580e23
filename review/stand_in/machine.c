#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stand_in.h"

static machines_options_t options;
static char *ips[MACHINES_MAX];
static pid_t pids[MACHINES_MAX];
static int ports[4]; /* callers, readiness, and two between machines */

static void replace(char **text, const char *what, const char *with)
{
	char **parts = g_strsplit(*text, what, -1);

	g_free(*text);
	*text = g_strjoinv(with, parts);
	g_strfreev(parts);
}

/* The value of a placeholder on this machine; NULL if there is none. */
static char *value_of(const char *name, unsigned i)
{
	static const char *const fixed[][2] = {
		{ "platform.writes_per_s|json", "400" },
		{ "platform.reads_per_s|json", "2000" },
		{ "cloud.duty_per_s", "50.0" },
		{ "limits.max_fds|json", "4100" },
		{ "limits.memory_mb|json", "260" },
		{ "bounds.grace_s", "8" },
		{ "bounds.retry_budget_ratio", "0.2" },
		{ "bounds.budget_slack", "58" },
		{ "bounds.quota_window_s", "8" },
		{ "bounds.quota_overage", "0.1" },
		{ "bounds.quota_slack", "190000" },
		{ "bounds.window_s", "5" },
		{ "bounds.usage_late_s", "10" },
		{ "bounds.lease_ms", "3000" },
		{ "bounds.config_apply_ms", "2000" },
		{ "bounds.drain_ms", "2000" },
		{ "bounds.exposure_share", "0.1" },
		{ "bounds.exposure_slack", "50" },
	};

	for (gsize k = 0; k < G_N_ELEMENTS(fixed); k++) {
		if (!strcmp(fixed[k][0], name))
			return g_strdup(fixed[k][1]);
	}
	if (!strcmp(name, "node_name|json"))
		return g_strdup_printf("\"edge-zone-%u-1\"", i + 1);
	if (!strcmp(name, "zone|json"))
		return g_strdup_printf("\"zone-%u\"", i + 1);
	if (!strcmp(name, "listen.frontend|json"))
		return g_strdup_printf("\"%s:%d\"", ips[i], ports[0]);
	if (!strcmp(name, "listen.ready|json"))
		return g_strdup_printf("\"%s:%d\"", ips[i], ports[1]);
	if (!strcmp(name, "ip"))
		return g_strdup(ips[i]);
	if (!strcmp(name, "port_range.0"))
		return g_strdup_printf("%d", ports[2]);
	if (!strcmp(name, "port_range.1"))
		return g_strdup_printf("%d", ports[3]);
	if (!strcmp(name, "platform.address|json"))
		return g_strdup_printf("\"127.0.0.1:%d\"", options.store_port);
	if (!strcmp(name, "cloud.address"))
		return g_strdup_printf("127.0.0.1:%d", options.duties_port);
	return NULL;
}

/* Drops "{{^NAME}}TEXT{{/NAME}}", or its marks if the name has no value. */
static void fill_default(char **text, const char *name, gboolean has_value)
{
	char *begin = g_strdup_printf("{{^%s}}", name);
	char *end = g_strdup_printf("{{/%s}}", name);
	char *at = strstr(*text, begin);
	char *to = at ? strstr(at, end) : NULL;

	if (to && has_value)
		memmove(at, to + strlen(end), strlen(to + strlen(end)) + 1);
	replace(text, begin, "");
	replace(text, end, "");
	g_free(begin);
	g_free(end);
}

static void fill_lists(char **text)
{
	GString *seeds = g_string_new(NULL);

	for (unsigned i = 0; i < options.n; i++)
		g_string_append_printf(seeds, "%s\"%s:%d\"", i ? "," : "",
				       ips[i], ports[1] + 5);
	replace(text, "{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seeds->str);
	replace(text, "{{#cloud.duties}}{{.|json}}{{,}}{{/cloud.duties}}",
		"\"usage_report\",\"autoscale\"");
	g_string_free(seeds, TRUE);
}

static void write_settings(unsigned i, const char *path)
{
	char *text;

	if (!g_file_get_contents(options.template, &text, NULL, NULL))
		fail_to_run("the template of the settings can't be read");
	fill_lists(&text);
	for (;;) {
		char *at = strstr(text, "{{");
		char *end = at ? strstr(at, "}}") : NULL;
		char *mark;
		char *name;
		char *value;

		if (!end)
			break;
		mark = g_strndup(at, (gsize)(end - at) + 2);
		name = g_strndup(at + 2, (gsize)(end - at) - 2);
		if (*name == '^') {
			value = value_of(name + 1, i);
			fill_default(&text, name + 1, value != NULL);
		} else {
			value = value_of(name, i);
			replace(&text, mark, value ? value : "");
		}
		g_free(value);
		g_free(name);
		g_free(mark);
	}
	if (!g_file_set_contents(path, text, -1, NULL))
		fail_to_run("the settings can't be written");
	g_free(text);
}

void machines_init(const machines_options_t *given)
{
	options = *given;
	for (unsigned i = 0; i < options.n; i++)
		ips[i] = g_strdup_printf("127.81.%u.%u", getpid() % 250 + 1,
					 i + 1);
	for (gsize i = 0; i < G_N_ELEMENTS(ports); i++)
		ports[i] = free_port((const char *const *)ips, options.n);
	atexit(machines_end);
}

char *machine_name(unsigned i)
{
	return g_strdup_printf("edge-zone-%u-1", i + 1);
}

const char *machine_ip(unsigned i)
{
	return ips[i];
}

int machine_port(void)
{
	return ports[0];
}

void machine_start(unsigned i)
{
	char *settings =
		g_strdup_printf("%s/machine-%u.json", options.folder, i + 1);
	char *log = g_strdup_printf("%s/machine-%u.log", options.folder, i + 1);
	int parent = getpid();

	write_settings(i, settings);
	record("machine %u starts", i + 1);
	pids[i] = fork();
	if (pids[i] == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0666);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(2);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(options.program, options.program, settings, NULL);
		_exit(127);
	}
	if (pids[i] < 0)
		fail_to_run("no process");
	g_free(settings);
	g_free(log);
}

void machine_signal(unsigned i, int signal)
{
	record("machine %u gets signal %d", i + 1, signal);
	if (pids[i] > 0)
		kill(pids[i], signal);
}

void machine_wait(unsigned i)
{
	if (pids[i] > 0)
		waitpid(pids[i], NULL, 0);
	pids[i] = 0;
}

gboolean machine_runs(unsigned i)
{
	int status;

	if (pids[i] <= 0)
		return FALSE;
	if (waitpid(pids[i], &status, WNOHANG) != pids[i])
		return TRUE;
	record("machine %u ended by itself, status %d", i + 1, status);
	pids[i] = 0;
	return FALSE;
}

gboolean machine_is_ready(unsigned i)
{
	int fd = connect_to(ips[i], ports[1], 1000);
	gboolean is_ready = FALSE;
	connection_t *connection;
	message_t *message;
	char *text;

	if (fd < 0)
		return FALSE;
	text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			       name_of("ready"), ips[i]);
	connection = connection_new(fd);
	send_text(fd, text, strlen(text));
	message = message_read(connection);
	if (message) {
		is_ready = !strcmp(message->second, "200");
		message_free(message);
	}
	connection_free(connection);
	g_free(text);
	return is_ready;
}

void machines_end(void)
{
	for (unsigned i = 0; i < options.n; i++) {
		if (pids[i] <= 0)
			continue;
		kill(pids[i], SIGKILL);
		waitpid(pids[i], NULL, 0);
		pids[i] = 0;
	}
}
