#include "sums.h"

#define RETRY_RATIO 0.2
#define RETRY_SLACK 58
#define OVERAGE 0.1
#define ACCOUNT_SLACK 190000
#define LIMIT_RATIO 1.5
#define LIMIT_SLACK 5

typedef struct {
	gint64 at_ms;
	double amount;
} arrival_t;

struct soak_sums {
	unsigned limit_per_s;
	GArray *arrivals[SOAK_N_SUMS]; /* arrival_t */
	GArray *requests;	       /* gint64, in ms */
};

static const struct {
	const char *rule;
	gint64 window_ms;
} kinds[SOAK_N_SUMS] = {
	[SOAK_SUM_ACCOUNT] = { "QUOTA", 8000 },
	[SOAK_SUM_RETRIES] = { "BUDGET", 10000 },
	[SOAK_SUM_LIMIT] = { "LIMIT", 4000 },
};

soak_sums_t *soak_sums_new(unsigned limit_per_s)
{
	soak_sums_t *sums = g_new0(soak_sums_t, 1);

	sums->limit_per_s = limit_per_s;
	for (unsigned i = 0; i < SOAK_N_SUMS; i++)
		sums->arrivals[i] =
			g_array_new(FALSE, FALSE, sizeof(arrival_t));
	sums->requests = g_array_new(FALSE, FALSE, sizeof(gint64));
	return sums;
}

void soak_sums_free(soak_sums_t *sums)
{
	for (unsigned i = 0; i < SOAK_N_SUMS; i++)
		g_array_unref(sums->arrivals[i]);
	g_array_unref(sums->requests);
	g_free(sums);
}

void soak_sums_add(soak_sums_t *sums, soak_sum_kind_t kind, gint64 at_ms,
		   double amount)
{
	const arrival_t arrival = { at_ms, amount };

	g_array_append_val(sums->arrivals[kind], arrival);
}

void soak_sums_add_request(soak_sums_t *sums, gint64 at_ms)
{
	g_array_append_val(sums->requests, at_ms);
}

static unsigned count_requests(const soak_sums_t *sums, gint64 from_ms,
			       gint64 length_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < sums->requests->len; i++) {
		gint64 at_ms = g_array_index(sums->requests, gint64, i);

		n += at_ms >= from_ms && at_ms < from_ms + length_ms;
	}
	return n;
}

/* Requests are counted in the window, in the one before it or in the one half a
 * window before it. */
static double allowed_retries(const soak_sums_t *sums, gint64 from_ms,
			      gint64 window_ms)
{
	unsigned n = 0;

	for (int i = 0; i <= 2; i++)
		n = MAX(n, count_requests(sums, from_ms - i * window_ms / 2,
					  window_ms));
	return RETRY_RATIO * n + RETRY_SLACK;
}

static double allowed(const soak_sums_t *sums, soak_sum_kind_t kind,
		      gint64 from_ms)
{
	gint64 window_ms = kinds[kind].window_ms;
	double window_s = (double)window_ms / 1000;

	switch (kind) {
	case SOAK_SUM_ACCOUNT:
		return SOAK_ACCOUNT_RATE * (window_s + 1) * (1 + OVERAGE) +
		       ACCOUNT_SLACK;
	case SOAK_SUM_RETRIES:
		return allowed_retries(sums, from_ms, window_ms);
	case SOAK_SUM_LIMIT:
	case SOAK_N_SUMS:
		break;
	}
	return LIMIT_RATIO * sums->limit_per_s * window_s + LIMIT_SLACK;
}

double soak_sums_worst(const soak_sums_t *sums, soak_sum_kind_t kind)
{
	const GArray *arrivals = sums->arrivals[kind];
	double worst = 0;

	for (guint i = 0; i < arrivals->len; i++) {
		gint64 from_ms = g_array_index(arrivals, arrival_t, i).at_ms;
		double sum = 0;

		for (guint k = i; k < arrivals->len; k++) {
			const arrival_t *arrival =
				&g_array_index(arrivals, arrival_t, k);

			if (arrival->at_ms >= from_ms + kinds[kind].window_ms)
				break;
			sum += arrival->amount;
		}
		worst = MAX(worst, sum / allowed(sums, kind, from_ms));
	}
	return worst;
}

const char *soak_sums_rule(soak_sum_kind_t kind)
{
	return kinds[kind].rule;
}
