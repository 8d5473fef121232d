/* agentd: the parts of the agent process around its core. */
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
	struct local *local;
	struct watch *watch;
	struct health *health;
	struct admin *admin;
	const struct cs_setting *settings;
	const char *instance, *zone, *address;
	uint64_t incarnation;
	uint64_t started_us;
	bool stopping;
};

/* Sends what the core has queued; call after each event given to it. */
void agent_flush(struct agent *a);

/* Peers: the listener and one connection for each target. */
struct mesh *mesh_create(struct agent *a, uint16_t port, struct cs_msg *msg);
void mesh_destroy(struct mesh *m);
void mesh_send(struct mesh *m, const struct core_send *s);
unsigned mesh_connections(const struct mesh *m);
/* Messages from peers and their bytes. */
void mesh_received(const struct mesh *m, uint64_t *messages, uint64_t *bytes);

/* Daemons of this instance. */
struct local *local_create(struct agent *a, uint16_t port, struct cs_msg *msg);
void local_destroy(struct local *l);
/* Sends snapshots to daemons that lack something. */
void local_push(struct local *l);
/* Daemons that reported within the last second, and whether one of them is stopping. */
unsigned local_alive(const struct local *l, bool *stopping);

/* Store: long polls while this instance is a watcher. */
struct watch *watch_create(struct agent *a, const char *url, struct cs_msg *msg);
void watch_destroy(struct watch *w);
/* Starts or ends the long polls as the core's rank asks. */
void watch_update(struct watch *w);
const struct cs_store *watch_store(const struct watch *w);

/* Polls of the servers' health endpoints. */
struct health *health_create(struct agent *a);
void health_destroy(struct health *h);

/* Admin HTTP. */
struct admin *admin_create(struct agent *a, uint16_t port, struct cs_msg *msg);
void admin_destroy(struct admin *ad);

#endif
