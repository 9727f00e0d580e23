#include "fault.h"

#include <string.h>

#include "server.h"

typedef enum {
	MODE_DOWN,
	MODE_SLOW,
	MODE_LOST_REPLY,
	MODE_FROZEN,
	MODE_FAILING,
	N_MODES,
} fault_mode_t;

static const char *const mode_names[N_MODES] = {
	[MODE_DOWN] = "down",
	[MODE_SLOW] = "slow",
	[MODE_LOST_REPLY] = "lost-reply",
	[MODE_FROZEN] = "frozen",
	[MODE_FAILING] = "failing",
};

typedef struct {
	fault_mode_t mode;
	char *path; /* prefix of the paths affected */
	sr_usec_t delay;
	double ratio;		  /* fraction of the requests affected */
	guint64 requests_to_skip; /* before the fault takes effect */
	unsigned min_running;	  /* no effect while fewer requests run */
} fault_t;

struct sr_emu_faults {
	GPtrArray *list; /* fault_t */
	GRand *random;
};

static void free_fault(gpointer data)
{
	fault_t *fault = data;

	g_free(fault->path);
	g_free(fault);
}

sr_emu_faults_t *sr_emu_faults_new(guint64 seed)
{
	sr_emu_faults_t *faults = g_new0(sr_emu_faults_t, 1);

	faults->list = g_ptr_array_new_with_free_func(free_fault);
	faults->random = g_rand_new_with_seed((guint32)seed);
	return faults;
}

void sr_emu_faults_free(sr_emu_faults_t *faults)
{
	if (!faults)
		return;
	g_ptr_array_unref(faults->list);
	g_rand_free(faults->random);
	g_free(faults);
}

static void remove_duplicate(sr_emu_faults_t *faults, const fault_t *other)
{
	for (guint i = 0; i < faults->list->len; i++) {
		const fault_t *fault = faults->list->pdata[i];

		if (fault->mode == other->mode &&
		    !strcmp(fault->path, other->path)) {
			g_ptr_array_remove_index(faults->list, i);
			return;
		}
	}
}

gboolean sr_emu_faults_add(sr_emu_faults_t *faults, struct json_object *object)
{
	const char *name = sr_emu_json_string(object, "mode", "");
	fault_mode_t mode = MODE_DOWN;
	fault_t *fault;

	if (!strcmp(name, "ok")) {
		g_ptr_array_set_size(faults->list, 0);
		return TRUE;
	}
	while (mode < N_MODES && strcmp(mode_names[mode], name) != 0)
		mode++;
	if (mode == N_MODES)
		return FALSE;
	fault = g_new0(fault_t, 1);
	fault->mode = mode;
	fault->path = g_strdup(sr_emu_json_string(object, "path", "/"));
	fault->delay =
		(sr_usec_t)(sr_emu_json_number(object, "ms", 0) * SR_MSEC);
	fault->ratio = sr_emu_json_number(object, "ratio", 1);
	fault->requests_to_skip =
		(guint64)sr_emu_json_number(object, "after", 0);
	fault->min_running =
		(unsigned)sr_emu_json_number(object, "min_running", 0);
	remove_duplicate(faults, fault);
	g_ptr_array_add(faults->list, fault);
	return TRUE;
}

static gboolean fault_applies(sr_emu_faults_t *faults, fault_t *fault,
			      const char *path, unsigned running)
{
	if (!g_str_has_prefix(path, fault->path))
		return FALSE;
	if (fault->requests_to_skip > 0) {
		fault->requests_to_skip--;
		return FALSE;
	}
	if (running < fault->min_running)
		return FALSE;
	return fault->ratio >= 1 ||
	       g_rand_double(faults->random) < fault->ratio;
}

sr_emu_fault_effects_t sr_emu_faults_evaluate(sr_emu_faults_t *faults,
					      const char *path,
					      unsigned running)
{
	sr_emu_fault_effects_t effects = { 0 };

	for (guint i = 0; i < faults->list->len; i++) {
		fault_t *fault = faults->list->pdata[i];

		if (!fault_applies(faults, fault, path, running))
			continue;
		switch (fault->mode) {
		case MODE_DOWN:
			effects.down = TRUE;
			break;
		case MODE_SLOW:
			effects.delay += fault->delay;
			break;
		case MODE_LOST_REPLY:
			effects.lost_reply = TRUE;
			break;
		case MODE_FROZEN:
			effects.frozen = TRUE;
			break;
		case MODE_FAILING:
			effects.failing = TRUE;
			break;
		case N_MODES:
			g_assert_not_reached();
		}
	}
	return effects;
}
