/*
 * cassia-load: sends requests as callers do, by a plan, and records what each caller saw. Latency
 * counts from the planned send time, so that a stall of the tool or the system is not hidden.
 */
#ifndef CS_LOAD_H
#define CS_LOAD_H

#include <jansson.h>

#include "http/http.h"
#include "src/load/content.h"

#define LOAD_NAME_MAX 64
#define LOAD_ENTRIES_MAX 16
#define LOAD_LOOKUPS_MAX 16

/* Final outcome of a request as its caller may conclude it. */
enum outcome {
	OUTCOME_OK, /* 2xx and the whole right body */
	OUTCOME_REFUSED, /* not run: refused, or never sent */
	OUTCOME_FAILED, /* an error answer of a server that ran it */
	OUTCOME_UNKNOWN, /* may have run */
	OUTCOME_BAD, /* 2xx with a wrong or short body */
	OUTCOME_KINDS
};

/* One stream of requests of a class. Rates in requests a second, sizes in bytes. */
struct stream {
	TAILQ_ENTRY(stream) entry;
	char class[LOAD_NAME_MAX];
	char path[128];
	char method[8];
	bool idempotent;
	bool even; /* fixed distances; else exponential */
	bool raw; /* path is sent as it is, any body is right */
	double rate; /* 0: closed loop */
	unsigned concurrency; /* closed loop: requests kept running */
	uint64_t upload_bytes, answer_bytes;
	unsigned deadline_ms;
	uint64_t from_us, to_us, warm_us; /* after the start; samples count from warm_us */
	uint64_t next_us; /* planned time of the next request */
	uint64_t sequence;
	unsigned running;
	struct cs_rng rng;
	struct target *direct; /* servers called without cassiascale; n_direct 0: by lookup */
	unsigned n_direct;
	/* Results. */
	uint64_t counts[OUTCOME_KINDS];
	uint64_t tries, answer_total, upload_total;
	uint32_t *latency_us; /* of OUTCOME_OK after warm_us */
	size_t n_latency, cap_latency;
};
TAILQ_HEAD(stream_list, stream);

struct target {
	char instance[LOAD_NAME_MAX];
	char url[128];
};

struct request;
TAILQ_HEAD(request_queue, request);

/* A caller's cached lookup answer for one class. */
struct route {
	TAILQ_ENTRY(route) entry;
	struct caller *caller;
	char class[LOAD_NAME_MAX];
	struct target entries[LOAD_ENTRIES_MAX];
	unsigned n_entries;
	uint64_t until_us;
	bool asking;
	unsigned tried; /* lookup daemons tried in this round */
	struct request_queue waiting;
};

struct caller {
	char addr[46]; /* source address; empty: any */
	char lookups[LOAD_LOOKUPS_MAX][128];
	unsigned n_lookups, lookup; /* lookup: the one in use */
	uint64_t failed_us; /* last time a lookup daemon did not answer */
	TAILQ_HEAD(, route) routes;
};

struct request {
	TAILQ_ENTRY(request) entry;
	struct stream *stream;
	struct caller *caller;
	CURL *easy;
	struct curl_slist *headers;
	char id[LOAD_NAME_MAX];
	struct target targets[LOAD_ENTRIES_MAX];
	unsigned n_targets, target;
	unsigned tries;
	uint64_t planned_us, sent_us, deadline_us;
	uint64_t upload_pos, answer_pos;
	uint64_t upload_seed, answer_seed;
	bool mismatch;
	long status;
	long port; /* local port of the last try */
	char instance[LOAD_NAME_MAX], server[LOAD_NAME_MAX], ran[12];
	CURLcode code;
};

struct load {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct stream_list streams;
	struct caller *callers;
	unsigned n_callers, next_caller;
	uint64_t start_us, end_us; /* of sending */
	unsigned running;
	uint64_t run_id; /* makes request ids of runs differ */
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
/* The targets are known (n_targets may be 0): send to the first of them. */
void request_send(struct request *r);

/* record.c */
bool record_open(const char *path, struct cs_msg *msg);
void record_request(const struct request *r, enum outcome out, uint64_t end_us);
void record_close(void);
/* The summary as JSON text; the caller frees it. */
char *record_summary(double seconds);

/* main.c */
void load_request_done(struct stream *s);

#endif
