/* Views and configurations for the tests and the benchmark of lib/policy. */
#ifndef CS_TESTS_POLICY_FIXTURE_H
#define CS_TESTS_POLICY_FIXTURE_H

#include "policy/policy.h"

/* Parameters of a configuration; 0 selects the default in brackets. */
struct fx_shape {
	unsigned regions; /* (2) */
	unsigned zones; /* per region (2); named z-REGION-N */
	unsigned slots; /* per server (9) */
	unsigned timeout_ms; /* of each class (3000) */
	unsigned headroom_pct; /* (20) */
	double cap_pct_s; /* (5) */
	unsigned revision; /* (1) */
	unsigned blocks; /* client address blocks, assigned round-robin (one per zone) */
	bool no_bulk; /* leave out the class uploads */
	const char *drains; /* JSON objects of "drains", or NULL */
};

/* Class indexes. FX_PHOTOS belongs to the service files, the others to the service web. */
enum { FX_LOOKUPS, FX_BOOKINGS, FX_PHOTOS, FX_UPLOADS };

struct cs_config *fx_config(const struct fx_shape *shape);
/* Creates a view that holds only the configuration, which it owns. */
struct cs_view *fx_view(const struct fx_shape *shape);
struct cs_member *fx_member(struct cs_view *v, const char *name, const char *zone);
struct cs_server *fx_server(struct cs_view *v, const char *name, const char *service,
			    const char *zone);
struct cs_zone_load *fx_load(struct cs_view *v, const char *zone, const char *service,
			     unsigned capacity, unsigned in_flight);
/* Creates the policy of an instance in zone z-0-0 that chooses servers by CS_CHOICE_LEAST. */
struct cs_policy *fx_policy(const char *instance, uint64_t seed);
/* Makes a request that arrives at now_us and has its deadline 3 s later. */
struct cs_policy_request fx_request(unsigned class_index, uint64_t hash, uint64_t now_us);
/*
 * Has all members of z-0-0 announce the same roster (set of instances that slots are divided among)
 * as p, both to p and in v, so that p may use its share at once.
 */
void fx_announce_roster(struct cs_policy *p, struct cs_view *v, uint64_t now_us);

#endif
