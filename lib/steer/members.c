/*
 * Other instances: who is heard, what they report, and whom callers are told of. An instance that
 * is not heard keeps nothing reserved; the limits that all share are divided by the largest number
 * of instances known lately, so that sums hold when they do not hear each other.
 */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* Silence after which an instance's figures are left out. */
#define HEARD_US (2000 * CS_US_PER_MS)
/* Unlisted and silent instances are forgotten after this time. */
#define FORGET_US (10 * CS_US_PER_S)
/* A pace stated longer ago says nothing. */
#define PACE_AGE_MAX_MS 1000
/* Up to this many instances, each reports to each. */
#define MESH_MAX 16
/* Digests older than this are left out. */
#define DIGEST_MAX_US (3000 * CS_US_PER_MS)
/* Callers are told of at least this many instances, if there are so many. */
#define NAMED_MIN 2

bool member_heard(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	return m->heard_us > 0 && now_us - m->heard_us < HEARD_US;
}

static struct member *find_member(struct cs_steer *s, const char *name)
{
	struct member *m;

	TAILQ_FOREACH(m, &s->members, entry)
		if (strcmp(m->m.name, name) == 0)
			return m;
	return NULL;
}

void cs_steer_member(struct cs_steer *s, const struct cs_steer_member *said, uint64_t now_us)
{
	int zone = steer_zone(s, said->zone);
	struct member *m;

	if (zone < 0 || strcmp(said->name, s->opts.instance) == 0)
		return;
	m = find_member(s, said->name);
	if (m == NULL) {
		m = cs_xcalloc(1, sizeof(*m));
		m->key = (uint32_t)cs_hash_str(said->name, 0);
		TAILQ_INSERT_TAIL(&s->members, m, entry);
	} else if (m->m.boot != said->boot) {
		m->heard_us = 0;
		memset(&m->report, 0, sizeof(m->report));
	}
	m->m = *said;
	m->zone = (unsigned)zone;
	m->region = s->zone_region[zone];
	m->listed = true;
	/* Listed a moment ago is as good as heard once. */
	if (m->heard_us == 0 && said->ready)
		m->heard_us = now_us;
}

void cs_steer_member_gone(struct cs_steer *s, const char *name, uint64_t now_us)
{
	struct member *m = find_member(s, name);

	if (m != NULL)
		m->listed = false;
}

void cs_steer_report_in(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us)
{
	struct member *m = find_member(s, r->name);

	if (m == NULL || r->boot < m->m.boot || (r->boot == m->m.boot && r->seq <= m->report.seq))
		return;
	m->m.boot = r->boot;
	m->m.ready = r->ready;
	m->m.leaving = r->leaving;
	m->m.store_steady = r->store_steady;
	m->heard_us = now_us;
	m->report = *r;
}

/* Adds the rows of a report that came at heard_us to the servers' sums. */
static void sum_rows(struct cs_steer *s, const struct cs_steer_report *r, uint64_t heard_us)
{
	const struct cs_report_row *row;
	struct cs_backend *b;
	uint64_t stated;
	unsigned i;

	for (i = 0; i < r->n_rows; i++) {
		row = &r->rows[i];
		b = servers_by_key(s, row->server);
		if (b == NULL)
			continue;
		b->peers_in_flight += row->in_flight;
		stated = heard_us - row->pace_age_ms * CS_US_PER_MS;
		if (row->pace_pct > 0 && stated > b->load_us) {
			b->load.pace_pct = row->pace_pct;
			b->load.running = b->load.waiting = 0;
			b->load.slots = backend_slots(b);
			b->load_us = stated;
		}
	}
}

static bool digest_heard(const struct zone_digest *d, uint64_t now_us)
{
	return d != NULL && now_us - d->heard_us < DIGEST_MAX_US;
}

/* In a large fleet, the figures of an instance of another zone are in that zone's digest. */
static bool member_in_digest(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	return digest_heard(s->digests[m->zone], now_us);
}

/* Adds the work that a report states to the services' demand. */
static void sum_work(struct cs_steer *s, const struct cs_steer_report *r, unsigned region)
{
	struct cs_steer_service *svc;
	unsigned i;

	for (i = 0; i < r->n_services; i++)
		TAILQ_FOREACH(svc, &s->services, entry)
			if (svc->key == r->services[i].service)
				svc->demand[region] += r->services[i].work;
}

static void sums_reset(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;

	TAILQ_FOREACH(svc, &s->services, entry) {
		memset(svc->demand, 0, sizeof(svc->demand));
		TAILQ_FOREACH(b, &svc->backends, entry)
			b->peers_in_flight = 0;
	}
}

