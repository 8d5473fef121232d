/* The instances of the deployment and the state that their daemons report. */
#ifndef CS_CTL_FLEET_H
#define CS_CTL_FLEET_H

#include "src/ctl/ctl.h"

enum {
	FLEET_AGENT = 1,
	FLEET_LOOKUP = 2,
	FLEET_PROXY = 4,
	FLEET_METRICS = 8, /* the proxy's metrics as text */
	FLEET_ONE_PER_ZONE = 16 /* query agents until one of each zone has responded */
};

struct ctl_instance {
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	char listed[16]; /* "live", "leaving", or "" if not listed */
	uint16_t lookup_port, proxy_port, bus_port, admin_port;
	json_t *agent, *lookup, *proxy; /* reported states; NULL without a response */
	char *metrics; /* NULL without a response */
};

struct ctl_fleet {
	struct ctl_instance *list; /* sorted by zone, then name */
	unsigned n;
	bool from_store; /* false: the list was read from --instance */
};

/*
 * Reads the list of instances from the store, or from --instance if no store is set or it is
 * unavailable, and queries the instances. what: flags of FLEET_*. Prints any error and returns an
 * exit code.
 */
int ctl_fleet_load(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet);
/* Queries the instances again and discards earlier responses. */
void ctl_fleet_query(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet);
void ctl_fleet_free(struct ctl_fleet *fleet);
/*
 * Merges the agents' states into a view with the most recent entry of each member, load and server.
 * The view holds a reference to cfg, which may be NULL.
 */
struct cs_view *ctl_fleet_view(const struct ctl_fleet *fleet, struct cs_config *cfg);
/* Load of a service in a zone; NULL if unknown. */
const struct cs_zone_load *ctl_zone_load(const struct cs_view *v, const char *zone,
					 const char *service);
/* URL of a path at an instance; the caller frees it. */
char *ctl_url(const struct ctl_instance *in, uint16_t port, const char *path);
/* Formats an age in ms as "250 ms", "12 s" or "3 min"; negative: "never". */
const char *ctl_age_text(int64_t ms, char buf[24]);

#endif
