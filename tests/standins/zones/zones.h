/*
 * zones: a deployment of the future size around a few real agents, in one process. The own zone's
 * other members are whole cores with sockets; each other zone is the cores of its two relays, fed
 * with the heartbeats of its members.
 */
#ifndef ZONES_H
#define ZONES_H

#include "src/agentd/agentd.h"

#define REAL_MAX 4
#define MEMBERS_MAX 64
#define SERVERS_OF_SERVICE 3

struct world {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct cs_bus *bus;
	struct cs_rng rng;
	const char *net; /* 127.N */
	const char *store; /* http://IP:PORT */
	unsigned zones, own_members, other_members, services;
	unsigned real[REAL_MAX]; /* numbers of the real agents in zone 0, by rank */
	unsigned n_real;
	struct node *nodes;
	unsigned n_nodes;
	uint64_t incarnation;
	double load; /* part of the slots in use now */
};

/* One core with sockets. */
struct node {
	struct world *world;
	struct agent agent;
	unsigned zone;
	char name[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	struct cs_timer tick, report, beats;
	uint64_t sequence;
};

void world_zone(unsigned zone, char *out, size_t size);
void world_name(unsigned zone, unsigned member, char *out, size_t size);
void world_addr(const struct world *w, unsigned zone, unsigned member, char *out, size_t size);
/* Numbers of the members of a zone, best rank first. */
void world_order(unsigned zone, unsigned members, unsigned *out);
/* Members of a zone. */
unsigned world_members(const struct world *w, unsigned zone);
void world_loads(struct world *w, unsigned zone, struct cs_report_load *rows);

/* Configuration document; the caller frees it. */
char *world_document(const struct world *w, unsigned revision);
/* Registers everything and writes the document, then calls done. */
void setup_start(struct world *w, void (*done)(struct world *w));

void nodes_start(struct world *w);
void nodes_stop(struct world *w);

#endif
