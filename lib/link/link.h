/*
 * link: a daemon's connection to the agent of its instance. Reports go out every 250 ms; a view
 * comes in when it changed. The last view stays valid while the agent is away.
 */
#ifndef CS_LINK_H
#define CS_LINK_H

#include "model/model.h"

enum cs_link_kind { CS_LINK_PROXY, CS_LINK_LOOKUP };

/* Load of one service at this instance. */
struct cs_report_load {
	char service[CS_NAME_MAX];
	unsigned capacity, in_flight, waiting, foreign, service_us;
	bool out_of_target;
};

/* First-hand state of a server that differs from the view. */
struct cs_report_server {
	char server[CS_NAME_MAX];
	enum cs_server_state state;
};

struct cs_report {
	enum cs_link_kind kind;
	bool ready; /* takes requests */
	bool stopping; /* planned stop has begun */
	uint64_t roster; /* cs_policy_roster; 0 for lookup */
	uint64_t revision; /* in force in this daemon */
	struct cs_report_load *loads;
	unsigned n_loads;
	struct cs_report_server *servers;
	unsigned n_servers;
};

struct cs_link;
/* Called with each new view, valid during the call. */
typedef void (*cs_link_view_cb)(const struct cs_view *v, void *arg);
/* Called before each report; fills the arrays, which must stay valid until the next call. */
typedef void (*cs_link_report_cb)(struct cs_report *r, void *arg);

/* endpoint as tcp://127.0.0.1:7003; source is the source IP. NULL and a message if malformed. */
struct cs_link *cs_link_create(struct ev_loop *loop, struct cs_timers *ts, const char *endpoint,
			       const char *source, enum cs_link_kind kind, cs_link_view_cb on_view,
			       cs_link_report_cb on_report, void *arg, struct cs_msg *msg);
void cs_link_destroy(struct cs_link *l);
/* Sends a report at once, as at the start of a planned stop. */
void cs_link_report_now(struct cs_link *l);
/* Time since the agent was last heard, in us; UINT64_MAX if never. */
uint64_t cs_link_silent_us(const struct cs_link *l);

#endif
