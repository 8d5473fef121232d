/*
 * Seeded random test of limits: a zone whose instances see the list at different times, join, die,
 * restart and are cut off from the list, while servers and the configuration change.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS
#define STEP (50 * MS)
#define INSTANCES 24 /* names */
#define SERVERS 6
#define HISTORY 4096
#define HELD 4096
#define REVISIONS 64
#define SEEDS 25

/* What the list and the store hold at one time. */
struct listing {
	uint64_t at_us;
	uint32_t instances;
	uint32_t servers;
	unsigned revision;
};

struct instance {
	struct cs_policy *p; /* NULL: not running */
	uint64_t view_us; /* the list is seen as it was then */
	uint64_t cut_until_us; /* cut off from the list */
	uint64_t incarnation;
	uint64_t named[INSTANCES]; /* rosters of the others as heard */
	uint64_t heard_us[INSTANCES];
	uint64_t dead_us;
};

struct held {
	unsigned server;
	unsigned owner;
	struct cs_policy *p; /* NULL: its process ended */
	struct cs_target *target;
	unsigned class_index;
	uint64_t start_us, end_us;
};

struct zone {
	struct cs_rng rng;
	uint64_t now;
	struct listing list[HISTORY];
	unsigned n_list;
	struct instance in[INSTANCES];
	struct held held[HELD];
	unsigned n_held;
	struct fx_shape shapes[2]; /* by revision, in turn */
	struct cs_config *configs[REVISIONS];
	unsigned slots;
	unsigned over, sent, most;
	bool thin;
};

static bool chance(struct zone *z, double per_s)
{
	return cs_rng_unit(&z->rng) < per_s * (double)STEP / (double)S;
}

static const struct listing *seen_at(const struct zone *z, uint64_t us)
{
	unsigned i = z->n_list;

	while (i > 1 && z->list[i - 1].at_us > us)
		i--;
	return &z->list[i - 1];
}

static struct cs_config *config_of(struct zone *z, unsigned revision)
{
	struct fx_shape shape = z->shapes[revision % 2];

	g_assert_cmpuint(revision, <, REVISIONS);
	if (z->configs[revision] == NULL) {
		shape.revision = revision;
		z->configs[revision] = fx_config(&shape);
	}
	return z->configs[revision];
}

static void give_view(struct zone *z, unsigned me)
{
	struct instance *in = &z->in[me];
	const struct listing *l = seen_at(z, in->view_us);
	struct cs_view *v = cs_view_create();
	char name[16];
	unsigned i;

	v->cfg = cs_config_ref(config_of(z, l->revision));
	for (i = 0; i < INSTANCES; i++) {
		struct cs_member *m;

		if (!(l->instances & 1U << i))
			continue;
		snprintf(name, sizeof(name), "i-%u", i);
		m = fx_member(v, name, "z-0-0");
		m->incarnation = z->in[i].incarnation;
		m->roster = i == me ? cs_policy_roster(in->p) : in->named[i];
		if (i != me && in->heard_us[i] + 2 * S < z->now)
			m->state = CS_MEMBER_SUSPECT;
	}
	for (i = 0; i < SERVERS; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		if (l->servers & 1U << i)
			fx_server(v, name, "web", "z-0-0");
	}
	cs_policy_update(in->p, v, z->now);
	cs_view_destroy(v);
}

static void list_add(struct zone *z, uint32_t instances, uint32_t servers, unsigned revision)
{
	struct listing l = {z->now, instances, servers, revision};

	g_assert_cmpuint(z->n_list, <, HISTORY);
	z->list[z->n_list++] = l;
}

static void start(struct zone *z, unsigned i)
{
	char name[16];

	snprintf(name, sizeof(name), "i-%u", i);
	z->in[i].p = fx_policy(name, cs_rng_next(&z->rng));
	z->in[i].incarnation++;
	z->in[i].view_us = z->now;
	z->in[i].cut_until_us = 0;
	memset(z->in[i].named, 0, sizeof(z->in[i].named));
	memset(z->in[i].heard_us, 0, sizeof(z->in[i].heard_us));
}

/* The process ends without warning; its requests go on at the servers. */
static void stop(struct zone *z, unsigned i)
{
	unsigned k;

	for (k = 0; k < z->n_held; k++)
		if (z->held[k].p == z->in[i].p)
			z->held[k].p = NULL;
	cs_policy_destroy(z->in[i].p);
	z->in[i].p = NULL;
	z->in[i].dead_us = z->now;
}

static void events(struct zone *z)
{
	const struct listing *l = &z->list[z->n_list - 1];
	uint32_t in = l->instances, sv = l->servers;
	unsigned rev = l->revision, i = cs_rng_below(&z->rng, INSTANCES);
	unsigned s = cs_rng_below(&z->rng, SERVERS);

	if (z->in[i].p == NULL && !(in & 1U << i) && chance(z, 0.3)) {
		in |= 1U << i;
		start(z, i);
	} else if (z->in[i].p == NULL && (in & 1U << i) && chance(z, 1)) {
		start(z, i);
	} else if (z->in[i].p != NULL && chance(z, 0.3)) {
		stop(z, i);
	} else if (z->in[i].p != NULL && chance(z, 0.5)) {
		z->in[i].cut_until_us = z->now + cs_rng_below(&z->rng, 40) * S;
	}
	for (i = 0; i < INSTANCES; i++)
		if (z->in[i].p == NULL && (in & 1U << i) && z->now > z->in[i].dead_us + S &&
		    chance(z, 0.2))
			in &= ~(1U << i);
	if (chance(z, 0.1))
		sv ^= 1U << s;
	if (chance(z, 0.05))
		rev++;
	if (in != l->instances || sv != l->servers || rev != l->revision)
		list_add(z, in, sv, rev);
}

