/*
 * Servers that are cold, by whose word, and how the others learn of it. A server states that it is
 * cold in its entry and in its responses to health checks, not in those to requests. An instance
 * whose watch of the store is late or cut off reads no entry, so that instances report to each
 * other what they read or were told themselves. While the store is silent for all, one instance
 * checks each server for the others.
 */
#include "steer/steer-int.h"

/*
 * How long an instance reports an entry. Those that reach the store read it themselves; for the
 * others this covers the loss of several reports.
 */
#define ENTRY_REPORT_US (1000 * CS_US_PER_MS)
/*
 * An instance that checks servers for the others is replaced after this time without a report. Two
 * that check at the same time do no harm.
 */
#define CHECKER_SILENCE_US (600 * CS_US_PER_MS)
/* Instances that check a server in a large fleet, in which the others learn late that one died. */
#define CHECKERS_LARGE 2

static void report_add(struct cs_steer_report *r, const struct cs_report_cold *row);

/*
 * True if the other instances should learn of it. An entry may be old when it arrives: after the
 * store was silent, and in a full read.
 */
static bool is_news(const struct cs_steer *s, enum cs_cold_source source)
{
	switch (source) {
	case CS_COLD_ENTRY:
		return s->store_fresh && !s->full_read;
	case CS_COLD_CHECK:
		return true;
	case CS_COLD_REPORT:
		break;
	}
	return false;
}

void cs_steer_mark_cold(struct cs_steer *s, struct cs_backend *b, unsigned cold_ms,
			enum cs_cold_source source, uint64_t now_us)
{
	uint64_t until = now_us + cold_ms * CS_US_PER_MS;

	if (is_news(s, source) && until > b->cold_stated_until_us) {
		b->cold_stated_until_us = until;
		b->cold_stated_source = source;
		b->cold_stated_us = now_us;
	}
	if (!limits_is_cold(b, now_us)) {
		b->cold_since_us = now_us;
		limits_begin_cold(b, now_us);
		b->cold_unlogged = true;
		s->n_cold_unlogged++;
	}
	if (until <= b->cold_until_us)
		return;
	b->cold_until_us = until;
	b->cold_source = source;
}

/* A later entry replaces what an earlier one said. */
static void forget_entry(struct cs_backend *b)
{
	if (b->cold_stated_source == CS_COLD_ENTRY)
		b->cold_stated_until_us = 0;
	if (b->cold_source != CS_COLD_ENTRY)
		return;
	b->cold_until_us = 0;
	b->cold_unlogged = false;
}

void cold_apply_entry(struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	if (b->info.cold_ms > 0)
		cs_steer_mark_cold(s, b, b->info.cold_ms, CS_COLD_ENTRY, now_us);
	else
		forget_entry(b);
}

struct cs_backend *cs_steer_next_cold(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;

	if (s->n_cold_unlogged == 0)
		return NULL;
	FOREACH_BACKEND(s, svc, b) {
		if (!b->cold_unlogged)
			continue;
		b->cold_unlogged = false;
		return b;
	}
	s->n_cold_unlogged = 0;
	return NULL;
}

enum cs_cold_source cs_backend_cold_source(const struct cs_backend *b)
{
	return b->cold_source;
}

const char *cs_cold_source_name(enum cs_cold_source source)
{
	static const char *const names[] = {"entry", "check", "report"};

	return names[source];
}

unsigned cs_backend_cold_ms(const struct cs_backend *b, uint64_t now_us)
{
	return b->cold_until_us > now_us ? (unsigned)((b->cold_until_us - now_us) / CS_US_PER_MS)
					 : 0;
}

unsigned cs_steer_count_cold(const struct cs_steer *s, uint64_t now_us)
{
	const struct cs_steer_service *svc;
	const struct cs_backend *b;
	unsigned n = 0;

	FOREACH_BACKEND(s, svc, b)
		n += cs_backend_cold_ms(b, now_us) > 0;
	return n;
}

/* How long the server stays cold by its own word to this instance; 0 if it does not. */
static unsigned stated_cold_ms(const struct cs_backend *b, uint64_t now_us)
{
	if (b->cold_stated_until_us <= now_us)
		return 0;
	return (unsigned)((b->cold_stated_until_us - now_us) / CS_US_PER_MS);
}

/*
 * True if this instance reports that the server is cold. What others reported is not passed on: two
 * instances that repeat each other would prolong it by the time of transit.
 */
