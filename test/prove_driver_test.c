#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "prove/driver.c" /* NOLINT(bugprone-suspicious-include) */

static void *sevens_new(guint64 seed)
{
	return g_new0(unsigned, 1);
}

/* Fails at the second command with op 7; aborts at op 8 after the first. */
static char *sevens_step(void *model, const prove_command_t *command)
{
	unsigned *sevens = model;

	if (command->op % 64 == 7 && ++*sevens == 2)
		return g_strdup("two sevens");
	if (command->op % 64 == 8 && *sevens)
		abort();
	return NULL;
}

static char *sevens_finish(void *model)
{
	return NULL;
}

static char *sevens_describe(const prove_command_t *command)
{
	return g_strdup_printf("op %d", command->op % 64);
}

static const prove_model_t sevens_model = {
	.name = "sum",
	.n_commands = 30,
	.new = sevens_new,
	.step = sevens_step,
	.finish = sevens_finish,
	.describe = sevens_describe,
	.free = g_free,
};

/* Runs the model; returns the output, to be freed with free(). */
static char *run_models(unsigned jobs, prove_counts_t *total)
{
	static const prove_model_t *const models[] = { &sevens_model, NULL };
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	prove_options_t options = {
		.models = models,
		.seed = 5,
		.runs = 200,
		.only = -1,
		.jobs = jobs,
		.out = out,
	};

	*total = prove_run(&options);
	fclose(out);
	return text;
}

static void test_failures_are_counted_and_shortened(void **state)
{
	prove_counts_t total;
	char *text = run_models(1, &total);

	assert_int_equal(total.passed + total.failed, 200);
	assert_true(total.failed > 0 && total.passed > 0);
	assert_non_null(strstr(text, "two sevens"));
	assert_non_null(strstr(text, "ended by signal 6"));
	assert_non_null(strstr(text, "1: op "));
	assert_null(strstr(text, "2: op "));
	free(text);
}

static void test_output_does_not_depend_on_jobs(void **state)
{
	prove_counts_t one;
	prove_counts_t three;
	char *text = run_models(1, &one);
	char *again = run_models(3, &three);

	assert_string_equal(text, again);
	assert_int_equal(one.failed, three.failed);
	free(text);
	free(again);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_failures_are_counted_and_shortened),
		cmocka_unit_test(test_output_does_not_depend_on_jobs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
