/*
 * Quotas of workspaces over a fleet: instances in three regions of two zones whose messages are
 * delayed, lost, repeated and late, and that are killed, restarted, paused, cut off and added.
 * Checks the platform's rule in every window, and compares what runs with one central counter.
 */
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "workspace/workspace.h"

#define MAX_INSTANCES 64
#define MAX_WORKSPACES 8
#define ZONES 6
#define STEP_US (5 * CS_US_PER_MS)
#define WINDOW_US (5 * CS_US_PER_S)
#define MAX_RUNS 200000

enum kind { ASK, REPLY };
struct message {
	struct message *next;
	enum kind kind;
	unsigned to;
	uint64_t due_us;
	union {
		struct cs_quota_ask ask;
		struct cs_quota_reply reply;
	} u;
};

struct request {
	struct request *next;
	unsigned workspace;
	uint64_t arrived_us;
};

struct instance {
	char name[16];
	struct cs_quota *quota; /* NULL: not running */
	uint64_t boot;
	uint64_t paused_until_us, cut_until_us, restart_us;
	struct request *waiting;
};

struct fleet {
	struct instance in[MAX_INSTANCES];
	unsigned n;
	struct message *messages;
	struct cs_rng rng;
	uint64_t now_us;
	double loss, late; /* fractions of messages */
	struct cs_workspace_table *table;
	const struct cs_workspace *ws[MAX_WORKSPACES];
	unsigned n_ws;
	uint64_t *runs[MAX_WORKSPACES];
	unsigned n_runs[MAX_WORKSPACES], asked[MAX_WORKSPACES], denied[MAX_WORKSPACES];
	double central[MAX_WORKSPACES]; /* tokens of one central counter */
	unsigned central_runs[MAX_WORKSPACES];
};

static const struct cs_quota_bounds bounds = {.window_s = 5, .overrun = 0.1, .slack = 20};

static unsigned zone_of(unsigned i)
{
	return i % ZONES;
}

static void instance_start(struct fleet *f, unsigned i)
{
	struct instance *in = &f->in[i];

	g_snprintf(in->name, sizeof(in->name), "i%u", i);
	in->quota = cs_quota_create(in->name, ++in->boot, &bounds, f->now_us);
	cs_quota_set_table(in->quota, f->table);
}

static void instance_kill(struct fleet *f, unsigned i)
{
	struct instance *in = &f->in[i];
	struct request *r;

	cs_quota_destroy(in->quota);
	in->quota = NULL;
	while ((r = in->waiting) != NULL) {
		in->waiting = r->next;
		g_free(r);
	}
}

static struct fleet *fleet_create(unsigned n, uint64_t seed)
{
	struct fleet *f = g_new0(struct fleet, 1);
	unsigned i;

	f->n = n;
	f->now_us = 100 * CS_US_PER_S;
	f->table = cs_workspace_table_create();
	cs_rng_seed(&f->rng, seed);
	for (i = 0; i < n; i++)
		instance_start(f, i);
	return f;
}

static unsigned add_workspace(struct fleet *f, double rate_per_s, double burst)
{
	char name[16];
	struct cs_workspace *ws;

	g_snprintf(name, sizeof(name), "w%u", f->n_ws);
	ws = cs_workspace_add(f->table, name);
	ws->rate_per_s = rate_per_s;
	ws->burst = burst;
	f->ws[f->n_ws] = ws;
	f->runs[f->n_ws] = g_new(uint64_t, MAX_RUNS);
	f->central[f->n_ws] = burst;
	return f->n_ws++;
}

static void fleet_destroy(struct fleet *f)
{
	struct message *m;
	unsigned i;

	for (i = 0; i < f->n; i++)
		if (f->in[i].quota != NULL)
			instance_kill(f, i);
	while ((m = f->messages) != NULL) {
		f->messages = m->next;
		g_free(m);
	}
	for (i = 0; i < f->n_ws; i++)
		g_free(f->runs[i]);
	cs_workspace_table_destroy(f->table);
	g_free(f);
}

static bool is_cut(const struct fleet *f, unsigned i)
{
	return f->in[i].cut_until_us > f->now_us;
}

static bool is_running(const struct fleet *f, unsigned i)
{
	return f->in[i].quota != NULL && f->in[i].paused_until_us <= f->now_us;
}

