#include "driver.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* Processor time of one run before it counts as endless, in seconds. */
#define RUN_LIMIT_S 20
/* Runs handed to one child. */
#define BATCH_RUNS 64
/* Failures that are shortened and printed. */
#define SHOWN_FAILURES 5
/* Child processes spent on shortening one failure. */
#define SHORTEN_TRIALS 400

typedef struct {
	unsigned run;
	gboolean passed;
} outcome_t;

typedef struct {
	int fd;
	pid_t pid;
	unsigned next; /* run whose outcome is awaited */
	unsigned end;
} child_t;

typedef struct {
	const prove_options_t *options;
	unsigned n_models;
	unsigned next_run;
	GArray *failed; /* unsigned, run numbers */
	GQueue *spare;	/* child_t: what a crashed child left to do */
	unsigned passed;
} drive_t;

static const prove_model_t *model_of(const drive_t *drive, unsigned run)
{
	g_assert(drive->n_models > 0);
	return drive->options->models[run % drive->n_models];
}

static unsigned index_of(const drive_t *drive, unsigned run)
{
	if (drive->options->only >= 0)
		return (unsigned)drive->options->only;
	return run / drive->n_models;
}

static guint64 seed_of(const drive_t *drive, unsigned run)
{
	guint64 state = drive->options->seed;

	state = prove_random(&state) ^ g_str_hash(model_of(drive, run)->name);
	state = prove_random(&state) ^ index_of(drive, run);
	return prove_random(&state);
}

static GArray *commands_of(const prove_model_t *model, guint64 seed)
{
	GArray *commands = g_array_new(FALSE, FALSE, sizeof(prove_command_t));
	guint64 state = ~seed;

	for (unsigned i = 0; i < model->n_commands; i++) {
		guint64 random = prove_random(&state);
		prove_command_t command = {
			.op = (guint8)random,
			.a = (guint8)(random >> 8),
			.b = (guint16)(random >> 16),
		};

		g_array_append_val(commands, command);
	}
	return commands;
}

/* Returns NULL, or why the oracle is violated. */
static char *run_commands(const prove_model_t *model, guint64 seed,
			  const GArray *commands)
{
	void *state = model->new (seed);
	char *why = NULL;

	for (guint i = 0; !why && i < commands->len; i++)
		why = model->step(state,
				  &g_array_index(commands, prove_command_t, i));
	if (!why)
		why = model->finish(state);
	model->free(state);
	return why;
}

static void limit_run(unsigned seconds)
{
	struct rlimit no_core = { 0, 0 };

	setrlimit(RLIMIT_CORE, &no_core);
	alarm(seconds);
}

static void silence(int fd)
{
	int null = open("/dev/null", O_WRONLY);

	if (null >= 0)
		dup2(null, fd);
}

static G_GNUC_NORETURN void child_main(drive_t *drive, unsigned begin,
				       unsigned end, int fd)
{
	silence(STDERR_FILENO);
	for (unsigned run = begin; run < end; run++) {
		const prove_model_t *model = model_of(drive, run);
		guint64 seed = seed_of(drive, run);
		GArray *commands = commands_of(model, seed);
		char *why;
		outcome_t outcome = { .run = run };

		limit_run(RUN_LIMIT_S);
		why = run_commands(model, seed, commands);
		outcome.passed = !why;
		g_free(why);
		g_array_free(commands, TRUE);
		if (write(fd, &outcome, sizeof(outcome)) != sizeof(outcome))
			_exit(1);
	}
	_exit(0);
}

static gboolean start_child(drive_t *drive, child_t *child)
{
	child_t *left = g_queue_pop_head(drive->spare);
	int fds[2];

	if (left) {
		child->next = left->next;
		child->end = left->end;
		g_free(left);
	} else if (drive->next_run < drive->options->runs) {
		child->next = drive->next_run;
		child->end =
			MIN(child->next + BATCH_RUNS, drive->options->runs);
		drive->next_run = child->end;
	} else {
		return FALSE;
	}
	fflush(NULL);
	g_assert(pipe(fds) == 0);
	child->pid = fork();
	g_assert(child->pid >= 0);
	if (child->pid == 0) {
		close(fds[0]);
		child_main(drive, child->next, child->end, fds[1]);
	}
	close(fds[1]);
	child->fd = fds[0];
	return TRUE;
}

/* A child that ended before its last run crashed in the run it was at. */
static void end_child(drive_t *drive, child_t *child)
{
	close(child->fd);
	waitpid(child->pid, NULL, 0);
	child->pid = 0;
	if (child->next == child->end)
		return;
	g_array_append_val(drive->failed, child->next);
	child->next++;
	if (child->next < child->end)
		g_queue_push_tail(drive->spare,
				  g_memdup2(child, sizeof(*child)));
}

static void read_child(drive_t *drive, child_t *child)
{
	outcome_t outcome;
	ssize_t n = read(child->fd, &outcome, sizeof(outcome));

	if (n < 0 && errno == EINTR)
		return;
	if (n != sizeof(outcome)) {
		end_child(drive, child);
		return;
	}
	g_assert(outcome.run == child->next);
	child->next++;
	if (outcome.passed)
		drive->passed++;
	else
		g_array_append_val(drive->failed, outcome.run);
}