static bool is_reported(const struct cs_backend *b, bool digest, uint64_t now_us)
{
	if (stated_cold_ms(b, now_us) == 0)
		return false;
	return digest || b->cold_stated_source == CS_COLD_CHECK ||
	       now_us - b->cold_stated_us < ENTRY_REPORT_US;
}

void cold_report(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;
	unsigned n = 0, i = 0, first;

	r->n_cold = 0;
	FOREACH_BACKEND(s, svc, b)
		n += is_reported(b, r->is_digest, now_us);
	first = rotation_next(&s->cold_reported, n, CS_REPORT_COLD_MAX);
	if (n == 0)
		return;
	FOREACH_BACKEND(s, svc, b)
		if (is_reported(b, r->is_digest, now_us) &&
		    (i++ + n - first) % n < CS_REPORT_COLD_MAX)
			report_add(r, &(struct cs_report_cold){b->id_hash, backend_started_low(b),
							       stated_cold_ms(b, now_us)});
}

static void report_add(struct cs_steer_report *r, const struct cs_report_cold *row)
{
	unsigned i;

	for (i = 0; i < r->n_cold; i++) {
		if (r->cold[i].server != row->server || r->cold[i].started != row->started)
			continue;
		if (row->cold_ms > r->cold[i].cold_ms)
			r->cold[i].cold_ms = row->cold_ms;
		return;
	}
	if (r->n_cold < CS_REPORT_COLD_MAX)
		r->cold[r->n_cold++] = *row;
}

void cold_merge(struct cs_steer_report *to, const struct cs_steer_report *from, uint64_t age_us)
{
	unsigned i, age_ms = (unsigned)(age_us / CS_US_PER_MS);
	struct cs_report_cold row;

	for (i = 0; i < from->n_cold; i++) {
		row = from->cold[i];
		if (row.cold_ms <= age_ms)
			continue;
		row.cold_ms -= age_ms;
		report_add(to, &row);
	}
}

void cold_apply(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us)
{
	const struct cs_report_cold *row;
	struct cs_backend *b;
	unsigned i;

	for (i = 0; i < r->n_cold; i++) {
		row = &r->cold[i];
		b = servers_by_id_hash(s, row->server);
		/* A report on a former process; that on a newer one may come before its entry. */
		if (b == NULL || (int32_t)(row->started - backend_started_low(b)) < 0)
			continue;
		cs_steer_mark_cold(s, b, row->cold_ms, CS_COLD_REPORT, now_us);
	}
}

/* True if another instance that reports to this one at short intervals watches the store. */
static bool other_watches_store(const struct cs_steer *s, uint64_t now_us)
{
	bool large = cs_steer_is_large_fleet(s);
	uint64_t max_age_us = large ? DIGEST_MAX_AGE_US : PEER_REPORT_MAX_AGE_US;
	const struct member *m;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->store_fresh && !m->info.leaving && (!large || m->region == s->region) &&
		    now_us - m->last_message_us < max_age_us)
			return true;
	return false;
}

void cs_steer_set_store_contact(struct cs_steer *s, bool fresh, uint64_t now_us)
{
	s->store_fresh = fresh;
	if (!fresh && !other_watches_store(s, now_us))
		s->entries_doubtful_until_us = now_us + ENTRY_REWRITE_US;
}

bool cold_check_is_wanted(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	return now_us < s->entries_doubtful_until_us && !s->leaving && !limits_is_cold(b, now_us) &&
	       backend_in_service(s, b, now_us);
}

static bool may_be_checker(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	if (m->info.leaving || !member_is_alive(s, m, now_us))
		return false;
	return cs_steer_is_large_fleet(s) || now_us - m->last_message_us < CHECKER_SILENCE_US;
}

bool cold_is_checker(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	unsigned n = cs_steer_is_large_fleet(s) ? CHECKERS_LARGE : 1, before = 0;
	uint64_t own = limits_owner_weight(s->name_hash, b->id_hash);
	bool own_region = s->region == b->region;
	const struct member *m;

	TAILQ_FOREACH(m, &s->members, entry) {
		if (!may_be_checker(s, m, now_us) || (own_region && m->region != b->region))
			continue;
		if (!own_region && m->region == b->region)
			return false;
		if (limits_owner_weight(m->name_hash, b->id_hash) > own && ++before == n)
			return false;
	}
	return true;
}
