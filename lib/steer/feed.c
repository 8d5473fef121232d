/* Reading, watching, pausing: one call at a time. */
#include "steer/feed.h"

/*
 * Pause after a watch with events: changes often come in groups, and each answered watch is a call
 * that counts.
 */
#define GROUP_US (200 * CS_US_PER_MS)
/* Pause after a failed call, doubled up to the longest, each spread by half. */
#define RETRY_FIRST_US (150 * CS_US_PER_MS)
#define RETRY_MAX_US (800 * CS_US_PER_MS)
/* A store that failed for this long may have let entries lapse that it will have again. */
#define AWAY_US (700 * CS_US_PER_MS)
/* Servers that live and reach the store write their entries again within this time of its return. */
#define RETURN_US (2000 * CS_US_PER_MS)

void cs_feed_init(struct cs_feed *f, uint64_t seed, uint64_t now_us)
{
	*f = (struct cs_feed){.answered_us = now_us, .reading = true};
	cs_rng_seed(&f->rng, seed);
}

void cs_feed_next(struct cs_feed *f, uint64_t now_us, struct cs_feed_step *out)
{
	*out = (struct cs_feed_step){.kind = CS_FEED_WATCH, .after = f->revision};
	if (now_us < f->pause_until_us) {
		out->kind = CS_FEED_PAUSE;
		out->until_us = f->pause_until_us;
		return;
	}
	f->asked_us = now_us;
	if (!f->reading)
		return;
	out->kind = CS_FEED_READ;
	out->first = !f->page_open;
}

/* The store answers: entries that lapsed while it did not may be written again. */
static void answered(struct cs_feed *f, uint64_t now_us)
{
	if (f->failures > 0 && now_us - f->answered_us > AWAY_US)
		f->away_until_us = now_us + RETURN_US;
	f->failures = 0;
	f->answered_us = now_us;
}

bool cs_feed_read(struct cs_feed *f, uint64_t at, bool more, uint64_t now_us)
{
	answered(f, now_us);
	if (!f->page_open)
		f->page_revision = at;
	f->page_open = more;
	if (more)
		return false;
	/* Changes during the reading are watched from the first page on. */
	f->revision = f->page_revision;
	f->reading = false;
	f->known = true;
	return true;
}

void cs_feed_watched(struct cs_feed *f, uint64_t at, unsigned n_events, uint64_t now_us)
{
	answered(f, now_us);
	if (at > f->revision)
		f->revision = at;
	if (n_events > 0)
		f->pause_until_us = now_us + GROUP_US;
}

void cs_feed_history_lost(struct cs_feed *f, uint64_t now_us)
{
	answered(f, now_us);
	f->reading = true;
	f->page_open = false;
}

void cs_feed_failed(struct cs_feed *f, uint64_t now_us)
{
	uint64_t wait = RETRY_FIRST_US << (f->failures < 4 ? f->failures : 4);

	/* A call that was out when the store went away was answered last when it was made. */
	if (f->failures == 0 && f->asked_us > f->answered_us)
		f->answered_us = f->asked_us;
	f->failures++;
	if (wait > RETRY_MAX_US)
		wait = RETRY_MAX_US;
	f->pause_until_us = now_us + wait / 2 + cs_rng_below(&f->rng, (uint32_t)wait);
	/* Pages are no snapshot: a reading that broke off begins again. */
	f->page_open = false;
}

uint64_t cs_feed_keep_us(const struct cs_feed *f, uint64_t now_us)
{
	return now_us < f->away_until_us ? f->away_until_us - now_us : 0;
}
