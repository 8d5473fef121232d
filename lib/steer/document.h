/*
 * document: the operators' routes, services and limits in force on a deployment that selects
 * work by host and path. A document is immutable once it is built.
 */
#ifndef CS_STEER_DOCUMENT_H
#define CS_STEER_DOCUMENT_H

#include "model/model.h"

/* What may be repeated. */
enum cs_repeat {
	CS_REPEAT_SAFE, /* a request may run more than once */
	CS_REPEAT_ONCE, /* at most once */
	CS_REPEAT_UPLOAD /* at most once, large body */
};

/* One part of a route's traffic. */
struct cs_part {
	char service[CS_NAME_MAX];
	double weight; /* share relative to the other parts; > 0 */
};

#define CS_PARTS_MAX 8
#define CS_HOMES_MAX 8

struct cs_route {
	char name[CS_NAME_MAX];
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with '/' */
	enum cs_repeat repeat;
	unsigned timeout_ms; /* longest wait of a caller; 0: none */
	unsigned target_ms; /* latency target; 0: none */
	unsigned priority; /* 0 is the most urgent */
	unsigned max_attempts; /* servers one request may be sent to; at least 1 */
	bool sticky; /* servers answer faster for objects that they handled lately */
	struct cs_part parts[CS_PARTS_MAX];
	unsigned n_parts;
	char homes[CS_HOMES_MAX][CS_NAME_MAX]; /* regions that may serve it; none: all */
	unsigned n_homes;
};

struct cs_service_def {
	char name[CS_NAME_MAX];
	char health_path[CS_NAME_MAX];
	unsigned connections; /* that one server takes from all callers; 0: unknown */
	unsigned cold_ms; /* time after a start during which a server counts as cold */
	double cold_per_s; /* requests a second that a cold server bears */
};

struct cs_document {
	uint64_t version;
	struct cs_route *routes; /* by host, then longest prefix first */
	unsigned n_routes;
	struct cs_service_def *services;
	unsigned n_services;
	unsigned idle_timeout_ms; /* callers' connections; 0: unknown */
};

/* Routes and services are allocated for the given numbers and filled by the caller. */
struct cs_document *cs_document_create(unsigned n_routes, unsigned n_services);
void cs_document_destroy(struct cs_document *doc);
/* Sorts the routes for cs_document_route; call it once after filling. */
void cs_document_seal(struct cs_document *doc);
/* Route of a host (port ignored) with the longest prefix of path, or NULL. */
const struct cs_route *cs_document_route(const struct cs_document *doc, const char *host,
					 const char *path);
const struct cs_service_def *cs_document_service(const struct cs_document *doc, const char *name);

#endif
