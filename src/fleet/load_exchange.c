#include "fleet/load_exchange.h"

#include <string.h>

/** First byte of a datagram: the load of one host, of one failure domain, and
 * of all. Gossip datagrams begin with a small number. */
#define TYPE_HOST 'L'
#define TYPE_DOMAIN 'D'
#define TYPE_TOTAL 'T'

/** Collectors of a failure domain. */
#define COLLECTORS 2

/** Time between two reports of a host. It grows with the number of hosts of
 * the failure domain, so that a collector's rate stays bounded. */
#define INTERVAL_MIN (250 * SR_MSEC)
#define INTERVAL_PER_HOST (12 * SR_MSEC)

/** Intervals without a total after which the second collector sends, and for
 * which a collector that has started receives reports first. */
#define SILENT_INTERVALS 3

/** Low bits of a sequence number, which count the datagrams of one
 * incarnation. */
#define SEQUENCE_BITS 20

/** Most parts of one sum; bounds what a host receives. Instances with little
 * load are left out first. */
#define PARTS_MAX 12

/** Reserved in a datagram for its header line. */
#define HEADER_MAX 256

/** stream_t - sums from one source; a sum arrives in parts. */
typedef struct {
	char *failure_domain;
	guint64 sequence;	 /* of the sum being received */
	guint64 parts_received;	 /* bit set */
	sr_load_sum_t *incoming; /* NULL after the last part */
	sr_load_sum_t *current;	 /* last complete sum, or NULL */
	sr_usec_t received_at;	 /* of current */
} stream_t;

struct sr_load_exchange {
	sr_load_exchange_options_t options;
	char *node;
	char *failure_domain;
	sr_usec_t started_at;
	guint64 n_sent;	      /* sums, for the sequence number */
	sr_load_sum_t *own;   /* at the last tick */
	GHashTable *reports;  /* node of the own domain -> stream_t */
	GHashTable *domains;  /* "DOMAIN/NODE" of the collector -> stream_t */
	GHashTable *totals;   /* node of the collector -> stream_t */
	sr_load_sum_t *total; /* made by this host as a collector, or NULL */
	sr_usec_t total_at;
	sr_load_exchange_stats_t stats;
};

/** header_t - first line of a datagram:
 * "TYPE NODE DOMAIN SEQUENCE PART PARTS HOSTS". */
typedef struct {
	char type;
	const char *node;
	const char *failure_domain;
	guint64 sequence;
	guint64 part;
	guint64 n_parts;
	guint64 n_hosts;
} header_t;

static void free_stream(gpointer data)
{
	stream_t *stream = data;

	g_free(stream->failure_domain);
	sr_load_sum_free(stream->incoming);
	sr_load_sum_free(stream->current);
	g_free(stream);
}

static GHashTable *new_streams(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_stream);
}

sr_load_exchange_t *
sr_load_exchange_new(const sr_load_exchange_options_t *options, sr_usec_t now)
{
	sr_load_exchange_t *exchange = g_new0(sr_load_exchange_t, 1);

	exchange->options = *options;
	exchange->node = g_strdup(options->node);
	exchange->failure_domain = g_strdup(options->failure_domain);
	exchange->started_at = now;
	exchange->own = sr_load_sum_new();
	exchange->reports = new_streams();
	exchange->domains = new_streams();
	exchange->totals = new_streams();
	return exchange;
}

void sr_load_exchange_free(sr_load_exchange_t *exchange)
{
	if (!exchange)
		return;
	g_hash_table_unref(exchange->reports);
	g_hash_table_unref(exchange->domains);
	g_hash_table_unref(exchange->totals);
	sr_load_sum_free(exchange->own);
	sr_load_sum_free(exchange->total);
	g_free(exchange->node);
	g_free(exchange->failure_domain);
	g_free(exchange);
}

sr_usec_t sr_load_exchange_interval(const sr_load_exchange_t *exchange)
{
	unsigned n = sr_members_count_own_domain(exchange->options.members);

	return MAX(INTERVAL_MIN, n * INTERVAL_PER_HOST);
}

static gboolean is_fresh(const stream_t *stream, sr_usec_t now)
{
	return stream->current && now - stream->received_at < SR_LOAD_EXPIRY;
}

/* The latest total that a collector has sent to this host, or NULL. */
static const stream_t *latest_total(const sr_load_exchange_t *exchange,
				    sr_usec_t now)
{
	const stream_t *latest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, exchange->totals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const stream_t *stream = value;

		if (is_fresh(stream, now) &&
		    (!latest || stream->received_at > latest->received_at))
			latest = stream;
	}
	return latest;
}

