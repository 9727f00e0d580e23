#include <stdio.h>
#include <string.h>

#include "commands.h"

typedef struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} command_t;

static const command_t commands[] = {
	{ "platform", sr_emu_platform_main,
	  "object API, host list, cloud API and weight store" },
	{ "engine", sr_emu_engine_main, "a model engine" },
	{ "service", sr_emu_service_main, "a plain service" },
	{ "load", sr_emu_load_main,
	  "send load, check every answer and measure" },
	{ "verify", sr_emu_verify_main,
	  "check a token stream on stdin against its request" },
};

static void print_usage(FILE *out)
{
	fputs("usage: sassafras-emulator COMMAND [options]\n"
	      "       sassafras-emulator COMMAND --help\n\n",
	      out);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return 2;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(stdout);
		return 0;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "unknown command \"%s\"\n", argv[1]);
	print_usage(stderr);
	return 2;
}
