/*
 * event: structured lines for those who explain a failure afterwards, as key=value pairs on one
 * descriptor. Writing never blocks and its volume is bounded: lines beyond a second's budget, and
 * lines for which the buffer has no room, are counted and the count is written later.
 */
#ifndef CS_EVENT_H
#define CS_EVENT_H

#include "base/base.h"

struct cs_events;

/* What happens to a line when the budget runs short. */
enum cs_event_class {
	CS_EVENT_SAMPLE, /* plain successes: the first to go */
	CS_EVENT_KEEP /* refusals, failures, changes of belief: use the whole budget */
};

/* Lines go to fd, which becomes non-blocking; ident names the instance on each line. */
struct cs_events *cs_events_create(struct ev_loop *loop, struct cs_timers *ts, int fd,
				   const char *ident);
/* Writes what the descriptor takes at once, then closes nothing. */
void cs_events_destroy(struct cs_events *ev);
/*
 * Writes "t=WALL_S event=NAME instance=IDENT " and the formatted pairs. Values must hold no spaces
 * or be quoted by the caller; control characters are replaced.
 */
void cs_event(struct cs_events *ev, enum cs_event_class class, const char *name, const char *fmt,
	      ...) __attribute__((format(printf, 4, 5)));

#endif