/* One way: 1 ms in a zone, 3 in a region, 22 to others, and some jitter. */
static uint64_t delay_us(struct fleet *f, unsigned a, unsigned b)
{
	uint64_t ms = 22;

	if (a == b)
		return 0;
	if (zone_of(a) == zone_of(b))
		ms = 1;
	else if (zone_of(a) / 2 == zone_of(b) / 2)
		ms = 3;
	if (cs_rng_unit(&f->rng) < f->late)
		ms += 3000;
	return ms * CS_US_PER_MS + cs_rng_below(&f->rng, 2000);
}

static void send(struct fleet *f, const struct message *msg, unsigned from)
{
	unsigned copies = cs_rng_unit(&f->rng) < f->loss ? 2 : 1;
	struct message *m;

	if (from != msg->to && (is_cut(f, from) || is_cut(f, msg->to)))
		return;
	if (from != msg->to && cs_rng_unit(&f->rng) < f->loss)
		return;
	while (copies-- > 0) {
		m = g_new(struct message, 1);
		*m = *msg;
		m->due_us = f->now_us + delay_us(f, from, msg->to);
		m->next = f->messages;
		f->messages = m;
	}
}

static void receive(struct fleet *f, struct message *m)
{
	struct instance *in = &f->in[m->to];
	struct message reply = {.kind = REPLY};

	if (m->kind == REPLY) {
		cs_quota_handle_reply(in->quota, &m->u.reply, f->now_us);
		return;
	}
	cs_quota_handle_ask(in->quota, &m->u.ask, f->now_us, &reply.u.reply);
	reply.to = (unsigned)atoi(m->u.ask.from + 1);
	send(f, &reply, m->to);
}

/* Delivers what is due, in any order; a paused instance receives it when it wakes. */
static void deliver(struct fleet *f)
{
	struct message *list = f->messages, *m;

	f->messages = NULL;
	while ((m = list) != NULL) {
		list = m->next;
		if (m->due_us > f->now_us ||
		    (f->in[m->to].quota != NULL && !is_running(f, m->to))) {
			m->next = f->messages;
			f->messages = m;
			continue;
		}
		if (f->in[m->to].quota != NULL)
			receive(f, m);
		g_free(m);
	}
}

static uint64_t weight(unsigned i, unsigned slot)
{
	return cs_hash(&i, sizeof(i), slot);
}

/* The best candidates of a slot among a zone's instances, as seen by one that may be cut off. */
static void slot_keepers(const struct fleet *f, unsigned zone, unsigned slot, unsigned viewer,
			 const char *out[CS_QUOTA_CANDIDATES])
{
	unsigned i, k, best[CS_QUOTA_CANDIDATES], n = 0;

	for (i = zone; i < f->n; i += ZONES) {
		if (f->in[i].quota == NULL || (i != viewer && (is_cut(f, i) || is_cut(f, viewer))))
			continue;
		for (k = n; k > 0 && weight(i, slot) > weight(best[k - 1], slot); k--)
			if (k < CS_QUOTA_CANDIDATES)
				best[k] = best[k - 1];
		if (k < CS_QUOTA_CANDIDATES)
			best[k] = i;
		n += n < CS_QUOTA_CANDIDATES;
	}
	for (k = 0; k < CS_QUOTA_CANDIDATES; k++)
		out[k] = k < n ? f->in[best[k]].name : NULL;
}

static struct cs_quota_zone zone_keepers(const struct fleet *f, unsigned zone, unsigned viewer)
{
	struct cs_quota_zone z = {0};
	unsigned slot;

	for (slot = 0; slot < CS_QUOTA_SLOTS; slot++)
		slot_keepers(f, zone, slot, viewer, z.keepers[slot]);
	return z;
}

static void set_view(struct fleet *f, unsigned i)
{
	struct cs_quota_zone zones[ZONES], own = zone_keepers(f, zone_of(i), i);
	unsigned k, n = 0, zone;

	cs_quota_set_fleet(f->in[i].quota, f->n);
	cs_quota_set_keepers(f->in[i].quota, &own);
	for (k = 1; k < 8; k++) {
		zone = zone_of(i) ^ k;
		if (zone >= ZONES)
			continue;
		zones[n] = zone_keepers(f, zone, i);
		n += zones[n].keepers[0][0] != NULL;
	}
	cs_quota_set_zones(f->in[i].quota, zones, n);
}

