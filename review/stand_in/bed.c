#include <string.h>

#include "stand_in.h"

static unsigned n_machines;
static const char *stand_ins;
static const char *folder;

const char *bed_file(const char *name)
{
	char *path = g_strdup_printf("%s/%s", stand_ins, name);
	const char *kept = g_intern_string(path);

	g_free(path);
	return kept;
}

void bed_start(char **argv, unsigned n)
{
	machines_options_t options = {
		.program = argv[3],
		.template = argv[4],
		.folder = argv[5],
		.n = n,
	};
	char *path = g_strdup_printf("%s/record.txt", argv[2]);

	n_machines = n;
	stand_ins = argv[1];
	folder = argv[2];
	names_load(bed_file("names.txt"));
	record_open(path);
	options.store_port = store_start("127.0.0.1", 7);
	options.duties_port = duties_start("127.0.0.1");
	machines_init(&options);
	g_free(path);
}

char *bed_case_text(const char *name)
{
	char *path = g_strdup_printf("%s/%s", folder, name);
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_to_run("a file of the case can't be read");
	g_free(path);
	return text;
}

void bed_put_config(const char *name)
{
	char *text = bed_case_text(name);

	store_put("config", "main", text);
	g_free(text);
}

gboolean bed_has_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

gboolean bed_wait_ready(gint64 timeout_ms)
{
	gint64 until = now_ms() + timeout_ms;

	while (now_ms() < until) {
		unsigned n = 0;

		while (n < n_machines && machine_is_ready(n))
			n++;
		if (n == n_machines)
			return TRUE;
		sleep_ms(100);
	}
	return FALSE;
}
