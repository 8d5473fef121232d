/* Internal declarations of cassia-lookupd. */
#ifndef CS_LOOKUPD_H
#define CS_LOOKUPD_H

#include "http/http.h"
#include "link/link.h"
#include "policy/policy.h"

/*
 * Steering state: the view in force, the plan computed from it, and the JSON fragments that lookup
 * responses are assembled from.
 */
struct steer;
struct steer *steer_create(struct cs_timers *ts);
void steer_destroy(struct steer *s);
/*
 * Replaces the view, but keeps the current configuration if the new one is missing, older, or
 * different at the same revision. Ignored while no configuration is known.
 */
void steer_update(struct steer *s, const struct cs_view *v);
/* View in force, or NULL until a view with a configuration has arrived. */
const struct cs_view *steer_view(const struct steer *s);
const struct cs_plan *steer_plan(const struct steer *s);
/* Number of plans computed so far. */
uint64_t steer_plan_count(const struct steer *s);
/* Beginning of the response for a class, up to the opening bracket of its entries. */
const char *steer_response_prefix(const struct steer *s, unsigned class_index, size_t *len);
/* Response entry for a member of the plan; NULL if the view has no member of that name. */
const char *steer_response_entry(const struct steer *s, const struct cs_member *m, size_t *len);

struct lookupd {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_httpd *httpd;
	struct cs_link *link;
	struct cs_metrics *metrics;
	struct steer *steer;
	const char *instance;
	const char *zone;
	bool stopping;
	uint64_t **class_lookups; /* lookup counters, by class index */
	unsigned n_class_lookups;
	uint64_t class_lookups_revision; /* configuration revision that class_lookups belongs to */
	/* Counters of refused lookups, by reason. */
	uint64_t *not_ready;
	uint64_t *unknown_class;
	uint64_t *malformed;
	uint64_t *no_instance;
	struct cs_hist *lookup_us;
};

/* GET /v1/lookup */
void handle_lookup(struct lookupd *d, struct cs_http_req *req);
/* GET /v1/locate: the decision of a lookup with its reasons, for operators */
void handle_locate(struct lookupd *d, struct cs_http_req *req);
/* Responds with {"error":code,"message":message}. */
void send_error(struct cs_http_req *req, unsigned status, const char *code, const char *message);

/* Handles /healthz, /readyz, /metrics, /v1/state and /v1/config; false for any other path. */
bool admin_handle(struct lookupd *d, struct cs_http_req *req);

#endif