/* One walk over the members for all services: in a large fleet there are many of both. */
void members_sum(struct cs_steer *s, uint64_t now_us)
{
	const struct zone_digest *d;
	struct member *m, *next;
	unsigned n = 1, i;

	sums_reset(s);
	TAILQ_FOREACH_SAFE(m, &s->members, entry, next) {
		if (!m->listed && now_us - m->heard_us > FORGET_US) {
			TAILQ_REMOVE(&s->members, m, entry);
			free(m);
			continue;
		}
		n++;
		if (member_in_digest(s, m, now_us))
			continue;
		if (now_us - m->heard_us < PEER_REPORT_MAX_US)
			sum_rows(s, &m->report, m->heard_us);
		if (member_heard(s, m, now_us))
			sum_work(s, &m->report, m->region);
	}
	for (i = 0; i < s->n_zones; i++) {
		d = s->digests[i];
		if (!digest_heard(d, now_us))
			continue;
		sum_rows(s, &d->report, d->heard_us);
		sum_work(s, &d->report, s->zone_region[i]);
	}
	if (n > s->most_members)
		s->most_members = n;
}

bool cs_steer_is_large(const struct cs_steer *s)
{
	const struct member *m;
	unsigned n = 1;

	TAILQ_FOREACH(m, &s->members, entry)
		n++;
	return n > MESH_MAX;
}

/* Weight of an instance in the order of its zone. */
static uint64_t rank_weight(uint32_t key)
{
	return cs_hash(&key, sizeof(key), 1);
}

unsigned cs_steer_rank(const struct cs_steer *s, uint64_t now_us)
{
	uint64_t own = rank_weight(s->key);
	const struct member *m;
	unsigned rank = 0;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->zone == s->zone && m->m.ready && !m->m.leaving &&
		    member_heard(s, m, now_us) && rank_weight(m->key) > own)
			rank++;
	return rank;
}

/* True if the zone's digest names the instance as ready. */
static bool named_ready(const struct zone_digest *d, uint32_t key)
{
	unsigned i;

	for (i = 0; i < d->report.n_ready; i++)
		if (d->report.ready_members[i] == key)
			return true;
	return false;
}

void cs_steer_digest_targets(const struct cs_steer *s, uint64_t now_us,
			     const char *out[CS_ZONES_MAX])
{
	const struct member *m, *best[CS_ZONES_MAX] = {NULL};
	const struct zone_digest *d;
	unsigned i;

	TAILQ_FOREACH(m, &s->members, entry) {
		if (m->zone == s->zone || !m->listed)
			continue;
		d = s->digests[m->zone];
		if (digest_heard(d, now_us) && !named_ready(d, m->key))
			continue;
		if (best[m->zone] == NULL || rank_weight(m->key) > rank_weight(best[m->zone]->key))
			best[m->zone] = m;
	}
	for (i = 0; i < CS_ZONES_MAX; i++)
		out[i] = best[i] != NULL ? best[i]->m.name : NULL;
}

uint64_t cs_steer_watched_revision(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m;
	uint64_t revision = 0;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->zone == s->zone && m->report.store_fresh && !m->m.leaving &&
		    now_us - m->heard_us < PEER_REPORT_MAX_US &&
		    m->report.store_revision > revision)
			revision = m->report.store_revision;
	return revision;
}

bool cs_steer_store_steady(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->m.store_steady && now_us - m->heard_us < PEER_REPORT_MAX_US)
			return true;
	return false;
}

unsigned cs_steer_members(const struct cs_steer *s, uint64_t now_us)
{
	const struct member *m;
	unsigned n = 1;

	TAILQ_FOREACH(m, &s->members, entry)
		n += member_heard(s, m, now_us) && !m->m.leaving;
	return n;
}

/* Rows of servers at which something is in flight or, in a small fleet, of which the pace is known.
 */
static void report_rows(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_steer_service *svc;
	bool large = cs_steer_is_large(s);
	struct cs_report_row *row;
	struct cs_backend *b;
	uint64_t age;

	r->n_rows = 0;
	FOREACH_BACKEND(s, svc, b) {
		age = (now_us - b->load_us) / CS_US_PER_MS;
		if (b->in_flight == 0 && (large || b->load_us == 0 || age > PACE_AGE_MAX_MS))
			continue;
		if (r->n_rows == CS_REPORT_ROWS)
			return;
		row = &r->rows[r->n_rows++];
		*row = (struct cs_report_row){.server = b->key,
					      .in_flight = (uint16_t)b->in_flight};
		if (b->load_us > 0 && age <= PACE_AGE_MAX_MS) {
			row->pace_pct = (uint16_t)b->load.pace_pct;
			row->pace_age_ms = (uint16_t)age;
		}
	}
}

void cs_steer_report_out(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_report_service *row;
	struct cs_steer_service *svc;
	unsigned i;

	r->n_services = 0;
	TAILQ_FOREACH(svc, &s->services, entry) {
		if (r->n_services == CS_REPORT_SERVICES)
			break;
		row = &r->services[r->n_services++];
		row->service = svc->key;
		row->work = (float)(svc->rate * svc->work_us / CS_US_PER_S);
		row->n_shares = svc->flow.started_us > 0 ? s->n_regions : 0;
		for (i = 0; i < row->n_shares; i++)
			row->shares[i] = (float)svc->flow.share[i];
	}
	report_rows(s, r, now_us);
}