static void run_all(drive_t *drive)
{
	unsigned jobs = MAX(drive->options->jobs, 1);
	child_t *children = g_new0(child_t, jobs);
	struct pollfd *polled = g_new0(struct pollfd, jobs);

	for (;;) {
		unsigned running = 0;

		for (unsigned i = 0; i < jobs; i++) {
			if (!children[i].pid)
				start_child(drive, &children[i]);
			polled[i].fd = children[i].pid ? children[i].fd : -1;
			polled[i].events = POLLIN;
			running += children[i].pid != 0;
		}
		if (!running)
			break;
		if (poll(polled, jobs, -1) <= 0)
			continue;
		for (unsigned i = 0; i < jobs; i++)
			if (polled[i].fd >= 0 && polled[i].revents)
				read_child(drive, &children[i]);
	}
	g_free(children);
	g_free(polled);
}

/* Runs a list in a child; returns NULL if it passes, else why not. */
static char *trial(const prove_model_t *model, guint64 seed,
		   const GArray *commands)
{
	GString *why = g_string_new(NULL);
	char buffer[512];
	int fds[2];
	int status = 0;
	ssize_t n;
	pid_t pid;

	fflush(NULL);
	g_assert(pipe(fds) == 0);
	pid = fork();
	g_assert(pid >= 0);
	if (pid == 0) {
		char *text;

		dup2(fds[1], STDERR_FILENO);
		limit_run(RUN_LIMIT_S);
		text = run_commands(model, seed, commands);
		if (text)
			fprintf(stderr, "%s\n", text);
		fflush(NULL);
		_exit(text ? 1 : 0);
	}
	close(fds[1]);
	while ((n = read(fds[0], buffer, sizeof(buffer))) > 0)
		g_string_append_len(why, buffer, n);
	close(fds[0]);
	waitpid(pid, &status, 0);
	if (WIFSIGNALED(status))
		g_string_append_printf(why, "ended by signal %d\n",
				       WTERMSIG(status));
	if (status == 0) {
		g_string_free(why, TRUE);
		return NULL;
	}
	return g_string_free(why, FALSE);
}

static GArray *without(const GArray *commands, guint begin, guint n)
{
	GArray *rest = g_array_new(FALSE, FALSE, sizeof(prove_command_t));

	g_array_append_vals(rest, commands->data, begin);
	g_array_append_vals(
		rest, &g_array_index(commands, prove_command_t, begin + n),
		commands->len - begin - n);
	return rest;
}

/* Delta debugging: leaves out ever smaller parts while the run still fails. */
static GArray *shorten(const prove_model_t *model, guint64 seed,
		       GArray *commands)
{
	guint part = MAX(commands->len / 2, 1);
	unsigned trials = 0;

	while (commands->len && trials < SHORTEN_TRIALS) {
		gboolean shorter = FALSE;

		for (guint at = 0; at < commands->len;) {
			guint n = MIN(part, commands->len - at);
			GArray *rest = without(commands, at, n);
			char *why = trial(model, seed, rest);

			if (why) {
				g_array_free(commands, TRUE);
				commands = rest;
				shorter = TRUE;
			} else {
				g_array_free(rest, TRUE);
				at += n;
			}
			g_free(why);
			if (++trials >= SHORTEN_TRIALS)
				break;
		}
		if (part == 1 && !shorter)
			break;
		part = MAX(part / 2, 1);
	}
	return commands;
}

static void show_failure(drive_t *drive, unsigned run)
{
	const prove_model_t *model = model_of(drive, run);
	guint64 seed = seed_of(drive, run);
	GArray *commands = commands_of(model, seed);
	FILE *out = drive->options->out;
	char *why;

	commands = shorten(model, seed, commands);
	why = trial(model, seed, commands);
	fprintf(out, "failed: model %s, run %u\n", model->name,
		index_of(drive, run));
	fprintf(out,
		"  again: sassafras-prove --seed %" G_GUINT64_FORMAT
		" --model %s --only %u\n",
		drive->options->seed, model->name, index_of(drive, run));
	for (guint i = 0; i < commands->len; i++) {
		char *line = model->describe(
			&g_array_index(commands, prove_command_t, i));

		fprintf(out, "  %3u: %s\n", i, line);
		g_free(line);
	}
	fprintf(out, "  why: %s", why ? why : "passes when run alone\n");
	g_free(why);
	g_array_free(commands, TRUE);
}

static int compare_runs(gconstpointer a, gconstpointer b)
{
	unsigned x = *(const unsigned *)a;
	unsigned y = *(const unsigned *)b;

	return x < y ? -1 : x > y;
}

prove_total_t prove_drive(const prove_options_t *options)
{
	prove_options_t copy = *options;
	drive_t drive = { .options = &copy };
	prove_total_t total;

	while (options->models[drive.n_models])
		drive.n_models++;
	if (options->only >= 0 || !drive.n_models)
		copy.runs = drive.n_models;
	drive.failed = g_array_new(FALSE, FALSE, sizeof(unsigned));
	drive.spare = g_queue_new();
	run_all(&drive);
	g_array_sort(drive.failed, compare_runs);
	for (guint i = 0; i < MIN(drive.failed->len, SHOWN_FAILURES); i++)
		show_failure(&drive, g_array_index(drive.failed, unsigned, i));
	total.passed = drive.passed;
	total.failed = drive.failed->len;
	g_array_free(drive.failed, TRUE);
	g_queue_free(drive.spare);
	return total;
}
