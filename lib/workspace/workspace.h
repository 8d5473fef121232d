/*
 * Workspaces, the customers of a deployment: their keys and settings, how old the knowledge of keys
 * is, quotas over all instances, and fair shares of the slots. Performs no I/O. Times are in us
 * unless a name has another unit; those of keys and quotas are by a clock that also runs while the
 * machine is suspended (cs_boottime_us).
 */
#ifndef CS_WORKSPACE_H
#define CS_WORKSPACE_H

#include "base/base.h"

#define CS_WORKSPACE_NAME_MAX 64
/* Longest key, in bytes; the platform's header section allows 16 KB in all. */
#define CS_WORKSPACE_KEY_MAX 256
#define CS_WORKSPACE_HOMES_MAX 8

/* Settings of a workspace, from the operators' document. */
struct cs_workspace {
	uint64_t id; /* hash of its name */
	char *name;
	double rate_per_s; /* quota over all instances; 0: none */
	double burst; /* requests beyond rate_per_s * window that a window may have */
	unsigned priority; /* goes before the priority of the route; 0 is the most urgent */
	/* Regions that may serve it, n_homes names; 0: all. */
	char (*homes)[CS_WORKSPACE_NAME_MAX];
	unsigned n_homes;
	bool unreadable; /* its settings cannot be read; its requests are refused as not run */
};

/* The workspaces of a document. */
struct cs_workspace_table;
struct cs_workspace_table *cs_workspace_table_create(void);
void cs_workspace_table_destroy(struct cs_workspace_table *t);
/*
 * Adds a workspace without settings and keys, which is valid until the table is destroyed. NULL if
 * there is one of that name or the name is empty or too long.
 */
struct cs_workspace *cs_workspace_add(struct cs_workspace_table *t, const char *name);
/* Adds a key, of which a keyed hash is kept. False if it is empty, too long or known already. */
bool cs_workspace_add_key(struct cs_workspace_table *t, const struct cs_workspace *ws,
			  const char *key);
/* Records a workspace whose keys are unknown: a key without a workspace may be one of them. */
void cs_workspace_add_unknown(struct cs_workspace_table *t);
bool cs_workspace_has_unknown(const struct cs_workspace_table *t);
unsigned cs_workspace_count(const struct cs_workspace_table *t);
unsigned cs_workspace_count_keys(const struct cs_workspace_table *t);
/* Workspace that holds the key, or NULL; in a time that depends on the key's length alone. */
const struct cs_workspace *cs_workspace_by_key(const struct cs_workspace_table *t, const char *key);
const struct cs_workspace *cs_workspace_by_id(const struct cs_workspace_table *t, uint64_t id);
/* When the document in force was last known to be the newest one. */
struct cs_freshness {
	uint64_t confirmed_us; /* 0: never */
	uint64_t max_age_us; /* 0: any age will do */
};
/*
 * The document in force was the newest at confirmed_us, as a call or question that was sent then
 * has shown.
 */
void cs_freshness_confirm(struct cs_freshness *f, uint64_t confirmed_us);
/*
 * A neighbour replied to a question that was sent at asked_us, at an age of its own knowledge of
 * age_us. Ignored if its document is newer than the one in force.
 */
void cs_freshness_hear(struct cs_freshness *f, uint64_t asked_us, uint64_t age_us,
		       uint64_t neighbour_version, uint64_t own_version);
uint64_t cs_freshness_age_us(const struct cs_freshness *f, uint64_t now_us);
/* True if a key that the document holds may be honoured. */
bool cs_freshness_is_valid(const struct cs_freshness *f, uint64_t now_us);

#include "workspace/fair.h"
#include "workspace/quota.h"
#include "workspace/usage.h"

#endif
