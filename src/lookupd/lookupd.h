/* Shared by the files of cassia-lookupd. */
#ifndef CS_LOOKUPD_H
#define CS_LOOKUPD_H

#include "http/http.h"
#include "link/link.h"
#include "policy/policy.h"

/* View in force, the steering plan made from it, and the parts of answers rendered from both. */
struct steer;
struct steer *steer_create(struct cs_timers *ts);
void steer_destroy(struct steer *s);
/* Takes a view unless it would revert the configuration. */
void steer_update(struct steer *s, const struct cs_view *v);
/* View in force, or NULL before the first with a configuration. */
const struct cs_view *steer_view(const struct steer *s);
const struct cs_plan *steer_plan(const struct steer *s);
/* Number of plans made so far. */
uint64_t steer_plans(const struct steer *s);
/* Start of the answer for a class, up to the list of entries. */
const char *steer_prefix(const struct steer *s, unsigned class_index, size_t *len);
/* Entry of an answer for a member of the plan; NULL if the view has none of this name. */
const char *steer_entry(const struct steer *s, const struct cs_member *m, size_t *len);

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
	/* Counters of lookups by class of the configuration in force. */
	uint64_t **class_count;
	unsigned n_class_count;
	uint64_t counted_revision; /* configuration that class_count belongs to */
	uint64_t *unready;
	uint64_t *unknown_class;
	uint64_t *malformed;
	uint64_t *no_instance;
	struct cs_hist *lookup_us;
};

/* GET /v1/lookup */
void answer_lookup(struct lookupd *d, struct cs_http_req *req);
/* GET /v1/locate: the same decision with its reasons, for operators. */
void answer_locate(struct lookupd *d, struct cs_http_req *req);
/* Replies with {"error":code,"message":message}. */
void answer_error(struct cs_http_req *req, unsigned status, const char *code, const char *message);

/* /healthz, /readyz, /metrics, /v1/state and /v1/config; false for another path. */
bool admin_handle(struct lookupd *d, struct cs_http_req *req);

#endif
