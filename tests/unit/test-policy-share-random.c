/*
 * Seeded random test of the slot limit. The instances of a zone join, crash and restart. Each sees
 * the list of instances and servers with its own delay, or no update of it while cut off. Servers
 * join and leave, and the configuration changes. SEED=n selects the first seed.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define MS CS_US_PER_MS
#define STEP (50 * MS)
#define INSTANCES 24 /* number of instance names */
#define SERVERS 6
#define LISTINGS_MAX 4096
#define RUNNING_MAX 4096
#define REVISIONS_MAX 64
#define SEEDS 25

/* Instances and servers (bit masks) and configuration revision listed from a time on. */
struct listing {
	uint64_t at_us;
	uint32_t instances;
	uint32_t servers;
	unsigned revision;
};

struct instance {
	struct cs_policy *p; /* NULL: not running */
	uint64_t view_us; /* the instance sees the list as of this time */
	uint64_t cut_off_until_us; /* no newer list until then */
	uint64_t incarnation;
	uint64_t rosters[INSTANCES]; /* last received from each other instance */
	uint64_t roster_received_us[INSTANCES];
	uint64_t crashed_us;
};

struct running_request {
	unsigned server;
	unsigned owner;
	struct cs_policy *p; /* NULL: the instance has ended */
	struct cs_target *target;
	unsigned class_index;
	uint64_t start_us, end_us;
};

struct zone {
	struct cs_rng rng;
	uint64_t now;
	struct listing listings[LISTINGS_MAX];
	unsigned n_listings;
	struct instance inst[INSTANCES];
	struct running_request running[RUNNING_MAX];
	unsigned n_running;
	struct fx_shape shapes[2]; /* even and odd revisions */
	struct cs_config *configs[REVISIONS_MAX];
	unsigned slots;
	unsigned over_slots, sent, peak_running;
	bool thin;
};

static bool event_occurs(struct zone *z, double per_s)
{
	return cs_rng_unit(&z->rng) < per_s * (double)STEP / (double)S;
}

static const struct listing *listing_at(const struct zone *z, uint64_t us)
{
	unsigned i = z->n_listings;

	while (i > 1 && z->listings[i - 1].at_us > us)
		i--;
	return &z->listings[i - 1];
}

static struct cs_config *config_for_revision(struct zone *z, unsigned revision)
{
	struct fx_shape shape = z->shapes[revision % 2];

	g_assert_cmpuint(revision, <, REVISIONS_MAX);
	if (z->configs[revision] == NULL) {
		shape.revision = revision;
		z->configs[revision] = fx_config(&shape);
	}
	return z->configs[revision];
}

static void update_view(struct zone *z, unsigned self)
{
	struct instance *inst = &z->inst[self];
	const struct listing *l = listing_at(z, inst->view_us);
	struct cs_view *v = cs_view_create();
	char name[16];
	unsigned i;

	v->cfg = cs_config_ref(config_for_revision(z, l->revision));
	for (i = 0; i < INSTANCES; i++) {
		struct cs_member *m;

		if (!(l->instances & 1U << i))
			continue;
		snprintf(name, sizeof(name), "i-%u", i);
		m = fx_member(v, name, "z-0-0");
		m->incarnation = z->inst[i].incarnation;
		m->roster = i == self ? cs_policy_roster(inst->p) : inst->rosters[i];
		if (i != self && inst->roster_received_us[i] + 2 * S < z->now)
			m->state = CS_MEMBER_SUSPECT;
	}
	for (i = 0; i < SERVERS; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		if (l->servers & 1U << i)
			fx_server(v, name, "web", "z-0-0");
	}
	cs_policy_update(inst->p, v, z->now);
	cs_view_destroy(v);
}

static void listing_add(struct zone *z, uint32_t instances, uint32_t servers, unsigned revision)
{
	struct listing l = {z->now, instances, servers, revision};

	g_assert_cmpuint(z->n_listings, <, LISTINGS_MAX);
	z->listings[z->n_listings++] = l;
}

static void instance_start(struct zone *z, unsigned i)
{
	char name[16];

	snprintf(name, sizeof(name), "i-%u", i);
	z->inst[i].p = fx_policy(name, cs_rng_next(&z->rng));
	z->inst[i].incarnation++;
	z->inst[i].view_us = z->now;
	z->inst[i].cut_off_until_us = 0;
	memset(z->inst[i].rosters, 0, sizeof(z->inst[i].rosters));
	memset(z->inst[i].roster_received_us, 0, sizeof(z->inst[i].roster_received_us));
}

/* Crashes an instance; its requests keep running at the servers. */
static void instance_crash(struct zone *z, unsigned i)
{
	unsigned k;

	for (k = 0; k < z->n_running; k++)
		if (z->running[k].p == z->inst[i].p)
			z->running[k].p = NULL;
	cs_policy_destroy(z->inst[i].p);
	z->inst[i].p = NULL;
	z->inst[i].crashed_us = z->now;
}

