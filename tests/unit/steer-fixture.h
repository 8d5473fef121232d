/* Small deployment for tests of lib/steer: three regions with two zones each, one service. */
#ifndef STEER_FIXTURE_H
#define STEER_FIXTURE_H

#include <glib.h>

#include "steer/steer.h"

#define MS(n) ((uint64_t)(n)*CS_US_PER_MS)

/* Steering state of the instance name in zone; zones a1 a2 in ra, b1 b2 in rb, c1 c2 in rc. */
struct cs_steer *fixture_create(const char *name, const char *zone, uint64_t now);
/* The same with another seed of random decisions. */
struct cs_steer *fixture_create_seeded(const char *name, const char *zone, uint64_t seed,
				       uint64_t now);
/* Document with one sticky route "/x/" to service "s"; home: its home region, or NULL. */
struct cs_document *fixture_document(uint64_t version, const char *home);
/* Adds a server of service "s" with 4 slots; cold_ms: time for which it still counts as cold. */
void fixture_add_server(struct cs_steer *s, const char *id, const char *zone, unsigned cold_ms,
			uint64_t now);
/* An entry of the server s1 in zone a1 that is ready and warm. */
struct cs_server_entry fixture_make_entry(int64_t started_ms, int64_t sequence);
/* True if a request is sent to a server; it ends at once. */
bool fixture_sends(struct cs_steer *s, uint64_t now);
/* Initialises a request on the first route; object: hash of its affinity key, 0 if none. */
void fixture_init_request(struct cs_steer *s, struct cs_steer_request *req, uint64_t object,
			  uint64_t now);
/* Adds another instance and handles a first report from it. */
void fixture_add_member(struct cs_steer *s, const char *name, const char *zone, uint64_t now);
/* Ticks every 50 ms from *now to until and advances *now. */
void fixture_run(struct cs_steer *s, uint64_t *now, uint64_t until);

#endif
