/* Guarantees about servers and zones: slots, draining servers, rate cap and deadline of drains. */
#include <math.h>
#include <string.h>

#include "src/check/check.h"

/* A cancelled request may hold its slot until the server notices the disconnect. */
#define OVERLAP_GRACE_US (20 * CS_US_PER_MS)
#define DRAINING_GRACE_US (2 * CS_US_PER_S)
/* Tolerated sampling noise in standard deviations; high, as a run makes thousands of comparisons. */
#define CAP_NOISE_SIGMAS 4.5
#define CAP_SECONDS_MAX 600
#define CAP_LEAD_US (5 * CS_US_PER_S) /* observation begins this long before the drain */
#define CAP_SPAN_MAX_S 30 /* compared seconds are less than this apart */
#define CAP_SAMPLES_MIN 10 /* requests in a second; seconds with fewer are not compared */

/* Runs of one server by start time, without refusals. */
struct server_runs {
	const char *server;
	GPtrArray *runs;
};

static void server_runs_free(gpointer p)
{
	struct server_runs *sr = p;

	g_ptr_array_free(sr->runs, TRUE);
	g_free(sr);
}

static GHashTable *runs_by_server(const struct check *c)
{
	GHashTable *by_server =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, server_runs_free);
	struct server_runs *sr;
	struct run *r;
	guint i;

	for (i = 0; i < c->runs->len; i++) {
		r = c->runs->pdata[i];
		if (r->refused)
			continue;
		sr = g_hash_table_lookup(by_server, r->server);
		if (sr == NULL) {
			sr = g_new0(struct server_runs, 1);
			sr->server = r->server;
			sr->runs = g_ptr_array_new();
			g_hash_table_insert(by_server, (gpointer)(uintptr_t)r->server, sr);
		}
		g_ptr_array_add(sr->runs, r);
	}
	return by_server;
}

/* Start (delta 1) or end (delta -1) of a run. */
struct sweep_event {
	uint64_t at_us;
	int delta;
	const struct run *run;
};

static gint sweep_event_cmp(gconstpointer a, gconstpointer b)
{
	const struct sweep_event *x = a, *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->delta - y->delta;
}

/*
 * Reports each interval longer than OVERLAP_GRACE_US in which the server had more concurrent runs
 * than slots.
 */
static void check_server_overload(struct check *c, const struct server_runs *sr)
{
	GArray *events = g_array_new(FALSE, FALSE, sizeof(struct sweep_event));
	const struct run *r, *worst = NULL;
	unsigned active = 0, peak = 0;
	uint64_t over_since_us = 0;
	struct sweep_event e;
	guint i;

	for (i = 0; i < sr->runs->len; i++) {
		r = sr->runs->pdata[i];
		e = (struct sweep_event){r->start_us, 1, r};
		g_array_append_val(events, e);
		e = (struct sweep_event){r->end_us, -1, r};
		g_array_append_val(events, e);
	}
	g_array_sort(events, sweep_event_cmp);
	for (i = 0; i < events->len; i++) {
		e = g_array_index(events, struct sweep_event, i);
		active += (unsigned)e.delta;
		if (e.delta > 0 && active > e.run->slots) {
			if (over_since_us == 0)
				over_since_us = e.at_us;
			if (active > peak) {
				peak = active;
				worst = e.run;
			}
		} else if (over_since_us != 0 && active <= e.run->slots) {
			if (e.at_us - over_since_us > OVERLAP_GRACE_US)
				check_violation(c, "overload",
						g_hash_table_lookup(c->by_id, worst->id),
						"server %s had %u requests at once on %u slots, "
						"over its slots for %llu us",
						sr->server, peak, worst->slots,
						(unsigned long long)(e.at_us - over_since_us));
			over_since_us = 0;
			peak = 0;
		}
	}
	g_array_free(events, TRUE);
}

/* No server runs more requests at a time than it has slots. */
void rule_overload(struct check *c)
{
	GHashTable *by_server = runs_by_server(c);
	GHashTableIter it;
	gpointer server_runs;

	g_hash_table_iter_init(&it, by_server);
	while (g_hash_table_iter_next(&it, NULL, &server_runs))
		check_server_overload(c, server_runs);
	g_hash_table_destroy(by_server);
}

/* Returns the end of the server state that began at index i, or UINT64_MAX. */
static uint64_t state_end(const struct check *c, guint i)
{
	const struct state_change *s = &g_array_index(c->states, struct state_change, i), *t;

	for (i++; i < c->states->len; i++) {
		t = &g_array_index(c->states, struct state_change, i);
		if (strcmp(t->server, s->server) == 0)
			return t->at_us;
	}
	return UINT64_MAX;
}

