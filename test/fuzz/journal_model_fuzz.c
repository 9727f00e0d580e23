/* Runs the journal model of the prover with commands from the input. */
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../prove/fake_platform.c" /* NOLINT(bugprone-suspicious-include) */
/* fake_platform.c has a function of this name, too. */
#define submit model_submit
#include "../prove/journal_model.c" /* NOLINT(bugprone-suspicious-include) */

/* Bound of the input, in commands of four bytes; the seed counts as two. */
#define MAX_COMMANDS 100

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The first eight bytes are the seed; each four bytes after it a command. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	prove_command_t command;
	guint64 seed = 1;
	void *model;
	char *violation = NULL;

	if (size < sizeof(seed))
		return 0;
	memcpy(&seed, data, sizeof(seed));
	model = prove_journal_model.new(seed);
	for (size_t i = sizeof(seed);
	     !violation && i + 4 <= size && i < 4 * MAX_COMMANDS; i += 4) {
		command.op = data[i];
		command.a = data[i + 1];
		command.b = (guint16)(data[i + 2] | data[i + 3] << 8);
		violation = prove_journal_model.step(model, &command);
	}
	if (!violation)
		violation = prove_journal_model.finish(model);
	if (violation)
		fprintf(stderr, "%s\n", violation);
	g_assert(!violation);
	prove_journal_model.free(model);
	return 0;
}
