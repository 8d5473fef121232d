/*
 * Load reports: rows of servers and demand of services, from one instance or, in a digest, for a
 * whole zone; and their sums.
 */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* Slowdowns reported longer ago are ignored. */
#define SLOWDOWN_MAX_AGE_MS 1000
/* The same as DIGEST_MAX_AGE_US for digests of other regions, which arrive seconds apart. */
#define REMOTE_DIGEST_MAX_AGE_US (6000 * CS_US_PER_MS)
/* A root's digest includes the instances that sent a message within the last four report intervals.
 */
#define READY_MAX_AGE_US (1000 * CS_US_PER_MS)

bool digest_is_recent(const struct cs_steer *s, unsigned zone, uint64_t now_us)
{
	const struct zone_digest *d = s->digests[zone];
	bool remote = s->zone_region[zone] != s->region;
	uint64_t max_age = remote ? REMOTE_DIGEST_MAX_AGE_US : DIGEST_MAX_AGE_US;

	return d != NULL && now_us - d->received_us < max_age;
}

bool digest_lists_ready(const struct cs_steer_report *r, uint32_t name_hash)
{
	unsigned i;

	for (i = 0; i < r->n_ready; i++)
		if (r->ready_members[i] == name_hash)
			return true;
	return false;
}

/*
 * Adds rows for servers with requests in flight and, in a small fleet, also for those with a
 * recently reported slowdown.
 */
static void report_rows(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_steer_service *svc;
	bool large = cs_steer_is_large_fleet(s);
	struct cs_report_row *row;
	struct cs_backend *b;
	uint64_t age;

	r->n_rows = 0;
	FOREACH_BACKEND(s, svc, b) {
		b->last_reported = 0;
		age = (now_us - b->load_us) / CS_US_PER_MS;
		if (b->in_flight == 0 && (large || b->load_us == 0 || age > SLOWDOWN_MAX_AGE_MS))
			continue;
		if (r->n_rows == CS_REPORT_ROWS_MAX)
			continue;
		b->last_reported = b->in_flight;
		row = &r->rows[r->n_rows++];
		*row = (struct cs_report_row){.server = b->id_hash,
					      .in_flight = (uint16_t)b->in_flight};
		if (b->load_us > 0 && age <= SLOWDOWN_MAX_AGE_MS) {
			row->slowdown_pct = (uint16_t)b->load.slowdown_pct;
			row->slowdown_age_ms = (uint16_t)age;
		}
	}
}

/* Adds what a report and this instance's part of a digest have in common. */
static void report_own(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_report_service *row;
	struct cs_steer_service *svc;
	unsigned i;

	r->n_services = 0;
	TAILQ_FOREACH(svc, &s->services, entry) {
		if (r->n_services == CS_REPORT_SERVICES_MAX)
			break;
		row = &r->services[r->n_services++];
		row->service = svc->name_hash;
		row->busy_slots = (float)(svc->rate * svc->service_time_us / CS_US_PER_S);
		svc->last_reported = row->busy_slots;
		row->n_shares = svc->region_split.first_request_us > 0 ? s->n_regions : 0;
		for (i = 0; i < row->n_shares; i++)
			row->shares[i] = (float)svc->region_split.share[i];
	}
	report_rows(s, r, now_us);
	leaving_report(s, r, now_us);
	cold_report(s, r, now_us);
	home_flows_report(s, r);
}

void cs_steer_build_report(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	report_own(s, r, now_us);
	server_limit_report(s, r, LIMIT_FEED_REPORT, now_us);
}

/* Adds the rows of an instance's report to a digest. */
static void add_rows(struct cs_steer_report *to, const struct cs_steer_report *from,
		     uint64_t received_us, uint64_t now_us)
{
	const struct cs_report_row *row;
	struct cs_report_row *sum;
	uint64_t age;
	unsigned i, k;

	for (i = 0; i < from->n_rows; i++) {
		row = &from->rows[i];
		for (k = 0; k < to->n_rows && to->rows[k].server != row->server; k++)
			;
		if (k == CS_REPORT_ROWS_MAX)
			continue;
		sum = &to->rows[k];
		if (k == to->n_rows) {
			to->n_rows++;
			*sum = (struct cs_report_row){.server = row->server};
		}
		sum->in_flight += row->in_flight;
		age = row->slowdown_age_ms + (now_us - received_us) / CS_US_PER_MS;
		if (row->slowdown_pct == 0 || age > SLOWDOWN_MAX_AGE_MS ||
		    (sum->slowdown_pct > 0 && sum->slowdown_age_ms <= age))
			continue;
		sum->slowdown_pct = row->slowdown_pct;
		sum->slowdown_age_ms = (uint16_t)age;
	}
}

