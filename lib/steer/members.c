/*
 * Other instances: who is heard, what they report, and whom callers are told of. An instance that
 * is not heard keeps nothing reserved; the limits that all share are divided by the largest number
 * of instances known lately, so that sums hold when they do not hear each other.
 */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* Silence after which an instance's figures are left out. */
#define HEARD_US (1500 * CS_US_PER_MS)
/* Unlisted and silent instances are forgotten after this time. */
#define FORGET_US (10 * CS_US_PER_S)
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

void cs_steer_member(struct cs_steer *s, const struct cs_steer_member *in, uint64_t now_us)
{
	int zone = steer_zone(s, in->zone);
	struct member *m;

	if (zone < 0 || strcmp(in->name, s->opts.instance) == 0)
		return;
	m = find_member(s, in->name);
	if (m == NULL) {
		m = cs_xcalloc(1, sizeof(*m));
		m->key = (uint32_t)cs_hash_str(in->name, 0);
		TAILQ_INSERT_TAIL(&s->members, m, entry);
	} else if (m->m.boot != in->boot) {
		m->heard_us = 0;
		m->seq = 0;
		m->report.n_rows = m->report.n_services = 0;
	}
	m->m = *in;
	m->zone = (unsigned)zone;
	m->region = s->zone_region[zone];
	m->listed = true;
	/* Listed a moment ago is as good as heard once. */
	if (m->heard_us == 0 && in->ready)
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

	if (m == NULL || r->boot < m->m.boot || (r->boot == m->m.boot && r->seq <= m->seq))
		return;
	m->m.boot = r->boot;
	m->m.ready = r->ready;
	m->m.leaving = r->leaving;
	m->m.store_steady = r->store_steady;
	m->seq = r->seq;
	m->heard_us = now_us;
	m->report = *r;
}

/* Adds one instance's rows to the servers' sums. */
static void sum_rows(struct cs_steer *s, const struct member *m)
{
	const struct cs_report_row *row;
	struct cs_backend *b;
	uint64_t stated;
	unsigned i;

	for (i = 0; i < m->report.n_rows; i++) {
		row = &m->report.rows[i];
		b = servers_by_key(s, row->server);
		if (b == NULL)
			continue;
		b->peers_in_flight += row->in_flight;
		stated = m->heard_us - row->pace_age_ms * CS_US_PER_MS;
		if (row->pace_pct > 0 && stated > b->load_us) {
			b->load.pace_pct = row->pace_pct;
			b->load.running = b->load.waiting = 0;
			b->load.slots = backend_slots(b);
			b->load_us = stated;
		}
	}
}

void members_sum(struct cs_steer *s, uint64_t now_us)
{
	struct cs_steer_service *svc;
	struct member *m, *next;
	struct cs_backend *b;
	unsigned n = 1;

	FOREACH_BACKEND(s, svc, b)
	b->peers_in_flight = 0;
	TAILQ_FOREACH_SAFE(m, &s->members, entry, next) {
		if (!m->listed && now_us - m->heard_us > FORGET_US) {
			TAILQ_REMOVE(&s->members, m, entry);
			free(m);
			continue;
		}
		n++;
		if (member_heard(s, m, now_us) && now_us - m->heard_us < PEER_REPORT_MAX_US)
			sum_rows(s, m);
	}
	if (n > s->most_members)
		s->most_members = n;
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

/* Rows of servers at which something is in flight or of which the pace is known. */
static void report_rows(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_steer_service *svc;
	struct cs_report_row *row;
	struct cs_backend *b;
	uint64_t age;

	r->n_rows = 0;
	FOREACH_BACKEND(s, svc, b)
	{
		age = (now_us - b->load_us) / CS_US_PER_MS;
		if (b->in_flight == 0 && (b->load_us == 0 || age > 1000))
			continue;
		if (r->n_rows == CS_REPORT_ROWS)
			return;
		row = &r->rows[r->n_rows++];
		*row = (struct cs_report_row){.server = b->key,
					      .in_flight = (uint16_t)b->in_flight};
		if (b->load_us > 0 && age <= 1000) {
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