/* The list advances at each instance, at most 5 s late unless it is cut off. */
static void views(struct zone *z)
{
	unsigned i, k;

	for (i = 0; i < INSTANCES; i++) {
		struct instance *in = &z->in[i];

		if (in->p == NULL)
			continue;
		for (k = 0; k < INSTANCES; k++)
			if (z->in[k].p != NULL && chance(z, 2)) {
				in->named[k] = cs_policy_roster(z->in[k].p);
				in->heard_us[k] = z->now;
			}
		if (z->now >= in->cut_until_us) {
			if (in->view_us + 4500 * MS < z->now)
				in->view_us = z->now - cs_rng_below(&z->rng, 4500) * MS;
			else if (chance(z, 1))
				in->view_us +=
					cs_rng_below(&z->rng, (uint32_t)(z->now - in->view_us) + 1);
		}
		if (chance(z, 4))
			give_view(z, i);
	}
}

static void traffic(struct zone *z)
{
	unsigned i, k, n[SERVERS] = {0}, total = 0;
	struct cs_decision d;

	for (k = 0; k < z->n_held;) {
		struct held *h = &z->held[k];

		if (z->now < h->end_us) {
			k++;
			continue;
		}
		if (h->p != NULL)
			cs_policy_attempt_ended(h->p, h->target, h->class_index, CS_OUTCOME_OK,
						z->now - h->start_us, z->now);
		*h = z->held[--z->n_held];
	}
	for (i = 0; i < INSTANCES; i++) {
		for (k = 0; k < 6 && z->in[i].p != NULL; k++) {
			static const unsigned classes[] = {FX_LOOKUPS, FX_BOOKINGS, FX_UPLOADS};
			struct cs_policy_request ask = fx_ask(classes[cs_rng_below(&z->rng, 3)],
							      cs_rng_next(&z->rng), z->now);
			struct held *h = &z->held[z->n_held];

			cs_policy_decide(z->in[i].p, &ask, z->now, &d);
			cs_policy_dequeue(z->in[i].p, &ask);
			if (d.verdict != CS_VERDICT_SEND)
				continue;
			g_assert_cmpuint(z->n_held, <, HELD - 1);
			h->p = z->in[i].p;
			h->owner = i;
			h->target = d.u.send.target;
			h->server = (unsigned)atoi(cs_target_name(h->target) + 2);
			h->class_index = ask.class_index;
			h->start_us = z->now;
			h->end_us = z->now + 100 * MS + cs_rng_below(&z->rng, 2900) * MS;
			z->n_held++;
			z->sent++;
		}
	}
	for (k = 0; k < z->n_held; k++)
		n[z->held[k].server]++;
	for (k = 0; k < SERVERS; k++) {
		total += n[k];
		if (n[k] > z->slots)
			z->over++;
	}
	if (total > z->most)
		z->most = total;
}

static void run(uint64_t seed, unsigned slots, bool config_changes, struct zone *z)
{
	unsigned i, step;

	memset(z, 0, sizeof(*z));
	cs_rng_seed(&z->rng, seed);
	z->now = 1000 * S;
	z->slots = slots;
	z->shapes[0].slots = z->shapes[1].slots = slots;
	z->shapes[1].no_bulk = config_changes;
	list_add(z, 0x7, 0x7, 2);
	for (i = 0; i < 3; i++)
		start(z, i);
	for (step = 0; step < 2400; step++) {
		z->now += STEP;
		events(z);
		views(z);
		traffic(z);
	}
	for (i = 0; i < INSTANCES; i++)
		if (z->in[i].p != NULL)
			stop(z, i);
	for (i = 0; i < REVISIONS; i++)
		cs_config_unref(z->configs[i]);
}

static uint64_t first_seed(void)
{
	const char *s = g_getenv("SEED");

	return s != NULL ? strtoull(s, NULL, 10) : 1;
}

/*
 * Guards against more requests at a server than its slots, at any time and over all instances,
 * while the instances divide by different lists.
 */
static void test_over(void)
{
	static const unsigned slots[] = {1, 2, 6, 9, 40};
	struct zone *z = g_new0(struct zone, 1);
	uint64_t seed = first_seed(), last = seed + SEEDS;
	unsigned sent = 0;

	for (; seed < last; seed++) {
		unsigned n = slots[seed % G_N_ELEMENTS(slots)];

		run(seed, n, seed % 2, z);
		if (z->over > 0)
			g_error("seed %" G_GUINT64_FORMAT ": %u times over %u slots", seed, z->over,
				n);
		sent += z->sent;
	}
	/* The limits must not be kept by sending nothing; the first 25 seeds sent 23375. */
	g_free(z);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/share/random", test_over);
	return g_test_run();
}
