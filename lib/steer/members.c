/*
 * Other instances: which are alive, what they report, and which ones clients are directed to.
 * An instance that is not alive owns no cold server. Limits shared by all instances are divided by
 * the largest number of instances known so far, alive or not, so that the sum of the parts stays
 * within the limit while instances cannot reach each other.
 */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* An instance that was not seen for this time counts as not alive. */
#define ALIVE_TIMEOUT_US (2000 * CS_US_PER_MS)
/*
 * The same timeout for instances of other regions, whose digests arrive seconds apart in a large
 * fleet.
 */
#define REMOTE_ALIVE_TIMEOUT_US (5000 * CS_US_PER_MS)
/* Unlisted instances are freed if no message arrives for this time. */
#define UNLISTED_TIMEOUT_US (10 * CS_US_PER_S)
/*
 * Instances returned to clients before those of the next distance are added. One of the client's
 * region is enough: clients choose at random, and each request through another region crosses the
 * distance between regions twice, for all clients of the region while a single instance is left.
 */
static const unsigned directory_min[] = {2, 2, 1};

bool member_is_alive(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	bool remote = cs_steer_is_large_fleet(s) && m->region != s->region;

	return m->last_seen_us > 0 &&
	       now_us - m->last_seen_us < (remote ? REMOTE_ALIVE_TIMEOUT_US : ALIVE_TIMEOUT_US);
}

struct member *members_find(const struct cs_steer *s, const char *name)
{
	struct member *m;

	TAILQ_FOREACH(m, &s->members, entry)
		if (strcmp(m->info.name, name) == 0)
			return m;
	return NULL;
}

static void member_free(struct cs_steer *s, struct member *m)
{
	TAILQ_REMOVE(&s->members, m, entry);
	s->n_members--;
	free(m->report);
	free(m);
}

/* A new process with a known name: messages of the previous one no longer apply. */
static void member_reset(struct member *m)
{
	m->last_seen_us = m->last_message_us = m->report_received_us = 0;
	m->heard = m->store_fresh = false;
	m->report_seq = m->digest_seq = m->last_seq = 0;
	free(m->report);
	m->report = NULL;
}

static void mark_seen(struct cs_steer *s, struct member *m, uint64_t now_us)
{
	m->last_seen_us = now_us;
	if (m->zone == s->zone)
		s->zone_last_seen_us = now_us;
}

static void apply_key(struct cs_steer *s, struct member *m, const struct cs_steer_member *info)
{
	unsigned zone = (unsigned)steer_zone(s, info->zone);

	if (m->info.boot != info->boot)
		member_reset(m);
	m->info = *info;
	m->zone = zone;
	m->region = s->zone_region[zone];
	m->has_former = false;
}

void cs_steer_update_member(struct cs_steer *s, const struct cs_steer_member *info, uint64_t now_us)
{
	int zone = steer_zone(s, info->zone);
	struct member *m;

	if (zone < 0 || strcmp(info->name, s->opts.instance) == 0)
		return;
	m = members_find(s, info->name);
	if (m == NULL) {
		m = cs_xcalloc(1, sizeof(*m));
		m->name_hash = (uint32_t)cs_hash_str(info->name, 0);
		TAILQ_INSERT_TAIL(&s->members, m, entry);
		s->n_members++;
	}
	m->listed = true;
	/*
	 * The store may have carried out the write late, or was restored from a copy. The process
	 * that is known goes on for as long as it is heard.
	 */
	if (info->boot < m->info.boot) {
		m->has_former = true;
		m->former = *info;
		return;
	}
	apply_key(s, m, info);
	/*
	 * Until the process is heard: that it may be alive counts where two instances must not do
	 * the same. Clients are not sent to it, as it may have ended before the store wrote its
	 * key.
	 */
	if (m->last_seen_us == 0 && info->ready)
		mark_seen(s, m, now_us);
}

void cs_steer_unlist_member(struct cs_steer *s, const char *name, uint64_t now_us)
{
	struct member *m = members_find(s, name);

	if (m != NULL)
		m->listed = false;
}

void member_mark_alive(struct cs_steer *s, struct member *m, uint64_t now_us)
{
	m->heard = true;
	mark_seen(s, m, now_us);
}

bool member_accept_message(struct cs_steer *s, struct member *m, const struct cs_steer_report *r,
			   uint64_t *seq, uint64_t now_us)
{
	if (r->boot < m->info.boot)
		return false;
	if (r->boot > m->info.boot)
		member_reset(m);
	if (r->seq <= *seq)
		return false;
	*seq = r->seq;
	m->info.boot = r->boot;
	m->last_message_us = now_us;
	member_mark_alive(s, m, now_us);
	/* A forwarded digest may be older than the last report. */
	if (r->seq < m->last_seq)
		return true;
	m->last_seq = r->seq;
	m->info.ready = r->ready;
	m->info.leaving = r->leaving;
	m->info.store_stable = r->store_stable;
	m->info.keys_stale = r->keys_stale;
	m->store_fresh = r->store_fresh;
	m->store_revision = r->store_revision;
	return true;
}