/* Adds a member's rows to a digest's. */
static void digest_rows(struct cs_steer_report *to, const struct cs_steer_report *from,
			uint64_t heard_us, uint64_t now_us)
{
	const struct cs_report_row *row;
	struct cs_report_row *sum;
	uint64_t age;
	unsigned i, k;

	for (i = 0; i < from->n_rows; i++) {
		row = &from->rows[i];
		for (k = 0; k < to->n_rows && to->rows[k].server != row->server; k++)
			;
		if (k == CS_REPORT_ROWS)
			continue;
		sum = &to->rows[k];
		if (k == to->n_rows) {
			to->n_rows++;
			*sum = (struct cs_report_row){.server = row->server};
		}
		sum->in_flight += row->in_flight;
		age = row->pace_age_ms + (now_us - heard_us) / CS_US_PER_MS;
		if (row->pace_pct == 0 || age > PACE_AGE_MAX_MS ||
		    (sum->pace_pct > 0 && sum->pace_age_ms <= age))
			continue;
		sum->pace_pct = row->pace_pct;
		sum->pace_age_ms = (uint16_t)age;
	}
}

/* Adds a member's work to a digest's. */
static void digest_work(struct cs_steer_report *to, const struct cs_steer_report *from)
{
	unsigned i, k;

	for (i = 0; i < from->n_services; i++) {
		for (k = 0; k < to->n_services; k++)
			if (to->services[k].service == from->services[i].service)
				break;
		if (k == CS_REPORT_SERVICES)
			continue;
		if (k == to->n_services)
			to->services[to->n_services++] =
				(struct cs_report_service){.service = from->services[i].service};
		to->services[k].work += from->services[i].work;
	}
}

void cs_steer_digest_out(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	const struct member *m;
	unsigned i;

	cs_steer_report_out(s, r, now_us);
	for (i = 0; i < r->n_services; i++)
		r->services[i].n_shares = 0;
	r->digest = true;
	r->n_ready = 0;
	r->ready_members[r->n_ready++] = s->key;
	TAILQ_FOREACH(m, &s->members, entry) {
		if (m->zone != s->zone || !member_heard(s, m, now_us))
			continue;
		digest_rows(r, &m->report, m->heard_us, now_us);
		digest_work(r, &m->report);
		if (m->m.ready && !m->m.leaving && r->n_ready < CS_DIGEST_READY)
			r->ready_members[r->n_ready++] = m->key;
	}
}

void cs_steer_digest_in(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us)
{
	const struct member *from = find_member(s, r->name);
	struct zone_digest *d;
	struct member *m;

	if (from == NULL || from->zone == s->zone)
		return;
	d = s->digests[from->zone];
	if (d == NULL)
		d = s->digests[from->zone] = cs_xcalloc(1, sizeof(*d));
	if (strcmp(d->report.name, r->name) == 0 && r->boot == d->report.boot &&
	    r->seq <= d->report.seq)
		return;
	d->heard_us = now_us;
	d->report = *r;
	TAILQ_FOREACH(m, &s->members, entry) {
		if (m->zone != from->zone || !named_ready(d, m->key))
			continue;
		m->heard_us = now_us;
		m->m.ready = true;
		m->m.leaving = false;
	}
}

/* Distance class of an instance from a caller: own zone, own region, elsewhere. */
static unsigned distance(const struct cs_steer *s, const struct member *m, int zone,
			 const char *region)
{
	if (zone >= 0 && m->zone == (unsigned)zone)
		return 0;
	return strcmp(s->regions[m->region], region) == 0 ? 1 : 2;
}

static bool may_name(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	return m->m.ready && !m->m.leaving && m->heard_us > 0 &&
	       now_us - m->heard_us < s->opts.bounds.member_silence_ms * CS_US_PER_MS;
}

unsigned cs_steer_directory(struct cs_steer *s, const char *zone, const char *region,
			    const struct cs_steer_member *self, uint64_t now_us,
			    char out[][CS_ADDR_MAX + 8], unsigned n)
{
	struct member own = {.m = *self, .zone = s->zone, .region = s->region};
	int z = steer_zone(s, zone);
	unsigned d, used = 0;
	struct member *m;

	for (d = 0; d < 3 && used < NAMED_MIN; d++) {
		if (self->ready && !self->leaving && distance(s, &own, z, region) == d && used < n)
			cs_copy(out[used++], CS_ADDR_MAX + 8, self->front);
		TAILQ_FOREACH(m, &s->members, entry)
			if (used < n && may_name(s, m, now_us) && distance(s, m, z, region) == d)
				cs_copy(out[used++], CS_ADDR_MAX + 8, m->m.front);
	}
	return used;
}
