/* Decides when to read and to watch the store, one call at a time. */
#include "steer/feed.h"

/*
 * Pause after a watch that returned events: changes often come in batches, and every completed
 * watch means another call to the store.
 */
#define BATCH_PAUSE_US (200 * CS_US_PER_MS)
/* Pause of a root, which can be longer since the two roots of a zone watch at different times. */
#define ROOT_BATCH_PAUSE_US (400 * CS_US_PER_MS)
/* Back-off after a failed call, doubled up to the maximum, with a jitter of 50 % either way. */
#define RETRY_FIRST_US (150 * CS_US_PER_MS)
#define RETRY_MAX_US (400 * CS_US_PER_MS)
/* Maximum back-off of a follower, which the roots inform when the store has recovered. */
#define FOLLOWER_RETRY_MAX_US (2 * CS_US_PER_S)
/*
 * Longest time that a watch waits for a change. Changes must take effect within 2 s, and a watch
 * that is pending while the store discards its history does not receive them.
 */
#define WATCH_WAIT_MS 1100
/*
 * A call is overdue this long after its response was expected, or twice the delay of the last
 * response if that is longer. The followers of a root then call the store themselves.
 */
#define OVERDUE_MIN_US (200 * CS_US_PER_MS)
/*
 * Timeouts of calls. The store normally responds within milliseconds, and some tens of times slower
 * under load.
 */
#define RESPONSE_TIMEOUT_MS 700
#define READ_TIMEOUT_MS 2000
/*
 * During an outage the timeouts are short, so that recovery is noticed within about a second;
 * every third call has the usual timeout, in case the store is only slow.
 */
#define OUTAGE_WATCH_WAIT_MS 20
#define OUTAGE_RESPONSE_TIMEOUT_MS 600
#define OUTAGE_LONG_TIMEOUT_EVERY 3
/* A follower that lags for this long calls the store itself. */
#define FOLLOWER_LAG_MAX_US (250 * CS_US_PER_MS)
/* A follower checks its state at this interval. */
#define FOLLOWER_POLL_US (100 * CS_US_PER_MS)
/*
 * Contact with the store is stable after this time without a failure, if the last response is no
 * older than STABLE_RESPONSE_MAX_AGE_US.
 */
#define STABLE_US (5 * CS_US_PER_S)
#define STABLE_RESPONSE_MAX_AGE_US (1800 * CS_US_PER_MS)
/* During a longer outage, entries of live servers may expire; the servers write them again. */
#define OUTAGE_MIN_US (700 * CS_US_PER_MS)
/* Followers spread their full reads over this time after the store was restored. */
#define RESTORED_SPREAD_US (1000 * CS_US_PER_MS)

void cs_feed_init(struct cs_feed *f, uint64_t seed, uint64_t now_us)
{
	*f = (struct cs_feed){
		.last_response_us = now_us, .stable_since_us = now_us, .reading = true};
	cs_rng_seed(&f->rng, seed);
}

static bool is_behind(const struct cs_feed *f, uint64_t now_us)
{
	return f->behind_since_us > 0 && now_us - f->behind_since_us >= FOLLOWER_LAG_MAX_US;
}

/*
 * The pause of a root counts as a part of its wait: its followers learn from the next response at
 * the latest that it still reaches the store.
 */
static unsigned watch_wait_ms(const struct cs_feed *f, uint64_t now_us)
{
	uint64_t since_ms = (now_us - f->last_response_us) / CS_US_PER_MS;

	if (f->failures > 0 || f->following)
		return OUTAGE_WATCH_WAIT_MS;
	if (f->role != CS_FEED_ROOT)
		return WATCH_WAIT_MS;
	if (since_ms + OUTAGE_WATCH_WAIT_MS > WATCH_WAIT_MS)
		return OUTAGE_WATCH_WAIT_MS;
	return WATCH_WAIT_MS - (unsigned)since_ms;
}

void cs_feed_next(struct cs_feed *f, uint64_t now_us, struct cs_feed_step *out)
{
	*out = (struct cs_feed_step){.kind = CS_FEED_WATCH, .after = f->revision};
	if (now_us < f->pause_until_us) {
		out->kind = CS_FEED_PAUSE;
		out->until_us = f->pause_until_us;
		/* A root may report earlier that the store has recovered. */
		if (f->role == CS_FEED_FOLLOWER && out->until_us > now_us + FOLLOWER_POLL_US)
			out->until_us = now_us + FOLLOWER_POLL_US;
		return;
	}
	if (f->following && !f->reading && !is_behind(f, now_us)) {
		out->kind = CS_FEED_PAUSE;
		out->until_us = now_us + FOLLOWER_POLL_US;
		return;
	}
	out->wait_ms = watch_wait_ms(f, now_us);
	out->timeout_ms = out->wait_ms + RESPONSE_TIMEOUT_MS;
	f->calling = true;
	f->last_call_us = now_us;
	f->call_wait_us = out->wait_ms * CS_US_PER_MS;
	if (f->reading) {
		out->kind = CS_FEED_READ;
		out->first = !f->more_pages;
		f->call_wait_us = 0;
		out->timeout_ms = READ_TIMEOUT_MS;
	}
	if (f->failures % OUTAGE_LONG_TIMEOUT_EVERY != 0)
		out->timeout_ms = OUTAGE_RESPONSE_TIMEOUT_MS;
}

