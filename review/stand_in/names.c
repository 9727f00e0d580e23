#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stand_in.h"

static GHashTable *names;
static FILE *out;
static gint64 started_at;
static GMutex lock;

void names_load(const char *path)
{
	char *text;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_to_run("names.txt can't be read");
	names = g_hash_table_new(g_str_hash, g_str_equal);
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		char **words = g_strsplit(*line, " ", 2);

		if (**line != '#' && g_strv_length(words) == 2)
			g_hash_table_insert(names, words[0], words[1]);
	}
	g_free(text);
}

const char *name_of(const char *key)
{
	const char *name = g_hash_table_lookup(names, key);

	if (!name)
		fail_to_run(key);
	return name;
}

void record_open(const char *path)
{
	out = fopen(path, "w");
	if (!out)
		fail_to_run("record.txt can't be written");
	started_at = g_get_monotonic_time();
}

gint64 now_ms(void)
{
	return (g_get_monotonic_time() - started_at) / 1000;
}

void record(const char *format, ...)
{
	va_list args;

	g_mutex_lock(&lock);
	va_start(args, format);
	fprintf(out, "%8" G_GINT64_FORMAT " ", now_ms());
	vfprintf(out, format, args);
	fputc('\n', out);
	fflush(out);
	va_end(args);
	g_mutex_unlock(&lock);
}

void sleep_ms(gint64 ms)
{
	g_usleep((gulong)ms * 1000);
}

void fail_to_run(const char *what)
{
	fprintf(stderr, "the case couldn't run: %s\n", what);
	machines_end();
	exit(2);
}
