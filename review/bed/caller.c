/*
 * Callers of one route, for seconds: a new request every interval_ms, each on a
 * channel of its own; or, with users=N, N callers with a kept channel each,
 *that send a request every interval_ms or when the last one has ended. A
 *request is given up when its time limit is over, and a stream also after
 *stall_ms without an event. The record has a line when a request is sent and
 *one when it ends.
 *
 * Usage: caller IP:PORT HOST METHOD PATH WIRE RECORD NAME [interval_ms=N]
 *	[seconds=N] [limit_ms=N] [stall_ms=N] [bytes_per_s=N] [body=N]
 *	[users=N]
 */
#include "bed.h"

static char **words;
static long long limit_ms;
static long long stall_ms;
static long long bytes_per_s;
static long long body_size;
static long long interval_ms;
static long long end_ms;
static long long n_open;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

typedef struct {
	char attempt[64];
	long long sent_ms;
	long long length; /* of the body; negative if it is chunked */
	long long n_read; /* bytes of the body as sent */
	long long event_ms;
	int is_kept; /* the channel had a request before */
	int is_whole;
	char tail[8]; /* the last bytes of the body */
} call_t;

static int send_request(int fd, const call_t *call)
{
	char head[2048];
	char *body = calloc(1, (size_t)body_size + 1);
	int size = snprintf(head, sizeof(head),
			    "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
			    "%s: %lld\r\nContent-Length: %lld\r\n\r\n",
			    words[3], words[4], words[2], bed_name("id"),
			    call->attempt, bed_name("deadline"), limit_ms,
			    body_size);
	int ok = bed_send(fd, head, (size_t)size) &&
		 bed_send(fd, body, (size_t)body_size);

	free(body);
	return ok;
}

static void note_bytes(call_t *call, const char *data, size_t size)
{
	call->n_read += (long long)size;
	if (size >= sizeof(call->tail)) {
		memcpy(call->tail, data + size - sizeof(call->tail),
		       sizeof(call->tail));
	} else {
		memmove(call->tail, call->tail + size,
			sizeof(call->tail) - size);
		memcpy(call->tail + sizeof(call->tail) - size, data, size);
	}
	if (memmem(data, size, "data:", 5))
		call->event_ms = bed_now_ms();
	if (call->length >= 0)
		call->is_whole = call->n_read >= call->length;
	else
		call->is_whole = !memcmp(call->tail + 1, "\r\n0\r\n\r\n", 7);
}

/* Returns how the call has ended. */
static const char *read_answer(int fd, bed_message_t *message, call_t *call)
{
	long long deadline = call->sent_ms + limit_ms;
	long long begun_ms = bed_now_ms();
	char data[16384];

	while (!call->is_whole) {
		long long until = deadline;
		size_t size = sizeof(data);
		ssize_t n;

		if (stall_ms > 0 && call->event_ms + stall_ms < until)
			until = call->event_ms + stall_ms;
		if (bytes_per_s > 0)
			bed_sleep_ms(begun_ms +
				     call->n_read * 1000 / bytes_per_s -
				     bed_now_ms());
		n = bed_read_body(fd, message, data, size, until);
		if (n == -2)
			return until < deadline ? "stalled" : "limit";
		if (n <= 0)
			return "cut";
		note_bytes(call, data, (size_t)n);
	}
	return "whole";
}

/* Returns how the call has ended. *fd is the channel, negative for a new one;
 * it is closed and negative afterwards if it can't be kept. */