gboolean sr_load_exchange_is_collector(const sr_load_exchange_t *exchange,
				       sr_usec_t now)
{
	unsigned rank = sr_members_domain_rank(exchange->options.members);
	sr_usec_t silence =
		SILENT_INTERVALS * sr_load_exchange_interval(exchange);
	const stream_t *latest = latest_total(exchange, now);

	if (rank >= COLLECTORS || now - exchange->started_at < silence)
		return FALSE;
	return rank == 0 || !latest || now - latest->received_at >= silence;
}

static void send_sum(sr_load_exchange_t *exchange, char type,
		     const sr_load_sum_t *sum, GPtrArray *addresses)
{
	unsigned n_dropped;
	GPtrArray *texts = sr_load_sum_encode(
		sum, exchange->options.datagram_max - HEADER_MAX, PARTS_MAX,
		&n_dropped);
	guint64 sequence = (exchange->options.incarnation << SEQUENCE_BITS) +
			   ++exchange->n_sent;

	exchange->stats.items_dropped += n_dropped;
	for (guint part = 0; part < texts->len; part++) {
		char *datagram = g_strdup_printf(
			"%c %s %s %" G_GUINT64_FORMAT " %u %u %u\n%s", type,
			exchange->node, exchange->failure_domain, sequence,
			part, texts->len, sr_load_sum_hosts(sum),
			(const char *)texts->pdata[part]);

		for (guint i = 0; i < addresses->len; i++)
			exchange->options.send(
				exchange->options.user, addresses->pdata[i],
				(const guint8 *)datagram, strlen(datagram));
		g_free(datagram);
	}
	g_ptr_array_unref(texts);
	g_ptr_array_unref(addresses);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer user)
{
	const stream_t *stream = value;

	(void)key;
	return *(sr_usec_t *)user - stream->received_at >= SR_LOAD_EXPIRY;
}

/* The sum of the own failure domain. */
static sr_load_sum_t *sum_reports(sr_load_exchange_t *exchange, sr_usec_t now)
{
	sr_load_sum_t *sum = sr_load_sum_new();
	GHashTableIter iter;
	gpointer value;

	sr_load_sum_add(sum, exchange->own);
	g_hash_table_iter_init(&iter, exchange->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const stream_t *stream = value;

		if (is_fresh(stream, now))
			sr_load_sum_add(sum, stream->current);
	}
	return sum;
}

/* TRUE if another collector of the same domain has sent a later sum. */
static gboolean is_superseded(const sr_load_exchange_t *exchange,
			      const stream_t *stream, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, exchange->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const stream_t *other = value;

		if (other != stream && is_fresh(other, now) &&
		    !strcmp(other->failure_domain, stream->failure_domain) &&
		    other->received_at > stream->received_at)
			return TRUE;
	}
	return FALSE;
}

static void add_other_domains(const sr_load_exchange_t *exchange,
			      sr_load_sum_t *sum, sr_usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, exchange->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const stream_t *stream = value;

		if (is_fresh(stream, now) &&
		    !is_superseded(exchange, stream, now))
			sr_load_sum_add(sum, stream->current);
	}
}

static void send_as_collector(sr_load_exchange_t *exchange, sr_usec_t now)
{
	const sr_members_t *members = exchange->options.members;
	sr_load_sum_t *sum = sum_reports(exchange, now);

	send_sum(exchange, TYPE_DOMAIN, sum,
		 sr_members_delegate_addresses(members, FALSE, COLLECTORS));
	add_other_domains(exchange, sum, now);
	send_sum(exchange, TYPE_TOTAL, sum,
		 sr_members_local_addresses(members));
	sr_load_sum_free(exchange->total);
	exchange->total = sum;
	exchange->total_at = now;
	exchange->options.total_changed(exchange->options.user);
}

void sr_load_exchange_tick(sr_load_exchange_t *exchange, sr_usec_t now,
			   sr_load_sum_t *own)
{
	sr_load_sum_set_hosts(own, 1);
	sr_load_sum_free(exchange->own);
	exchange->own = own;
	g_hash_table_foreach_remove(exchange->reports, is_expired, &now);
	g_hash_table_foreach_remove(exchange->domains, is_expired, &now);
	g_hash_table_foreach_remove(exchange->totals, is_expired, &now);
	send_sum(exchange, TYPE_HOST, own,
		 sr_members_delegate_addresses(exchange->options.members, TRUE,
					       COLLECTORS));
	if (sr_load_exchange_is_collector(exchange, now))
		send_as_collector(exchange, now);
}

