#ifndef SR_EMULATOR_LOAD_PLOT_H
#define SR_EMULATOR_LOAD_PLOT_H

#include "load_report.h"

/**
 * sr_emu_load_plot_csv - write the latency per second of a load run as CSV
 *
 * Returns FALSE and prints the error if the file cannot be written.
 */
gboolean sr_emu_load_plot_csv(const sr_emu_load_report_t *report,
			      const char *path);

/** sr_emu_load_plot_svg - like sr_emu_load_plot_csv(), as an SVG plot. */
gboolean sr_emu_load_plot_svg(const sr_emu_load_report_t *report,
			      const char *path);

#endif
