#ifndef SR_CORE_CONFIG_DIFF_H
#define SR_CORE_CONFIG_DIFF_H

#include <json-c/json.h>

/**
 * sr_config_diff - list the differences between two configurations
 *
 * Returns a JSON array of {"change": "added" | "changed" | "removed",
 * "object": "SECTION/NAME"}; the caller releases it with json_object_put().
 * The sections come in a fixed order; in each one, additions and changes come
 * first, then removals, sorted by name. before may be NULL. The texts of both
 * objects must have passed sr_config_parse().
 */
json_object *sr_config_diff(json_object *before, json_object *after);

#endif
