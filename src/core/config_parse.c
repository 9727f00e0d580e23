#include "core/config.h"

#include <math.h>
#include <string.h>

static const char *const service_kind_names[] = { "model", "plain" };
static const char *const priority_names[] = { "lookup", "comparison", "bulk" };

/* Bounds and defaults of fields; DEADLINE_MAX_MS also bounds soak_ms. */
#define DEADLINE_MAX_MS (24 * 3600 * 1000)
#define DEADLINE_DEFAULT_MS (30 * 1000)
#define SOAK_DEFAULT_MS (10 * 60 * 1000)
#define WEIGHT_MIN 0.001
#define WEIGHT_MAX 1000
#define WEIGHT_DEFAULT 1
#define SLOTS_MAX 100000
#define SLOTS_DEFAULT 8
#define PRICE_PER_HOUR_MAX 1e6

/* Longest name, in bytes. */
#define NAME_LENGTH_MAX 63

/* Allowed rounding error of the sum of the shares of a service. */
#define SHARE_TOLERANCE 1e-6

static void free_route(gpointer data)
{
	sr_route_config_t *route = data;

	g_free(route->name);
	g_free(route->method);
	g_free(route->path);
	g_free(route);
}

static void free_version(gpointer data)
{
	sr_version_config_t *version = data;

	g_free(version->name);
	g_free(version);
}

static void free_service(gpointer data)
{
	sr_service_config_t *service = data;

	g_free(service->name);
	g_free(service->path);
	g_ptr_array_unref(service->routes);
	g_ptr_array_unref(service->versions);
	g_free(service);
}

static void free_account(gpointer data)
{
	sr_account_config_t *account = data;

	g_free(account->name);
	g_free(account->home);
	g_ptr_array_unref(account->token_hashes);
	g_ptr_array_unref(account->services);
	g_free(account);
}

static void free_upstream(gpointer data)
{
	sr_upstream_config_t *upstream = data;

	g_free(upstream->name);
	g_free(upstream->service);
	g_free(upstream->version);
	g_free(upstream->failure_domain);
	g_free(upstream->address);
	g_free(upstream);
}

static void free_operator(gpointer data)
{
	sr_operator_config_t *op = data;

	g_free(op->name);
	g_ptr_array_unref(op->token_hashes);
	g_free(op);
}

static sr_config_t *new_config(guint64 generation)
{
	sr_config_t *config = g_new0(sr_config_t, 1);

	config->generation = generation;
	config->references = 1;
	config->services = g_ptr_array_new_with_free_func(free_service);
	config->accounts = g_ptr_array_new_with_free_func(free_account);
	config->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	config->operators = g_ptr_array_new_with_free_func(free_operator);
	config->account_by_token = g_hash_table_new(g_str_hash, g_str_equal);
	return config;
}

static void add_finding(sr_fields_t *fields, const char *key,
			const char *remedy, const char *what)
{
	char *where = sr_fields_path(fields, key);

	sr_findings_add(fields->findings, where, remedy, "%s", what);
	g_free(where);
}

/* Names become part of keys in the platform and of metrics. */
static gboolean is_valid_name(const char *text)
{
	size_t length = strlen(text);

	if (length == 0 || length > NAME_LENGTH_MAX)
		return FALSE;
	for (const char *p = text; *p; p++) {
		if (!g_ascii_isalnum(*p) && *p != '-' && *p != '_' && *p != '.')
			return FALSE;
	}
	return g_ascii_isalnum(*text);
}

static char *read_name(sr_fields_t *fields, const char *key)
{
	char *name = sr_fields_string(fields, key, NULL);

	if (sr_fields_has(fields, key) && !is_valid_name(name))
		add_finding(fields, key,
			    "use 1 to 63 letters, digits, \"-\", \"_\" or "
			    "\".\", starting with a letter or digit",
			    "is not a valid name");
	return name;
}

static char *read_path(sr_fields_t *fields, const char *key,
		       const char *fallback)
{
	char *path = sr_fields_string(fields, key, fallback);
	size_t length = strlen(path);

	if (!sr_fields_has(fields, key))
		return path;
	if (path[0] != '/' || length < 2 || path[length - 1] == '/' ||
	    strpbrk(path, " ?#"))
		add_finding(fields, key,
			    "start it with \"/\", do not end it with \"/\", "
			    "and leave out spaces, \"?\" and \"#\"",
			    "is not a valid path prefix");
	return path;
}

static gboolean is_sha256(const char *text)
{
	return strlen(text) == 64 && strspn(text, "0123456789abcdef") == 64;
}

