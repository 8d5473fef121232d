/*
 * The operators' routes, services and limits of a deployment that routes requests by host and path.
 * A document is immutable once it is built.
 */
#ifndef CS_STEER_DOCUMENT_H
#define CS_STEER_DOCUMENT_H

#include "model/model.h"
#include "workspace/workspace.h"

/* Whether a request may be sent again after it may have been executed. */
enum cs_repeat {
	CS_REPEAT_SAFE, /* may be executed more than once */
	CS_REPEAT_ONCE, /* at most once */
	CS_REPEAT_UPLOAD, /* at most once, large body */
	CS_REPEAT_DOWNLOAD /* may be executed more than once, large response */
};

static inline bool cs_repeat_is_allowed(enum cs_repeat r)
{
	return r == CS_REPEAT_SAFE || r == CS_REPEAT_DOWNLOAD;
}

/* One service in a route's traffic split. */
struct cs_split_part {
	char service[CS_NAME_MAX];
	double weight; /* relative to the other parts; > 0 */
};

#define CS_SPLIT_PARTS_MAX 8
#define CS_HOME_REGIONS_MAX 8
/* Messages on unreadable parts that a document keeps. */
#define CS_DOCUMENT_PROBLEMS_MAX 8

struct cs_route {
	char name[CS_NAME_MAX];
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with '/' */
	/* Its services or home regions cannot be read; its requests are refused as not run. */
	bool unreadable;
	enum cs_repeat repeat;
	unsigned timeout_ms; /* longest time that a client waits; 0: none */
	unsigned target_ms; /* latency target; 0: none */
	unsigned priority; /* 0 is the most urgent */
	unsigned max_attempts; /* attempts per request; at least 1 */
	bool is_public; /* needs no key of a workspace */
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
	unsigned n_routes, max_routes; /* places in use and allocated */
	struct cs_service_def *services;
	unsigned n_services, max_services;
	struct cs_workspace_table *workspaces; /* NULL: requests need no key */
	unsigned idle_timeout_ms; /* of client connections; 0: unknown */
	/* Routes whose host or prefix cannot be read: any request without a route may be theirs. */
	unsigned n_unmatchable;
	/* Parts that could not be read, and messages that name the first ones. */
	unsigned n_problems;
	struct cs_msg problems[CS_DOCUMENT_PROBLEMS_MAX];
};

/* Allocates room for the given numbers of routes and services, which the caller fills in. */
struct cs_document *cs_document_create(unsigned n_routes, unsigned n_services);
/*
 * Appends an empty route or service and returns it; the pointer is valid until the next one is
 * appended.
 */
struct cs_route *cs_document_add_route(struct cs_document *doc);
struct cs_service_def *cs_document_add_service(struct cs_document *doc);
void cs_document_destroy(struct cs_document *doc);
/* Returns where to write the message on another unreadable part. */
struct cs_msg *cs_document_add_problem(struct cs_document *doc);
/* Sorts the routes for cs_document_route; call it once after filling them in. */
void cs_document_sort_routes(struct cs_document *doc);
/* Route of a host (port ignored) with the longest matching prefix of path, or NULL. */
const struct cs_route *cs_document_route(const struct cs_document *doc, const char *host,
					 const char *path);
const struct cs_service_def *cs_document_service(const struct cs_document *doc, const char *name);

#endif
