#include "load_plot.h"

#include <math.h>
#include <stdio.h>

/*
 * The plot shows p50 and p95 of each caller over time, with a logarithmic
 * latency axis. Lengths are in pixels.
 */
#define PLOT_WIDTH 900
#define PLOT_HEIGHT 420
#define PLOT_LEFT 70
#define PLOT_TOP 20
#define PLOT_LABEL_WIDTH 140
#define PLOT_DECADES 6 /* 0.1 ms to 100 s */

static double to_ms(sr_usec_t value)
{
	return (double)value / SR_MSEC;
}

static gboolean write_file(const char *path, GString *text)
{
	GError *error = NULL;
	gboolean ok =
		g_file_set_contents(path, text->str, (gssize)text->len, &error);

	if (!ok) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_string_free(text, TRUE);
	return ok;
}

gboolean sr_emu_load_plot_csv(const sr_emu_load_report_t *report,
			      const char *path)
{
	const GPtrArray *all_series = sr_emu_load_report_series(report);
	GString *text = g_string_new("second,caller,whole,p50_ms,p95_ms,"
				     "max_ms\n");

	for (guint i = 0; i < all_series->len; i++) {
		const sr_emu_load_series_t *series = all_series->pdata[i];

		for (guint s = 0; s < series->per_second->len; s++) {
			const sr_emu_histogram_t *second =
				series->per_second->pdata[s];

			g_string_append_printf(
				text,
				"%u,%s,%" G_GUINT64_FORMAT ",%.2f,%.2f,%.2f\n",
				s, series->caller->name, second->count,
				to_ms(sr_emu_histogram_quantile(second, 0.5)),
				to_ms(sr_emu_histogram_quantile(second, 0.95)),
				to_ms(second->max));
		}
	}
	return write_file(path, text);
}

static double plot_y(sr_usec_t value)
{
	double decade = log10(MAX(to_ms(value), 0.1) / 0.1);

	return PLOT_TOP + PLOT_HEIGHT * (1 - MIN(decade / PLOT_DECADES, 1));
}

static void plot_grid(GString *svg)
{
	static const char *const labels[PLOT_DECADES + 1] = {
		"0.1 ms", "1 ms", "10 ms", "100 ms", "1 s", "10 s", "100 s"
	};

	for (int i = 0; i <= PLOT_DECADES; i++) {
		int y = PLOT_TOP + PLOT_HEIGHT - PLOT_HEIGHT * i / PLOT_DECADES;

		g_string_append_printf(
			svg,
			"<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" "
			"stroke=\"#ccc\"/>\n<text x=\"5\" y=\"%d\">%s</text>\n",
			PLOT_LEFT, y, PLOT_LEFT + PLOT_WIDTH, y, y + 4,
			labels[i]);
	}
}

static void plot_line(GString *svg, const sr_emu_load_series_t *series,
		      double q, guint seconds, const char *colour,
		      const char *dash)
{
	g_string_append_printf(svg,
			       "<polyline fill=\"none\" stroke=\"%s\" "
			       "stroke-dasharray=\"%s\" points=\"",
			       colour, dash);
	for (guint s = 0; s < series->per_second->len; s++) {
		const sr_emu_histogram_t *second = series->per_second->pdata[s];

		if (second->count > 0)
			g_string_append_printf(
				svg, "%.1f,%.1f ",
				PLOT_LEFT + PLOT_WIDTH * (s + 0.5) / seconds,
				plot_y(sr_emu_histogram_quantile(second, q)));
	}
	g_string_append(svg, "\"/>\n");
}

static void plot_series(GString *svg, const sr_emu_load_series_t *series,
			guint index, guint seconds)
{
	static const char *const colours[] = {
		"#1b6ca8", "#b8432f", "#3a7d34", "#7a4fa3", "#a87b00", "#444444"
	};
	const char *colour = colours[index % G_N_ELEMENTS(colours)];
	char *name = g_markup_escape_text(series->caller->name, -1);

	plot_line(svg, series, 0.5, seconds, colour, "none");
	plot_line(svg, series, 0.95, seconds, colour, "4 3");
	g_string_append_printf(
		svg, "<text x=\"%u\" y=\"%d\" fill=\"%s\">%s</text>\n",
		PLOT_LEFT + PLOT_LABEL_WIDTH * index,
		PLOT_TOP + PLOT_HEIGHT + 40, colour, name);
	g_free(name);
}

static guint count_seconds(const GPtrArray *all_series)
{
	guint seconds = 1;

	for (guint i = 0; i < all_series->len; i++) {
		const sr_emu_load_series_t *series = all_series->pdata[i];

		seconds = MAX(seconds, series->per_second->len);
	}
	return seconds;
}

gboolean sr_emu_load_plot_svg(const sr_emu_load_report_t *report,
			      const char *path)
{
	const GPtrArray *all_series = sr_emu_load_report_series(report);
	guint seconds = count_seconds(all_series);
	GString *svg = g_string_new(NULL);

	g_string_append_printf(svg,
			       "<svg xmlns=\"http://www.w3.org/2000/svg\" "
			       "width=\"%d\" height=\"%d\" font-size=\"12\" "
			       "font-family=\"sans-serif\">\n",
			       PLOT_LEFT + PLOT_WIDTH + 20,
			       PLOT_TOP + PLOT_HEIGHT + 60);
	plot_grid(svg);
	for (guint i = 0; i < all_series->len; i++)
		plot_series(svg, all_series->pdata[i], i, seconds);
	g_string_append_printf(svg,
			       "<text x=\"%d\" y=\"%d\">%u s; solid p50, "
			       "dashed p95</text>\n</svg>\n",
			       PLOT_LEFT, PLOT_TOP + PLOT_HEIGHT + 20, seconds);
	return write_file(path, svg);
}
