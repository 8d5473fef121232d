/*
 * Which entry of a server is the newest. The store may carry out a write seconds after the server
 * made it, and a restored store has former entries, so that entries do not arrive in the order in
 * which they were written. The start time orders the processes of a server, the sequence the
 * entries of one process. An older entry is held while the known one stays in force. A server that
 * runs replaces it with its next write, and the entry of one that is gone is removed; an older
 * entry that still stands after the hold is believed, so that a wrong start time or sequence does
 * not shut out all entries that follow.
 */
#include "steer/steer-int.h"

/* Entries of servers that are gone are removed within this time, and live servers write theirs. */
#define HOLD_US (6 * CS_US_PER_S)

/* Below 0 if e was written before the entry in force, 0 if it is that one or the order is unknown. */
static int compare_age(const struct cs_server_entry *e, const struct cs_server_entry *known)
{
	if (e->started_ms == 0 || known->started_ms == 0)
		return 0;
	if (e->started_ms != known->started_ms)
		return e->started_ms < known->started_ms ? -1 : 1;
	if (e->sequence != known->sequence)
		return e->sequence < known->sequence ? -1 : 1;
	return 0;
}

bool entry_is_older(const struct cs_steer *s, const struct cs_backend *b,
		    const struct cs_server_entry *e)
{
	int age = compare_age(e, &b->info);

	/* In a restored store, it may be older than the removal of the server. */
	if (age == 0 && s->restored && s->full_read && e->started_ms != 0)
		return !b->listed;
	return age < 0;
}

void entry_hold(struct cs_backend *b, const struct cs_server_entry *e, uint64_t now_us)
{
	/*
	 * Of another process: if the clock of the server has gone back, that is the present one,
	 * and may be cold. A health check tells.
	 */
	if (b->listed && e->started_ms != b->info.started_ms)
		backend_require_probe(b, now_us);
	if (b->held_until_us == 0)
		b->held_until_us = now_us + HOLD_US;
	b->held = *e;
	b->held_us = now_us;
}

void entry_end_hold(struct cs_backend *b)
{
	b->held_until_us = 0;
}

bool entry_take_held(const struct cs_steer *s, struct cs_backend *b, struct cs_server_entry *out,
		     uint64_t now_us)
{
	unsigned age_ms;

	if (b->held_until_us == 0 || now_us < b->held_until_us)
		return false;
	/* Without the store, servers cannot replace entries. */
	if (now_us < s->entries_doubtful_until_us)
		return false;
	b->held_until_us = 0;
	age_ms = (unsigned)((now_us - b->held_us) / CS_US_PER_MS);
	*out = b->held;
	out->cold_ms = out->cold_ms > age_ms ? out->cold_ms - age_ms : 0;
	return true;
}
