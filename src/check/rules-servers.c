/* Promises about servers and zones: limits, leaving servers, caps of shifts. */
#include <math.h>
#include <string.h>

#include "src/check/check.h"

/* A cancelled request may hold its slot until the server sees the disconnect. */
#define OVERLAP_GRACE_US (20 * CS_US_PER_MS)
#define LEAVING_US (2 * CS_US_PER_S)
#define CAP_SIGMAS 4.5 /* of sampling noise; a run has some thousand comparisons */
#define CAP_BUCKETS 600 /* seconds */

/* Runs of one server, by start. */
struct lane {
	const char *server;
	GPtrArray *runs;
};

static void lane_free(gpointer p)
{
	struct lane *l = p;

	g_ptr_array_free(l->runs, TRUE);
	g_free(l);
}

static GHashTable *lanes_of(const struct check *c)
{
	GHashTable *lanes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lane_free);
	struct lane *l;
	struct run *r;
	guint i;

	for (i = 0; i < c->runs->len; i++) {
		r = c->runs->pdata[i];
		if (r->refused)
			continue;
		l = g_hash_table_lookup(lanes, r->server);
		if (l == NULL) {
			l = g_new0(struct lane, 1);
			l->server = r->server;
			l->runs = g_ptr_array_new();
			g_hash_table_insert(lanes, (gpointer)(uintptr_t)r->server, l);
		}
		g_ptr_array_add(l->runs, r);
	}
	return lanes;
}

struct edge {
	uint64_t at_us;
	int step;
	const struct run *run;
};

static gint edge_cmp(gconstpointer a, gconstpointer b)
{
	const struct edge *x = a, *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->step - y->step;
}

/* Finds a time longer than the grace in which a server has more requests than slots. */
static void lane_overload(struct check *c, const struct lane *l)
{
	GArray *edges = g_array_new(FALSE, FALSE, sizeof(struct edge));
	const struct run *r, *worst = NULL;
	unsigned now = 0, peak = 0;
	uint64_t since = 0;
	struct edge e;
	guint i;

	for (i = 0; i < l->runs->len; i++) {
		r = l->runs->pdata[i];
		e = (struct edge){r->start_us, 1, r};
		g_array_append_val(edges, e);
		e = (struct edge){r->end_us, -1, r};
		g_array_append_val(edges, e);
	}
	g_array_sort(edges, edge_cmp);
	for (i = 0; i < edges->len; i++) {
		e = g_array_index(edges, struct edge, i);
		now += (unsigned)e.step;
		if (e.step > 0 && now > e.run->slots) {
			if (since == 0)
				since = e.at_us;
			if (now > peak) {
				peak = now;
				worst = e.run;
			}
		} else if (since != 0 && now <= e.run->slots) {
			if (e.at_us - since > OVERLAP_GRACE_US)
				check_violation(c, "overload",
						g_hash_table_lookup(c->by_id, worst->id),
						"server %s had %u requests at once on %u slots, "
						"over its slots for %llu us",
						l->server, peak, worst->slots,
						(unsigned long long)(e.at_us - since));
			since = 0;
			peak = 0;
		}
	}
	g_array_free(edges, TRUE);
}

/* Promise 2: no decision overloads a region: no server has more requests than slots. */
void rule_overload(struct check *c)
{
	GHashTable *lanes = lanes_of(c);
	GHashTableIter it;
	gpointer lane;

	g_hash_table_iter_init(&it, lanes);
	while (g_hash_table_iter_next(&it, NULL, &lane))
		lane_overload(c, lane);
	g_hash_table_destroy(lanes);
}

/* End of the state that began at index i, or UINT64_MAX. */
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

/* Promise 6: a leaving server gets no new work after 2 s. */
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
			    r->start_us <= s->at_us + LEAVING_US || r->start_us >= end)
				continue;
			check_violation(c, "leaving", g_hash_table_lookup(c->by_id, r->id),
					"server %s got new work %llu us after it began to leave",
					s->server, (unsigned long long)(r->start_us - s->at_us));
		}
	}
}