static void run(struct fleet *f, unsigned w)
{
	g_assert_cmpuint(f->n_runs[w], <, MAX_RUNS);
	f->runs[w][f->n_runs[w]++] = f->now_us;
}

static void decide_waiting(struct fleet *f, unsigned i)
{
	struct instance *in = &f->in[i];
	struct request **at = &in->waiting, *r;
	enum cs_quota_verdict v;
	unsigned room_ms;
	uint64_t until;

	while ((r = *at) != NULL) {
		v = cs_quota_retry(in->quota, f->ws[r->workspace], f->now_us, &until, &room_ms);
		if (v == CS_QUOTA_PENDING && f->now_us - r->arrived_us < CS_QUOTA_WAIT_US) {
			at = &r->next;
			continue;
		}
		if (v == CS_QUOTA_PENDING)
			cs_quota_leave(in->quota, f->ws[r->workspace]->id);
		if (v == CS_QUOTA_ALLOWED)
			run(f, r->workspace);
		else
			f->denied[r->workspace]++;
		*at = r->next;
		g_free(r);
	}
}

static void ask_all(struct fleet *f, unsigned i)
{
	struct message m = {.kind = ASK};
	unsigned n = 0;

	while (cs_quota_next_ask(f->in[i].quota, f->now_us, &m.u.ask)) {
		g_assert_cmpuint(n++, <, 100);
		m.to = (unsigned)atoi(m.u.ask.to + 1);
		send(f, &m, i);
	}
}

static void step(struct fleet *f)
{
	unsigned i;

	f->now_us += STEP_US;
	deliver(f);
	for (i = 0; i < f->n; i++) {
		if (f->in[i].quota == NULL && f->in[i].restart_us > 0 &&
		    f->in[i].restart_us <= f->now_us) {
			f->in[i].restart_us = 0;
			instance_start(f, i);
		}
		if (!is_running(f, i))
			continue;
		set_view(f, i);
		ask_all(f, i);
		decide_waiting(f, i);
	}
	for (i = 0; i < f->n_ws; i++)
		f->central[i] = fmin(f->ws[i]->burst + 1,
				     f->central[i] + f->ws[i]->rate_per_s * STEP_US / CS_US_PER_S);
}

/* A request of workspace w arrives at instance i. */
static void arrive(struct fleet *f, unsigned w, unsigned i)
{
	struct instance *in = &f->in[i];
	struct request *r;
	unsigned room_ms;
	uint64_t until;

	if (!is_running(f, i))
		return;
	f->asked[w]++;
	/* One that is cut off would not reach the central counter. */
	if (f->central[w] >= 1 && !is_cut(f, i)) {
		f->central[w] -= 1;
		f->central_runs[w]++;
	}
	switch (cs_quota_take(in->quota, f->ws[w], f->now_us, &until, &room_ms)) {
	case CS_QUOTA_ALLOWED:
		run(f, w);
		break;
	case CS_QUOTA_DENIED:
		f->denied[w]++;
		break;
	case CS_QUOTA_PENDING:
		r = g_new0(struct request, 1);
		r->workspace = w;
		r->arrived_us = f->now_us;
		r->next = in->waiting;
		in->waiting = r;
		break;
	}
}

/* Requests of a workspace at per_s for a time, at instances of all zones or of one. */
static void load(struct fleet *f, unsigned w, double per_s, int zone)
{
	double expected = per_s * STEP_US / CS_US_PER_S;
	unsigned i;

	while (expected > 0) {
		if (cs_rng_unit(&f->rng) < expected) {
			do
				i = cs_rng_below(&f->rng, f->n);
			while (zone >= 0 && zone_of(i) != (unsigned)zone);
			arrive(f, w, i);
		}
		expected -= 1;
	}
}

