/*
 * event: structured log of key=value lines on a file descriptor, for the analysis of failures.
 * Writing never blocks, and its volume is limited: lines above the limit per second and lines that
 * do not fit into the buffer are dropped. Dropped lines are counted, except CS_EVENT_SAMPLED lines
 * above the limit, and the count is logged later.
 */
#ifndef CS_EVENT_H
#define CS_EVENT_H

#include "base/base.h"

struct cs_events;

/* Rate limit that applies to a line. */
enum cs_event_class {
	CS_EVENT_SAMPLED, /* successful requests: only a small sample per second is logged */
	CS_EVENT_IMPORTANT /* refusals, failures, changes of state: up to the limit of all lines */
};

/* Writes to fd, which is set to non-blocking; ident is the instance name on each line. */
struct cs_events *cs_events_create(struct ev_loop *loop, struct cs_timers *ts, int fd,
				   const char *ident);
/* Writes as much of the buffer as is possible without blocking; does not close the descriptor. */
void cs_events_destroy(struct cs_events *ev);
/*
 * Writes "t=WALL_S event=NAME instance=IDENT " and the formatted pairs. Values that contain spaces
 * must be quoted by the caller; control characters are replaced by '?'.
 */
void cs_event(struct cs_events *ev, enum cs_event_class class, const char *name, const char *fmt,
	      ...) __attribute__((format(printf, 4, 5)));

#endif
