#ifndef SR_EMULATOR_LOAD_PLOT_H
#define SR_EMULATOR_LOAD_PLOT_H

#include "load_report.h"

/**
 * Latency by second of a load run, as a table or as a picture. Both return
 * FALSE and print why if the file cannot be written.
 */
gboolean sr_emu_load_plot_csv(const sr_emu_load_report_t *report,
			      const char *path);
gboolean sr_emu_load_plot_svg(const sr_emu_load_report_t *report,
			      const char *path);

#endif
