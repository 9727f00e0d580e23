#include "commands.h"

#include <math.h>
#include <stdio.h>

#include "args.h"
#include "load_call.h"
#include "load_plan.h"
#include "load_plot.h"
#include "load_report.h"

#define SESSION_CONNECTIONS 20000

/** One run of the load tool. */
typedef struct {
	sr_emu_load_plan_t *plan;
	sr_emu_load_report_t *report;
	sr_clock_t *clock;
	SoupSession *session;
	GMainLoop *loop;
	GRand *random;
	char *run_id; /* keeps the keys of two runs apart */
	FILE *keys;   /* gets a line for each posting, or NULL */
	sr_usec_t end;
	guint64 started;
	guint in_flight;
	guint next_target;
	guint sources; /* callers that still send */
} load_t;

/** A stream of calls: one open loop, or one caller of a closed one. */
typedef struct {
	load_t *load;
	const sr_emu_load_caller_t *caller;
	sr_usec_t due; /* of the next call */
} source_t;

static void quit_if_over(load_t *load)
{
	if (load->sources == 0 && load->in_flight == 0)
		g_main_loop_quit(load->loop);
}

static gboolean is_over(const load_t *load)
{
	return sr_clock_now(load->clock) >= load->end ||
	       (load->plan->requests > 0 &&
		load->started >= load->plan->requests);
}

/* A shared prefix, then text that no other call has. */
static GBytes *make_body(load_t *load, const sr_emu_load_caller_t *caller)
{
	GString *text = g_string_new("{\"prompt\": \"");
	gsize begin = text->len;
	guint prefix = (guint)g_rand_int_range(load->random, 0,
					       MAX((gint)caller->prefixes, 1));

	if (caller->prefix_bytes > 0) {
		while (text->len - begin < caller->prefix_bytes)
			g_string_append_printf(text, "%s %08x ", caller->name,
					       prefix);
		g_string_truncate(text, begin + caller->prefix_bytes);
	}
	g_string_append_printf(text, " call %" G_GUINT64_FORMAT " ",
			       load->started);
	while (text->len - begin < caller->prompt_bytes)
		g_string_append_printf(text, "%08x ", g_rand_int(load->random));
	if (text->len - begin > caller->prompt_bytes &&
	    caller->prompt_bytes > caller->prefix_bytes + 32)
		g_string_truncate(text, begin + caller->prompt_bytes);
	g_string_append_printf(text, "\", \"max_tokens\": %u}",
			       caller->max_tokens);
	return g_string_free_to_bytes(text);
}

static const char *pick_target(load_t *load)
{
	return load->plan->targets
		->pdata[load->next_target++ % load->plan->targets->len];
}

static void on_tokens(void *user, const sr_emu_load_caller_t *caller, guint n,
		      sr_usec_t since_due, sr_usec_t gap)
{
	source_t *source = user;

	sr_emu_load_report_tokens(source->load->report, caller, n, since_due,
				  gap);
}

static void on_ended(void *user, const sr_emu_call_report_t *report);

static void send_call(source_t *source, sr_usec_t due)
{
	load_t *load = source->load;
	const sr_emu_load_caller_t *caller = source->caller;
	char *key = NULL;
	sr_emu_call_options_t options = {
		.session = load->session,
		.clock = load->clock,
		.caller = caller,
		.target = pick_target(load),
		.max_tokens = caller->max_tokens,
		.due = due,
		.timeout = load->plan->timeout,
		.tokens = on_tokens,
		.ended = on_ended,
		.user = source,
	};

	load->started++;
	if (caller->kind != SR_EMU_CALL_READ)
		options.body = make_body(load, caller);
	if (caller->kind == SR_EMU_CALL_POSTING)
		key = g_strdup_printf("%s-%" G_GUINT64_FORMAT, load->run_id,
				      load->started);
	options.key = key;
	load->in_flight++;
	sr_emu_call_start(&options);
	if (key && g_rand_double(load->random) < caller->double_ratio) {
		options.target = pick_target(load);
		load->in_flight++;
		sr_emu_call_start(&options);
	}
	g_clear_pointer(&options.body, g_bytes_unref);
	g_free(key);
}

static void end_source(source_t *source)
{
	load_t *load = source->load;

	load->sources--;
	quit_if_over(load);
}

static void on_think_over(void *user)
{
	source_t *source = user;
	load_t *load = source->load;

	if (is_over(load))
		end_source(source);
	else
		send_call(source, sr_clock_now(load->clock));
}

static void on_ended(void *user, const sr_emu_call_report_t *report)
{
	source_t *source = user;
	load_t *load = source->load;

	sr_emu_load_report_ended(load->report, report);
	if (load->keys && report->key)
		fprintf(load->keys, "%s %s\n", report->key,
			sr_emu_outcome_name(report->outcome));
	load->in_flight--;
	if (source->caller->rate_per_s > 0)
		quit_if_over(load);
	else
		sr_timer_start(load->clock, source->caller->think,
			       on_think_over, source);
}

