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

/* Adds an instance to the candidates of a slot, the best one first. */
static void ranking_add(const char *names[], uint64_t weights[], const char *name, uint64_t weight)
{
	unsigned i, k;

	for (i = 0; i < CS_QUOTA_CANDIDATES; i++)
		if (names[i] == NULL || weight > weights[i])
			break;
	if (i == CS_QUOTA_CANDIDATES)
		return;
	for (k = CS_QUOTA_CANDIDATES - 1; k > i; k--) {
		names[k] = names[k - 1];
		weights[k] = weights[k - 1];
	}
	names[i] = name;
	weights[i] = weight;
}

static bool may_keep(const struct cs_steer *s, const struct member *m, uint64_t now_us)
{
	return m->info.ready && !m->info.leaving && member_is_alive(s, m, now_us);
}

/* Adds an instance to the candidates of its zone. */
static void add_candidate(struct cs_quota_zone *zone, uint64_t weight[][CS_QUOTA_CANDIDATES],
			  const char *name, uint32_t name_hash)
{
	unsigned slot;

	for (slot = 0; slot < CS_QUOTA_SLOTS; slot++)
		ranking_add(zone->keepers[slot], weight[slot], name,
			    keeper_weight(name_hash, slot));
}

/* Finds the candidates of all zones in one pass over the members. */
static void find_candidates(const struct cs_steer *s, uint64_t now_us, struct cs_quota_zone *zones)
{
	static uint64_t weight[CS_ZONES_MAX][CS_QUOTA_SLOTS][CS_QUOTA_CANDIDATES];
	const struct member *m;

	memset(zones, 0, s->n_zones * sizeof(*zones));
	if (!s->leaving)
		add_candidate(&zones[s->zone], weight[s->zone], s->opts.instance, s->name_hash);
	TAILQ_FOREACH(m, &s->members, entry)
		if (may_keep(s, m, now_us))
			add_candidate(&zones[m->zone], weight[m->zone], m->info.name, m->name_hash);
}

unsigned cs_steer_quota_keepers(const struct cs_steer *s, uint64_t now_us,
				struct cs_quota_zone *own, struct cs_quota_zone others[],
				unsigned max)
{
	static struct cs_quota_zone zones[CS_ZONES_MAX];
	unsigned pass, i, zone, n = 0;

	find_candidates(s, now_us, zones);
	*own = zones[s->zone];
	for (pass = 0; pass < 2; pass++)
		for (i = 1; i < s->n_zones && n < max; i++) {
			zone = (s->zone + i) % s->n_zones;
			if ((s->zone_region[zone] == s->region) != (pass == 0) ||
			    zones[zone].keepers[0][0] == NULL)
				continue;
			others[n++] = zones[zone];
		}
	return n;
}
