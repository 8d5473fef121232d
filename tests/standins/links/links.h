/*
 * standin-links: TCP relay that simulates the network between zones. Each listener forwards to an
 * upstream address. Delay, bandwidth limit, cut and black hole are set for each pair of source and
 * destination zone. The source zone is derived from the client's address, which the relay also
 * uses as the source address of its upstream connection.
 */
#ifndef STANDIN_LINKS_H
#define STANDIN_LINKS_H

#include <jansson.h>

#include "http/http.h"

#define ZONE_NAME_SIZE 49
#define ZONES_MAX 128

/* Cut: connections are reset. Black hole: data is held back until the mode changes. */
enum mode { MODE_OK, MODE_CUT, MODE_BLACK_HOLE };

/* Network conditions from one zone to another. */
struct zone_pair {
	enum mode mode;
	uint64_t delay_us;
	struct link *link; /* bandwidth limit; NULL: unlimited */
	bool copies; /* the last response on a connection is sent again before the next one */
};

/* Bandwidth limit shared by several zone pairs; data is sent in order of arrival. */
struct link {
	LIST_ENTRY(link) entry;
	char name[ZONE_NAME_SIZE * 2];
	double bytes_per_us;
	uint64_t idle_at_us; /* when all accepted data has been sent */
};

struct listener {
	TAILQ_ENTRY(listener) entry;
	char addr[46], upstream_addr[46];
	uint16_t port, upstream_port;
	unsigned zone;
	int fd;
	ev_io io;
	/* Probe of the upstream, used while the listener is closed because the upstream refuses. */
	struct cs_timer probe_timer;
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
/* Zone of a source address by its longest matching prefix. */
unsigned zone_of(const char *addr);
struct zone_pair *pair_get(unsigned from, unsigned to);
/* Returns the delivery time of len bytes that arrive now and reserves the link for them. */
uint64_t pair_due_us(struct zone_pair *p, uint64_t now, size_t len);
/* Applies the query of a control request; returns the number of pairs that it selects. */
unsigned pairs_set(struct cs_http_req *req);

/* relay.c */
bool relay_start(struct cs_msg *msg);
/* Resets, stops or resumes connections after a change of modes. */
void relay_apply(void);
unsigned relay_connections(void);

/* Opens the log of clients whose connection the upstream refused; no log if path is empty. */
bool relay_log_open(const char *path, struct cs_msg *msg);

/* control.c */
bool control_start(const char *addr, uint16_t port, struct cs_msg *msg);

#endif