static void on_due(void *user)
{
	source_t *source = user;
	load_t *load = source->load;
	sr_usec_t now = sr_clock_now(load->clock);

	while (source->due <= now && !is_over(load)) {
		if (load->in_flight < load->plan->in_flight)
			send_call(source, source->due);
		else
			sr_emu_load_report_unsent(load->report, source->caller);
		source->due +=
			(sr_usec_t)(-log(1 - g_rand_double(load->random)) *
				    SR_SEC / source->caller->rate_per_s);
	}
	if (is_over(load))
		end_source(source);
	else
		sr_timer_start(load->clock, MAX(source->due - now, 0), on_due,
			       source);
}

static void add_source(load_t *load, GPtrArray *sources,
		       const sr_emu_load_caller_t *caller)
{
	source_t *source = g_new0(source_t, 1);

	source->load = load;
	source->caller = caller;
	source->due = sr_clock_now(load->clock);
	g_ptr_array_add(sources, source);
	load->sources++;
	sr_timer_start(load->clock, 0,
		       caller->rate_per_s > 0 ? on_due : on_think_over, source);
}

static void add_sources(load_t *load, GPtrArray *sources)
{
	for (guint i = 0; i < load->plan->callers->len; i++) {
		const sr_emu_load_caller_t *caller =
			load->plan->callers->pdata[i];

		if (caller->rate_per_s > 0) {
			add_source(load, sources, caller);
			continue;
		}
		for (guint n = 0; n < caller->concurrency; n++)
			add_source(load, sources, caller);
	}
}

static int run(load_t *load, const char *csv, const char *svg)
{
	GPtrArray *sources = g_ptr_array_new_with_free_func(g_free);
	sr_usec_t start = sr_clock_now(load->clock);
	gboolean ok = TRUE;

	load->end = start + load->plan->duration;
	load->report = sr_emu_load_report_new(load->plan, start);
	load->run_id = g_uuid_string_random();
	add_sources(load, sources);
	if (load->sources > 0)
		g_main_loop_run(load->loop);
	sr_emu_load_report_print(load->report,
				 sr_clock_now(load->clock) - start);
	if (csv)
		ok &= sr_emu_load_plot_csv(load->report, csv);
	if (svg)
		ok &= sr_emu_load_plot_svg(load->report, svg);
	ok &= sr_emu_load_report_is_right(load->report);
	sr_emu_load_report_free(load->report);
	g_ptr_array_unref(sources);
	g_free(load->run_id);
	return ok ? 0 : 1;
}

static int start(const char *path, guint32 seed, const char *csv,
		 const char *svg, const char *keys)
{
	load_t load = { .plan = sr_emu_load_plan_read(path) };
	int status;

	if (!load.plan)
		return 2;
	if (keys)
		load.keys = fopen(keys, "we");
	if (keys && !load.keys)
		fprintf(stderr, "%s cannot be written\n", keys);
	load.clock = sr_clock_new_real();
	load.session = soup_session_new_with_options(
		"max-conns", SESSION_CONNECTIONS, "max-conns-per-host",
		SESSION_CONNECTIONS, "timeout", 0, "proxy-resolver", NULL,
		NULL);
	load.loop = g_main_loop_new(NULL, FALSE);
	load.random = g_rand_new_with_seed(seed);
	status = run(&load, csv, svg);
	if (load.keys && fclose(load.keys) != 0)
		status = 1;
	if (keys && !load.keys)
		status = 1;
	g_rand_free(load.random);
	g_main_loop_unref(load.loop);
	g_object_unref(load.session);
	sr_clock_free(load.clock);
	sr_emu_load_plan_free(load.plan);
	return status;
}

int sr_emu_load_main(int argc, char **argv)
{
	struct arg_str *plan = arg_str1(NULL, "plan", "FILE",
					"what to send, JSON with comments");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "of arrivals and prompts (1)");
	struct arg_str *csv =
		arg_str0(NULL, "csv", "FILE", "latency by second as a table");
	struct arg_str *svg =
		arg_str0(NULL, "plot", "FILE", "latency by second as SVG");
	struct arg_str *keys =
		arg_str0(NULL, "keys", "FILE", "key and outcome of postings");
	struct arg_lit *help = arg_lit0("h", "help", "show the options");
	struct arg_end *end = arg_end(4);
	void *table[] = { plan, seed, csv, svg, keys, help, end };
	int status = 0;

	if (sr_emu_parse(help, end, table, argc, argv, &status))
		status = start(plan->sval[0], (guint32)sr_emu_int_arg(seed, 1),
			       sr_emu_str_arg(csv, NULL),
			       sr_emu_str_arg(svg, NULL),
			       sr_emu_str_arg(keys, NULL));
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
