/*
 * Distribution of reports and digests. With a full mesh of reports, or with one instance that
 * forwards to all others, the traffic of an instance grows with the fleet and saturates small
 * links. In a large fleet an instance reports only to the two roots of its zone. Each root sends a
 * digest of the zone to the roots of the other zones, and digests pass down a tree in the zone, so
 * that an instance sends about as much as it receives. Either root alone keeps the zone informed,
 * at half the rate.
 */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* Largest fleet in which every instance reports to every other. */
#define FULL_MESH_MAX 16
/*
 * After this time without a message from the zone both roots may have failed: reports go to
 * the whole zone, so that the instances find each other and the new roots.
 */
#define ZONE_SILENCE_US (700 * CS_US_PER_MS)
/* Interval between a root's digests to the zones of its region; the two roots alternate. */
#define REGION_DIGEST_MIN_US (300 * CS_US_PER_MS)
#define REGION_DIGEST_MAX_US (1500 * CS_US_PER_MS)
/*
 * Interval between a root's digests to zones of other regions. It is longer, because few requests
 * go to other regions.
 */
#define REMOTE_DIGEST_MIN_US (800 * CS_US_PER_MS)
#define REMOTE_DIGEST_MAX_US (4 * CS_US_PER_S)
/* If a zone's roots are unknown, its instances take turns of this length to receive digests. */
#define ROTATION_US (250 * CS_US_PER_MS)
/* Bytes of digests that an instance receives per second; it forwards as many. */
#define REGION_DIGEST_BYTES_PER_S 12000.0
#define REMOTE_DIGEST_BYTES_PER_S 10000.0
/* Digests for other regions include no rows if those regions have more zones than this. */
#define REMOTE_ROWS_ZONES_MAX 12
/* Instances of one zone that are ranked. */
#define ORDER_MAX 512

/* The instances of this zone by rank; the name of this instance is NULL. */
struct zone_order {
	struct ranked {
		uint64_t weight;
		const char *name;
	} ranked[ORDER_MAX];
	unsigned n;
};

bool cs_steer_is_large_fleet(const struct cs_steer *s)
{
	return s->n_members + 1 > FULL_MESH_MAX;
}

static int ranked_cmp(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	if (x->weight != y->weight)
		return x->weight > y->weight ? -1 : 1;
	return 0;
}

static void zone_order_build(const struct cs_steer *s, struct zone_order *o)
{
	const struct member *m;

	o->n = 1;
	o->ranked[0] = (struct ranked){member_rank_weight(s->name_hash), NULL};
	TAILQ_FOREACH(m, &s->members, entry)
		if (o->n < ORDER_MAX && member_is_ranked(s, m))
			o->ranked[o->n++] =
				(struct ranked){member_rank_weight(m->name_hash), m->info.name};
	qsort(o->ranked, o->n, sizeof(o->ranked[0]), ranked_cmp);
}

enum distance { OWN_ZONE, OWN_REGION, ANYWHERE };

static bool is_within(const struct cs_steer *s, const struct member *m, enum distance d)
{
	switch (d) {
	case OWN_ZONE:
		return m->zone == s->zone;
	case OWN_REGION:
		return m->region == s->region;
	case ANYWHERE:
		break;
	}
	return true;
}

/* Stores the names of the other instances within a distance. */
static unsigned list_names(const struct cs_steer *s, enum distance d, const char *out[],
			   unsigned max)
{
	const struct member *m;
	unsigned n = 0;

	TAILQ_FOREACH(m, &s->members, entry)
		if (n < max && is_within(s, m, d))
			out[n++] = m->info.name;
	return n;
}

unsigned cs_steer_report_targets(const struct cs_steer *s, uint64_t now_us, const char *out[],
				 unsigned max)
{
	struct zone_order o;
	unsigned i, n = 0;

	if (!cs_steer_is_large_fleet(s))
		return list_names(s, ANYWHERE, out, max);
	if (now_us - s->zone_last_seen_us > ZONE_SILENCE_US)
		return list_names(s, OWN_ZONE, out, max);
	zone_order_build(s, &o);
	for (i = 0; i < o.n && i < CS_ROOTS_PER_ZONE; i++)
		if (o.ranked[i].name != NULL && n < max)
			out[n++] = o.ranked[i].name;
	return n;
}

unsigned cs_steer_urgent_targets(const struct cs_steer *s, const char *out[], unsigned max)
{
	const struct member *m;
	unsigned n = list_names(s, OWN_REGION, out, max);

	TAILQ_FOREACH(m, &s->members, entry)
		if (n < max && m->region != s->region)
			out[n++] = m->info.name;
	return n;
}

static bool in_scope(const struct cs_steer *s, unsigned zone, enum cs_digest_scope scope)
{
	switch (scope) {
	case CS_DIGEST_REGION:
		return s->zone_region[zone] == s->region;
	case CS_DIGEST_REMOTE:
		return s->zone_region[zone] != s->region;
	}
	return false;
}

/* The instances of a zone that may be its roots. */
struct candidates {
	const struct member *first[CS_ROOTS_PER_ZONE]; /* by rank */
	const struct member *rotated; /* chosen by rotation; NULL if the roots are known */
	unsigned n; /* instances considered for rotated so far */
};