/* Records a successful call; after a long outage, expired entries may still be rewritten. */
static void record_success(struct cs_feed *f, uint64_t now_us)
{
	if (f->failures > 0 && now_us - f->last_response_us > OUTAGE_MIN_US)
		f->grace_until_us = now_us + CS_FEED_REWRITE_US;
	f->failures = 0;
	f->calling = false;
	f->last_response_us = now_us;
}

bool cs_feed_page_read(struct cs_feed *f, uint64_t revision, bool more, uint64_t now_us)
{
	record_success(f, now_us);
	if (!f->more_pages)
		f->page_revision = revision;
	f->more_pages = more;
	if (more)
		return false;
	/* Changes made during the full read are watched from the revision of the first page. */
	f->revision = f->page_revision;
	f->reading = false;
	f->known = true;
	return true;
}

void cs_feed_watch_completed(struct cs_feed *f, uint64_t revision, unsigned n_events,
			     uint64_t now_us)
{
	uint64_t took_us = now_us - f->last_call_us;

	/* A response with changes does not show how long the store waited for them. */
	if (n_events == 0)
		f->response_delay_us = took_us > f->call_wait_us ? took_us - f->call_wait_us : 0;
	record_success(f, now_us);
	if (revision > f->revision)
		f->revision = revision;
	if (n_events > 0)
		f->pause_until_us =
			now_us + (f->role == CS_FEED_ROOT ? ROOT_BATCH_PAUSE_US : BATCH_PAUSE_US);
}

void cs_feed_history_lost(struct cs_feed *f, uint64_t now_us)
{
	record_success(f, now_us);
	f->reading = true;
	f->more_pages = false;
}

void cs_feed_restored(struct cs_feed *f, uint64_t now_us)
{
	f->reading = true;
	f->more_pages = false;
	f->stable_since_us = now_us;
	f->grace_until_us = now_us + CS_FEED_REWRITE_US;
	if (f->following)
		f->pause_until_us = now_us + cs_rng_below(&f->rng, (uint32_t)RESTORED_SPREAD_US);
}

void cs_feed_call_failed(struct cs_feed *f, uint64_t now_us)
{
	uint64_t max_wait = f->role == CS_FEED_FOLLOWER ? FOLLOWER_RETRY_MAX_US : RETRY_MAX_US;
	uint64_t wait = RETRY_FIRST_US << (f->failures < 4 ? f->failures : 4);

	/*
	 * A call that was pending when the outage began shows that the store was available when the
	 * call was made.
	 */
	if (f->failures == 0 && f->last_call_us > f->last_response_us)
		f->last_response_us = f->last_call_us;
	f->failures++;
	f->calling = false;
	f->stable_since_us = now_us;
	if (wait > max_wait)
		wait = max_wait;
	f->pause_until_us = now_us + wait / 2 + cs_rng_below(&f->rng, (uint32_t)wait);
	/* Pages are not a consistent snapshot: an interrupted full read starts over. */
	f->more_pages = false;
}

void cs_feed_set_role(struct cs_feed *f, enum cs_feed_role role, uint64_t revision, uint64_t now_us)
{
	bool following = role == CS_FEED_FOLLOWER && revision > 0;

	/* Another instance reaches the store: retry at once. */
	if (following && !f->following && f->failures > 0)
		f->pause_until_us = now_us;
	f->role = role;
	f->following = following;
	if (revision <= f->revision)
		f->behind_since_us = 0;
	else if (f->behind_since_us == 0)
		f->behind_since_us = now_us;
	/* Responses to the watching instance count as responses to this one. */
	if (f->following && f->failures == 0)
		f->last_response_us = now_us;
}

bool cs_feed_apply_relayed(struct cs_feed *f, uint64_t from, uint64_t to, uint64_t now_us)
{
	if (f->reading || from > f->revision || to <= f->revision)
		return false;
	f->revision = to;
	f->behind_since_us = 0;
	return true;
}

void cs_feed_contact(struct cs_feed *f, uint64_t now_us)
{
	f->last_response_us = now_us;
}

uint64_t cs_feed_entries_revision(const struct cs_feed *f)
{
	return f->entries_revision > f->revision ? f->entries_revision : f->revision;
}

bool cs_feed_apply_entries(struct cs_feed *f, uint64_t from, uint64_t to)
{
	uint64_t known = cs_feed_entries_revision(f);

	if (f->reading || from > known || to <= known)
		return false;
	f->entries_revision = to;
	return true;
}

uint64_t cs_feed_grace_us(const struct cs_feed *f, uint64_t now_us)
{
	return now_us < f->grace_until_us ? f->grace_until_us - now_us : 0;
}

bool cs_feed_is_stable(const struct cs_feed *f, uint64_t now_us)
{
	return cs_feed_is_fresh(f, now_us) && now_us - f->stable_since_us > STABLE_US;
}

/* True if the response to the call in progress should have arrived. */
static bool is_overdue(const struct cs_feed *f, uint64_t now_us)
{
	uint64_t slack = 2 * f->response_delay_us, due_us = f->last_call_us + f->call_wait_us;

	if (slack < OVERDUE_MIN_US)
		slack = OVERDUE_MIN_US;
	if (due_us < f->last_response_us)
		due_us = f->last_response_us;
	return f->calling && now_us > due_us + slack;
}

bool cs_feed_is_fresh(const struct cs_feed *f, uint64_t now_us)
{
	return f->known && !f->following && f->failures == 0 && !is_overdue(f, now_us) &&
	       now_us - f->last_response_us < STABLE_RESPONSE_MAX_AGE_US;
}
