#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "prove/driver.c" /* NOLINT(bugprone-suspicious-include) */

static void *sum_new(guint64 seed)
{
	return g_new0(unsigned, 1);
}

/* Wrong once two commands of op 7 were seen; aborts at op 8 after one. */
static char *sum_step(void *model, const prove_command_t *command)
{
	unsigned *sevens = model;

	if (command->op % 64 == 7 && ++*sevens == 2)
		return g_strdup("two sevens");
	if (command->op % 64 == 8 && *sevens)
		abort();
	return NULL;
}

static char *sum_finish(void *model)
{
	return NULL;
}

static char *sum_describe(const prove_command_t *command)
{
	return g_strdup_printf("op %d", command->op % 64);
}

static const prove_model_t sum_model = {
	.name = "sum",
	.n_commands = 30,
	.new = sum_new,
	.step = sum_step,
	.finish = sum_finish,
	.describe = sum_describe,
	.free = g_free,
};

static char *drive_text(unsigned jobs, prove_total_t *total)
{
	static const prove_model_t *const models[] = { &sum_model, NULL };
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

	*total = prove_drive(&options);
	fclose(out);
	return text;
}

static void test_failures_are_counted_and_shortened(void **state)
{
	prove_total_t total;
	char *text = drive_text(1, &total);

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
	prove_total_t one;
	prove_total_t three;
	char *text = drive_text(1, &one);
	char *again = drive_text(3, &three);

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
