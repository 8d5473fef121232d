/* Views and configurations for the tests and the benchmark of lib/policy. */
#ifndef CS_TESTS_POLICY_FIXTURE_H
#define CS_TESTS_POLICY_FIXTURE_H

#include "policy/policy.h"

/* What differs between tests; 0 takes the value in brackets. */
struct fx_shape {
	unsigned regions; /* (2) */
	unsigned zones; /* of each region (2); named z-REGION-N */
	unsigned slots; /* of each server (9) */
	unsigned timeout_ms; /* of small classes (3000) */
	unsigned headroom_pct; /* (20) */
	double cap_pct_s; /* (5) */
	unsigned revision; /* (1) */
	unsigned blocks; /* client blocks, dealt to the zones in turn (one a zone) */
	bool no_bulk; /* leave out the class uploads */
	const char *drains; /* JSON objects of "drains", or NULL */
};

/* Indexes of the classes: service web, and service files for FX_PHOTOS only. */
enum { FX_LOOKUPS, FX_BOOKINGS, FX_PHOTOS, FX_UPLOADS };

struct cs_config *fx_config(const struct fx_shape *shape);
/* A view with the configuration, which it owns, and nothing else. */
struct cs_view *fx_view(const struct fx_shape *shape);
struct cs_member *fx_member(struct cs_view *v, const char *name, const char *zone);
struct cs_server *fx_server(struct cs_view *v, const char *name, const char *service,
			    const char *zone);
struct cs_zone_load *fx_load(struct cs_view *v, const char *zone, const char *service,
			     unsigned capacity, unsigned in_flight);
/* A policy of an instance in zone z-0-0 with the choice least. */
struct cs_policy *fx_policy(const char *instance, uint64_t seed);
/* A request of a class that arrives now with the class's timeout of 3 s. */
struct cs_policy_request fx_ask(unsigned class_index, uint64_t hash, uint64_t now_us);
/* Tells the policy that all members of the zone name its own roster, and keeps that in the view. */
void fx_agree(struct cs_policy *p, struct cs_view *v, uint64_t now_us);

#endif
