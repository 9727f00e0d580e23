#include <string.h>

#include "fleet/beliefs_internal.h"

/** First bytes of a question and of its answer; those of the gossip begin
 * with the type of their message, a small number. */
#define MARK_ASK 'A'
#define MARK_ANSWER 'G'

/** A question without an answer is one with a no after this: some times the
 * way there and back, and little against any target. */
#define ASK_TIMEOUT (60 * SR_MSEC)

/** What a caller is told to wait if the pool can't be asked. */
#define WAIT_UNKNOWN SR_SEC

/** Fewer hosts than this are not believed to be all: at the start of all of
 * them each one is alone for a moment. */
#define HOSTS_MIN 6.0

/** Part of the hosts by which the most of late fades in a second. */
#define FADING 0.02

typedef struct {
	sr_list_t link;
	sr_beliefs_t *beliefs;
	guint64 id;
	sr_timer_t *timer;
	sr_pool_answer_fn done;
	void *user;
} ask_t;

static void free_ask(ask_t *ask)
{
	sr_timer_cancel(ask->timer);
	sr_list_remove(&ask->link);
	g_free(ask);
}

/* The address of the host that keeps an account's pool; NULL if it is here. */
static const char *keeper_of(const sr_beliefs_t *beliefs, const char *account)
{
	char *thing = g_strconcat("pool/", account, NULL);
	GPtrArray *keepers = sr_members_owners(beliefs->members, thing, 1);
	const char *address = keepers->len > 0 ? keepers->pdata[0] : NULL;

	g_ptr_array_unref(keepers);
	g_free(thing);
	return address;
}

void sr_pool_asks_init(sr_beliefs_t *beliefs)
{
	sr_list_init(&beliefs->asks);
	beliefs->most_hosts = HOSTS_MIN;
	beliefs->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void sr_pool_asks_clear(sr_beliefs_t *beliefs)
{
	sr_list_for_each_safe (link, &beliefs->asks)
		free_ask(sr_list_entry(link, ask_t, link));
	g_hash_table_unref(beliefs->pools);
}

static gboolean is_kept_elsewhere(gpointer account, gpointer value,
				  gpointer user)
{
	(void)value;
	return keeper_of(user, account) != NULL;
}

void sr_pool_asks_tick(sr_beliefs_t *beliefs)
{
	double live = sr_beliefs_hosts(beliefs);

	g_hash_table_foreach_remove(beliefs->pools, is_kept_elsewhere, beliefs);
	beliefs->most_hosts *= 1 - FADING;
	beliefs->most_hosts = MAX(beliefs->most_hosts, MAX(live, HOSTS_MIN));
	sr_allowance_set_pool_fraction(
		sr_gateway_allowance(beliefs->options.gateway),
		live / beliefs->most_hosts);
}

static void finish(ask_t *ask, sr_usec_t wait)
{
	sr_pool_answer_fn done = ask->done;
	void *user = ask->user;

	free_ask(ask);
	done(user, wait);
}

static void on_timeout(void *user)
{
	ask_t *ask = user;

	ask->timer = NULL;
	finish(ask, WAIT_UNKNOWN);
}

static sr_usec_t take(sr_beliefs_t *beliefs, const char *account, double amount)
{
	sr_allowance_t *allowance =
		sr_gateway_allowance(beliefs->options.gateway);

	if (g_hash_table_add(beliefs->pools, g_strdup(account))) {
		sr_log_event(beliefs->options.log, SR_LOG_INFO, "pool-kept",
			     "account", account, NULL);
		sr_allowance_start_pool(allowance, sr_beliefs_now(beliefs),
					account);
	}
	return sr_allowance_take_from_pool(allowance, sr_beliefs_now(beliefs),
					   account, amount);
}

static void send_text(sr_beliefs_t *beliefs, const char *address, char *text)
{
	sr_peer_send(beliefs->peer, address, (const guint8 *)text,
		     strlen(text));
	g_free(text);
}

void sr_beliefs_ask_pool(sr_beliefs_t *beliefs, const char *account,
			 double amount, sr_pool_answer_fn done, void *user)
{
	const char *address = keeper_of(beliefs, account);
	ask_t *ask;

	if (!address) {
		done(user, take(beliefs, account, amount));
		return;
	}
	ask = g_new0(ask_t, 1);
	ask->beliefs = beliefs;
	ask->id = ++beliefs->n_asks;
	ask->done = done;
	ask->user = user;
	ask->timer = sr_timer_start(beliefs->options.clock, ASK_TIMEOUT,
				    on_timeout, ask);
	sr_list_append(&beliefs->asks, &ask->link);
	send_text(beliefs, address,
		  g_strdup_printf("%c%" G_GUINT64_FORMAT "\n%s\n%.0f\n%s",
				  MARK_ASK, ask->id,
				  beliefs->options.peer_address, amount,
				  account));
}

void sr_beliefs_cancel_ask(sr_beliefs_t *beliefs, void *user)
{
	sr_list_for_each_safe (link, &beliefs->asks) {
		ask_t *ask = sr_list_entry(link, ask_t, link);

		if (ask->user == user)
			free_ask(ask);
	}
}

/* "ID\nADDRESS\nAMOUNT\nACCOUNT" */
static void answer_question(sr_beliefs_t *beliefs, char **lines)
{
	sr_usec_t wait;

	if (g_strv_length(lines) != 4)
		return;
	/* One that keeps no pool by its own view gives nothing out. */
	wait = keeper_of(beliefs, lines[3]) ?
		       WAIT_UNKNOWN :
		       take(beliefs, lines[3], g_ascii_strtod(lines[2], NULL));
	send_text(beliefs, lines[1],
		  g_strdup_printf("%c%s\n%" G_GINT64_FORMAT, MARK_ANSWER,
				  lines[0], wait));
}

/* "ID\nWAIT" */
static void take_answer(sr_beliefs_t *beliefs, char **lines)
{
	guint64 id;
	gint64 wait;

	if (g_strv_length(lines) != 2 ||
	    !g_ascii_string_to_unsigned(lines[0], 10, 0, G_MAXUINT64, &id,
					NULL) ||
	    !g_ascii_string_to_signed(lines[1], 10, 0, G_MAXINT64, &wait, NULL))
		return;
	sr_list_for_each_safe (link, &beliefs->asks) {
		ask_t *ask = sr_list_entry(link, ask_t, link);

		if (ask->id == id) {
			finish(ask, wait);
			return;
		}
	}
}

gboolean sr_pool_asks_receive(sr_beliefs_t *beliefs, const guint8 *data,
			      gsize size)
{
	char **lines;
	char *text;

	if (size == 0 || (data[0] != MARK_ASK && data[0] != MARK_ANSWER))
		return FALSE;
	text = g_strndup((const char *)data + 1, size - 1);
	lines = g_strsplit(text, "\n", -1);
	if (data[0] == MARK_ASK)
		answer_question(beliefs, lines);
	else
		take_answer(beliefs, lines);
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}
