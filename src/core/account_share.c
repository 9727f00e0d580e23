#include "core/account_share.h"

/** Lifetime of the count received from another host. */
#define PEER_COUNT_EXPIRY (5 * SR_SEC)

/** Time after a refusal for which the demand of an account is unbounded. */
#define REFUSAL_EXPIRY (2 * SR_SEC)

/** Estimated demand of an account without recent refusals, as a multiple of its
 * requests in flight. The excess covers growth that the received counts do not
 * show yet. */
#define GROWTH_FACTOR 1.2

typedef struct {
	unsigned in_flight;
	sr_usec_t received_at;
} peer_count_t;

struct sr_account_share {
	GHashTable *accounts; /* name -> sr_account_t */
};

static void account_free(gpointer data)
{
	sr_account_t *account = data;

	g_hash_table_unref(account->peers);
	g_free(account->name);
	g_free(account);
}

sr_account_share_t *sr_account_share_new(void)
{
	sr_account_share_t *share = g_new0(sr_account_share_t, 1);

	share->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						account_free);
	return share;
}

void sr_account_share_free(sr_account_share_t *share)
{
	if (!share)
		return;
	g_hash_table_unref(share->accounts);
	g_free(share);
}

sr_account_t *sr_account_share_get(sr_account_share_t *share, const char *name)
{
	sr_account_t *account = g_hash_table_lookup(share->accounts, name);

	if (account)
		return account;
	account = g_new0(sr_account_t, 1);
	account->name = g_strdup(name);
	account->weight = 1;
	account->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(share->accounts, account->name, account);
	return account;
}

void sr_account_share_receive(sr_account_share_t *share, const char *name,
			      const char *host, unsigned in_flight,
			      sr_usec_t now)
{
	sr_account_t *account = sr_account_share_get(share, name);
	peer_count_t *peer;

	if (in_flight == 0) {
		g_hash_table_remove(account->peers, host);
		return;
	}
	peer = g_new0(peer_count_t, 1);
	peer->in_flight = in_flight;
	peer->received_at = now;
	g_hash_table_replace(account->peers, g_strdup(host), peer);
}

unsigned sr_account_in_flight(const sr_account_t *account, sr_usec_t now)
{
	unsigned total = account->in_flight;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, account->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_count_t *peer = value;

		if (now - peer->received_at < PEER_COUNT_EXPIRY)
			total += peer->in_flight;
		else
			g_hash_table_iter_remove(&iter);
	}
	return total;
}

/* Requests in flight that the account would have without contention; -1 for
 * no bound. */
static double estimate_demand(const sr_account_t *account, sr_usec_t now)
{
	if (account->refused_at > 0 &&
	    now - account->refused_at < REFUSAL_EXPIRY)
		return -1;
	return sr_account_in_flight(account, now) * GROWTH_FACTOR;
}

typedef struct {
	double demand;
	double weight;
} claim_t;

static GArray *collect_claims(sr_account_share_t *share,
			      const sr_account_t *requester, sr_usec_t now)
{
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(claim_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, share->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sr_account_t *account = value;
		claim_t claim = { estimate_demand(account, now),
				  account->weight };

		if (account == requester)
			claim.demand = -1;
		if (claim.demand != 0)
			g_array_append_val(claims, claim);
	}
	return claims;
}

/*
 * Weighted max-min fairness by water-filling: an account with a demand below
 * its share gets its demand, and what remains is divided by weight among the
 * others, until no demand is below its share. Returns the share of a weight of
 * one.
 */
static double fill_level(GArray *claims, double capacity)
{
	double level = 0;

	for (;;) {
		double weight = 0;
		gboolean changed = FALSE;

		for (guint i = 0; i < claims->len; i++)
			weight += g_array_index(claims, claim_t, i).weight;
		level = weight > 0 ? capacity / weight : capacity;
		for (guint i = claims->len; i > 0; i--) {
			claim_t claim = g_array_index(claims, claim_t, i - 1);

			if (claim.demand < 0 ||
			    claim.demand >= claim.weight * level)
				continue;
			capacity -= claim.demand;
			g_array_remove_index_fast(claims, i - 1);
			changed = TRUE;
		}
		if (!changed)
			return level;
	}
}

double sr_account_share_compute(sr_account_share_t *share,
				const sr_account_t *account, double capacity,
				sr_usec_t now)
{
	GArray *claims = collect_claims(share, account, now);
	double level = fill_level(claims, capacity);

	g_array_unref(claims);
	return level * account->weight;
}

void sr_account_share_foreach(sr_account_share_t *share,
			      void (*fn)(void *user,
					 const sr_account_t *account),
			      void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, share->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(user, value);
}
