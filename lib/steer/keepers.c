/*
 * The instances that keep tokens for the quotas of workspaces. All instances of a zone compute them
 * alike from the list of instances, by rendezvous hashing for each slot, so that the death of one
 * moves its slot alone.
 */
#include <string.h>

#include "steer/steer-int.h"

static uint64_t keeper_weight(uint32_t name_hash, unsigned slot)
{
	return cs_hash(&name_hash, sizeof(name_hash), 2 + slot);
}

/* Candidates of one slot, the best one first. */
struct ranking {
	uint64_t weight[CS_QUOTA_CANDIDATES];
	const char **names;
};

static void ranking_add(struct ranking *r, const char *name, uint64_t weight)
{
	unsigned i, k;

	for (i = 0; i < CS_QUOTA_CANDIDATES; i++)
		if (r->names[i] == NULL || weight > r->weight[i])
			break;
	if (i == CS_QUOTA_CANDIDATES)
		return;
	for (k = CS_QUOTA_CANDIDATES - 1; k > i; k--) {
		r->names[k] = r->names[k - 1];
		r->weight[k] = r->weight[k - 1];
	}
	r->names[i] = name;
	r->weight[i] = weight;
}

static bool may_keep(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	return m->info.ready && !m->info.leaving && member_is_alive(s, m, now_us);
}

static void zone_keepers(const struct cs_steer *s, unsigned zone, uint64_t now_us,
			 struct cs_quota_zone *out)
{
	const struct member *m;
	struct ranking r;
	unsigned slot;

	memset(out, 0, sizeof(*out));
	for (slot = 0; slot < CS_QUOTA_SLOTS; slot++) {
		r = (struct ranking){.names = out->keepers[slot]};
		if (zone == s->zone && !s->leaving)
			ranking_add(&r, s->opts.instance, keeper_weight(s->name_hash, slot));
		TAILQ_FOREACH(m, &s->members, entry)
			if (m->zone == zone && may_keep(s, m, now_us))
				ranking_add(&r, m->info.name, keeper_weight(m->name_hash, slot));
	}
}

unsigned cs_steer_quota_keepers(const struct cs_steer *s, uint64_t now_us,
				struct cs_quota_zone *own, struct cs_quota_zone others[],
				unsigned max)
{
	unsigned pass, i, zone, n = 0;

	zone_keepers(s, s->zone, now_us, own);
	for (pass = 0; pass < 2; pass++)
		for (i = 1; i < s->n_zones && n < max; i++) {
			zone = (s->zone + i) % s->n_zones;
			if ((s->zone_region[zone] == s->region) != (pass == 0))
				continue;
			zone_keepers(s, zone, now_us, &others[n]);
			n += others[n].keepers[0][0] != NULL;
		}
	return n;
}
