/*
 * standin-zones: simulates a large deployment around a few real agents in one process. Zone 0 has
 * the real agents; its other members are complete agent cores with sockets. Each other zone has the
 * cores of its two relays, which get the heartbeats of the zone's other members directly.
 */
#ifndef STANDIN_ZONES_H
#define STANDIN_ZONES_H

#include "src/agentd/agentd.h"

#define REAL_AGENTS_MAX 4
#define MEMBERS_MAX 64
#define SERVERS_PER_SERVICE 3

struct deployment {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct cs_bus *bus;
	struct cs_rng rng;
	const char *net; /* first two octets of all addresses, 127.N */
	const char *store; /* URL http://IP:PORT */
	unsigned zones, own_members, other_members, services;
	unsigned real_members[REAL_AGENTS_MAX]; /* member numbers of the real agents in zone 0 */
	unsigned n_real;
	struct node *nodes;
	unsigned n_nodes;
	uint64_t incarnation;
	double load; /* fraction of the slots in use */
};

/* Agent core with sockets. */
struct node {
	struct deployment *deployment;
	struct agent agent;
	unsigned zone;
	char name[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	struct cs_timer tick, report, heartbeats;
	uint64_t sequence; /* of the simulated heartbeats */
};

void deployment_zone_name(unsigned zone, char *out, size_t size);
void deployment_member_name(unsigned zone, unsigned member, char *out, size_t size);
void deployment_member_addr(const struct deployment *d, unsigned zone, unsigned member, char *out,
			    size_t size);
/* Member numbers of a zone in the order in which they become relays. */
void deployment_rank_members(unsigned zone, unsigned members, unsigned *out);
unsigned deployment_member_count(const struct deployment *d, unsigned zone);
/* Fills in the simulated load of one member for all services. */
void deployment_member_loads(struct deployment *d, unsigned zone, struct cs_report_load *rows);

/* Configuration document; the caller frees it. */
char *deployment_document(const struct deployment *d, unsigned revision);
/* Registers instances and servers, writes the configuration document, then calls done. */
void setup_start(struct deployment *d, void (*done)(struct deployment *d));

void nodes_start(struct deployment *d);
void nodes_stop(struct deployment *d);

#endif
