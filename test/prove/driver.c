#include "driver.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* Time after which a run counts as hung and is killed, in seconds. */
#define RUN_LIMIT_S 20
/* Runs of one child process. */
#define BATCH_RUNS 64
/* Failed runs to shorten and print; further ones are only counted. */
#define MAX_SHOWN_FAILURES 5
/* Child processes for shortening one failed run. */
#define MAX_SHORTEN_TRIALS 400

typedef struct {
	unsigned run;
	gboolean passed;
} outcome_t;

typedef struct {
	int fd;
	pid_t pid;
	unsigned next; /* run whose outcome is read next */
	unsigned end;  /* first run after the batch */
} child_t;

typedef struct {
	const prove_options_t *options;
	unsigned n_models;
	unsigned next_run;  /* first run without a child */
	GArray *failed;	    /* run numbers, unsigned */
	GQueue *unfinished; /* of child_t: remaining runs of a crashed child */
	unsigned passed;
} session_t;

static const prove_model_t *model_of(const session_t *session, unsigned run)
{
	g_assert(session->n_models > 0);
	return session->options->models[run % session->n_models];
}

static unsigned index_of(const session_t *session, unsigned run)
{
	if (session->options->only >= 0)
		return (unsigned)session->options->only;
	return run / session->n_models;
}

