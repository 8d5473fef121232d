/*
 * link: a daemon's connection to the agent of its instance. The daemon sends a report every 250 ms;
 * the agent sends snapshots of its view of the deployment when it changes. If the agent is not
 * connected, the last view remains in use.
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

/* State of a server as observed by this daemon, if it differs from the view. */
struct cs_report_server {
	char server[CS_NAME_MAX];
	enum cs_server_state state;
};

struct cs_report {
	enum cs_link_kind kind;
	bool ready; /* accepts requests */
	bool stopping; /* planned stop has begun */
	uint64_t roster; /* result of cs_policy_roster(); 0 from lookupd */
	uint64_t revision; /* of the configuration in use in this daemon */
	struct cs_report_load *loads;
	unsigned n_loads;
	struct cs_report_server *servers;
	unsigned n_servers;
};

struct cs_link;
/* Called with each new view, which is valid during the call. */
typedef void (*cs_link_view_cb)(const struct cs_view *v, void *arg);
/* Called before each report to fill it; its arrays must stay valid until the next call. */
typedef void (*cs_link_report_cb)(struct cs_report *r, void *arg);

/*
 * endpoint is, for example, tcp://127.0.0.1:7003; source is the source IP or NULL. Returns NULL and
 * sets msg if the endpoint is malformed or the socket cannot be created.
 */
struct cs_link *cs_link_create(struct ev_loop *loop, struct cs_timers *ts, const char *endpoint,
			       const char *source, enum cs_link_kind kind, cs_link_view_cb on_view,
			       cs_link_report_cb on_report, void *arg, struct cs_msg *msg);
void cs_link_destroy(struct cs_link *l);
/* Sends a report immediately, for example at the start of a planned stop. */
void cs_link_send_report(struct cs_link *l);
/* Time since the last snapshot from the agent in us; UINT64_MAX if there was none. */
uint64_t cs_link_snapshot_age_us(const struct cs_link *l);

#endif
