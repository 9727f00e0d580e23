#ifndef SR_EMULATOR_COMMANDS_H
#define SR_EMULATOR_COMMANDS_H

/**
 * The subcommands of sassafras-emulator. argv[0] is the subcommand's name;
 * the exit status is returned.
 */
int sr_emu_platform_main(int argc, char **argv);
int sr_emu_engine_main(int argc, char **argv);
int sr_emu_service_main(int argc, char **argv);
int sr_emu_verify_main(int argc, char **argv);
int sr_emu_load_main(int argc, char **argv);

#endif
