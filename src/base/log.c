#include "base/log.h"

#include <stdarg.h>
#include <string.h>

/* Rate limit of one event name. */
typedef struct {
	sr_usec_t window_start;
	unsigned written;
	unsigned suppressed;
} event_rate_t;

struct sr_log {
	FILE *out;
	sr_clock_t *clock;
	char *node;
	sr_log_level_t level;
	GHashTable *rates; /* event name -> event_rate_t */
};

/* In the order of sr_log_level_t. */
static const char *const level_names[] = { "debug", "info", "warn", "error" };

static gboolean needs_quotes(const char *value)
{
	for (const char *p = value; *p; p++) {
		if (*p <= ' ' || *p == '"' || *p == '=' || *p == '\\' ||
		    *p == 0x7f)
			return TRUE;
	}
	return *value == '\0';
}

static void append_value(GString *line, const char *value)
{
	if (!needs_quotes(value)) {
		g_string_append(line, value);
		return;
	}
	g_string_append_c(line, '"');
	for (const char *p = value; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(line, "\\%c", *p);
		else if ((unsigned char)*p < ' ' || *p == 0x7f)
			g_string_append_printf(line, "\\x%02x", *p);
		else
			g_string_append_c(line, *p);
	}
	g_string_append_c(line, '"');
}

static void append_pair(GString *line, const char *key, const char *value)
{
	g_string_append_c(line, ' ');
	g_string_append(line, key);
	g_string_append_c(line, '=');
	append_value(line, value ? value : "");
}

static event_rate_t *get_rate(sr_log_t *log, const char *event)
{
	event_rate_t *rate = g_hash_table_lookup(log->rates, event);

	if (!rate) {
		rate = g_new0(event_rate_t, 1);
		rate->window_start = sr_clock_now(log->clock);
		g_hash_table_insert(log->rates, g_strdup(event), rate);
	}
	return rate;
}

/* Counts one line; returns FALSE if it exceeds the limit and is suppressed. */
static gboolean count_line(sr_log_t *log, event_rate_t *rate)
{
	sr_usec_t now = sr_clock_now(log->clock);

	if (now - rate->window_start >= SR_SEC) {
		rate->window_start = now;
		rate->written = 0;
	}
	if (rate->written >= SR_LOG_BURST) {
		rate->suppressed++;
		return FALSE;
	}
	rate->written++;
	return TRUE;
}

static void append_timestamp(sr_log_t *log, GString *line)
{
	guint64 ns = sr_clock_wall_ns(log->clock);
	GDateTime *when =
		g_date_time_new_from_unix_utc((gint64)(ns / 1000000000));
	char *text = g_date_time_format(when, "%Y-%m-%dT%H:%M:%S");

	g_string_append_printf(line, "ts=%s.%06uZ", text,
			       (unsigned)(ns / 1000 % 1000000));
	g_free(text);
	g_date_time_unref(when);
}

sr_log_t *sr_log_new(const sr_log_options_t *options)
{
	sr_log_t *log = g_new0(sr_log_t, 1);

	log->out = options->out;
	log->clock = options->clock;
	log->node = g_strdup(options->node ? options->node : "-");
	log->level = options->level;
	log->rates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return log;
}

void sr_log_free(sr_log_t *log)
{
	if (!log)
		return;
	g_hash_table_destroy(log->rates);
	g_free(log->node);
	g_free(log);
}

void sr_log_set_level(sr_log_t *log, sr_log_level_t level)
{
	log->level = level;
}

gboolean sr_log_level_parse(const char *name, sr_log_level_t *level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(name, level_names[i])) {
			*level = (sr_log_level_t)i;
			return TRUE;
		}
	}
	return FALSE;
}

void sr_log_event(sr_log_t *log, sr_log_level_t level, const char *event, ...)
{
	event_rate_t *rate;
	const char *key;
	GString *line;
	va_list args;

	if (!log || !log->out || level < log->level)
		return;
	rate = get_rate(log, event);
	if (!count_line(log, rate))
		return;
	line = g_string_sized_new(160);
	append_timestamp(log, line);
	append_pair(line, "level", level_names[level]);
	append_pair(line, "node", log->node);
	append_pair(line, "event", event);
	va_start(args, event);
	while ((key = va_arg(args, const char *)))
		append_pair(line, key, va_arg(args, const char *));
	va_end(args);
	if (rate->suppressed) {
		g_string_append_printf(line, " suppressed=%u",
				       rate->suppressed);
		rate->suppressed = 0;
	}
	g_string_append_c(line, '\n');
	fwrite(line->str, 1, line->len, log->out);
	fflush(log->out);
	g_string_free(line, TRUE);
}