static guint64 seed_of(const session_t *session, unsigned run)
{
	guint64 state = session->options->seed;

	state = prove_random(&state) ^ g_str_hash(model_of(session, run)->name);
	state = prove_random(&state) ^ index_of(session, run);
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

/* Returns NULL if all checks pass, else the violation; free with g_free(). */
static char *run_commands(const prove_model_t *model, guint64 seed,
			  const GArray *commands)
{
	void *state = model->new (seed);
	char *reason = NULL;

	for (guint i = 0; !reason && i < commands->len; i++)
		reason = model->step(
			state, &g_array_index(commands, prove_command_t, i));
	if (!reason)
		reason = model->finish(state);
	model->free(state);
	return reason;
}

/* Kills the process by SIGALRM after some seconds; writes no core file. */
static void limit_run(unsigned seconds)
{
	struct rlimit no_core = { 0, 0 };

	setrlimit(RLIMIT_CORE, &no_core);
	alarm(seconds);
}

static void discard_output(int fd)
{
	int null = open("/dev/null", O_WRONLY);

	if (null >= 0)
		dup2(null, fd);
}

static G_GNUC_NORETURN void child_main(session_t *session, unsigned begin,
				       unsigned end, int fd)
{
	discard_output(STDERR_FILENO);
	for (unsigned run = begin; run < end; run++) {
		const prove_model_t *model = model_of(session, run);
		guint64 seed = seed_of(session, run);
		GArray *commands = commands_of(model, seed);
		char *reason;
		outcome_t outcome = { .run = run };

		limit_run(RUN_LIMIT_S);
		reason = run_commands(model, seed, commands);
		outcome.passed = !reason;
		g_free(reason);
		g_array_free(commands, TRUE);
		if (write(fd, &outcome, sizeof(outcome)) != sizeof(outcome))
			_exit(1);
	}
	_exit(0);
}

/* Returns FALSE if no runs are left to start. */
static gboolean start_child(session_t *session, child_t *child)
{
	child_t *batch = g_queue_pop_head(session->unfinished);
	int fds[2];

	if (batch) {
		child->next = batch->next;
		child->end = batch->end;
		g_free(batch);
	} else if (session->next_run < session->options->runs) {
		child->next = session->next_run;
		child->end =
			MIN(child->next + BATCH_RUNS, session->options->runs);
		session->next_run = child->end;
	} else {
		return FALSE;
	}
	fflush(NULL);
	g_assert(pipe(fds) == 0);
	child->pid = fork();
	g_assert(child->pid >= 0);
	if (child->pid == 0) {
		close(fds[0]);
		child_main(session, child->next, child->end, fds[1]);
	}
	close(fds[1]);
	child->fd = fds[0];
	return TRUE;
}

/* A child that ended early crashed in the run whose outcome is missing. */
static void end_child(session_t *session, child_t *child)
{
	close(child->fd);
	waitpid(child->pid, NULL, 0);
	child->pid = 0;
	if (child->next == child->end)
		return;
	g_array_append_val(session->failed, child->next);
	child->next++;
	if (child->next < child->end)
		g_queue_push_tail(session->unfinished,
				  g_memdup2(child, sizeof(*child)));
}

static void read_child(session_t *session, child_t *child)
{
	outcome_t outcome;
	ssize_t n = read(child->fd, &outcome, sizeof(outcome));

	if (n < 0 && errno == EINTR)
		return;
	if (n != sizeof(outcome)) {
		end_child(session, child);
		return;
	}
	g_assert(outcome.run == child->next);
	child->next++;
	if (outcome.passed)
		session->passed++;
	else
		g_array_append_val(session->failed, outcome.run);
}

static void run_children(session_t *session)
{
	unsigned jobs = MAX(session->options->jobs, 1);
	child_t *children = g_new0(child_t, jobs);
	struct pollfd *polled = g_new0(struct pollfd, jobs);

	for (;;) {
		unsigned running = 0;

		for (unsigned i = 0; i < jobs; i++) {
			if (!children[i].pid)
				start_child(session, &children[i]);
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
				read_child(session, &children[i]);
	}
	g_free(children);
	g_free(polled);
}

/*
 * Runs the commands in a child process. Returns NULL if they pass, else what
 * the child wrote to stderr and the signal that ended it; free with g_free().
 */
static char *run_in_child(const prove_model_t *model, guint64 seed,
			  const GArray *commands)
{
	GString *reason = g_string_new(NULL);
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
		g_string_append_len(reason, buffer, n);
	close(fds[0]);
	waitpid(pid, &status, 0);
	if (WIFSIGNALED(status))
		g_string_append_printf(reason, "ended by signal %d\n",
				       WTERMSIG(status));
	if (status == 0) {
		g_string_free(reason, TRUE);
		return NULL;
	}
	return g_string_free(reason, FALSE);
}

static GArray *remove_commands(const GArray *commands, guint begin, guint n)
{
	GArray *rest = g_array_new(FALSE, FALSE, sizeof(prove_command_t));

	g_array_append_vals(rest, commands->data, begin);
	g_array_append_vals(
		rest, &g_array_index(commands, prove_command_t, begin + n),
		commands->len - begin - n);
	return rest;
}

/*
 * Delta debugging: removes ever smaller parts of the list as long as the run
 * still fails. Takes the list and returns the shortened one.
 */
static GArray *shorten(const prove_model_t *model, guint64 seed,
		       GArray *commands)
{
	guint part = MAX(commands->len / 2, 1);
	unsigned trials = 0;

	while (commands->len && trials < MAX_SHORTEN_TRIALS) {
		gboolean shorter = FALSE;

		for (guint at = 0; at < commands->len;) {
			guint n = MIN(part, commands->len - at);
			GArray *rest = remove_commands(commands, at, n);
			char *reason = run_in_child(model, seed, rest);

			if (reason) {
				g_array_free(commands, TRUE);
				commands = rest;
				shorter = TRUE;
			} else {
				g_array_free(rest, TRUE);
				at += n;
			}
			g_free(reason);
			if (++trials >= MAX_SHORTEN_TRIALS)
				break;
		}
		if (part == 1 && !shorter)
			break;
		part = MAX(part / 2, 1);
	}
	return commands;
}

static void show_failure(session_t *session, unsigned run)
{
	const prove_model_t *model = model_of(session, run);
	guint64 seed = seed_of(session, run);
	GArray *commands = commands_of(model, seed);
	FILE *out = session->options->out;
	char *reason;

	commands = shorten(model, seed, commands);
	reason = run_in_child(model, seed, commands);
	fprintf(out, "failed: model %s, run %u\n", model->name,
		index_of(session, run));
	fprintf(out,
		"  again: sassafras-prove --seed %" G_GUINT64_FORMAT
		" --model %s --only %u\n",
		session->options->seed, model->name, index_of(session, run));
	for (guint i = 0; i < commands->len; i++) {
		char *line = model->describe(
			&g_array_index(commands, prove_command_t, i));

		fprintf(out, "  %3u: %s\n", i, line);
		g_free(line);
	}
	fprintf(out, "  why: %s", reason ? reason : "passes when run alone\n");
	g_free(reason);
	g_array_free(commands, TRUE);
}

static int compare_run_numbers(gconstpointer a, gconstpointer b)
{
	unsigned x = *(const unsigned *)a;
	unsigned y = *(const unsigned *)b;

	return x < y ? -1 : x > y;
}

prove_counts_t prove_run(const prove_options_t *options)
{
	prove_options_t copy = *options;
	session_t session = { .options = &copy };
	prove_counts_t total;

	while (options->models[session.n_models])
		session.n_models++;
	if (options->only >= 0 || !session.n_models)
		copy.runs = session.n_models;
	session.failed = g_array_new(FALSE, FALSE, sizeof(unsigned));
	session.unfinished = g_queue_new();
	run_children(&session);
	g_array_sort(session.failed, compare_run_numbers);
	for (guint i = 0; i < MIN(session.failed->len, MAX_SHOWN_FAILURES); i++)
		show_failure(&session,
			     g_array_index(session.failed, unsigned, i));
	total.passed = session.passed;
	total.failed = session.failed->len;
	g_array_free(session.failed, TRUE);
	g_queue_free(session.unfinished);
	return total;
}
