/* A small deployment for tests of lib/steer: three regions of two zones, one or two services. */
#ifndef STEER_FIXTURE_H
#define STEER_FIXTURE_H

#include <glib.h>

#include "steer/steer.h"

#define MS(n) ((uint64_t)(n)*CS_US_PER_MS)

/* Zones a1 a2 in ra, b1 b2 in rb, c1 c2 in rc; this instance is NAME in zone. */
struct cs_steer *fixture_create(const char *name, const char *zone, uint64_t now);
/* A document with one sticky route "/x/" to service "s"; homes: region names or NULL. */
struct cs_document *fixture_document(uint64_t version, const char *homes);
/* A ready server of service "s" with 4 slots; cold_ms as in its entry. */
void fixture_server(struct cs_steer *s, const char *id, const char *zone, unsigned cold_ms,
		    uint64_t now);
/* A request on the first route; object 0: none. */
void fixture_ask(struct cs_steer *s, struct cs_steer_request *ask, uint64_t object, uint64_t now);
/* Another instance that is heard. */
void fixture_member(struct cs_steer *s, const char *name, const char *zone, uint64_t now);
/* Runs ticks from *now until then, every 50 ms. */
void fixture_run(struct cs_steer *s, uint64_t *now, uint64_t until);

#endif
