/* Drains as the commands show and change them. */
#ifndef CS_CTL_DRAIN_H
#define CS_CTL_DRAIN_H

#include "src/ctl/fleet.h"

/* A zone or region by name; false and a reason with the nearest name if it is neither. */
bool drain_target(const struct cs_config *cfg, const char *name, enum cs_drain_kind *kind,
		  unsigned *index, struct cs_msg *why);
const char *drain_target_name(const struct cs_config *cfg, const struct cs_drain *d);
/* True if the drain empties the zone. */
bool drain_covers_zone(const struct cs_config *cfg, const struct cs_drain *d, unsigned zone);
/* Entry of the document's list for a target, or NULL. */
json_t *drain_find(const json_t *doc, const char *target, size_t *index);
/* True if the entry for a target differs between two documents. */
bool drain_touched(const json_t *before, const json_t *after, const char *target);
/*
 * Wall-clock time from 2026-12-06T20:00:00Z, or from now as +90s, +30m, +4h, +2d; false if it is
 * neither.
 */
bool drain_time(const char *text, int64_t now_ms, int64_t *ms);

enum drain_phase { DRAIN_WAITING, DRAIN_RAMPING, DRAIN_EMPTYING, DRAIN_DONE, DRAIN_LATE };
struct drain_progress {
	enum drain_phase phase;
	double stay; /* largest part that stays in a covered zone, 0..1 */
	unsigned in_flight; /* at servers of the covered zones */
	unsigned waiting;
	bool measured; /* a load of each covered zone is known */
};
const char *drain_phase_name(enum drain_phase phase);
void drain_progress(const struct cs_config *cfg, const struct cs_drain *d, const struct cs_view *v,
		    int64_t now_ms, struct drain_progress *p);
/* Prints progress until the drain is done or its deadline passed; returns an exit code. */
int drain_wait(struct ctl *ctl, const char *target);

#endif
