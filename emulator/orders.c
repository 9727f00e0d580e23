#include "orders.h"

#include <string.h>

struct sr_emu_orders {
	gboolean enforce_fencing;
	guint64 last_fence;  /* of the last order applied */
	GPtrArray *versions; /* char *, in load order */
	char *role;
};

sr_emu_orders_t *sr_emu_orders_new(gboolean enforce_fencing,
				   const char *version)
{
	sr_emu_orders_t *orders = g_new0(sr_emu_orders_t, 1);

	orders->enforce_fencing = enforce_fencing;
	orders->versions = g_ptr_array_new_with_free_func(g_free);
	orders->role = g_strdup("both");
	if (version)
		g_ptr_array_add(orders->versions, g_strdup(version));
	return orders;
}

void sr_emu_orders_free(sr_emu_orders_t *orders)
{
	if (!orders)
		return;
	g_ptr_array_unref(orders->versions);
	g_free(orders->role);
	g_free(orders);
}

static struct json_object *state_to_json(const sr_emu_orders_t *orders)
{
	struct json_object *answer = json_object_new_object();
	struct json_object *versions = json_object_new_array();

	for (guint i = 0; i < orders->versions->len; i++)
		json_object_array_add(
			versions,
			json_object_new_string(orders->versions->pdata[i]));
	json_object_object_add(answer, "fence",
			       json_object_new_uint64(orders->last_fence));
	json_object_object_add(answer, "versions", versions);
	json_object_object_add(answer, "role",
			       json_object_new_string(orders->role));
	return answer;
}

/* Orders are idempotent: one that is fulfilled already changes nothing. */
static gboolean apply_order(sr_emu_orders_t *orders, struct json_object *order)
{
	const char *op = sr_emu_json_string(order, "op", "");
	const char *version = sr_emu_json_string(order, "version", NULL);
	const char *role = sr_emu_json_string(order, "role", NULL);
	guint position = 0;
	gboolean loaded = version && g_ptr_array_find_with_equal_func(
					     orders->versions, version,
					     g_str_equal, &position);

	if (!strcmp(op, "load") && version) {
		if (!loaded)
			g_ptr_array_add(orders->versions, g_strdup(version));
	} else if (!strcmp(op, "unload") && version) {
		if (loaded)
			g_ptr_array_remove_index(orders->versions, position);
	} else if (!strcmp(op, "role") && role) {
		g_free(orders->role);
		orders->role = g_strdup(role);
	} else {
		return FALSE;
	}
	return TRUE;
}

static void handle_order(sr_emu_orders_t *orders, sr_emu_exchange_t *exchange)
{
	struct json_object *order = sr_emu_body_json(exchange);
	guint64 fence = (guint64)sr_emu_json_number(order, "fence", 0);

	if (!order) {
		sr_emu_answer_status(exchange, 400);
		return;
	}
	if (orders->enforce_fencing && fence < orders->last_fence) {
		sr_emu_answer_json(exchange, 409, state_to_json(orders));
	} else if (!apply_order(orders, order)) {
		sr_emu_answer_status(exchange, 400);
	} else {
		orders->last_fence = fence;
		sr_emu_answer_json(exchange, 200, state_to_json(orders));
	}
	json_object_put(order);
}

void sr_emu_orders_handle(sr_emu_orders_t *orders, sr_emu_exchange_t *exchange)
{
	if (!strcmp(sr_emu_method(exchange), "POST"))
		handle_order(orders, exchange);
	else if (!strcmp(sr_emu_method(exchange), "GET"))
		sr_emu_answer_json(exchange, 200, state_to_json(orders));
	else
		sr_emu_answer_status(exchange, 405);
}
