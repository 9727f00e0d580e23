#ifndef REVIEW_BED_BED_H
#define REVIEW_BED_BED_H

/*
 * What the stand-ins of the review share: names of the users' interface, which
 * are read from a file, the record of a run, and plain blocking HTTP/1.1.
 */
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BED_HEAD_MAX (64 * 1024)

/** bed_names - "KEY NAME" lines of wire.txt. */
static char bed_names[64][2][64];
static unsigned bed_n_names;
static int bed_record = -1;

static inline const char *bed_name(const char *key)
{
	for (unsigned i = 0; i < bed_n_names; i++) {
		if (!strcmp(bed_names[i][0], key))
			return bed_names[i][1];
	}
	fprintf(stderr, "no name for %s\n", key);
	exit(2);
}

static inline void bed_read_names(const char *path)
{
	FILE *file = fopen(path, "r");

	if (!file) {
		perror(path);
		exit(2);
	}
	while (bed_n_names < 64 &&
	       fscanf(file, "%63s %63s", bed_names[bed_n_names][0],
		      bed_names[bed_n_names][1]) == 2)
		bed_n_names++;
	fclose(file);
}

/** bed_now_ms - the time of day in ms, the same for all stand-ins. */
static inline long long bed_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static inline void bed_sleep_ms(long long ms)
{
	struct timespec left = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&left, &left) && errno == EINTR)
		;
}

static inline void bed_open_record(const char *path)
{
	bed_record = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (bed_record < 0) {
		perror(path);
		exit(2);
	}
}

/** bed_log - adds a line with the time to the record. */
__attribute__((format(printf, 1, 2))) static inline void
bed_log(const char *format, ...)
{
	char line[4096];
	int size = snprintf(line, sizeof(line), "%lld ", bed_now_ms());
	va_list args;

	va_start(args, format);
	size += vsnprintf(line + size, sizeof(line) - (size_t)size - 1, format,
			  args);
	va_end(args);
	if (size > (int)sizeof(line) - 2)
		size = (int)sizeof(line) - 2;
	line[size++] = '\n';
	if (write(bed_record, line, (size_t)size) != size)
		perror("record");
}

/** bed_number - of "KEY=NUMBER" among the arguments, or the fallback. */
static inline long long bed_number(int argc, char **argv, const char *key,
				   long long fallback)
{
	size_t size = strlen(key);

	for (int i = 1; i < argc; i++) {
		if (!strncmp(argv[i], key, size) && argv[i][size] == '=')
			return strtoll(argv[i] + size + 1, NULL, 10);
	}
	return fallback;
}

static inline const char *bed_text(int argc, char **argv, const char *key,
				   const char *fallback)
{
	size_t size = strlen(key);

	for (int i = 1; i < argc; i++) {
		if (!strncmp(argv[i], key, size) && argv[i][size] == '=')
			return argv[i] + size + 1;
	}
	return fallback;
}

/** bed_address - of "IP:PORT". */
static inline struct sockaddr_in bed_address(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const char *colon = strrchr(text, ':');
	char ip[64];

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	inet_pton(AF_INET, ip, &address.sin_addr);
	address.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return address;
}

static inline int bed_listen(const char *where)
{
	struct sockaddr_in address = bed_address(where);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 512)) {
		perror(where);
		exit(2);
	}
	return fd;
}

/** bed_connect - within a second; negative on failure. receive_bytes: size of
 * the socket's receive buffer, 0 for the default. */
static inline int bed_connect(const char *where, int receive_bytes)
{
	struct sockaddr_in address = bed_address(where);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	return fd;
}

/** bed_send - all of it; FALSE (0) if the peer has closed. */
static inline int bed_send(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size > 0) {
		ssize_t n = send(fd, at, size, MSG_NOSIGNAL);

		if (n <= 0)
			return 0;
		at += n;
		size -= (size_t)n;
	}
	return 1;
}

/** bed_message_t - a head that was read, and what came after it. */
typedef struct {
	char head[BED_HEAD_MAX + 1];
	size_t size;  /* bytes that were read */
	size_t body;  /* where the body begins */
	size_t taken; /* bytes of the body that were taken from here */
} bed_message_t;

/** bed_read_head - returns 1, 0 if the peer has closed without a byte, or a
 * negative number on failure or after the deadline (ms, 0 for none). */
static inline int bed_read_head(int fd, bed_message_t *message,
				long long deadline_ms)
{
	message->size = 0;
	message->taken = 0;
	for (;;) {
		struct pollfd wait = { .fd = fd, .events = POLLIN };
		long long left = deadline_ms ? deadline_ms - bed_now_ms() : -1;
		const char *end;
		ssize_t n;

		if (deadline_ms && left <= 0)
			return -2;
		if (poll(&wait, 1, (int)left) <= 0)
			return -2;
		n = recv(fd, message->head + message->size,
			 BED_HEAD_MAX - message->size, 0);
		if (n <= 0)
			return message->size == 0 && n == 0 ? 0 : -1;
		message->size += (size_t)n;
		message->head[message->size] = '\0';
		end = strstr(message->head, "\r\n\r\n");
		if (end) {
			message->body = (size_t)(end + 4 - message->head);
			return 1;
		}
		if (message->size == BED_HEAD_MAX)
			return -1;
	}
}

/** bed_field - copies the value of a header field; 0 if there is none. */
static inline int bed_field(const bed_message_t *message, const char *name,
			    char *value, size_t size)
{
	const char *line = message->head;
	const char *end = message->head + message->body;
	size_t name_size = strlen(name);

	while ((line = strstr(line, "\r\n")) && line + 2 < end) {
		line += 2;
		if (strncasecmp(line, name, name_size) ||
		    line[name_size] != ':')
			continue;
		line += name_size + 1;
		line += strspn(line, " ");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
		return 1;
	}
	value[0] = '\0';
	return 0;
}

/** bed_read_body - up to size bytes of the body; 0 at its end, negative on
 * failure or after the deadline. */
static inline ssize_t bed_read_body(int fd, bed_message_t *message, void *data,
				    size_t size, long long deadline_ms)
{
	size_t left = message->size - message->body - message->taken;
	struct pollfd wait = { .fd = fd, .events = POLLIN };
	long long wait_ms = deadline_ms ? deadline_ms - bed_now_ms() : -1;

	if (left > 0) {
		size_t n = left < size ? left : size;

		memcpy(data, message->head + message->body + message->taken, n);
		message->taken += n;
		return (ssize_t)n;
	}
	if ((deadline_ms && wait_ms <= 0) || poll(&wait, 1, (int)wait_ms) <= 0)
		return -2;
	return recv(fd, data, size, 0);
}

#endif