static const char *exchange(call_t *call, int *fd, int *status)
{
	bed_message_t *message = malloc(sizeof(*message));
	const char *how = "no-channel";
	char field[32] = "";
	int got = -1;

	*status = 0;
	call->is_kept = *fd >= 0;
	if (*fd < 0)
		*fd = bed_connect(words[1], bytes_per_s > 0 ? 65536 : 0);
	if (*fd >= 0 && send_request(*fd, call))
		got = bed_read_head(*fd, message, call->sent_ms + limit_ms);
	if (*fd >= 0 && got <= 0)
		how = got == -2 ? "limit" : "no-answer";
	if (got > 0) {
		*status = (int)strtol(message->head + 9, NULL, 10);
		call->length = bed_field(message, "Content-Length", field,
					 sizeof(field)) ?
				       strtoll(field, NULL, 10) :
				       -1;
		call->event_ms = bed_now_ms();
		call->is_whole = call->length == 0;
		how = read_answer(*fd, message, call);
		bed_field(message, "Connection", field, sizeof(field));
	}
	if (*fd >= 0 &&
	    (strcmp(how, "whole") != 0 || !strcmp(field, "close"))) {
		close(*fd);
		*fd = -1;
	}
	free(message);
	return how;
}

static void run_call(call_t *call, int *fd)
{
	const char *how;
	int status;

	call->sent_ms = bed_now_ms();
	bed_log("%s sends %s", words[7], call->attempt);
	how = exchange(call, fd, &status);
	bed_log("%s ends %s status=%d how=%s kept=%d bytes=%lld of=%lld "
		"after_ms=%lld",
		words[7], call->attempt, status, how, call->is_kept,
		call->n_read, call->length, bed_now_ms() - call->sent_ms);
}

static void *run_single(void *user)
{
	int fd = -1;

	run_call(user, &fd);
	if (fd >= 0)
		close(fd);
	free(user);
	pthread_mutex_lock(&lock);
	n_open--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void *run_user(void *user)
{
	long long number = (long long)(long)user;
	long long next = bed_now_ms() + number * 97 % interval_ms;
	int fd = -1;

	for (long long i = 1; next < end_ms; i++) {
		call_t call = { 0 };

		bed_sleep_ms(next - bed_now_ms());
		next += interval_ms;
		if (next < bed_now_ms())
			next = bed_now_ms();
		snprintf(call.attempt, sizeof(call.attempt), "%s-%lld-%lld",
			 words[7], number, i);
		run_call(&call, &fd);
	}
	if (fd >= 0)
		close(fd);
	pthread_mutex_lock(&lock);
	n_open--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void start_thread(void *(*run)(void *user), void *user)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_mutex_lock(&lock);
	n_open++;
	pthread_mutex_unlock(&lock);
	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	if (pthread_create(&thread, &attributes, run, user))
		exit(2);
	pthread_attr_destroy(&attributes);
}

static void start_singles(void)
{
	long long next = bed_now_ms();

	for (long long number = 1; next < end_ms; number++) {
		call_t *call = calloc(1, sizeof(*call));

		snprintf(call->attempt, sizeof(call->attempt), "%s-%lld",
			 words[7], number);
		start_thread(run_single, call);
		next += interval_ms;
		bed_sleep_ms(next - bed_now_ms());
	}
}

int main(int argc, char **argv)
{
	long long n_users;

	if (argc < 8)
		return 2;
	words = argv;
	bed_read_names(argv[5]);
	bed_open_record(argv[6]);
	interval_ms = bed_number(argc, argv, "interval_ms", 100);
	limit_ms = bed_number(argc, argv, "limit_ms", 1500);
	stall_ms = bed_number(argc, argv, "stall_ms", 0);
	bytes_per_s = bed_number(argc, argv, "bytes_per_s", 0);
	body_size = bed_number(argc, argv, "body", 0);
	n_users = bed_number(argc, argv, "users", 0);
	end_ms = bed_now_ms() + bed_number(argc, argv, "seconds", 10) * 1000;
	for (long long i = 1; i <= n_users; i++)
		start_thread(run_user, (void *)(long)i);
	if (n_users == 0)
		start_singles();
	for (;;) {
		pthread_mutex_lock(&lock);
		if (n_open == 0)
			return 0;
		pthread_mutex_unlock(&lock);
		bed_sleep_ms(50);
	}
}