/* Requests of the drained zone's callers, by second: all that ran, and those that ran there. */
struct share {
	unsigned all, there;
};

static void count_shares(const struct check *c, const struct fact *f, uint64_t base,
			 struct share *shares)
{
	const struct run *r;
	const struct op *op;
	uint64_t second;
	guint i;

	for (i = 0; i < c->ops->len; i++) {
		op = c->ops->pdata[i];
		if (op->runs == NULL || op->sent_us < base ||
		    strcmp(check_caller_zone(c, op->caller), f->zone) != 0)
			continue;
		for (r = op->runs; r != NULL && r->refused; r = r->next)
			;
		second = (op->sent_us - base) / CS_US_PER_S;
		if (r == NULL || second >= CAP_BUCKETS)
			continue;
		shares[second].all++;
		shares[second].there += strcmp(r->zone, f->zone) == 0;
	}
}

/*
 * Compares two seconds: the part that moved between them may not exceed cap and noise. low is the
 * lowest share before the first of them: when requests come back to the drained zone because the
 * others fail, and leave it again, that is a failover and no shift.
 */
static void compare_shares(struct check *c, const struct fact *f, const struct share *shares,
			   unsigned i, unsigned j, double low)
{
	const struct share *a = &shares[i], *b = &shares[j];
	double fa, fb, allowed, noise;

	if (a->all < 10 || b->all < 10)
		return;
	fa = MIN((double)a->there / a->all, low);
	fb = (double)b->there / b->all;
	noise = CAP_SIGMAS * sqrt(0.25 / a->all + 0.25 / b->all);
	allowed = f->cap_pct_s / 100 * (j - i + 1) + noise;
	if (fa - fb > allowed)
		check_violation(c, "cap", NULL,
				"zone %s: %.0f%% of its callers' requests moved from second %u to "
				"second %u of the watch (%u of %u to %u of %u ran there), allowed "
				"%.0f%% with noise",
				f->zone, (fa - fb) * 100, i, j, a->there, a->all, b->there, b->all,
				allowed * 100);
}

static void drain_cap(struct check *c, const struct fact *f)
{
	struct share shares[CAP_BUCKETS] = {{0}};
	uint64_t base = f->from_us > 5 * CS_US_PER_S ? f->from_us - 5 * CS_US_PER_S : 0;
	unsigned i, j, n = (unsigned)((f->to_us - base) / CS_US_PER_S);
	double low = 1;

	if (n > CAP_BUCKETS)
		n = CAP_BUCKETS;
	count_shares(c, f, base, shares);
	for (i = 0; i < n; i++) {
		if (shares[i].all >= 10)
			low = MIN(low, (double)shares[i].there / shares[i].all);
		for (j = i + 1; j < n && j < i + 30; j++)
			if (!check_excused(c, "cap", f->zone, base + i * CS_US_PER_S,
					   base + (j + 1) * CS_US_PER_S))
				compare_shares(c, f, shares, i, j, low);
	}
}

/* Promise 1 and the deadline: a drain stays under its cap and is finished in time. */
void rule_cap(struct check *c)
{
	const struct fact *f;
	const struct run *r;
	guint i, j;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind != FACT_DRAIN)
			continue;
		drain_cap(c, f);
		for (j = 0; j < c->runs->len; j++) {
			r = c->runs->pdata[j];
			if (r->refused || strcmp(r->zone, f->zone) != 0 ||
			    r->start_us <= f->to_us ||
			    (f->until_us > 0 && r->start_us > f->until_us))
				continue;
			check_violation(c, "cap", g_hash_table_lookup(c->by_id, r->id),
					"zone %s got new work %llu us after its deadline", f->zone,
					(unsigned long long)(r->start_us - f->to_us));
		}
	}
}
