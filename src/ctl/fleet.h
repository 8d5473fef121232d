/* The deployment's instances and what they say of themselves. */
#ifndef CS_CTL_FLEET_H
#define CS_CTL_FLEET_H

#include "src/ctl/ctl.h"

enum {
	FLEET_AGENT = 1,
	FLEET_LOOKUP = 2,
	FLEET_PROXY = 4,
	FLEET_METRICS = 8, /* text of the proxy's metrics */
	FLEET_ONE_A_ZONE = 16 /* ask one answering agent of each zone only */
};

struct ctl_instance {
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	char listed[16]; /* "live", "leaving", or "" if not listed */
	uint16_t lookup_port, proxy_port, bus_port, admin_port;
	json_t *agent, *lookup, *proxy; /* states; NULL without an answer */
	char *metrics;
};

struct ctl_fleet {
	struct ctl_instance *list; /* sorted by zone, then name */
	unsigned n;
	bool from_store; /* false: from --instance */
};

/*
 * Reads the list of instances from the store or, in an outage, from --instance, and asks them.
 * Returns an exit code after it printed the error.
 */
int ctl_fleet_load(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet);
/* Asks the instances again; earlier answers are dropped. */
void ctl_fleet_ask(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet);
void ctl_fleet_free(struct ctl_fleet *fleet);
/*
 * View merged from the agents' states: members, loads and servers, the newest of each. It holds a
 * reference to cfg, which may be NULL.
 */
struct cs_view *ctl_fleet_view(const struct ctl_fleet *fleet, struct cs_config *cfg);
/* Load of a service in a zone, or NULL. */
const struct cs_zone_load *ctl_load(const struct cs_view *v, const char *zone, const char *service);
/* URL of a path of an instance; free() it. */
char *ctl_url(const struct ctl_instance *in, uint16_t port, const char *path);
/* Part of a duration in ms as text: "250 ms", "12 s", "3 min". */
const char *ctl_age(int64_t ms, char buf[24]);

#endif