/* Adds the demand in an instance's report to a digest. */
static void add_demand(struct cs_steer_report *to, const struct cs_steer_report *from)
{
	unsigned i, k;

	for (i = 0; i < from->n_services; i++) {
		for (k = 0; k < to->n_services; k++)
			if (to->services[k].service == from->services[i].service)
				break;
		if (k == CS_REPORT_SERVICES_MAX)
			continue;
		if (k == to->n_services)
			to->services[to->n_services++] =
				(struct cs_report_service){.service = from->services[i].service};
		to->services[k].busy_slots += from->services[i].busy_slots;
	}
}

static void add_ready(struct cs_steer_report *r, uint32_t name_hash)
{
	if (r->n_ready < CS_DIGEST_READY_MAX)
		r->ready_members[r->n_ready++] = name_hash;
}

/*
 * Removes what other regions do not need: shares and, if the other regions have many zones, rows.
 */
static void trim_for_remote(const struct cs_steer *s, struct cs_steer_report *r)
{
	unsigned i;

	for (i = 0; i < r->n_services; i++)
		r->services[i].n_shares = 0;
	if (!fanout_remote_rows(s))
		r->n_rows = 0;
}

void cs_steer_build_digest(struct cs_steer *s, struct cs_steer_report *r,
			   enum cs_digest_scope scope, uint64_t now_us)
{
	const struct member *m;

	r->is_digest = true;
	report_own(s, r, now_us);
	server_limit_report(s, r, scope == CS_DIGEST_REGION ? LIMIT_FEED_REGION : LIMIT_FEED_REMOTE,
			    now_us);
	r->n_ready = 0;
	if (r->ready && !r->leaving)
		add_ready(r, s->name_hash);
	TAILQ_FOREACH(m, &s->members, entry) {
		if (m->zone != s->zone || m->report == NULL ||
		    now_us - m->last_message_us >= READY_MAX_AGE_US)
			continue;
		add_rows(r, m->report, m->report_received_us, now_us);
		add_demand(r, m->report);
		home_flows_merge(r, m->report);
		leaving_merge(r, m->report);
		cold_merge(r, m->report, now_us - m->report_received_us);
		if (m->info.ready && !m->info.leaving)
			add_ready(r, m->name_hash);
	}
	if (scope == CS_DIGEST_REMOTE)
		trim_for_remote(s, r);
}

/* Marks the instances that a digest lists as alive. */
static void mark_listed_alive(struct cs_steer *s, unsigned zone, const struct cs_steer_report *r,
			      uint64_t now_us)
{
	struct member *m;

	TAILQ_FOREACH(m, &s->members, entry) {
		if (m->zone != zone || !digest_lists_ready(r, m->name_hash))
			continue;
		member_mark_alive(s, m, now_us);
		/* The report in which an instance announces that it leaves may be newer. */
		if (m->report != NULL && m->report->leaving && m->report->boot == m->info.boot)
			continue;
		m->info.ready = true;
		m->info.leaving = false;
	}
}

/*
 * False for a digest of this zone that does not list this instance: its sender does not receive
 * the reports of this instance, and possibly those of no instance.
 */
static bool digest_covers_self(const struct cs_steer *s, unsigned zone,
			       const struct cs_steer_report *r)
{
	return zone != s->zone || digest_lists_ready(r, s->name_hash);
}

bool cs_steer_handle_digest(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us)
{
	struct member *from = members_find(s, r->name);
	struct zone_digest *d;

	if (from == NULL || !member_accept_message(s, from, r, &from->digest_seq, now_us))
		return false;
	mark_listed_alive(s, from->zone, r, now_us);
	leaving_apply(s, r, now_us);
	cold_apply(s, r, now_us);
	server_limit_apply(s, r, false, now_us);
	if (!digest_covers_self(s, from->zone, r))
		return true;
	d = s->digests[from->zone];
	if (d == NULL)
		d = s->digests[from->zone] = cs_xcalloc(1, sizeof(*d));
	d->received_us = now_us;
	d->report = *r;
	return true;
}