/* Inserts an instance among the highest-ranked ones of its zone. */
static void insert_top_ranked(const struct member *first[], const struct member *m)
{
	if (first[0] == NULL ||
	    member_rank_weight(m->name_hash) > member_rank_weight(first[0]->name_hash)) {
		first[1] = first[0];
		first[0] = m;
	} else if (first[1] == NULL ||
		   member_rank_weight(m->name_hash) > member_rank_weight(first[1]->name_hash)) {
		first[1] = m;
	}
}

/*
 * Instance of a zone that receives the digest of this root. Without a recent digest from the zone,
 * its roots are unknown and may have failed: its instances then receive digests in turn and forward
 * them to their root.
 */
static const struct member *digest_target(const struct candidates *c, unsigned root_index)
{
	if (c->rotated != NULL)
		return c->rotated;
	return root_index > 0 && c->first[1] != NULL ? c->first[1] : c->first[0];
}

static void add_candidate(const struct cs_steer *s, const struct member *m, uint64_t now_us,
			  struct candidates *c)
{
	const struct zone_digest *d = s->digests[m->zone];

	if (!digest_is_recent(s, m->zone, now_us)) {
		c->n++;
		if (cs_hash(&m->name_hash, sizeof(m->name_hash), now_us / ROTATION_US) % c->n == 0)
			c->rotated = m;
	} else if (digest_lists_ready(&d->report, m->name_hash)) {
		insert_top_ranked(c->first, m);
	}
}

unsigned cs_steer_digest_targets(const struct cs_steer *s, unsigned root_index,
				 enum cs_digest_scope scope, uint64_t now_us, const char *out[],
				 unsigned max)
{
	struct candidates zones[CS_ZONES_MAX] = {{.n = 0}};
	const struct member *m;
	unsigned i, n = 0;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->zone != s->zone && in_scope(s, m->zone, scope))
			add_candidate(s, m, now_us, &zones[m->zone]);
	for (i = 0; i < s->n_zones && n < max; i++) {
		m = digest_target(&zones[i], root_index);
		if (m != NULL)
			out[n++] = m->info.name;
	}
	return n;
}

/*
 * Position in the tree of the instance with rank i: the root of this tree is at 0, the others
 * follow by rank, rotated by seq.
 */
static unsigned tree_position(const struct zone_order *o, unsigned root, uint64_t seq, unsigned i)
{
	unsigned others = o->n - 1;

	if (i == root)
		return 0;
	if (i > root)
		i--;
	return 1 + (i + others - (unsigned)(seq % others)) % others;
}

/* Rank of the instance at a position of the tree. */
static unsigned tree_rank(const struct zone_order *o, unsigned root, uint64_t seq,
			  unsigned position)
{
	unsigned i, others = o->n - 1;

	if (position == 0)
		return root;
	i = (position - 1 + (unsigned)(seq % others)) % others;
	return i >= root ? i + 1 : i;
}

unsigned cs_steer_forward_targets(const struct cs_steer *s, unsigned root_index, uint64_t seq,
				  bool entry, const char *out[CS_FORWARD_FANOUT])
{
	unsigned self, root, position, k, n = 0;
	struct zone_order o;

	zone_order_build(s, &o);
	if (o.n < 2)
		return 0;
	root = root_index < o.n ? root_index : 0;
	for (self = 0; o.ranked[self].name != NULL; self++)
		;
	if (entry && self != root) {
		out[0] = o.ranked[root].name;
		return 1;
	}
	position = tree_position(&o, root, seq, self);
	for (k = 1; k <= CS_FORWARD_FANOUT && position * CS_FORWARD_FANOUT + k < o.n; k++)
		out[n++] =
			o.ranked[tree_rank(&o, root, seq, position * CS_FORWARD_FANOUT + k)].name;
	return n;
}

/* Number of zones in scope, this one included. */
static unsigned count_zones(const struct cs_steer *s, enum cs_digest_scope scope)
{
	unsigned i, n = 0;

	for (i = 0; i < s->n_zones; i++)
		n += in_scope(s, i, scope);
	return n;
}

bool fanout_remote_rows(const struct cs_steer *s)
{
	return count_zones(s, CS_DIGEST_REMOTE) <= REMOTE_ROWS_ZONES_MAX;
}

static uint64_t clamp_us(double us, uint64_t min_us, uint64_t max_us)
{
	if (us < (double)min_us)
		return min_us;
	return us > (double)max_us ? max_us : (uint64_t)us;
}

uint64_t cs_steer_digest_period_us(const struct cs_steer *s, enum cs_digest_scope scope,
				   size_t bytes)
{
	double all = (double)bytes * count_zones(s, scope) * CS_ROOTS_PER_ZONE * CS_US_PER_S;

	switch (scope) {
	case CS_DIGEST_REGION:
		return clamp_us(all / REGION_DIGEST_BYTES_PER_S, REGION_DIGEST_MIN_US,
				REGION_DIGEST_MAX_US);
	case CS_DIGEST_REMOTE:
		return clamp_us(all / REMOTE_DIGEST_BYTES_PER_S, REMOTE_DIGEST_MIN_US,
				REMOTE_DIGEST_MAX_US);
	}
	return REMOTE_DIGEST_MAX_US;
}
