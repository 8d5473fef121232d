/* agentd: the I/O modules of the agent process around the protocol core (core.h). */
#ifndef CS_AGENTD_H
#define CS_AGENTD_H

#include "base/base.h"
#include "bus/bus.h"
#include "core.h"
#include "http/http.h"
#include "store/store.h"

struct agent {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct cs_bus *bus;
	struct cs_metrics *metrics;
	struct core *core;
	struct mesh *mesh;
	struct daemon_links *daemons;
	struct store_watch *store_watch;
	struct health *health;
	struct admin *admin;
	const struct cs_setting *settings;
	const char *instance, *zone, *address;
	uint64_t incarnation;
	uint64_t started_us;
	bool stopping;
};

/* Sends the messages queued by the core; call after each event passed to it. */
void agent_flush(struct agent *a);

/* Peer agents: a listener, and one outgoing connection per peer address. */
struct mesh *mesh_create(struct agent *a, uint16_t port, struct cs_msg *msg);
void mesh_destroy(struct mesh *m);
void mesh_send(struct mesh *m, const struct core_outgoing *s);
unsigned mesh_connections(const struct mesh *m);
/* Number and total size of the messages received from peers. */
void mesh_received(const struct mesh *m, uint64_t *messages, uint64_t *bytes);

/* Connections of the lookup and proxy daemons of this instance. */
struct daemon_links *daemon_links_create(struct agent *a, uint16_t port, struct cs_msg *msg);
void daemon_links_destroy(struct daemon_links *d);
/* Sends a snapshot to each live daemon whose view is out of date. */
void daemon_links_push(struct daemon_links *d);
/* Counts the daemons that reported within the last second; stopping is set if one of them is. */
unsigned daemon_links_count_alive(const struct daemon_links *d, bool *stopping);

/* Long polls of the platform's store, active while this instance is a watcher. */
struct store_watch *store_watch_create(struct agent *a, const char *url, struct cs_msg *msg);
void store_watch_destroy(struct store_watch *w);
/* Starts or stops polls according to core_is_watcher and the configured services. */
void store_watch_update(struct store_watch *w);
const struct cs_store *store_watch_get_store(const struct store_watch *w);

/* Health checks of the backend servers. */
struct health *health_create(struct agent *a);
void health_destroy(struct health *h);

/* Admin HTTP endpoint. */
struct admin *admin_create(struct agent *a, uint16_t port, struct cs_msg *msg);
void admin_destroy(struct admin *ad);

#endif
