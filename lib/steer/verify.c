/*
 * Servers that an instance checks before it sends them the first request. After an outage of the
 * store, entries are out of date until the servers have written them again: one may have turned
 * cold meanwhile. An instance that runs knows of the outage (cold.c), one that has just started
 * does not. It takes what it read first for true after a health check, or when another instance
 * that had uninterrupted contact with the store shows that there was none. A request waits for the
 * check of the server that is best for it, since another one rarely caches its object.
 */
#include "steer/steer-int.h"

/* A server whose check takes longer gets no requests until it ends. */
#define CHECK_WAIT_US (100 * CS_US_PER_MS)

void verify_first_read_end(struct cs_steer *s, uint64_t now_us)
{
	if (s->first_read_done)
		return;
	s->first_read_done = true;
	s->verify_until_us = now_us + ENTRY_REWRITE_US;
}

void verify_tick(struct cs_steer *s, uint64_t now_us)
{
	if (now_us < s->verify_until_us && cs_steer_store_stable(s, now_us))
		s->verify_until_us = 0;
}

void verify_apply_entry(const struct cs_steer *s, struct cs_backend *b, bool created)
{
	/* A change that arrives later was written meanwhile. */
	if (!s->full_read)
		b->unverified = false;
	else if (created)
		b->unverified = !s->first_read_done;
}

static bool is_doubtful(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	if (!b->unverified || s->verify_until_us == 0)
		return false;
	return now_us < s->verify_until_us || now_us < s->entries_doubtful_until_us;
}

/* A server that is known to be cold gets few requests anyway. */
static bool is_due(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	return is_doubtful(s, b, now_us) && !limits_is_cold(b, now_us);
}

bool verify_request(struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	if (!is_due(s, b, now_us))
		return false;
	if (b->check_requested_us > 0)
		return true;
	b->check_requested_us = now_us;
	s->check_requested = true;
	/* Another instance may check the server for all now and then, but its response is far. */
	if (b->next_probe_us > now_us)
		b->next_probe_us = now_us;
	return true;
}

bool cs_steer_take_check_request(struct cs_steer *s)
{
	bool requested = s->check_requested;

	s->check_requested = false;
	return requested;
}

bool verify_is_late(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	return b->check_requested_us > 0 && now_us - b->check_requested_us >= CHECK_WAIT_US &&
	       is_due(s, b, now_us);
}

bool verify_check_is_wanted(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	if (!is_doubtful(s, b, now_us) || !backend_in_service(s, b, now_us))
		return false;
	/*
	 * Instances that do not reach the store may not know of a server that its entry calls cold.
	 * An entry of a full read may be old and is not reported to them, the result of a check is.
	 */
	return b->check_requested_us > 0 || limits_is_cold(b, now_us);
}

uint64_t verify_wait_until(uint64_t now_us)
{
	return now_us + CHECK_WAIT_US;
}