/* The platform's rule: no window has more runs than the limit. */
static void check_windows(const struct fleet *f, unsigned w)
{
	const struct cs_workspace *ws = f->ws[w];
	double limit = (ws->rate_per_s * bounds.window_s + ws->burst) * (1 + bounds.overrun) +
		       bounds.slack;
	unsigned first = 0, i, most = 0;

	for (i = 0; i < f->n_runs[w]; i++) {
		while (f->runs[w][i] - f->runs[w][first] > WINDOW_US)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	if (g_test_verbose())
		g_test_message("workspace %u: %u of %.1f in a window, %u runs, central %u", w, most,
			       limit, f->n_runs[w], f->central_runs[w]);
	g_assert_cmpfloat(most, <=, limit);
}

static void settle(struct fleet *f, unsigned seconds)
{
	unsigned i;

	for (i = 0; i < seconds * CS_US_PER_S / STEP_US; i++)
		step(f);
}

/*
 * Guards against refusing what one central counter would let through: large and small workspaces,
 * steady, several times over their rate, and in one zone only.
 */
static void test_steady(void)
{
	static const struct {
		double rate, burst, per_s;
		int zone;
	} cases[] = {{300, 300, 180, -1}, {300, 300, 1200, -1}, {300, 0, 600, -1}, {3, 3, 1.8, -1},
		     {3, 3, 20, -1},	  {60, 60, 50, 1},	{0.5, 1, 0.4, -1}};
	struct fleet *f = fleet_create(36, 1);
	unsigned i, k;

	for (k = 0; k < G_N_ELEMENTS(cases); k++)
		add_workspace(f, cases[k].rate, cases[k].burst);
	/* The keepers of six zones get half a token a second of the last one together. */
	settle(f, 12);
	for (i = 0; i < 30 * CS_US_PER_S / STEP_US; i++) {
		for (k = 0; k < G_N_ELEMENTS(cases); k++)
			load(f, k, cases[k].per_s, cases[k].zone);
		step(f);
	}
	for (k = 0; k < G_N_ELEMENTS(cases); k++) {
		check_windows(f, k);
		g_assert_cmpfloat(f->n_runs[k], >=, 0.97 * f->central_runs[k]);
	}
	fleet_destroy(f);
}

/* An instance is killed, paused or cut off for some seconds. */
static void single_failure(struct fleet *f, unsigned i)
{
	uint64_t until = f->now_us + CS_US_PER_S + cs_rng_below(&f->rng, 6 * CS_US_PER_S);

	switch (cs_rng_below(&f->rng, 3)) {
	case 0:
		if (f->in[i].quota == NULL)
			break;
		instance_kill(f, i);
		f->in[i].restart_us = f->now_us + cs_rng_below(&f->rng, CS_US_PER_S);
		break;
	case 1:
		f->in[i].paused_until_us = until;
		break;
	case 2:
		f->in[i].cut_until_us = until;
		break;
	}
}

/* What happens to the fleet in a random series. */
static void trouble(struct fleet *f)
{
	unsigned i = cs_rng_below(&f->rng, f->n);
	uint64_t long_us = CS_US_PER_S + cs_rng_below(&f->rng, 6 * CS_US_PER_S);

	switch (cs_rng_below(&f->rng, 6)) {
	case 0:
	case 1:
		single_failure(f, i);
		break;
	case 2: /* a zone is cut off; each of its instances is alone */
		for (i = cs_rng_below(&f->rng, ZONES); i < f->n; i += ZONES)
			f->in[i].cut_until_us = f->now_us + long_us;
		break;
	case 3: /* many are killed at once */
		for (i = 0; i < f->n; i++)
			if (f->in[i].quota != NULL && cs_rng_below(&f->rng, 10) < 6) {
				instance_kill(f, i);
				f->in[i].restart_us = f->now_us + 500 * CS_US_PER_MS;
			}
		break;
	case 4:
		f->loss = cs_rng_unit(&f->rng) < 0.5 ? 0 : 0.2;
		f->late = f->loss > 0 ? 0.1 : 0;
		break;
	case 5:
		if (f->n < MAX_INSTANCES) {
			f->n++;
			instance_start(f, f->n - 1);
		}
		break;
	}
}

static void random_series(uint64_t seed)
{
	static const double rates[] = {400, 40, 4, 0.7, 100};
	static const double bursts[] = {400, 0, 4, 1, 1000};
	struct fleet *f = fleet_create(24, seed);
	unsigned i, k, mode = 0, asked = 0, central = 0, runs = 0;
	int zone = -1;

	for (k = 0; k < G_N_ELEMENTS(rates); k++)
		add_workspace(f, rates[k], bursts[k]);
	settle(f, 3);
	for (i = 0; i < 40 * CS_US_PER_S / STEP_US; i++) {
		if (cs_rng_unit(&f->rng) < 0.004)
			trouble(f);
		if (cs_rng_unit(&f->rng) < 0.002) {
			/* silence, usual, many times the usual; all zones or one */
			mode = cs_rng_below(&f->rng, 3);
			zone = cs_rng_below(&f->rng, 2) ? -1 : (int)cs_rng_below(&f->rng, ZONES);
		}
		for (k = 0; k < f->n_ws; k++)
			load(f, k, rates[k] * (mode == 0 ? 0.6 : (mode == 1 ? 0 : 5)), zone);
		step(f);
	}
	for (k = 0; k < f->n_ws; k++) {
		check_windows(f, k);
		asked += f->asked[k];
		central += f->central_runs[k];
		runs += f->n_runs[k];
	}
	g_test_message("seed %llu: %u asked, %u by one counter, %u ran", (unsigned long long)seed,
		       asked, central, runs);
	fleet_destroy(f);
}

/*
 * Guards against more than the limit in any window, whatever happens to instances and messages.
 * Seeds after SEED (default 1), as many as SEEDS (default 12).
 */
static void test_random_series(void)
{
	const char *first = g_getenv("SEED"), *count = g_getenv("SEEDS");
	uint64_t seed = first != NULL ? strtoull(first, NULL, 10) : 1;
	uint64_t i, n = count != NULL ? strtoull(count, NULL, 10) : 12;

	for (i = 0; i < n; i++)
		random_series(seed + i);
}

/*
 * Guards against refusing much of what one central counter would let through while single instances
 * fail, one after the other, and messages are lost.
 */
static void test_single_failures(void)
{
	static const double rates[] = {400, 40, 4}, loads[] = {0.6, 0.6, 3};
	struct fleet *f = fleet_create(36, 5);
	unsigned i, k;

	for (k = 0; k < G_N_ELEMENTS(rates); k++)
		add_workspace(f, rates[k], rates[k]);
	settle(f, 3);
	f->loss = 0.03;
	for (i = 0; i < 30 * CS_US_PER_S / STEP_US; i++) {
		if (i % (1500 * CS_US_PER_MS / STEP_US) == 0)
			single_failure(f, cs_rng_below(&f->rng, f->n));
		for (k = 0; k < G_N_ELEMENTS(rates); k++)
			load(f, k, rates[k] * loads[k], -1);
		step(f);
	}
	for (k = 0; k < f->n_ws; k++) {
		check_windows(f, k);
		g_assert_cmpfloat(f->n_runs[k], >=, 0.9 * f->central_runs[k]);
	}
	fleet_destroy(f);
}

/* Guards against a keeper's death that stops its workspaces for longer than a loan lasts. */
static void test_keeper_dies(void)
{
	struct fleet *f = fleet_create(24, 3);
	unsigned w = add_workspace(f, 300, 300), i, before, after;
	struct cs_quota_zone z;

	settle(f, 3);
	for (i = 0; i < 5 * CS_US_PER_S / STEP_US; i++) {
		load(f, w, 180, -1);
		step(f);
	}
	/* One keeper of each zone dies. */
	for (i = 0; i < ZONES; i++) {
		z = zone_keepers(f, i, i);
		instance_kill(f, (unsigned)atoi(z.keepers[0][0] + 1));
	}
	before = f->n_runs[w];
	for (i = 0; i < 3 * CS_US_PER_S / STEP_US; i++) {
		load(f, w, 180, -1);
		step(f);
	}
	after = f->n_runs[w] - before;
	/* A quarter of the instances is gone with its clients. */
	g_assert_cmpfloat(after, >=, 0.75 * (3 - 0.7) * 180);
	check_windows(f, w);
	fleet_destroy(f);
}

/* Guards against messages that waited in the socket of a paused instance and count as new. */
static void test_paused(void)
{
	struct cs_workspace_table *t = cs_workspace_table_create();
	struct cs_workspace *ws = cs_workspace_add(t, "w");
	struct cs_quota *keeper = cs_quota_create("k", 1, &bounds, 0);
	struct cs_quota *spender = cs_quota_create("s", 1, &bounds, 0);
	const struct cs_quota_zone own = {{{"k", NULL}, {"k", NULL}}};
	struct cs_quota_ask ask;
	struct cs_quota_reply reply;
	struct cs_quota_counts counts;
	uint64_t now, until;
	unsigned room;

	ws->rate_per_s = ws->burst = 100;
	cs_quota_set_table(keeper, t);
	cs_quota_set_table(spender, t);
	cs_quota_set_fleet(spender, 1);
	cs_quota_set_keepers(spender, &own);
	for (now = CS_US_PER_S; now < 4 * CS_US_PER_S; now += CS_QUOTA_ROUND_US) {
		g_assert_true(cs_quota_next_ask(spender, now, &ask));
		cs_quota_handle_ask(keeper, &ask, now, &reply);
		g_assert_true(cs_quota_handle_reply(spender, &reply, now));
	}
	cs_quota_counts(keeper, &counts);
	g_assert_cmpuint(counts.loans, ==, 1);
	g_assert_cmpint(cs_quota_take(spender, ws, now, &until, &room), ==, CS_QUOTA_PENDING);
	g_assert_true(cs_quota_next_ask(spender, now, &ask));
	/* The keeper is paused, wakes and finds the question in its socket. */
	now += 5 * CS_US_PER_S;
	cs_quota_handle_ask(keeper, &ask, now, &reply);
	cs_quota_counts(keeper, &counts);
	g_assert_cmpuint(counts.loans, ==, 0);
	g_assert_cmpuint(reply.n_rows, ==, 1);
	g_assert_cmpuint(reply.rows[0].tokens, ==, 0);
	/* The spender was paused too: what is granted meanwhile has expired. */
	reply.rows[0].tokens = 5;
	g_assert_true(cs_quota_handle_reply(spender, &reply, now));
	g_assert_cmpint(cs_quota_retry(spender, ws, now, &until, &room), !=, CS_QUOTA_ALLOWED);
	/* A copy of a reply brings nothing. */
	g_assert_false(cs_quota_handle_reply(spender, &reply, now));
	cs_quota_destroy(keeper);
	cs_quota_destroy(spender);
	cs_workspace_table_destroy(t);
}

/* Two candidates for the keeper, and one that lends, for tests of single messages. */
struct pair {
	struct cs_workspace_table *table;
	struct cs_workspace *ws;
	struct cs_quota *lender, *keepers[2];
	uint64_t now_us;
};

static void pair_init(struct pair *p)
{
	static const char *const names[] = {"k0", "k1"};
	unsigned i;

	p->table = cs_workspace_table_create();
	p->ws = cs_workspace_add(p->table, "w");
	p->ws->rate_per_s = p->ws->burst = 100;
	p->now_us = 10 * CS_US_PER_S;
	p->lender = cs_quota_create("s", 1, &bounds, p->now_us);
	cs_quota_set_table(p->lender, p->table);
	cs_quota_set_fleet(p->lender, 1);
	for (i = 0; i < 2; i++) {
		p->keepers[i] = cs_quota_create(names[i], 1, &bounds, p->now_us);
		cs_quota_set_table(p->keepers[i], p->table);
	}
}

static void pair_free(struct pair *p)
{
	cs_quota_destroy(p->lender);
	cs_quota_destroy(p->keepers[0]);
	cs_quota_destroy(p->keepers[1]);
	cs_workspace_table_destroy(p->table);
}

static void pair_choose(struct pair *p, unsigned i)
{
	const char *name = i == 0 ? "k0" : "k1";
	const struct cs_quota_zone own = {{{name, NULL}, {name, NULL}}};

	cs_quota_set_keepers(p->lender, &own);
}

/*
 * Sends what is due; replies of a silent keeper are lost. Returns the slots that were lent to
 * keeper i in the last question to it.
 */
static unsigned pair_exchange(struct pair *p, unsigned i, int silent)
{
	struct cs_quota_reply reply;
	struct cs_quota_ask ask;
	unsigned to, lent = 0;

	while (cs_quota_next_ask(p->lender, p->now_us, &ask)) {
		to = (unsigned)atoi(ask.to + 1);
		if (strcmp(ask.to, "s") == 0)
			continue;
		if (to == i)
			lent = ask.lent_slots;
		cs_quota_handle_ask(p->keepers[to], &ask, p->now_us, &reply);
		if ((int)to != silent)
			cs_quota_handle_reply(p->lender, &reply, p->now_us);
	}
	return lent;
}

/* Guards against a process that lends rights which its predecessor lent just before it ended. */
static void test_start(void)
{
	struct pair p;
	uint64_t start;

	pair_init(&p);
	start = p.now_us;
	pair_choose(&p, 0);
	for (; p.now_us < start + CS_QUOTA_LOAN_US; p.now_us += CS_QUOTA_ROUND_US)
		g_assert_cmpuint(pair_exchange(&p, 0, -1), ==, 0);
	g_assert_cmpuint(pair_exchange(&p, 0, -1), ==, 3);
	pair_free(&p);
}

/* Lets the lender lend all of its rights to the first keeper. */
static void lend_to_first(struct pair *p)
{
	unsigned i;

	pair_choose(p, 0);
	for (i = 0; i < 10; i++, p->now_us += CS_QUOTA_ROUND_US)
		pair_exchange(p, 0, -1);
	g_assert_cmpuint(pair_exchange(p, 0, -1), ==, 3);
}

/*
 * Guards against a hand-over in which both keepers have the rights: the second one gets them when
 * the first has confirmed that it gave them back, or when its loan is certain to have ended.
 */
static void test_hand_over(void)
{
	struct cs_quota_counts counts;
	struct pair p;
	uint64_t lent_us;

	pair_init(&p);
	lend_to_first(&p);
	lent_us = p.now_us;
	pair_choose(&p, 1);
	p.now_us += CS_QUOTA_ROUND_US;
	/* The return reaches the first keeper, whose reply is lost. */
	g_assert_cmpuint(pair_exchange(&p, 1, 0), ==, 0);
	cs_quota_counts(p.keepers[0], &counts);
	g_assert_cmpuint(counts.loans, ==, 0);
	for (p.now_us += CS_QUOTA_ROUND_US; p.now_us < lent_us + CS_QUOTA_LOAN_US;
	     p.now_us += CS_QUOTA_ROUND_US)
		g_assert_cmpuint(pair_exchange(&p, 1, 0), ==, 0);
	g_assert_cmpuint(pair_exchange(&p, 1, 0), ==, 3);
	pair_free(&p);
	/* With the reply, the next round lends to the second one. */
	pair_init(&p);
	lend_to_first(&p);
	pair_choose(&p, 1);
	p.now_us += CS_QUOTA_ROUND_US;
	pair_exchange(&p, 1, -1);
	p.now_us += CS_QUOTA_ROUND_US;
	g_assert_cmpuint(pair_exchange(&p, 1, -1), ==, 3);
	pair_free(&p);
}

/* Guards against tokens that a keeper still grants after it gave back the rights that earned them. */
static void test_return_takes_tokens(void)
{
	struct cs_quota_ask ask = {.from = "x", .to = "k0", .boot = 7, .seq = 1, .n_rows = 1};
	struct cs_quota_reply reply;
	struct pair p;

	pair_init(&p);
	lend_to_first(&p);
	ask.rows[0] = (struct cs_quota_row){.id = p.ws->id, .tokens = 2};
	cs_quota_handle_ask(p.keepers[0], &ask, p.now_us, &reply);
	g_assert_cmpuint(reply.rows[0].tokens, ==, 2);
	pair_choose(&p, 1);
	p.now_us += CS_QUOTA_ROUND_US;
	pair_exchange(&p, 1, -1);
	ask.seq++;
	cs_quota_handle_ask(p.keepers[0], &ask, p.now_us, &reply);
	g_assert_cmpuint(reply.rows[0].tokens, ==, 0);
	pair_free(&p);
}

/* The same when the rights come back: it begins with nothing, also for workspaces not asked for. */
static void test_return_forgets_tokens(void)
{
	struct cs_quota_ask ask = {.from = "x", .to = "k0", .boot = 7, .seq = 1, .n_rows = 1};
	struct cs_quota_reply reply;
	unsigned touched, lent;
	struct pair p;

	for (touched = 0; touched < 2; touched++) {
		pair_init(&p);
		lend_to_first(&p);
		ask.rows[0] = (struct cs_quota_row){.id = p.ws->id, .tokens = touched};
		ask.seq++;
		if (touched)
			cs_quota_handle_ask(p.keepers[0], &ask, p.now_us, &reply);
		pair_choose(&p, 1);
		p.now_us += CS_QUOTA_ROUND_US;
		pair_exchange(&p, 1, -1);
		pair_choose(&p, 0);
		do {
			p.now_us += CS_QUOTA_ROUND_US;
			lent = pair_exchange(&p, 0, -1);
		} while (lent == 0);
		ask.rows[0].tokens = 2;
		ask.seq++;
		cs_quota_handle_ask(p.keepers[0], &ask, p.now_us, &reply);
		g_assert_cmpuint(reply.rows[0].tokens, ==, 0);
		pair_free(&p);
	}
}

/*
 * Guards against rights that two keepers have since a question was overtaken by the one that gives
 * them back.
 */
static void test_overtaken(void)
{
	struct cs_quota_ask lend, back;
	struct cs_quota_counts counts;
	struct cs_quota_reply reply;
	unsigned first;
	struct pair p;

	for (first = 0; first < 2; first++) {
		pair_init(&p);
		pair_choose(&p, 0);
		/* Either the keeper has a loan already, or it gets the first one. */
		if (first == 0)
			lend_to_first(&p);
		else
			for (; p.now_us < 10 * CS_US_PER_S + CS_QUOTA_LOAN_US;
			     p.now_us += CS_QUOTA_ROUND_US)
				pair_exchange(&p, 0, -1);
		p.now_us += CS_QUOTA_ROUND_US;
		g_assert_true(cs_quota_next_ask(p.lender, p.now_us, &lend));
		g_assert_cmpuint(lend.lent_slots, ==, 3);
		pair_choose(&p, 1);
		g_assert_true(cs_quota_next_ask(p.lender, p.now_us, &back));
		g_assert_cmpstr(back.to, ==, "k0");
		g_assert_cmpuint(back.lent_slots, ==, 0);
		cs_quota_handle_ask(p.keepers[0], &back, p.now_us, &reply);
		cs_quota_handle_ask(p.keepers[0], &lend, p.now_us, &reply);
		cs_quota_counts(p.keepers[0], &counts);
		g_assert_cmpuint(counts.loans, ==, 0);
		pair_free(&p);
	}
}

/* Guards against a lender that is silent and whose rights its keeper still uses. */
static void test_loan_ends(void)
{
	struct cs_quota_ask ask = {.from = "x", .to = "k0", .boot = 7, .seq = 1, .n_rows = 1};
	struct cs_quota_reply reply;
	struct pair p;

	pair_init(&p);
	lend_to_first(&p);
	p.now_us += CS_QUOTA_LOAN_US;
	ask.rows[0] = (struct cs_quota_row){.id = p.ws->id, .tokens = 2};
	cs_quota_handle_ask(p.keepers[0], &ask, p.now_us, &reply);
	g_assert_cmpuint(reply.rows[0].tokens, ==, 0);
	pair_free(&p);
}

/* Guards against tokens that a paused instance spends when it wakes. */
static void test_token_expires(void)
{
	enum cs_quota_verdict v;
	unsigned room_ms, i;
	uint64_t until;
	struct pair p;

	for (i = 0; i < 2; i++) {
		pair_init(&p);
		lend_to_first(&p);
		v = cs_quota_take(p.lender, p.ws, p.now_us, &until, &room_ms);
		g_assert_cmpint(v, ==, CS_QUOTA_PENDING);
		pair_exchange(&p, 0, -1);
		p.now_us += i == 0 ? 200 * CS_US_PER_MS : CS_US_PER_S;
		v = cs_quota_retry(p.lender, p.ws, p.now_us, &until, &room_ms);
		g_assert_cmpint(v, ==, i == 0 ? CS_QUOTA_ALLOWED : CS_QUOTA_PENDING);
		pair_free(&p);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quota/steady", test_steady);
	g_test_add_func("/quota/single-failures", test_single_failures);
	g_test_add_func("/quota/random-series", test_random_series);
	g_test_add_func("/quota/keeper-dies", test_keeper_dies);
	g_test_add_func("/quota/paused", test_paused);
	g_test_add_func("/quota/token-expires", test_token_expires);
	g_test_add_func("/quota/start", test_start);
	g_test_add_func("/quota/hand-over", test_hand_over);
	g_test_add_func("/quota/return-takes-tokens", test_return_takes_tokens);
	g_test_add_func("/quota/overtaken", test_overtaken);
	g_test_add_func("/quota/return-forgets-tokens", test_return_forgets_tokens);
	g_test_add_func("/quota/loan-ends", test_loan_ends);
	return g_test_run();
}
