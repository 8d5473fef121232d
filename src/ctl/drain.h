/* Drains: targets, times and progress. */
#ifndef CS_CTL_DRAIN_H
#define CS_CTL_DRAIN_H

#include "src/ctl/fleet.h"

/* Finds a zone or region by name; otherwise returns false and a reason with the closest name. */
bool drain_target_find(const struct cs_config *cfg, const char *name, enum cs_drain_kind *kind,
		       unsigned *index, struct cs_msg *reason);
const char *drain_target_name(const struct cs_config *cfg, const struct cs_drain *d);
/* True if the drain applies to the zone, directly or through its region. */
bool drain_covers_zone(const struct cs_config *cfg, const struct cs_drain *d, unsigned zone);
/* Finds the document's drain entry by zone, region or drain id; NULL if there is none. */
json_t *drain_find(const json_t *doc, const char *target, size_t *index);
/* True if the entry of a target differs between two documents. */
bool drain_changed(const json_t *before, const json_t *after, const char *target);
/*
 * Parses an absolute UTC time such as 2026-12-06T20:00:00Z, or a time relative to now_ms such as
 * +90s, +30m, +4h or +2d. Returns false if the text is neither.
 */
bool drain_time_parse(const char *text, int64_t now_ms, int64_t *ms);

enum drain_phase { DRAIN_WAITING, DRAIN_RAMPING, DRAIN_EMPTYING, DRAIN_DONE, DRAIN_LATE };
struct drain_progress {
	enum drain_phase phase;
	double remaining; /* largest fraction of requests that a covered zone still receives, 0..1 */
	unsigned in_flight; /* requests at servers of the covered zones */
	unsigned waiting; /* requests queued in the proxies of the covered zones */
	bool measured; /* the load of every service in every covered zone is known */
};
const char *drain_phase_name(enum drain_phase phase);
void drain_progress_compute(const struct cs_config *cfg, const struct cs_drain *d,
			    const struct cs_view *v, int64_t now_ms, struct drain_progress *p);
/* Prints progress until the drain is done or its deadline has passed; returns an exit code. */
int drain_wait(struct ctl *ctl, const char *target);

#endif
