/*
 * standin-links: TCP relay between zones. Each listed address forwards to a real one; delay, rate
 * limit, cut and black hole are set for each pair of source and target zone. The source zone
 * follows from the caller's address, which the relay also uses as its own source address.
 */
#ifndef STANDIN_LINKS_H
#define STANDIN_LINKS_H

#include <jansson.h>

#include "http/http.h"

#define ZONE_NAME 49
#define ZONES_MAX 128

enum mode { MODE_OK, MODE_CUT, MODE_HOLE };

/* What happens to data from one zone to another. */
struct pair {
	enum mode mode;
	uint64_t delay_us;
	struct link *link; /* shared bandwidth, or NULL */
};

/* Bandwidth shared by several pairs; data is sent in order of arrival. */
struct link {
	LIST_ENTRY(link) entry;
	char name[ZONE_NAME * 2];
	double bytes_us;
	uint64_t free_us; /* when all accepted data has passed */
};

struct listener {
	TAILQ_ENTRY(listener) entry;
	char addr[46], to_addr[46];
	uint16_t port, to_port;
	unsigned zone;
	int fd;
	ev_io io;
	struct cs_timer probe; /* while closed because the real address refuses */
	int probe_fd;
	ev_io probe_io;
	uint64_t connections, bytes_to, bytes_from;
};
TAILQ_HEAD(listener_list, listener);

extern struct ev_loop *loop;
extern struct cs_timers *timers;
extern struct listener_list listeners;

/* zones.c */
bool zones_load(json_t *doc, struct cs_msg *msg);
/* Index of a zone; unknown names are added. */
unsigned zone_index(const char *name);
const char *zone_name(unsigned zone);
/* Zone of a source address by its longest prefix in the list. */
unsigned zone_of(const char *addr);
struct pair *pair_get(unsigned from, unsigned to);
/* Time at which data of this size that arrives now is delivered. */
uint64_t pair_due(struct pair *p, uint64_t now, size_t len);
/* Applies the query of a control request; returns the number of pairs. */
unsigned pairs_set(struct cs_http_req *req);

/* relay.c */
bool relay_start(struct cs_msg *msg);
/* Resets, stops or resumes connections after the modes changed. */
void relay_apply(void);
unsigned relay_open(void);

/* Writes a fact line for each caller whose connection the real address refused. */
bool relay_log(const char *path, struct cs_msg *msg);

/* control.c */
bool control_start(const char *addr, uint16_t port, struct cs_msg *msg);

#endif