/*
 * Adds the rows of a report received at received_us to the sums of the servers. includes_own:
 * the report includes this instance's last one.
 */
static void sum_rows(struct cs_steer *s, const struct cs_steer_report *r, bool includes_own,
		     uint64_t received_us)
{
	const struct cs_report_row *row;
	struct cs_backend *b;
	unsigned i, others;
	uint64_t reported_us;

	for (i = 0; i < r->n_rows; i++) {
		row = &r->rows[i];
		b = servers_by_id_hash(s, row->server);
		if (b == NULL)
			continue;
		others = row->in_flight;
		if (includes_own)
			others -= others < b->last_reported ? others : b->last_reported;
		b->peers_in_flight += others;
		reported_us = received_us - row->slowdown_age_ms * CS_US_PER_MS;
		if (row->slowdown_pct > 0 && reported_us > b->load_us) {
			b->load.slowdown_pct = row->slowdown_pct;
			b->load.running = b->load.waiting = 0;
			b->load.slots = backend_slots(b);
			b->load_us = reported_us;
		}
	}
}

/* Adds the demand in a report to the demand of the services; includes_own as in sum_rows. */
static void sum_demand(struct cs_steer *s, const struct cs_steer_report *r, bool includes_own,
		       unsigned region)
{
	struct cs_steer_service *svc;
	float busy;
	unsigned i;

	for (i = 0; i < r->n_services; i++)
		TAILQ_FOREACH(svc, &s->services, entry) {
			if (svc->name_hash != r->services[i].service)
				continue;
			busy = r->services[i].busy_slots - (includes_own ? svc->last_reported : 0);
			if (busy > 0)
				svc->demand[region] += busy;
		}
}

/* Adds what a report says of a region's clients to the sums; includes_own as in sum_rows. */
static void sum_region(struct cs_steer *s, const struct cs_steer_report *r, bool includes_own,
		       unsigned region)
{
	sum_demand(s, r, includes_own, region);
	home_flows_sum(s, r, includes_own, region);
}

static void sums_reset(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;

	TAILQ_FOREACH(svc, &s->services, entry) {
		memset(svc->demand, 0, sizeof(svc->demand));
		home_flows_reset(svc);
		TAILQ_FOREACH(b, &svc->backends, entry)
			b->peers_in_flight = 0;
	}
}

/*
 * Finds the zones whose digests replace the reports of their instances. A root has the reports of
 * its own zone.
 */
static void find_summed_zones(const struct cs_steer *s, uint64_t now_us, bool summed[])
{
	unsigned i;

	for (i = 0; i < s->n_zones; i++)
		summed[i] = digest_is_recent(s, i, now_us);
	if (summed[s->zone] && cs_steer_rank(s) < CS_ROOTS_PER_ZONE)
		summed[s->zone] = false;
}

/* Sums for all services in one pass over the members, as a large fleet has many of both. */
void digests_sum(struct cs_steer *s, uint64_t now_us)
{
	const struct zone_digest *d;
	bool summed[CS_ZONES_MAX] = {false}, includes_own;
	struct member *m;
	unsigned i;

	sums_reset(s);
	find_summed_zones(s, now_us, summed);
	TAILQ_FOREACH(m, &s->members, entry) {
		if (m->report == NULL || summed[m->zone])
			continue;
		if (now_us - m->report_received_us < PEER_REPORT_MAX_AGE_US)
			sum_rows(s, m->report, false, m->report_received_us);
		if (now_us - m->report_received_us < DEMAND_MAX_AGE_US)
			sum_region(s, m->report, false, m->region);
	}
	for (i = 0; i < s->n_zones; i++) {
		if (!summed[i])
			continue;
		d = s->digests[i];
		includes_own = i == s->zone;
		sum_rows(s, &d->report, includes_own, d->received_us);
		sum_region(s, &d->report, includes_own, s->zone_region[i]);
	}
}