static GPtrArray *read_token_hashes(sr_fields_t *fields)
{
	GPtrArray *hashes = sr_fields_strings(fields, "token_sha256");

	if (hashes->len == 0)
		add_finding(fields, "token_sha256",
			    "add the SHA-256 of at least one token "
			    "(sassafrasctl hash-token)",
			    "contains no token hash");
	for (guint i = 0; i < hashes->len; i++) {
		if (!is_sha256(g_ptr_array_index(hashes, i)))
			add_finding(fields, "token_sha256",
				    "give 64 lower-case hexadecimal digits "
				    "(sassafrasctl hash-token)",
				    "contains a value that is not a SHA-256");
	}
	return hashes;
}

/* Returns TRUE for an IP address with a port, IPv6 with or without brackets.
 * Host names are invalid because they are not resolved. */
static gboolean is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *ip;
	gboolean valid;
	guint64 port;

	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return FALSE;
	ip = g_strndup(text, colon - text);
	if (ip[0] == '[' && ip[strlen(ip) - 1] == ']') {
		memmove(ip, ip + 1, strlen(ip));
		ip[strlen(ip) - 1] = '\0';
	}
	valid = g_hostname_is_ip_address(ip);
	g_free(ip);
	return valid;
}

/* Reads the end of a rollout; returns Unix time in ms, 0 if there is none. */
static gint64 read_rollout_deadline(sr_fields_t *fields)
{
	char *text = sr_fields_string(fields, "by", "");
	GDateTime *when = NULL;
	gint64 unix_ms = 0;

	if (*text) {
		when = g_date_time_new_from_iso8601(text, NULL);
		if (when)
			unix_ms = g_date_time_to_unix(when) * 1000;
		else
			add_finding(fields, "by",
				    "give a time with a time zone, such as "
				    "2027-01-31T18:00:00Z",
				    "is not an ISO 8601 time");
	}
	g_clear_pointer(&when, g_date_time_unref);
	g_free(text);
	return unix_ms;
}

static void read_version(GPtrArray *versions, sr_fields_t *fields)
{
	sr_version_config_t *version = g_new0(sr_version_config_t, 1);

	version->name = read_name(fields, "name");
	version->share = sr_fields_number(fields, "share", 0, 1, -1);
	version->by_unix_ms = read_rollout_deadline(fields);
	g_ptr_array_add(versions, version);
}

static char *read_method(sr_fields_t *fields)
{
	char *text = sr_fields_string(fields, "method", "*");
	char *method = g_ascii_strup(text, -1);

	if (strcmp(method, "*") &&
	    (!*method ||
	     strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != strlen(method)))
		add_finding(fields, "method",
			    "give an HTTP method such as \"POST\", or \"*\"",
			    "is not an HTTP method");
	g_free(text);
	return method;
}

static void read_route(sr_service_config_t *service, sr_fields_t *fields)
{
	sr_route_config_t *route = g_new0(sr_route_config_t, 1);

	route->name = read_name(fields, "name");
	route->method = read_method(fields);
	route->path = read_path(fields, "path", service->path);
	route->priority = sr_fields_choice(fields, "priority", priority_names,
					   SR_N_PRIORITIES, SR_PRIORITY_LOOKUP);
	route->idempotent = sr_fields_boolean(
		fields, "idempotent", service->kind == SR_SERVICE_MODEL);
	route->deadline =
		sr_fields_integer(fields, "deadline_ms", 1, DEADLINE_MAX_MS,
				  DEADLINE_DEFAULT_MS) *
		SR_MSEC;
	if (!g_str_has_prefix(route->path, service->path))
		add_finding(fields, "path",
			    "start it with the path of the service",
			    "does not start with the path of its service");
	g_ptr_array_add(service->routes, route);
}

/* Runs the statement that follows for each element of a JSON array; item is
 * the cursor over the members of the element. array may be NULL. */
#define FOR_EACH_OBJECT(array, item, where, findings)                \
	for (size_t i_ = 0;                                          \
	     (array) && i_ < json_object_array_length(array) &&      \
	     (open_element(&(item), array, i_, where, findings), 1); \
	     sr_fields_close(&(item)), i_++)

static void open_element(sr_fields_t *item, json_object *array, size_t index,
			 const char *where, GPtrArray *findings)
{
	char *path = g_strdup_printf("%s[%zu]", where, index);

	sr_fields_open(item, json_object_array_get_idx(array, index), path,
		       findings);
	g_free(path);
}

static void check_shares(sr_service_config_t *service, sr_fields_t *fields)
{
	double sum = 0;

	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_config_t *version =
			g_ptr_array_index(service->versions, i);

		sum += version->share;
	}
	if (fabs(sum - 1) > SHARE_TOLERANCE)
		add_finding(fields, "versions",
			    "list every version and make the shares add up "
			    "to 1",
			    "have shares that do not add up to 1");
}

/* A rollout replaces one version by another: while a version has "by", the
 * service lists exactly two versions. */
