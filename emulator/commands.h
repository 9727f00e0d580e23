#ifndef SR_EMULATOR_COMMANDS_H
#define SR_EMULATOR_COMMANDS_H

/**
 * Entry points of the subcommands of sassafras-emulator. argv[0] is the name
 * of the subcommand. Each returns the exit status.
 */
int sr_emu_platform_main(int argc, char **argv);
int sr_emu_engine_main(int argc, char **argv);
int sr_emu_service_main(int argc, char **argv);
int sr_emu_verify_main(int argc, char **argv);
int sr_emu_load_main(int argc, char **argv);

#endif
