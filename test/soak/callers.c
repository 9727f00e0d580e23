#include "soak.h"

/** Interval at which each host is asked, in ms. */
#define ASK_MS 60

/** Time in which callers give up, in s. */
#define CALLER_TIMEOUT_S 3

/* The callers. */

typedef struct {
	soak_t *soak;
	SoupMessage *message;
	soak_request_t request;
	gboolean is_control; /* of the first route, which always holds */
} question_t;

static soak_outcome_t outcome_of(unsigned status)
{
	switch (status) {
	case 200:
		return SOAK_OUTCOME_SERVED;
	case 401:
	case 403:
	case 404:
		return SOAK_OUTCOME_DENIED;
	default:
		return SOAK_OUTCOME_OTHER;
	}
}

static void on_answered(GObject *source, GAsyncResult *result, gpointer user)
{
	question_t *question = user;
	soak_t *soak = question->soak;
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);
	soak_request_t *request = &question->request;

	request->ended_ms = soak_now_ms(soak);
	request->outcome =
		body ? outcome_of(soup_message_get_status(question->message)) :
		       SOAK_OUTCOME_OTHER;
	soak->hosts[request->host].n_served +=
		request->outcome == SOAK_OUTCOME_SERVED && question->is_control;
	soak_rules_judge(soak->rules, request);
	g_clear_pointer(&body, g_bytes_unref);
	g_object_unref(question->message);
	g_free(question);
}

static SoupMessage *new_message(soak_t *soak, unsigned host, const char *route,
				const char *key)
{
	char *ip = soak_network_ip(soak->network, host);
	char *url = g_strdup_printf("http://%s:%d/%s/x", ip, SOAK_PORT_CALLERS,
				    route);
	SoupMessage *message = soup_message_new("POST", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	char id[24];

	g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x",
		   ++soak->n_asked);
	soup_message_headers_replace(headers, "Host", "h.example");
	soup_message_headers_append(headers, "Attempt-Id", id);
	soup_message_headers_append(headers, "Deadline-Ms", "2000");
	soup_message_headers_append(headers, "Token-Usage",
				    G_STRINGIFY(SOAK_REQUEST_TOKENS) ",0");
	if (key) {
		char *bearer = g_strconcat("Bearer ", key, NULL);

		soup_message_headers_append(headers, "Authorization", bearer);
		g_free(bearer);
	}
	g_free(url);
	g_free(ip);
	return message;
}

static void ask(soak_t *soak, unsigned host)
{
	question_t *question = g_new0(question_t, 1);
	guint pick = (guint)g_rand_int_range(soak->random, 0, SOAK_RECENT + 2);
	const soak_subject_t *subject;
	gboolean is_key;

	question->is_control = pick >= SOAK_RECENT || pick >= soak->recent->len;
	subject = question->is_control ? soak->routes->pdata[0] :
					 soak->recent->pdata[pick];
	is_key = subject->name[0] == 'k';
	question->soak = soak;
	question->request = (soak_request_t){
		.host = host,
		.incarnation = soak_rules_host(soak->rules, host)->incarnation,
		.subject = subject,
		.sent_ms = soak_now_ms(soak),
	};
	soak->hosts[host].n_asked += question->is_control;
	question->message =
		new_message(soak, host, is_key ? "private" : subject->name,
			    is_key ? subject->name : NULL);
	soup_session_send_and_read_async(soak->session, question->message,
					 G_PRIORITY_DEFAULT, NULL, on_answered,
					 question);
}

/* By turns. */
static unsigned choose_host(soak_t *soak)
{
	unsigned host;

	do {
		host = soak->next_host++ % soak->n_hosts;
	} while (soak->hosts[host].is_replaced);
	return host;
}

static gboolean on_ask_timer(gpointer user)
{
	soak_t *soak = user;

	ask(soak, choose_host(soak));
	return G_SOURCE_CONTINUE;
}

/** load_t - requests for a route whose sums are judged. */
typedef struct {
	const char *route;
	const char *key; /* NULL for none */
	unsigned interval_ms;
} load_t;

static const load_t loads[] = {
	{ "hot", "hot", 40 },
	{ "frail", NULL, 80 },
	{ "limited", NULL, 25 },
};

static void on_load_answered(GObject *source, GAsyncResult *result,
			     gpointer user)
{
	GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							 result, NULL);

	(void)user;
	g_clear_pointer(&body, g_bytes_unref);
}

static void send_load(soak_t *soak, const load_t *load)
{
	unsigned host = choose_host(soak);
	SoupMessage *message = new_message(soak, host, load->route, load->key);

	if (!strcmp(load->route, "frail"))
		soak_sums_add_request(soak->sums, soak_now_ms(soak));
	/* libsoup repeats what fails on a kept connection, unless it is new */
	soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	soup_session_send_and_read_async(soak->session, message,
					 G_PRIORITY_DEFAULT, NULL,
					 on_load_answered, NULL);
	g_object_unref(message);
}

typedef struct {
	soak_t *soak;
	const load_t *load;
} load_timer_t;

static gboolean on_load_timer(gpointer user)
{
	const load_timer_t *timer = user;

	send_load(timer->soak, timer->load);
	return G_SOURCE_CONTINUE;
}

void soak_callers_start(soak_t *soak)
{
	soak->session = soup_session_new_with_options(
		"max-conns", 1000, "max-conns-per-host", 100, "timeout",
		CALLER_TIMEOUT_S, NULL);
	g_timeout_add(ASK_MS / MAX(soak->n_hosts, 1), on_ask_timer, soak);
	soak->sums_from_ms = soak_now_ms(soak) + soak->rules->bounds.contact_ms;
	for (gsize i = 0; i < G_N_ELEMENTS(loads); i++) {
		load_timer_t *timer = g_new0(load_timer_t, 1);

		timer->soak = soak;
		timer->load = &loads[i];
		g_timeout_add(loads[i].interval_ms, on_load_timer, timer);
	}
}
