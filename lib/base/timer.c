/* Timers in a red-black tree by due time; a single libev timer is set to the earliest of them. */
#include <stdlib.h>

#include "base/base.h"

RB_HEAD(timer_tree, cs_timer);

struct cs_timers {
	struct ev_loop *loop;
	ev_timer timer;
	ev_prepare prepare; /* sets the libev timer */
	ev_check check; /* reads the clock, detects that the process was suspended */
	struct timer_tree tree;
	uint64_t now_us;
	uint64_t expected_wakeup_us; /* latest time at which the loop should wake up */
	uint64_t turn_us; /* start of the current iteration; 0 before the first one */
	uint64_t next_seq;
	uint64_t suspend_limit_us;
	cs_suspend_cb suspend_cb;
	void *suspend_arg;
	cs_turn_cb turn_cb;
	void *turn_arg;
};

/* Longest sleep of the loop, so that a suspension is detected soon after the process resumes. */
#define MAX_SLEEP_US (500 * CS_US_PER_MS)

static int timer_cmp(struct cs_timer *a, struct cs_timer *b);
static void on_timer(struct ev_loop *loop, ev_timer *w, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_check(struct ev_loop *loop, ev_check *w, int events);

CS_RB_GENERATE(timer_tree, cs_timer, entry, timer_cmp)

/* Orders by due time; timers with the same due time fire in the order in which they were started. */
static int timer_cmp(struct cs_timer *a, struct cs_timer *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

struct cs_timers *cs_timers_create(struct ev_loop *loop)
{
	struct cs_timers *ts = cs_xcalloc(1, sizeof(*ts));

	ts->loop = loop;
	RB_INIT(&ts->tree);
	ts->now_us = cs_mono_us();
	ts->expected_wakeup_us = ts->now_us;
	ev_timer_init(&ts->timer, on_timer, 0., 0.);
	ev_prepare_init(&ts->prepare, on_prepare);
	ev_check_init(&ts->check, on_check);
	ts->timer.data = ts->prepare.data = ts->check.data = ts;
	/* Runs before all other watchers, so that they see the time of this iteration. */
	ev_set_priority(&ts->check, EV_MAXPRI);
	ev_prepare_start(loop, &ts->prepare);
	ev_check_start(loop, &ts->check);
	return ts;
}

void cs_timers_destroy(struct cs_timers *ts)
{
	struct cs_timer *t, *next;

	if (ts == NULL)
		return;
	RB_FOREACH_SAFE(t, timer_tree, &ts->tree, next)
		cs_timer_stop(t);
	ev_timer_stop(ts->loop, &ts->timer);
	ev_prepare_stop(ts->loop, &ts->prepare);
	ev_check_stop(ts->loop, &ts->check);
	free(ts);
}

uint64_t cs_timers_now(const struct cs_timers *ts)
{
	return ts->now_us;
}

void cs_timers_on_suspend(struct cs_timers *ts, uint64_t limit_us, cs_suspend_cb cb, void *arg)
{
	ts->suspend_limit_us = limit_us;
	ts->suspend_cb = cb;
	ts->suspend_arg = arg;
}

void cs_timers_on_turn(struct cs_timers *ts, cs_turn_cb cb, void *arg)
{
	ts->turn_cb = cb;
	ts->turn_arg = arg;
}

void cs_timer_init(struct cs_timer *t, cs_timer_cb cb, void *arg)
{
	*t = (struct cs_timer){.cb = cb, .arg = arg};
}

/* Reads the clock, because ts->now_us is old if the current loop iteration has taken long. */
static void timer_insert(struct cs_timers *ts, struct cs_timer *t, uint64_t delay_us)
{
	t->due_us = cs_mono_us() + delay_us;
	t->seq = ts->next_seq++;
	t->owner = ts;
	RB_INSERT(timer_tree, &ts->tree, t);
}

void cs_timer_start(struct cs_timers *ts, struct cs_timer *t, uint64_t delay_us)
{
	cs_timer_stop(t);
	t->period_us = 0;
	timer_insert(ts, t, delay_us);
}

void cs_timer_start_every(struct cs_timers *ts, struct cs_timer *t, uint64_t period_us)
{
	cs_timer_stop(t);
	t->period_us = period_us ? period_us : 1;
	timer_insert(ts, t, t->period_us);
}

void cs_timer_stop(struct cs_timer *t)
{
	if (t->owner == NULL)
		return;
	RB_REMOVE(timer_tree, &t->owner->tree, t);
	t->owner = NULL;
}

/* Fires all timers that are due at the time of the call. */
static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct cs_timers *ts = w->data;
	struct cs_timer *t;
	uint64_t now = cs_mono_us();

	ts->now_us = now;
	while ((t = RB_MIN(timer_tree, &ts->tree)) != NULL && t->due_us <= now) {
		cs_timer_stop(t);
		if (t->period_us > 0)
			timer_insert(ts, t, t->period_us);
		t->cb(t, t->arg);
	}
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_timers *ts = w->data;
	struct cs_timer *t = RB_MIN(timer_tree, &ts->tree);
	uint64_t now = cs_mono_us(), wait = MAX_SLEEP_US;

	if (t != NULL && t->due_us < now + wait)
		wait = t->due_us > now ? t->due_us - now : 0;
	ts->expected_wakeup_us = now + wait;
	if (ts->turn_cb != NULL && ts->turn_us > 0)
		ts->turn_cb(now - ts->turn_us, ts->turn_arg);
	ev_now_update(loop);
	ev_timer_stop(loop, &ts->timer);
	ev_timer_set(&ts->timer, (double)wait / (double)CS_US_PER_S, 0.);
	ev_timer_start(loop, &ts->timer);
}

static void on_check(struct ev_loop *loop, ev_check *w, int events)
{
	struct cs_timers *ts = w->data;
	uint64_t delay;

	ts->now_us = ts->turn_us = cs_mono_us();
	delay = ts->now_us > ts->expected_wakeup_us ? ts->now_us - ts->expected_wakeup_us : 0;
	if (ts->suspend_cb != NULL && delay > ts->suspend_limit_us)
		ts->suspend_cb(delay, ts->suspend_arg);
}