static void check_rollout(sr_service_config_t *service, sr_fields_t *fields)
{
	guint n_rollouts = 0;

	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_config_t *version =
			g_ptr_array_index(service->versions, i);

		n_rollouts += version->by_unix_ms > 0;
	}
	if (n_rollouts > 1 || (n_rollouts == 1 && service->versions->len != 2))
		add_finding(fields, "versions",
			    "list the old version and one new version with "
			    "\"by\"; finish one rollout before the next",
			    "do not describe a rollout between two versions");
}

static gint compare_route_paths(gconstpointer a, gconstpointer b)
{
	const sr_route_config_t *x = *(sr_route_config_t *const *)a;
	const sr_route_config_t *y = *(sr_route_config_t *const *)b;

	return (gint)strlen(y->path) - (gint)strlen(x->path);
}

static void read_service(sr_config_t *config, sr_fields_t *fields)
{
	sr_service_config_t *service = g_new0(sr_service_config_t, 1);
	char *where;
	sr_fields_t item;

	service->name = read_name(fields, "name");
	service->kind = sr_fields_choice(fields, "kind", service_kind_names,
					 G_N_ELEMENTS(service_kind_names), -1);
	service->path = read_path(fields, "path", NULL);
	service->soak = sr_fields_integer(fields, "soak_ms", 0, DEADLINE_MAX_MS,
					  SOAK_DEFAULT_MS) *
			SR_MSEC;
	service->outcome_by_key =
		sr_fields_boolean(fields, "outcome_by_key", FALSE);
	service->routes = g_ptr_array_new_with_free_func(free_route);
	service->versions = g_ptr_array_new_with_free_func(free_version);

	where = sr_fields_path(fields, "routes");
	FOR_EACH_OBJECT(sr_fields_array(fields, "routes"), item, where,
			fields->findings)
	read_route(service, &item);
	g_free(where);
	where = sr_fields_path(fields, "versions");
	FOR_EACH_OBJECT(sr_fields_array(fields, "versions"), item, where,
			fields->findings)
	read_version(service->versions, &item);
	g_free(where);

	if (service->routes->len == 0)
		add_finding(fields, "routes", "add at least one route",
			    "contains no route");
	check_shares(service, fields);
	check_rollout(service, fields);
	g_ptr_array_sort(service->routes, compare_route_paths);
	g_ptr_array_add(config->services, service);
}

static void read_account(sr_config_t *config, sr_fields_t *fields)
{
	sr_account_config_t *account = g_new0(sr_account_config_t, 1);

	account->name = read_name(fields, "name");
	account->home = read_name(fields, "home");
	account->token_hashes = read_token_hashes(fields);
	account->weight = sr_fields_number(fields, "weight", WEIGHT_MIN,
					   WEIGHT_MAX, WEIGHT_DEFAULT);
	account->in_flight = (unsigned)sr_fields_integer(fields, "in_flight", 0,
							 G_MAXINT32, 0);
	account->services = sr_fields_strings(fields, "services");
	g_ptr_array_add(config->accounts, account);
}

static void read_upstream(sr_config_t *config, sr_fields_t *fields)
{
	sr_upstream_config_t *upstream = g_new0(sr_upstream_config_t, 1);

	upstream->name = read_name(fields, "name");
	upstream->service = read_name(fields, "service");
	upstream->version = read_name(fields, "version");
	upstream->failure_domain = read_name(fields, "failure_domain");
	upstream->address = sr_fields_string(fields, "address", NULL);
	if (sr_fields_has(fields, "address") && !is_address(upstream->address))
		add_finding(fields, "address",
			    "give an IP address and port, such as "
			    "192.0.2.7:8000",
			    "is not an IP address with a port");
	upstream->slots = (unsigned)sr_fields_integer(fields, "slots", 1,
						      SLOTS_MAX, SLOTS_DEFAULT);
	upstream->reclaimable = sr_fields_boolean(fields, "reclaimable", FALSE);
	upstream->checks_fencing =
		sr_fields_boolean(fields, "checks_fencing", FALSE);
	upstream->price_per_hour = sr_fields_number(fields, "price_per_hour", 0,
						    PRICE_PER_HOUR_MAX, 0);
	g_ptr_array_add(config->upstreams, upstream);
}

static void read_operator(sr_config_t *config, sr_fields_t *fields)
{
	sr_operator_config_t *op = g_new0(sr_operator_config_t, 1);

	op->name = read_name(fields, "name");
	op->token_hashes = read_token_hashes(fields);
	g_ptr_array_add(config->operators, op);
}

typedef void (*read_element_fn)(sr_config_t *config, sr_fields_t *fields);

static void read_section(sr_config_t *config, sr_fields_t *root,
			 const char *key, read_element_fn read)
{
	sr_fields_t item;

	FOR_EACH_OBJECT(sr_fields_array(root, key), item, key, root->findings)
	read(config, &item);
}

