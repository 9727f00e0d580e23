#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

/* In the order in which they run. */
static const bench_t benches[] = {
	{ "journal", journal_bench_run }, { "policy", policy_bench_run },
	{ "rollout", rollout_bench_run }, { "config", config_bench_run },
	{ "proxy", proxy_bench_run },
};

void bench_print(const char *subject, const char *figure, double value)
{
	printf("%s.%s: %.4g\n", subject, figure, value);
	fflush(stdout);
}

static int run_benches(guint64 seed, const char *only)
{
	gboolean found = FALSE;

	for (gsize i = 0; i < G_N_ELEMENTS(benches); i++) {
		if (only && strcmp(only, benches[i].name) != 0)
			continue;
		found = TRUE;
		benches[i].run(seed);
	}
	if (!found) {
		fprintf(stderr,
			"no bench is called '%s'; choose one of:", only);
		for (gsize i = 0; i < G_N_ELEMENTS(benches); i++)
			fprintf(stderr, " %s", benches[i].name);
		fprintf(stderr, "\n");
	}
	return found ? 0 : 2;
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "seed of the run (default 1)");
	struct arg_str *only =
		arg_str0(NULL, "only", "NAME", "run only this bench");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { seed, only, help, end };
	int status;

	seed->ival[0] = 1;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		status = 2;
	} else if (help->count > 0) {
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-12s %s\n");
		status = 0;
	} else {
		status = run_benches((guint64)seed->ival[0],
				     only->count ? only->sval[0] : NULL);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
