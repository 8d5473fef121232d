/*
 * The operators' routes, services and limits of a deployment that routes requests by host and path.
 * A document is immutable once it is built.
 */
#ifndef CS_STEER_DOCUMENT_H
#define CS_STEER_DOCUMENT_H

#include "model/model.h"

/* Whether a request may be sent again after it may have been executed. */
enum cs_repeat {
	CS_REPEAT_SAFE, /* may be executed more than once */
	CS_REPEAT_ONCE, /* at most once */
	CS_REPEAT_UPLOAD /* at most once, large body */
};

/* One service in a route's traffic split. */
struct cs_split_part {
	char service[CS_NAME_MAX];
	double weight; /* relative to the other parts; > 0 */
};

#define CS_SPLIT_PARTS_MAX 8
#define CS_HOME_REGIONS_MAX 8

struct cs_route {
	char name[CS_NAME_MAX];
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with '/' */
	enum cs_repeat repeat;
	unsigned timeout_ms; /* longest time that a client waits; 0: none */
	unsigned target_ms; /* latency target; 0: none */
	unsigned priority; /* 0 is the most urgent */
	unsigned max_attempts; /* attempts per request; at least 1 */
	bool sticky; /* servers respond faster for objects that they handled recently */
	struct cs_split_part parts[CS_SPLIT_PARTS_MAX];
	unsigned n_parts;
	char home_regions[CS_HOME_REGIONS_MAX]
			 [CS_NAME_MAX]; /* regions that may serve it; none: all */
	unsigned n_home_regions;
};

struct cs_service_def {
	char name[CS_NAME_MAX];
	char health_path[CS_NAME_MAX];
	unsigned connections; /* connections that one server accepts from all instances; 0: unknown */
	unsigned cold_ms; /* time after a start during which a server counts as cold */
	double cold_per_s; /* requests per second that a cold server can take */
};

struct cs_document {
	uint64_t version;
	struct cs_route *routes; /* sorted by host, then longest prefix first */
	unsigned n_routes;
	struct cs_service_def *services;
	unsigned n_services;
	unsigned idle_timeout_ms; /* of client connections; 0: unknown */
};

/* Allocates room for the given numbers of routes and services, which the caller fills in. */
struct cs_document *cs_document_create(unsigned n_routes, unsigned n_services);
void cs_document_destroy(struct cs_document *doc);
/* Sorts the routes for cs_document_route; call it once after filling them in. */
void cs_document_sort_routes(struct cs_document *doc);
/* Route of a host (port ignored) with the longest matching prefix of path, or NULL. */
const struct cs_route *cs_document_route(const struct cs_document *doc, const char *host,
					 const char *path);
const struct cs_service_def *cs_document_service(const struct cs_document *doc, const char *name);

#endif
