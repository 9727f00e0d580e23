/*
 * A worker of a service. Each request takes work_ms; the answer has size bytes,
 * or is a stream of events. The endless_n answers from number endless_at on,
 * counted over all requests of this worker, never end: after a proper head come
 * bytes until the caller closes, line feeds or, with line=N, events of N bytes;
 * as fast as they are taken, or endless_per_s a second.
 *
 * From SIGUSR1 on, all answers say that it leaves.
 *
 * Usage: worker IP:PORT ID WIRE RECORD [work_ms=N] [size=N] [events=N]
 *	[gap_ms=N] [endless_at=N] [endless_n=N] [line=N] [endless_per_s=N]
 */
#include "bed.h"

#include <signal.h>

static const char *id;
static long long work_ms;
static long long answer_size;
static long long n_events;
static long long gap_ms;
static long long endless_at;
static long long endless_n;
static long long line_size;
static long long endless_per_s;
static volatile sig_atomic_t is_leaving;
static long long n_requests;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void on_leave(int number)
{
	(void)number;
	is_leaving = 1;
}

static int send_head(int fd, const char *attempt, const char *framing)
{
	char head[1024];
	int size =
		snprintf(head, sizeof(head),
			 "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s-%s\r\n%s%s%s\r\n",
			 bed_name("id"), attempt, bed_name("signature"), id,
			 attempt, is_leaving ? bed_name("leaving") : "",
			 is_leaving ? ": 1\r\n" : "", framing);

	return bed_send(fd, head, (size_t)size);
}

static int answer_plain(int fd, const char *attempt)
{
	char framing[64];
	char *body = malloc((size_t)answer_size + 1);
	int ok;

	memset(body, 'x', (size_t)answer_size);
	snprintf(framing, sizeof(framing), "Content-Length: %lld\r\n",
		 answer_size);
	ok = send_head(fd, attempt, framing) &&
	     bed_send(fd, body, (size_t)answer_size);
	free(body);
	return ok;
}

static int answer_stream(int fd, const char *attempt)
{
	int ok = send_head(fd, attempt,
			   "Content-Type: text/event-stream\r\n"
			   "Transfer-Encoding: chunked\r\n");

	for (long long i = 1; ok && i <= n_events; i++) {
		char event[128];
		char chunk[160];
		int size = snprintf(event, sizeof(event),
				    "id: %lld\ndata: token %lld\n\n", i, i);

		size = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n",
				(unsigned)size, event);
		ok = bed_send(fd, chunk, (size_t)size);
		bed_sleep_ms(gap_ms);
	}
	return ok && bed_send(fd, "0\r\n\r\n", 5);
}

/* Bytes that are no answer, without end. */
static int answer_without_end(int fd, const char *attempt)
{
	static const char field[] = "data: ";
	static char bytes[64 * 1024];
	int ok = send_head(fd, attempt, "Content-Type: text/event-stream\r\n");
	long long begun_ms = bed_now_ms();
	long long n = 0;

	memset(bytes, line_size > 0 ? 'x' : '\n', sizeof(bytes));
	for (size_t i = 0; line_size > 0 && i < sizeof(bytes);
	     i += (size_t)line_size) {
		for (size_t k = 0; k < strlen(field); k++)
			bytes[i + k] = field[k];
		bytes[i + (size_t)line_size - 1] = '\n';
		bytes[i + (size_t)line_size - 2] = '\n';
	}
	while (ok) {
		ok = bed_send(fd, bytes, sizeof(bytes));
		n += (long long)sizeof(bytes);
		if (endless_per_s > 0)
			bed_sleep_ms(begun_ms + n * 1000 / endless_per_s -
				     bed_now_ms());
	}
	bed_log("worker %s sent %lld bytes without end for %s", id, n, attempt);
	return 0;
}

static int skip_body(int fd, bed_message_t *message)
{
	char value[32];
	char data[16384];
	long long left;

	bed_field(message, "Content-Length", value, sizeof(value));
	for (left = strtoll(value, NULL, 10); left > 0;) {
		ssize_t n = bed_read_body(fd, message, data,
					  left < (long long)sizeof(data) ?
						  (size_t)left :
						  sizeof(data),
					  0);

		if (n <= 0)
			return 0;
		left -= n;
	}
	return 1;
}

static void *serve(void *user)
{
	int fd = (int)(long)user;
	bed_message_t *message = malloc(sizeof(*message));

	while (bed_read_head(fd, message, 0) > 0) {
		char attempt[128];
		long long number;
		int ok;

		bed_field(message, bed_name("id"), attempt, sizeof(attempt));
		if (!skip_body(fd, message))
			break;
		pthread_mutex_lock(&lock);
		number = ++n_requests;
		pthread_mutex_unlock(&lock);
		bed_log("worker %s begins %s", id, attempt);
		bed_sleep_ms(work_ms);
		if (number >= endless_at && number < endless_at + endless_n)
			ok = answer_without_end(fd, attempt);
		else if (n_events > 0)
			ok = answer_stream(fd, attempt);
		else
			ok = answer_plain(fd, attempt);
		bed_log("worker %s ends %s %s", id, attempt,
			ok ? "whole" : "cut");
		if (!ok)
			break;
	}
	close(fd);
	free(message);
	return NULL;
}

int main(int argc, char **argv)
{
	int listener;

	if (argc < 5)
		return 2;
	id = argv[2];
	bed_read_names(argv[3]);
	bed_open_record(argv[4]);
	work_ms = bed_number(argc, argv, "work_ms", 30);
	answer_size = bed_number(argc, argv, "size", 800);
	n_events = bed_number(argc, argv, "events", 0);
	gap_ms = bed_number(argc, argv, "gap_ms", 0);
	endless_at = bed_number(argc, argv, "endless_at", 0);
	endless_n = endless_at > 0 ? bed_number(argc, argv, "endless_n", 1) : 0;
	line_size = bed_number(argc, argv, "line", 0);
	endless_per_s = bed_number(argc, argv, "endless_per_s", 0);
	signal(SIGUSR1, on_leave);
	listener = bed_listen(argv[1]);
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		int on = 1;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_create(&thread, NULL, serve, (void *)(long)fd);
		pthread_detach(thread);
	}
}