static gboolean parse_number(const char *text, guint64 max, guint64 *out)
{
	return g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

static gboolean parse_header(char **fields, header_t *header)
{
	if (g_strv_length(fields) != 7)
		return FALSE;
	header->type = fields[0][0];
	header->node = fields[1];
	header->failure_domain = fields[2];
	return parse_number(fields[3], G_MAXUINT64, &header->sequence) &&
	       parse_number(fields[5], PARTS_MAX, &header->n_parts) &&
	       header->n_parts > 0 &&
	       parse_number(fields[4], header->n_parts - 1, &header->part) &&
	       parse_number(fields[6], G_MAXUINT16, &header->n_hosts);
}

static stream_t *get_stream(GHashTable *streams, char *key,
			    const header_t *header, sr_usec_t now)
{
	stream_t *stream = g_hash_table_lookup(streams, key);

	if (stream) {
		g_free(key);
		return stream;
	}
	stream = g_new0(stream_t, 1);
	stream->failure_domain = g_strdup(header->failure_domain);
	stream->received_at = now;
	g_hash_table_insert(streams, key, stream);
	return stream;
}

/* Returns TRUE if the sum is complete with this part. */
static gboolean receive_part(stream_t *stream, const header_t *header,
			     const char *text, sr_usec_t now)
{
	guint64 all = (G_GUINT64_CONSTANT(1) << header->n_parts) - 1;

	if (header->sequence < stream->sequence)
		return FALSE; /* overtaken by a later sum */
	if (header->sequence > stream->sequence) {
		sr_load_sum_free(stream->incoming);
		stream->incoming = sr_load_sum_new();
		sr_load_sum_set_hosts(stream->incoming,
				      (unsigned)header->n_hosts);
		stream->sequence = header->sequence;
		stream->parts_received = 0;
	}
	if (!stream->incoming || stream->parts_received >> header->part & 1)
		return FALSE;
	sr_load_sum_decode(stream->incoming, text);
	stream->parts_received |= G_GUINT64_CONSTANT(1) << header->part;
	if (stream->parts_received != all)
		return FALSE;
	sr_load_sum_free(stream->current);
	stream->current = g_steal_pointer(&stream->incoming);
	stream->received_at = now;
	return TRUE;
}

static void receive_sum(sr_load_exchange_t *exchange, sr_usec_t now,
			const header_t *header, const char *text)
{
	gboolean is_local =
		!strcmp(header->failure_domain, exchange->failure_domain);
	GHashTable *streams = NULL;
	char *key;

	if (header->type == TYPE_HOST && is_local)
		streams = exchange->reports;
	else if (header->type == TYPE_DOMAIN && !is_local)
		streams = exchange->domains;
	else if (header->type == TYPE_TOTAL && is_local)
		streams = exchange->totals;
	if (!streams || !strcmp(header->node, exchange->node)) {
		exchange->stats.malformed++;
		return;
	}
	key = header->type == TYPE_DOMAIN ?
		      g_strconcat(header->failure_domain, "/", header->node,
				  NULL) :
		      g_strdup(header->node);
	if (receive_part(get_stream(streams, key, header, now), header, text,
			 now) &&
	    streams == exchange->totals)
		exchange->options.total_changed(exchange->options.user);
}

gboolean sr_load_exchange_receive(sr_load_exchange_t *exchange, sr_usec_t now,
				  const guint8 *data, gsize size)
{
	char **lines;
	char **fields;
	char *text;
	header_t header;

	if (size == 0 || (data[0] != TYPE_HOST && data[0] != TYPE_DOMAIN &&
			  data[0] != TYPE_TOTAL))
		return FALSE;
	text = g_strndup((const char *)data, size);
	lines = g_strsplit(text, "\n", 2);
	fields = g_strsplit(lines[0], " ", -1);
	if (lines[1] && parse_header(fields, &header))
		receive_sum(exchange, now, &header, lines[1]);
	else
		exchange->stats.malformed++;
	g_strfreev(fields);
	g_strfreev(lines);
	g_free(text);
	return TRUE;
}

const sr_load_sum_t *sr_load_exchange_total(const sr_load_exchange_t *exchange,
					    sr_usec_t now,
					    const sr_load_sum_t **own)
{
	const stream_t *latest = latest_total(exchange, now);

	*own = exchange->own;
	if (exchange->total && now - exchange->total_at < SR_LOAD_EXPIRY &&
	    (!latest || latest->received_at <= exchange->total_at))
		return exchange->total;
	return latest ? latest->current : NULL;
}

const sr_load_exchange_stats_t *
sr_load_exchange_stats(const sr_load_exchange_t *exchange)
{
	return &exchange->stats;
}