/* A draining server receives no new requests after DRAINING_GRACE_US. */
void rule_leaving(struct check *c)
{
	const struct state_change *s;
	const struct run *r;
	uint64_t end;
	guint i, j;

	for (i = 0; i < c->states->len; i++) {
		s = &g_array_index(c->states, struct state_change, i);
		if (strcmp(s->state, "draining") != 0)
			continue;
		end = state_end(c, i);
		for (j = 0; j < c->runs->len; j++) {
			r = c->runs->pdata[j];
			if (strcmp(r->server, s->server) != 0 ||
			    r->start_us <= s->at_us + DRAINING_GRACE_US || r->start_us >= end)
				continue;
			check_violation(
				c, "leaving", g_hash_table_lookup(c->by_id, r->id),
				"server %s received a request %llu us after it began to drain",
				s->server, (unsigned long long)(r->start_us - s->at_us));
		}
	}
}

/* Requests of one second from clients in the drained zone. */
struct second_share {
	unsigned total; /* requests that ran on any server */
	unsigned in_zone; /* of these, requests that ran on servers of the drained zone */
};

static void count_shares(const struct check *c, const struct fact *f, uint64_t base,
			 struct second_share *shares)
{
	const struct run *r;
	const struct op *op;
	uint64_t second;
	guint i;

	for (i = 0; i < c->ops->len; i++) {
		op = c->ops->pdata[i];
		if (op->runs == NULL || op->sent_us < base ||
		    strcmp(check_client_zone(c, op->client), f->zone) != 0)
			continue;
		for (r = op->runs; r != NULL && r->refused; r = r->next)
			;
		second = (op->sent_us - base) / CS_US_PER_S;
		if (r == NULL || second >= CAP_SECONDS_MAX)
			continue;
		shares[second].total++;
		shares[second].in_zone += strcmp(r->zone, f->zone) == 0;
	}
}

/*
 * Compares seconds i and j: the decrease of the drained zone's share may not exceed the cap plus
 * sampling noise. min_share is the lowest share up to second i: requests that returned to the
 * drained zone because other zones failed may leave it again at any rate, as that is a failover.
 */
static void compare_shares(struct check *c, const struct fact *f, const struct second_share *shares,
			   unsigned i, unsigned j, double min_share)
{
	const struct second_share *a = &shares[i], *b = &shares[j];
	double share_i, share_j, allowed, noise;

	if (a->total < CAP_SAMPLES_MIN || b->total < CAP_SAMPLES_MIN)
		return;
	share_i = MIN((double)a->in_zone / a->total, min_share);
	share_j = (double)b->in_zone / b->total;
	noise = CAP_NOISE_SIGMAS * sqrt(0.25 / a->total + 0.25 / b->total);
	allowed = f->cap_pct_s / 100 * (j - i + 1) + noise;
	if (share_i - share_j > allowed)
		check_violation(c, "cap", NULL,
				"zone %s: %.0f%% of its callers' requests moved from second %u to "
				"second %u of the observation period (%u of %u to %u of %u ran "
				"there), allowed "
				"%.0f%% with noise",
				f->zone, (share_i - share_j) * 100, i, j, a->in_zone, a->total,
				b->in_zone, b->total, allowed * 100);
}

static void check_drain_cap(struct check *c, const struct fact *f)
{
	struct second_share shares[CAP_SECONDS_MAX] = {{0}};
	uint64_t base = f->from_us > CAP_LEAD_US ? f->from_us - CAP_LEAD_US : 0;
	unsigned i, j, n = (unsigned)((f->to_us - base) / CS_US_PER_S);
	double min_share = 1;

	if (n > CAP_SECONDS_MAX)
		n = CAP_SECONDS_MAX;
	count_shares(c, f, base, shares);
	for (i = 0; i < n; i++) {
		if (shares[i].total >= CAP_SAMPLES_MIN)
			min_share = MIN(min_share, (double)shares[i].in_zone / shares[i].total);
		for (j = i + 1; j < n && j < i + CAP_SPAN_MAX_S; j++)
			if (!check_fault_explains(c, "cap", f->zone, base + i * CS_US_PER_S,
						  base + (j + 1) * CS_US_PER_S))
				compare_shares(c, f, shares, i, j, min_share);
	}
}

/* A drain shifts traffic no faster than its cap and finishes before its deadline. */
void rule_cap(struct check *c)
{
	const struct fact *f;
	const struct run *r;
	guint i, j;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind != FACT_DRAIN)
			continue;
		check_drain_cap(c, f);
		for (j = 0; j < c->runs->len; j++) {
			r = c->runs->pdata[j];
			if (r->refused || strcmp(r->zone, f->zone) != 0 ||
			    r->start_us <= f->to_us ||
			    (f->until_us > 0 && r->start_us > f->until_us))
				continue;
			check_violation(c, "cap", g_hash_table_lookup(c->by_id, r->id),
					"zone %s received a request %llu us after its deadline",
					f->zone, (unsigned long long)(r->start_us - f->to_us));
		}
	}
}
