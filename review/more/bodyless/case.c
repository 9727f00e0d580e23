/*
 * On a kept channel, a client asks for the head of a stream (HEAD), and resumes
 * a stream of which it has all events (the worker answers 204). Neither answer
 * has a body. Judged: whether other bytes follow it, where the client expects
 * the next answer.
 */
#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "../../stand_in/stand_in.h"

#define EVENTS 3

/** How long the client waits for bytes that belong to no answer. */
#define QUIET_MS 500

/** Times that each question is asked. */
#define ROUNDS 5

typedef struct {
	const char *what;
	const char *method;
	unsigned last_event; /* that the client names; 0 for none */
} question_t;

/* As a sound server: HEAD has the head of the answer to the same request with
 * another method; a stream without further events is 204. */
static gboolean answer_stream(const char *name, int fd,
			      const message_t *request)
{
	const char *last = message_field(request, name_of("last_event"));
	unsigned first = last ? (unsigned)g_ascii_strtoull(last, NULL, 10) : 0;
	char *fields = worker_fields(name, request);
	GString *text = g_string_new(NULL);
	gboolean is_sent;

	if (first >= EVENTS)
		g_string_append_printf(
			text, "HTTP/1.1 204 No Content\r\n%s\r\n", fields);
	else
		g_string_append_printf(text,
				       "HTTP/1.1 200 OK\r\n%sContent-Type: "
				       "text/event-stream\r\n"
				       "Transfer-Encoding: chunked\r\n\r\n",
				       fields);
	if (first < EVENTS && strcmp(request->first, "HEAD") != 0) {
		for (unsigned i = first + 1; i <= EVENTS; i++) {
			char *event = g_strdup_printf("id: %u\ndata: x\n\n", i);

			g_string_append_printf(text, "%zx\r\n%s\r\n",
					       strlen(event), event);
			g_free(event);
		}
		g_string_append(text, "0\r\n\r\n");
	}
	is_sent = send_text(fd, text->str, text->len);
	g_string_free(text, TRUE);
	g_free(fields);
	return is_sent;
}

static gboolean has_input(connection_t *connection)
{
	struct pollfd wait = { .fd = connection->fd, .events = POLLIN };

	return connection->input->len > 0 || poll(&wait, 1, QUIET_MS) > 0;
}

static void ask(connection_t *connection, const question_t *question,
		unsigned round)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "%s /stream/a HTTP/1.1\r\nHost: h.example\r\n"
			       "%s: %x%s\r\n%s: 8000\r\n"
			       "Authorization: Bearer key-of-hule\r\n",
			       question->method, name_of("request_id"), round,
			       question->what, name_of("deadline"));
	if (question->last_event > 0)
		g_string_append_printf(text, "%s: %u\r\n",
				       name_of("last_event"),
				       question->last_event);
	if (!strcmp(question->method, "POST"))
		g_string_append(text, "Content-Length: 0\r\n");
	g_string_append(text, "\r\n");
	record("sent %x%s: %s, last event %u", round, question->what,
	       question->method, question->last_event);
	send_text(connection->fd, text->str, text->len);
	g_string_free(text, TRUE);
}

/* The answer as the protocol frames it: that to HEAD, and 204, end with their
 * head, whatever it says. */
static message_t *read_answer(connection_t *connection,
			      const question_t *question)
{
	message_t *answer = message_read_head(connection);

	if (!answer)
		return NULL;
	if (!strcmp(question->method, "HEAD") || !strcmp(answer->second, "204"))
		return answer;
	if (message_read_body(connection, answer))
		return answer;
	message_free(answer);
	return NULL;
}

/* TRUE if bytes came that are no answer. */
static gboolean is_broken(const question_t *question, unsigned round)
{
	connection_t *connection =
		connection_new(connect_to(machine_ip(0), machine_port(), 8000));
	message_t *answer;
	gboolean has_more = FALSE;

	ask(connection, question, round);
	answer = read_answer(connection, question);
	if (answer)
		record("answered %x%s: %s", round, question->what,
		       answer->second);
	if (!answer || answer->second[0] != '2')
		fail_to_run("the question isn't answered with success");
	if (has_input(connection) && message_read_line(connection)) {
		record("BROKEN %x%s: other bytes follow the answer", round,
		       question->what);
		has_more = TRUE;
	}
	message_free(answer);
	connection_free(connection);
	return has_more;
}

int main(int argc, char **argv)
{
	static const worker_options_t worker = {
		.name = "i-1",
		.service = "model",
		.ip = "127.0.0.1",
		.zone = "zone-1",
		.answer = answer_stream,
	};
	static const question_t questions[] = {
		{ "head", "HEAD", 0 },
		{ "resume", "POST", EVENTS },
	};
	static const question_t others[] = {
		{ "post", "POST", 0 },
		{ "resume", "POST", EVENTS - 1 },
	};
	const question_t *asked = questions;
	unsigned n_broken[G_N_ELEMENTS(questions)] = { 0 };

	if (argc != 6)
		return 2;
	bed_start(argv, 1);
	bed_put_config("config.json");
	worker_start(&worker);
	machine_start(0);
	if (!bed_wait_ready(10000))
		fail_to_run("the machine isn't ready");
	sleep_ms(1000);
	if (!bed_has_trouble())
		asked = others;
	for (unsigned i = 0; i < ROUNDS * G_N_ELEMENTS(questions); i++) {
		unsigned k = i % G_N_ELEMENTS(questions);

		n_broken[k] += is_broken(&asked[k], i);
	}
	machines_end();
	printf("other bytes follow %u of %d answers to %s, %u of %d to %s\n",
	       n_broken[0], ROUNDS, asked[0].what, n_broken[1], ROUNDS,
	       asked[1].what);
	return n_broken[0] + n_broken[1] > 0;
}
