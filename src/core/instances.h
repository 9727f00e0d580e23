#ifndef SR_CORE_INSTANCES_H
#define SR_CORE_INSTANCES_H

#include <glib.h>

#include "base/clock.h"
#include "core/ejection.h"
#include "core/instance_notices.h"
#include "core/pace/instance_pace.h"

/**
 * The registered upstream instances of the gateway: their registry entries and
 * the load of this entry host and the others on them.
 *
 * An instance is identified by its name and its start time. One that restarts
 * under its name is a new instance, and no state of the earlier one applies
 * to it. Instances are reference-counted, and attempts hold references.
 */

/** sr_registration_t - an entry of the registry; strings are borrowed. */
typedef struct {
	const char *name;
	const char *service;
	const char *address; /* IP:PORT */
	const char *failure_domain;
	const char *version; /* of its software */
	unsigned slots;	     /* requests that it runs at once */
	gboolean draining;
	gboolean reclaimable;	 /* the platform may terminate it early */
	sr_usec_t terminates_in; /* time until its termination; 0 if unknown */
	sr_usec_t cold_for;	 /* remaining warm-up time after its start */
	gint64 start_unix_ms;	 /* Unix time of its start, in ms */
	guint64 revision;	 /* of the entry; grows with each change */
} sr_registration_t;

/** sr_instance_t - a registered instance. */
typedef struct sr_instance {
	guint32 id; /* never 0, never reused by the table */
	char *name;
	char *service;
	char *address;
	char *failure_domain;
	char *version;
	unsigned slots;
	gint64 start_unix_ms;
	guint64 revision;
	gboolean draining;
	gboolean reclaimable;
	gboolean is_removed;   /* no longer registered */
	gboolean is_evacuated; /* its failure domain takes no requests */
	sr_usec_t added_at;
	sr_usec_t cold_until;
	sr_usec_t terminates_at; /* 0 if unknown */
	sr_ejection_t ejection;
	sr_instance_notices_t notices;
	sr_instance_pace_t pace;
	sr_usec_t reported_ended_at; /* by this host; 0 for not */
	sr_usec_t unreached_at;	     /* last failed connection; 0 for none */
	unsigned references;
	/* load of this entry host */
	unsigned in_flight;
	unsigned n_waiting;	      /* of in_flight, without any output yet */
	double pending_prompt_tokens; /* of prompts without a first event */
	/* load of the other entry hosts, as they last reported it */
	double peers_in_flight;
	double peers_pending_prompt_tokens;
	sr_usec_t peers_reported_at; /* time of the last report; 0 for none */
	/* delay of the last first event beyond the expected time */
	double excess_delay_s;
	sr_usec_t excess_delay_at;
} sr_instance_t;

/** sr_instances_t - the table of instances. */
typedef struct sr_instances sr_instances_t;

/** sr_instances_new - free the result with sr_instances_free(). */
sr_instances_t *sr_instances_new(void);

/** sr_instances_free - instances that are still referenced stay valid. */
void sr_instances_free(sr_instances_t *instances);

/** sr_instance_change_t - effect of a registry entry on the table. */
typedef enum {
	SR_INSTANCE_UNCHANGED, /* the entry was stale */
	SR_INSTANCE_ADDED,
	SR_INSTANCE_UPDATED,
	SR_INSTANCE_RESTARTED, /* replaced by a new instance of its name */
} sr_instance_change_t;

/**
 * sr_instances_register - apply a registry entry
 *
 * An entry is ignored as stale unless its revision is higher than that of the
 * last entry or removal of its name, and if an instance of its name and start
 * was removed while it drained.
 */
sr_instance_change_t sr_instances_register(sr_instances_t *instances,
					   const sr_registration_t *entry,
					   sr_usec_t now);

/**
 * sr_instances_remove - apply the removal of an entry
 *
 * Returns TRUE if an instance was removed. The revision is recorded even if no
 * instance has the name, so that older entries that arrive later are ignored.
 */
gboolean sr_instances_remove(sr_instances_t *instances, const char *name,
			     guint64 revision);

/** sr_instances_find - borrowed; NULL if there is none of that name. */
sr_instance_t *sr_instances_find(const sr_instances_t *instances,
				 const char *name);

/** sr_instances_of_service - of sr_instance_t, borrowed; NULL if none. */
const GPtrArray *sr_instances_of_service(const sr_instances_t *instances,
					 const char *service);

/** sr_instances_all - registered ones, of sr_instance_t; borrowed. */
const GPtrArray *sr_instances_all(const sr_instances_t *instances);

/**
 * sr_instances_set_evacuation - apply a change of a failure domain's evacuation
 *
 * See sr_evacuations_t. Returns TRUE if the instances of the domain are
 * evacuated now and weren't before, or the other way round; also those that are
 * added later.
 */
gboolean sr_instances_set_evacuation(sr_instances_t *instances,
				     const char *domain, guint64 version);

/** sr_instances_is_evacuated - whether a failure domain is evacuated. */
gboolean sr_instances_is_evacuated(const sr_instances_t *instances,
				   const char *domain);

/** sr_instances_count_evacuated - number of evacuated failure domains. */
unsigned sr_instances_count_evacuated(const sr_instances_t *instances);

/** sr_instance_is_present - registered, not evacuated, and not leaving, by its
 * registration or its responses. */
gboolean sr_instance_is_present(const sr_instance_t *instance);

/** sr_instance_is_usable - present and not ejected. */
gboolean sr_instance_is_usable(const sr_instance_t *instance, sr_usec_t now);

/** sr_instances_opens_in - time until a present instance of the service takes a
 * request from this host again; 0 if one does, or if that can't be told. */
sr_usec_t sr_instances_opens_in(const sr_instances_t *instances,
				const char *service, sr_usec_t now);

/** sr_instance_identity - the same number on all hosts for an instance, another
 * one for an instance of another name or start. */
guint64 sr_instance_identity(const sr_instance_t *instance);

/** sr_instance_ref - returns instance with a new reference. */
sr_instance_t *sr_instance_ref(sr_instance_t *instance);

/** sr_instance_unref - release a reference; NULL is allowed. */
void sr_instance_unref(sr_instance_t *instance);

#endif
