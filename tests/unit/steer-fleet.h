/*
 * Simulated fleet of instances that exchange reports and digests (lib/steer/fanout.c, digest.c). In
 * a large fleet, the instances of a zone report to its roots, two instances that send digests of
 * the zone. Datagrams are encoded by src/node/wire.c and may be lost; otherwise they arrive in the
 * same step.
 */
#ifndef STEER_FLEET_H
#define STEER_FLEET_H

#include "src/node/wire.h"
#include "steer/feed.h"
#include "tests/unit/steer-fixture.h"

#define STEP_US MS(50)
#define ZONES 6
#define FLEET_MAX 302
#define REQUESTS_MAX 16
#define STEPS_PER_S (CS_US_PER_S / STEP_US)
/* Steps and servers for which the requests that fleet_offer sends are counted. */
#define SENDS_STEPS_MAX 1400
#define SENDS_SERVERS_MAX 16

struct instance {
	struct cs_steer *steer;
	char name[CS_NAME_MAX];
	bool dead;
	bool leaving; /* it stops, and reports so */
	bool store_fresh; /* it reaches the store; its reports say so */
	bool has_feed; /* it follows a store by feed, and its reports say so */
	uint64_t paused_until_us; /* it neither runs nor receives anything until then */
	uint64_t boot;
	uint64_t seq;
	uint64_t next_digest_us[2]; /* by scope */
	size_t digest_bytes[2]; /* size of the last digest, by scope */
	size_t sent_bytes;
	struct cs_feed feed;
	struct cs_steer_request requests[REQUESTS_MAX];
};

extern const char *const zone_names[ZONES];
extern struct instance fleet[FLEET_MAX];
extern unsigned n_fleet;
extern struct cs_rng rng;
extern unsigned loss_pct;
/* True if messages from one instance to another are lost; NULL by default and after fleet_create. */
extern bool (*fleet_is_cut)(unsigned from, unsigned to);
extern const char *home_region; /* of all requests; NULL by default */
/* Instances that start read the servers from the store, and may doubt what they read. */
extern bool fleet_reads_store; /* false by default */
extern unsigned server_zones; /* number of zones with servers, the first ones; ZONES by default */
extern uint64_t now;
extern unsigned in_flight[512]; /* requests in flight at each server, as of fleet_create */
/* Requests that fleet_offer sent, by step and server and by instance. */
extern unsigned sends[SENDS_STEPS_MAX][SENDS_SERVERS_MAX];
extern unsigned sends_of[FLEET_MAX];
extern unsigned sends_steps; /* steps since fleet_clear_sends */

/* Creates n instances with the given number of requests in flight each. */
void fleet_create(unsigned n, unsigned servers, unsigned requests);
void fleet_destroy(void);
/* Replaces the process of an instance by a new one, which knows what the store has. */
void fleet_restart(unsigned i);
/* Has an instance stop, which it reports at once; it runs until it is dead or restarted. */
void fleet_leave(unsigned i);
/* Has all running instances send a report, as the messages that wait for one that was paused. */
void fleet_send_reports(void);
/* Has an instance send a report to all. */
void fleet_send_urgent(unsigned i);
/* True if an instance runs: it is neither dead nor paused. */
bool fleet_is_running(unsigned i);
/* Index of the zone of an instance. */
unsigned zone_index(unsigned i);
/* Runs all live instances for a step, at whose end now is STEP_US later. */
void fleet_step(void);
void fleet_run(uint64_t duration_us);
/* Offers requests to an instance; those that it sends end at once. */
void fleet_offer(unsigned i, unsigned n);
void fleet_clear_sends(void);
/* Largest number of requests that a server got within a second between two steps. */
unsigned fleet_most_in_one_second(unsigned server, unsigned from_step, unsigned to_step);

#endif
