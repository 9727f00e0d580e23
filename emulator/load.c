#include "commands.h"

#include <math.h>
#include <stdio.h>

#include "args.h"
#include "load_call.h"
#include "load_plan.h"
#include "load_plot.h"
#include "load_report.h"

#define MAX_CONNECTIONS 20000
/* Room for " call N ", with N of 64 bits, after the shared prefix. */
#define CALL_NUMBER_BYTES 32

/** State of a load run. */
typedef struct {
	sr_emu_load_plan_t *plan;
	sr_emu_load_report_t *report;
	sr_clock_t *clock;
	SoupSession *session;
	GMainLoop *loop;
	GRand *random;
	char *run_id;	    /* prefix of the idempotency keys, unique */
	FILE *keys_file;    /* one line per posting, or NULL */
	sr_usec_t end_time; /* no call starts later */
	guint64 started;    /* calls, without duplicates */
	guint in_flight;
	guint next_target;
	guint n_sources; /* that still send */
} load_t;

/**
 * A source of calls: an open loop with a given rate, or one of the concurrent
 * clients of a closed loop.
 */
typedef struct {
	load_t *load;
	const sr_emu_load_caller_t *caller;
	sr_usec_t due; /* of the next call, open loop only */
} source_t;

static void quit_if_finished(load_t *load)
{
	if (load->n_sources == 0 && load->in_flight == 0)
		g_main_loop_quit(load->loop);
}

static gboolean sending_ended(const load_t *load)
{
	return sr_clock_now(load->clock) >= load->end_time ||
	       (load->plan->max_requests > 0 &&
		load->started >= load->plan->max_requests);
}

/* The prompt is a shared prefix, then text that is unique in the run. */
static GBytes *make_body(load_t *load, const sr_emu_load_caller_t *caller)
{
	GString *text = g_string_new("{\"prompt\": \"");
	gsize begin = text->len;
	guint prefix = (guint)g_rand_int_range(
		load->random, 0, MAX((gint)caller->n_prefixes, 1));

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
	    caller->prompt_bytes > caller->prefix_bytes + CALL_NUMBER_BYTES)
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

	sr_emu_load_report_add_tokens(source->load->report, caller, n,
				      since_due, gap);
}

static void on_call_end(void *user, const sr_emu_call_result_t *result);

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
		.tokens_received = on_tokens,
		.ended = on_call_end,
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
	if (key && g_rand_double(load->random) < caller->duplicate_ratio) {
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

	load->n_sources--;
	quit_if_finished(load);
}

static void on_think_time_elapsed(void *user)
{
	source_t *source = user;
	load_t *load = source->load;

	if (sending_ended(load))
		end_source(source);
	else
		send_call(source, sr_clock_now(load->clock));
}

static void on_call_end(void *user, const sr_emu_call_result_t *result)
{
	source_t *source = user;
	load_t *load = source->load;

	sr_emu_load_report_add_call(load->report, result);
	if (load->keys_file && result->key)
		fprintf(load->keys_file, "%s %s\n", result->key,
			sr_emu_outcome_name(result->outcome));
	load->in_flight--;
	if (source->caller->rate_per_s > 0)
		quit_if_finished(load);
	else
		sr_timer_start(load->clock, source->caller->think_time,
			       on_think_time_elapsed, source);
}

/* Poisson arrivals: the times between calls are exponential. */
static void send_due_calls(void *user)
{
	source_t *source = user;
	load_t *load = source->load;
	sr_usec_t now = sr_clock_now(load->clock);

	while (source->due <= now && !sending_ended(load)) {
		if (load->in_flight < load->plan->max_in_flight)
			send_call(source, source->due);
		else
			sr_emu_load_report_add_unsent(load->report,
						      source->caller);
		source->due +=
			(sr_usec_t)(-log(1 - g_rand_double(load->random)) *
				    SR_SEC / source->caller->rate_per_s);
	}
	if (sending_ended(load))
		end_source(source);
	else
		sr_timer_start(load->clock, MAX(source->due - now, 0),
			       send_due_calls, source);
}

static void add_source(load_t *load, GPtrArray *sources,
		       const sr_emu_load_caller_t *caller)
{
	source_t *source = g_new0(source_t, 1);

	source->load = load;
	source->caller = caller;
	source->due = sr_clock_now(load->clock);
	g_ptr_array_add(sources, source);
	load->n_sources++;
	sr_timer_start(load->clock, 0,
		       caller->rate_per_s > 0 ? send_due_calls :
						on_think_time_elapsed,
		       source);
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

static int run_load(load_t *load, const char *csv, const char *svg)
{
	GPtrArray *sources = g_ptr_array_new_with_free_func(g_free);
	sr_usec_t start = sr_clock_now(load->clock);
	gboolean ok = TRUE;

	load->end_time = start + load->plan->duration;
	load->report = sr_emu_load_report_new(load->plan, start);
	load->run_id = g_uuid_string_random();
	add_sources(load, sources);
	if (load->n_sources > 0)
		g_main_loop_run(load->loop);
	sr_emu_load_report_print(load->report,
				 sr_clock_now(load->clock) - start);
	if (csv)
		ok &= sr_emu_load_plot_csv(load->report, csv);
	if (svg)
		ok &= sr_emu_load_plot_svg(load->report, svg);
	ok &= sr_emu_load_report_is_correct(load->report);
	sr_emu_load_report_free(load->report);
	g_ptr_array_unref(sources);
	g_free(load->run_id);
	return ok ? 0 : 1;
}

static int run_plan(const char *path, guint32 seed, const char *csv,
		    const char *svg, const char *keys)
{
	load_t load = { .plan = sr_emu_load_plan_read(path) };
	int status;

	if (!load.plan)
		return 2;
	if (keys)
		load.keys_file = fopen(keys, "we");
	if (keys && !load.keys_file)
		fprintf(stderr,
			"cannot write %s: give a writable file for --keys\n",
			keys);
	load.clock = sr_clock_new_real();
	load.session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
		MAX_CONNECTIONS, "timeout", 0, "proxy-resolver", NULL, NULL);
	load.loop = g_main_loop_new(NULL, FALSE);
	load.random = g_rand_new_with_seed(seed);
	status = run_load(&load, csv, svg);
	if (load.keys_file && fclose(load.keys_file) != 0)
		status = 1;
	if (keys && !load.keys_file)
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
	struct arg_str *plan =
		arg_str1(NULL, "plan", "FILE", "load plan, JSON with comments");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "seed of arrivals and prompts (1)");
	struct arg_str *csv = arg_str0(NULL, "csv", "FILE",
				       "write the latency per second as CSV");
	struct arg_str *svg = arg_str0(NULL, "plot", "FILE",
				       "write the latency per second as SVG");
	struct arg_str *keys = arg_str0(
		NULL, "keys", "FILE", "write the key and outcome of postings");
	struct arg_lit *help = arg_lit0("h", "help", "print the options");
	struct arg_end *end = arg_end(4);
	void *table[] = { plan, seed, csv, svg, keys, help, end };
	int status = 0;

	if (sr_emu_args_parse_table(help, end, table, argc, argv, &status))
		status = run_plan(plan->sval[0],
				  (guint32)sr_emu_arg_int(seed, 1),
				  sr_emu_arg_string(csv, NULL),
				  sr_emu_arg_string(svg, NULL),
				  sr_emu_arg_string(keys, NULL));
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