void cs_steer_handle_report(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us)
{
	struct member *m = members_find(s, r->name);

	if (m == NULL || !member_accept_message(s, m, r, &m->report_seq, now_us))
		return;
	if (m->report == NULL)
		m->report = cs_xcalloc(1, sizeof(*m->report));
	*m->report = *r;
	m->report_received_us = now_us;
	leaving_apply(s, r, now_us);
	cold_apply(s, r, now_us);
	server_limit_apply(s, r, m->zone == s->zone, now_us);
}

void members_free(struct cs_steer *s)
{
	struct member *m, *next;

	TAILQ_FOREACH_SAFE(m, &s->members, entry, next)
		member_free(s, m);
}

void members_sweep(struct cs_steer *s, uint64_t now_us)
{
	struct member *m, *next;

	TAILQ_FOREACH_SAFE(m, &s->members, entry, next) {
		/* If the clock of its machine has gone back, the key is of the present process. */
		if (m->has_former && now_us - m->last_seen_us >= ALIVE_TIMEOUT_US)
			apply_key(s, m, &m->former);
		if (!m->listed && now_us - m->last_seen_us > UNLISTED_TIMEOUT_US)
			member_free(s, m);
	}
	if (s->n_members + 1 > s->max_members_seen)
		s->max_members_seen = s->n_members + 1;
}

bool cs_steer_has_member(const struct cs_steer *s, const char *name)
{
	return members_find(s, name) != NULL;
}

/*
 * Compares the time of the last message with that of the latest message in the zone, not with the
 * clock: when both roots fail at once, no messages arrive, and the other instances must not remove
 * each other from the order.
 */
bool member_is_ranked(const struct cs_steer *s, const struct member *m)
{
	return m->zone == s->zone && m->info.ready && !m->info.leaving && m->last_seen_us > 0 &&
	       s->zone_last_seen_us - m->last_seen_us < ALIVE_TIMEOUT_US;
}

uint64_t member_rank_weight(uint32_t name_hash)
{
	return cs_hash(&name_hash, sizeof(name_hash), 1);
}

unsigned cs_steer_rank(const struct cs_steer *s)
{
	uint64_t own = member_rank_weight(s->name_hash);
	const struct member *m;
	unsigned rank = 0;

	TAILQ_FOREACH(m, &s->members, entry)
		rank += member_is_ranked(s, m) && member_rank_weight(m->name_hash) > own;
	return rank;
}

void cs_steer_set_first_revision(struct cs_steer *s, uint64_t revision)
{
	s->first_revision = revision;
}

/* Member of this zone that watches the store and has its latest revision; NULL if none watches. */
static const struct member *find_watcher(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m, *best = NULL;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->zone == s->zone && m->store_fresh && !m->info.leaving &&
		    now_us - m->last_message_us < PEER_REPORT_MAX_AGE_US &&
		    m->store_revision >= s->first_revision &&
		    (best == NULL || m->store_revision > best->store_revision))
			best = m;
	return best;
}

uint64_t cs_steer_watched_revision(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m = find_watcher(s, now_us);

	return m != NULL ? m->store_revision : 0;
}

const char *cs_steer_store_watcher(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m = find_watcher(s, now_us);

	return m != NULL ? m->info.name : NULL;
}

bool cs_steer_store_stable(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->info.store_stable && m->store_revision >= s->first_revision &&
		    now_us - m->last_message_us < PEER_REPORT_MAX_AGE_US)
			return true;
	return false;
}

unsigned cs_steer_fleet_size(const struct cs_steer *s)
{
	return s->n_members + 1;
}

unsigned cs_steer_count_members(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m;
	unsigned n = 1;

	TAILQ_FOREACH(m, &s->members, entry)
		n += member_is_alive(s, m, now_us) && !m->info.leaving;
	return n;
}

/* Distance of an instance from a client: 0 same zone, 1 same region, 2 elsewhere. */
static unsigned distance(const struct cs_steer *s, const struct member *m, int zone,
			 const char *region)
{
	if (zone >= 0 && m->zone == (unsigned)zone)
		return 0;
	return strcmp(s->regions[m->region], region) == 0 ? 1 : 2;
}

static bool is_offered(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	return m->info.ready && !m->info.leaving && !m->info.keys_stale && m->heard &&
	       now_us - m->last_seen_us < s->opts.bounds.member_silence_ms * CS_US_PER_MS;
}

unsigned cs_steer_client_addresses(struct cs_steer *s, const char *zone, const char *region,
				   const struct cs_steer_member *self, uint64_t now_us,
				   char out[][CS_ADDR_MAX + 8], unsigned n)
{
	struct member own = {.info = *self, .zone = s->zone, .region = s->region};
	int z = steer_zone(s, zone);
	unsigned d, n_out = 0;
	struct member *m;

	for (d = 0; d < 3 && n_out < directory_min[d]; d++) {
		if (self->ready && !self->leaving && !self->keys_stale &&
		    distance(s, &own, z, region) == d && n_out < n)
			cs_copy(out[n_out++], CS_ADDR_MAX + 8, self->front);
		TAILQ_FOREACH(m, &s->members, entry)
			if (n_out < n && is_offered(s, m, now_us) && distance(s, m, z, region) == d)
				cs_copy(out[n_out++], CS_ADDR_MAX + 8, m->info.front);
	}
	return n_out;
}