/* Requires that the first member of each element is its name, a char *. */
static void check_unique_names(GPtrArray *elements, const char *where,
			       GPtrArray *findings)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < elements->len; i++) {
		char *name = *(char **)g_ptr_array_index(elements, i);
		char *path = g_strdup_printf("%s[%u].name", where, i);

		if (*name && !g_hash_table_add(seen, name))
			sr_findings_add(findings, path,
					"give each element its own name",
					"repeats the name \"%s\"", name);
		g_free(path);
	}
	g_hash_table_destroy(seen);
}

static gboolean has_version(const sr_service_config_t *service,
			    const char *name)
{
	for (guint i = 0; i < service->versions->len; i++) {
		const sr_version_config_t *version =
			g_ptr_array_index(service->versions, i);

		if (!strcmp(version->name, name))
			return TRUE;
	}
	return FALSE;
}

static void check_upstream_references(const sr_config_t *config,
				      GPtrArray *findings)
{
	for (guint i = 0; i < config->upstreams->len; i++) {
		const sr_upstream_config_t *upstream =
			g_ptr_array_index(config->upstreams, i);
		const sr_service_config_t *service =
			sr_config_service(config, upstream->service);
		char *where = g_strdup_printf("upstreams[%u]", i);

		if (!service)
			sr_findings_add(findings, where,
					"use the name of a configured service",
					"refers to the unknown service \"%s\"",
					upstream->service);
		else if (!has_version(service, upstream->version))
			sr_findings_add(findings, where,
					"use a version that the service lists",
					"refers to the unknown version \"%s\"",
					upstream->version);
		g_free(where);
	}
}

static void check_account_references(const sr_config_t *config,
				     GPtrArray *findings)
{
	for (guint i = 0; i < config->accounts->len; i++) {
		const sr_account_config_t *account =
			g_ptr_array_index(config->accounts, i);
		char *where = g_strdup_printf("accounts[%u].services", i);

		for (guint j = 0; j < account->services->len; j++) {
			const char *name =
				g_ptr_array_index(account->services, j);

			if (!sr_config_service(config, name))
				sr_findings_add(findings, where,
						"use the name of a configured "
						"service",
						"refers to the unknown service "
						"\"%s\"",
						name);
		}
		g_free(where);
	}
}

static void index_account_tokens(sr_config_t *config, GPtrArray *findings)
{
	for (guint i = 0; i < config->accounts->len; i++) {
		sr_account_config_t *account =
			g_ptr_array_index(config->accounts, i);
		char *where = g_strdup_printf("accounts[%u].token_sha256", i);

		for (guint j = 0; j < account->token_hashes->len; j++) {
			if (!g_hash_table_insert(
				    config->account_by_token,
				    g_ptr_array_index(account->token_hashes, j),
				    account))
				sr_findings_add(findings, where,
						"use each token once, for one "
						"account",
						"contains a token hash that is "
						"used more than once");
		}
		g_free(where);
	}
}

static void check_unique_paths(const sr_config_t *config, GPtrArray *findings)
{
	for (guint i = 0; i < config->services->len; i++) {
		const sr_service_config_t *service =
			g_ptr_array_index(config->services, i);
		char *where = g_strdup_printf("services[%u].path", i);

		if (sr_config_service_by_path(config, service->path) != service)
			sr_findings_add(findings, where,
					"give each service its own path",
					"repeats the path \"%s\"",
					service->path);
		g_free(where);
	}
}

static void check_consistency(sr_config_t *config, GPtrArray *findings)
{
	check_unique_names(config->services, "services", findings);
	check_unique_names(config->accounts, "accounts", findings);
	check_unique_names(config->upstreams, "upstreams", findings);
	check_unique_names(config->operators, "operators", findings);
	check_unique_paths(config, findings);
	check_upstream_references(config, findings);
	check_account_references(config, findings);
	index_account_tokens(config, findings);
}

sr_config_t *sr_config_parse(const char *text, gsize size, guint64 generation,
			     GPtrArray *findings)
{
	guint n_before = findings->len;
	json_object *value = sr_json_read(text, size, SR_CONFIG_SIZE_MAX,
					  SR_CONFIG_DEPTH_MAX, findings);
	sr_config_t *config;
	sr_fields_t root;

	if (!value)
		return NULL;
	config = new_config(generation);
	sr_fields_open(&root, value, "", findings);
	read_section(config, &root, "services", read_service);
	read_section(config, &root, "accounts", read_account);
	read_section(config, &root, "upstreams", read_upstream);
	read_section(config, &root, "operators", read_operator);
	sr_fields_close(&root);
	check_consistency(config, findings);
	json_object_put(value);
	if (findings->len > n_before) {
		sr_config_unref(config);
		return NULL;
	}
	return config;
}
