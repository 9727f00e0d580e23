#ifndef SR_CORE_INSTANCES_H
#define SR_CORE_INSTANCES_H

#include <glib.h>

#include "base/clock.h"
#include "core/ejection.h"

/**
 * The upstream instances that have registered themselves, as the gateway sees
 * them: what the registry says, and what this entry host runs there.
 *
 * An instance is told apart by its name and the moment of its start: one that
 * starts again under its name is a new one that knows nothing of before.
 * Structs stay valid until the last attempt has released them.
 */

/** sr_registration_t - one entry of the registry; strings are borrowed. */
typedef struct {
	const char *name;
	const char *service;
	const char *address; /* IP:PORT */
	const char *failure_domain;
	const char *version; /* of its software */
	unsigned slots;
	gboolean draining;
	gboolean reclaimable;
	sr_usec_t leaves_in; /* until it is taken away; 0 if not known */
	sr_usec_t cold_for;  /* still slow after its start */
	gint64 born_ms;	     /* Unix time of its start */
	guint64 revision;    /* of the entry; rises with each change */
} sr_registration_t;

typedef struct sr_instance {
	guint32 id; /* unique in the table's life, never 0 */
	char *name;
	char *service;
	char *address;
	char *failure_domain;
	char *version;
	unsigned slots;
	gint64 born_ms;
	guint64 revision;
	gboolean draining;
	gboolean reclaimable;
	gboolean is_gone; /* no longer registered */
	sr_usec_t added_at;
	sr_usec_t cold_until;
	sr_usec_t leaves_at; /* 0 if not known */
	sr_ejection_t ejection;
	unsigned references;
	/* work of this entry host */
	unsigned in_flight;
	double unread_tokens; /* of prompts without a first event yet */
	/* work of the other entry hosts, as they tell of it */
	double others_in_flight;
	double others_unread_tokens;
	sr_usec_t others_at;
	/* by how much the last first event was later than expected */
	double excess_s;
	sr_usec_t excess_at;
} sr_instance_t;

typedef struct sr_instances sr_instances_t;

sr_instances_t *sr_instances_new(void);
void sr_instances_free(sr_instances_t *instances);

typedef enum {
	SR_INSTANCE_UNCHANGED, /* the news is old */
	SR_INSTANCE_ADDED,
	SR_INSTANCE_UPDATED,
	SR_INSTANCE_RESTARTED,
} sr_instance_change_t;

/**
 * sr_instances_register - take in an entry
 *
 * One whose revision is not higher than that of what is known about the name,
 * be it an entry or its removal, changes nothing.
 */
sr_instance_change_t sr_instances_register(sr_instances_t *instances,
					   const sr_registration_t *entry,
					   sr_usec_t now);

/** sr_instances_remove - the entry is gone; TRUE if that is news. */
gboolean sr_instances_remove(sr_instances_t *instances, const char *name,
			     guint64 revision);

sr_instance_t *sr_instances_find(const sr_instances_t *instances,
				 const char *name);

/** sr_instances_of_service - of sr_instance_t, borrowed; NULL if none. */
const GPtrArray *sr_instances_of_service(const sr_instances_t *instances,
					 const char *service);

/** sr_instances_all - of sr_instance_t, borrowed, gone ones left out. */
const GPtrArray *sr_instances_all(const sr_instances_t *instances);

/** sr_instance_is_present - registered, and not leaving. */
gboolean sr_instance_is_present(const sr_instance_t *instance);

/** sr_instance_is_usable - present, and not ejected for its failures. */
gboolean sr_instance_is_usable(const sr_instance_t *instance, sr_usec_t now);

sr_instance_t *sr_instance_ref(sr_instance_t *instance);
void sr_instance_unref(sr_instance_t *instance);

#endif
