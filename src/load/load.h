/*
 * cassia-load: load generator. Sends requests as the clients of a plan and records each
 * response. Latency counts from the planned send time, so that a stall of the load generator or of
 * the system shows up in it (no coordinated omission).
 */
#ifndef CS_LOAD_H
#define CS_LOAD_H

#include <jansson.h>

#include "http/http.h"
#include "src/load/content.h"

#define LOAD_NAME_MAX 64
#define LOAD_ENTRIES_MAX 16
#define LOAD_LOOKUPS_MAX 16

/* Final outcome of a request as observed by its client. */
enum outcome {
	OUTCOME_OK, /* 2xx with the complete, expected body */
	OUTCOME_REFUSED, /* not executed: refused, or never sent */
	OUTCOME_FAILED, /* error response of a server that executed the request */
	OUTCOME_UNKNOWN, /* may have been executed */
	OUTCOME_BAD, /* 2xx with a wrong or truncated body */
	OUTCOME_KINDS
};

/* A stream of requests of one class. Rates are in requests per second, sizes in bytes. */
struct stream {
	TAILQ_ENTRY(stream) entry;
	char class[LOAD_NAME_MAX];
	char path[128];
	char method[8];
	bool idempotent;
	bool even_arrivals; /* constant interarrival time; else exponentially distributed */
	bool raw; /* send path without a size parameter and accept any response body */
	double rate; /* 0: closed loop */
	unsigned concurrency; /* closed loop: requests kept in flight */
	uint64_t upload_bytes, response_bytes;
	unsigned deadline_ms;
	uint64_t from_us, to_us, warm_us; /* relative to the start; latency counts from warm_us */
	uint64_t next_us; /* planned send time of the next request */
	uint64_t sequence;
	unsigned running;
	struct cs_rng rng;
	struct target *direct_targets; /* servers that requests are sent to directly */
	unsigned n_direct_targets; /* 0: targets come from lookups */
	/* Results. */
	uint64_t counts[OUTCOME_KINDS];
	uint64_t tries, response_total, upload_total;
	uint32_t *latency_us; /* latencies of OUTCOME_OK requests planned after warm_us */
	size_t n_latency, cap_latency;
};
TAILQ_HEAD(stream_list, stream);

struct target {
	char instance[LOAD_NAME_MAX];
	char url[128];
};

struct request;
TAILQ_HEAD(request_queue, request);

/* A client's cached lookup response for one class. */
struct route {
	TAILQ_ENTRY(route) entry;
	struct client *client;
	char class[LOAD_NAME_MAX];
	struct target entries[LOAD_ENTRIES_MAX];
	unsigned n_entries;
	uint64_t expires_us;
	bool lookup_pending;
	unsigned lookups_tried; /* failed lookup daemons since the lookup began */
	struct request_queue waiting; /* requests to send when the lookup ends */
};

struct client {
	char addr[46]; /* source address; empty: any */
	char lookups[LOAD_LOOKUPS_MAX][128]; /* URLs of lookup daemons */
	unsigned n_lookups, lookup; /* lookup: index of the one in use */
	uint64_t lookup_failed_us; /* time of the last failed lookup */
	TAILQ_HEAD(, route) routes;
};

struct request {
	TAILQ_ENTRY(request) entry;
	struct stream *stream;
	struct client *client;
	CURL *easy;
	struct curl_slist *headers;
	char id[LOAD_NAME_MAX];
	struct target targets[LOAD_ENTRIES_MAX];
	unsigned n_targets, target;
	unsigned tries; /* number of attempts */
	uint64_t planned_us, sent_us, deadline_us;
	uint64_t upload_pos, response_pos;
	uint64_t upload_seed, response_seed;
	bool body_mismatch;
	long status;
	long port; /* local port of the last attempt */
	char instance[LOAD_NAME_MAX], server[LOAD_NAME_MAX], ran[12];
	CURLcode code;
};

struct load {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct stream_list streams;
	struct client *clients;
	unsigned n_clients, next_client;
	uint64_t start_us, end_us; /* start and end of sending */
	unsigned running;
	uint64_t run_id; /* makes request ids unique across runs */
	uint64_t seed;
	uint64_t lookups, lookup_errors;
};
extern struct load load;

/* plan.c */
bool plan_load(const char *path, struct cs_msg *msg);

/* route.c */
void route_request(struct request *r);

/* request.c */
void request_start(struct stream *s, uint64_t planned_us);
/* Sends to the first target; with n_targets 0 the request ends as refused. */
void request_send(struct request *r);

/* record.c */
bool record_open(const char *path, struct cs_msg *msg);
void record_request(const struct request *r, enum outcome out, uint64_t end_us);
void record_close(void);
/* Returns the summary as JSON; to be freed with free(). */
char *record_summary(double seconds);

/* main.c */
void load_request_done(struct stream *s);

#endif