static void random_events(struct zone *z)
{
	const struct listing *l = &z->listings[z->n_listings - 1];
	uint32_t listed = l->instances, servers_listed = l->servers;
	unsigned rev = l->revision, i = cs_rng_below(&z->rng, INSTANCES);
	unsigned s = cs_rng_below(&z->rng, SERVERS);

	if (z->inst[i].p == NULL && !(listed & 1U << i) && event_occurs(z, 0.3)) {
		listed |= 1U << i;
		instance_start(z, i);
	} else if (z->inst[i].p == NULL && (listed & 1U << i) && event_occurs(z, 1)) {
		instance_start(z, i);
	} else if (z->inst[i].p != NULL && event_occurs(z, 0.3)) {
		instance_crash(z, i);
	} else if (z->inst[i].p != NULL && event_occurs(z, 0.5)) {
		z->inst[i].cut_off_until_us = z->now + cs_rng_below(&z->rng, 40) * S;
	}
	for (i = 0; i < INSTANCES; i++)
		if (z->inst[i].p == NULL && (listed & 1U << i) &&
		    z->now > z->inst[i].crashed_us + S && event_occurs(z, 0.2))
			listed &= ~(1U << i);
	if (event_occurs(z, 0.1))
		servers_listed ^= 1U << s;
	if (event_occurs(z, 0.05))
		rev++;
	if (listed != l->instances || servers_listed != l->servers || rev != l->revision)
		listing_add(z, listed, servers_listed, rev);
}

/* Advances the list that each instance sees, at most 5 s late unless the instance is cut off. */
static void advance_views(struct zone *z)
{
	unsigned i, k;

	for (i = 0; i < INSTANCES; i++) {
		struct instance *inst = &z->inst[i];

		if (inst->p == NULL)
			continue;
		for (k = 0; k < INSTANCES; k++)
			if (z->inst[k].p != NULL && event_occurs(z, 2)) {
				inst->rosters[k] = cs_policy_roster(z->inst[k].p);
				inst->roster_received_us[k] = z->now;
			}
		if (z->now >= inst->cut_off_until_us) {
			if (inst->view_us + 4500 * MS < z->now)
				inst->view_us = z->now - cs_rng_below(&z->rng, 4500) * MS;
			else if (event_occurs(z, 1))
				inst->view_us += cs_rng_below(
					&z->rng, (uint32_t)(z->now - inst->view_us) + 1);
		}
		if (event_occurs(z, 4))
			update_view(z, i);
	}
}

static void simulate_requests(struct zone *z)
{
	unsigned i, k, n[SERVERS] = {0}, total = 0;
	struct cs_decision d;

	for (k = 0; k < z->n_running;) {
		struct running_request *r = &z->running[k];

		if (z->now < r->end_us) {
			k++;
			continue;
		}
		if (r->p != NULL)
			cs_policy_attempt_ended(r->p, r->target, r->class_index, CS_OUTCOME_OK,
						z->now - r->start_us, z->now);
		*r = z->running[--z->n_running];
	}
	for (i = 0; i < INSTANCES; i++) {
		for (k = 0; k < 6 && z->inst[i].p != NULL; k++) {
			static const unsigned classes[] = {FX_LOOKUPS, FX_BOOKINGS, FX_UPLOADS};
			struct cs_policy_request req = fx_request(classes[cs_rng_below(&z->rng, 3)],
								  cs_rng_next(&z->rng), z->now);
			struct running_request *r = &z->running[z->n_running];

			cs_policy_decide(z->inst[i].p, &req, z->now, &d);
			cs_policy_dequeue(z->inst[i].p, &req);
			if (d.verdict != CS_VERDICT_SEND)
				continue;
			g_assert_cmpuint(z->n_running, <, RUNNING_MAX - 1);
			r->p = z->inst[i].p;
			r->owner = i;
			r->target = d.u.send.target;
			r->server = (unsigned)atoi(cs_target_name(r->target) + 2);
			r->class_index = req.class_index;
			r->start_us = z->now;
			r->end_us = z->now + 100 * MS + cs_rng_below(&z->rng, 2900) * MS;
			z->n_running++;
			z->sent++;
		}
	}
	for (k = 0; k < z->n_running; k++)
		n[z->running[k].server]++;
	for (k = 0; k < SERVERS; k++) {
		total += n[k];
		if (n[k] > z->slots)
			z->over_slots++;
	}
	if (total > z->peak_running)
		z->peak_running = total;
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
	listing_add(z, 0x7, 0x7, 2);
	for (i = 0; i < 3; i++)
		instance_start(z, i);
	for (step = 0; step < 2400; step++) {
		z->now += STEP;
		random_events(z);
		advance_views(z);
		simulate_requests(z);
	}
	for (i = 0; i < INSTANCES; i++)
		if (z->inst[i].p != NULL)
			instance_crash(z, i);
	for (i = 0; i < REVISIONS_MAX; i++)
		cs_config_unref(z->configs[i]);
}

static uint64_t first_seed(void)
{
	const char *s = g_getenv("SEED");

	return s != NULL ? strtoull(s, NULL, 10) : 1;
}

/*
 * Guards against more requests at a server than it has slots, over all instances and at any time,
 * while the instances divide the slots by different lists.
 */
static void test_slots_never_exceeded(void)
{
	static const unsigned slots[] = {1, 2, 6, 9, 40};
	struct zone *z = g_new0(struct zone, 1);
	uint64_t seed = first_seed(), last = seed + SEEDS;
	unsigned sent = 0;

	for (; seed < last; seed++) {
		unsigned n = slots[seed % G_N_ELEMENTS(slots)];

		run(seed, n, seed % 2, z);
		if (z->over_slots > 0)
			g_error("seed %" G_GUINT64_FORMAT
				": slot limit exceeded %u times with %u slots",
				seed, z->over_slots, n);
		sent += z->sent;
	}
	/*
	 * The first 25 seeds sent 23375 requests. The number is not checked, although a policy that
	 * sends nothing would also stay within the limit.
	 */
	g_free(z);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/share/slots-never-exceeded", test_slots_never_exceeded);
	return g_test_run();
}
