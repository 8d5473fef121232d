/* Requests of each workspace since the start, and metrics of those with the most. */
#ifndef CS_WORKSPACE_USAGE_H
#define CS_WORKSPACE_USAGE_H

#include "base/base.h"

/* Workspaces that have series of their own in the metrics; the others are summed. */
#define CS_USAGE_TOP 16

enum cs_usage_kind {
	CS_USAGE_ANSWERED, /* by a server, not 5xx */
	CS_USAGE_LATE, /* of those, later than the route's latency target */
	CS_USAGE_REFUSED, /* as not run, for want of room */
	CS_USAGE_OVER_QUOTA,
	CS_USAGE_KINDS
};

struct cs_usage;
struct cs_usage *cs_usage_create(void);
void cs_usage_destroy(struct cs_usage *u);
void cs_usage_count(struct cs_usage *u, uint64_t id, const char *name, enum cs_usage_kind kind);
/*
 * Returns counters in the Prometheus text format, with at most CS_USAGE_TOP + 1 series of each
 * kind; the caller frees it with free(). A workspace that is overtaken moves to workspace="".
 */
char *cs_usage_metrics(const struct cs_usage *u);

#endif
