#ifndef SR_CORE_CONFIG_DIFF_H
#define SR_CORE_CONFIG_DIFF_H

#include <json-c/json.h>

/**
 * sr_config_diff - what changes between two configuration texts
 *
 * Returns a JSON array of {"change": "added" | "changed" | "removed",
 * "object": "SECTION/NAME"}, in the order of sections and names; the caller
 * puts it. before may be NULL; both texts must have passed sr_config_parse().
 */
json_object *sr_config_diff(json_object *before, json_object *after);

#endif
