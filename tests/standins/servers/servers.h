/*
 * standin-servers: many backend servers in one process, one address each. A request's answer is
 * derived from its id; every run is logged; behaviour is set for each server over the control port.
 */
#ifndef STANDIN_SERVERS_H
#define STANDIN_SERVERS_H

#include <jansson.h>
#include <xxhash.h>

#include "tests/lib/listener.h"

#define NAME_SIZE 65
#define SAMPLES 128 /* load samples kept for late reports */
#define SAMPLE_US (50 * CS_US_PER_MS)

enum state { STATE_READY, STATE_STARTING, STATE_DRAINING };
enum report { REPORT_TRUE, REPORT_LATE, REPORT_FALSE, REPORT_MISSING, REPORT_HANG };

/* Settings of a server; doubles so that one table serves all of them. */
struct behaviour {
	double slots;
	double service_ms; /* mean service time; 0: answer at once */
	double jitter_pct; /* uniform spread around the mean */
	double straggler_pct;
	double straggler_factor;
	double slow_factor; /* present slowness; 1: none */
	double cold_factor; /* slowness of the first run after a cold start */
	double cold_runs; /* runs until the server is warm */
	double refuse_pct; /* refused before running */
	double shed; /* 1: refuse when all slots are busy, 0: queue */
	double truncate_pct; /* answers cut in the middle */
	double late_pct; /* answers held back for late_ms after the run */
	double late_ms;
	double answer_bytes;
	double report; /* enum report */
	double report_late_ms;
	double report_in_flight; /* REPORT_FALSE */
	double report_service_ms; /* REPORT_FALSE */
	double state; /* enum state */
	double down; /* 1: refuses connections */
};

struct sample {
	unsigned in_flight;
	unsigned service_us;
};

struct run;
TAILQ_HEAD(run_queue, run);

struct server {
	TAILQ_ENTRY(server) entry;
	char name[NAME_SIZE], service[NAME_SIZE], zone[NAME_SIZE], addr[46];
	uint16_t port;
	struct behaviour b;
	struct mhd_listener *listener;
	struct run_queue queue; /* arrived, waiting for a slot */
	unsigned present; /* running and queued */
	unsigned running;
	unsigned peak; /* largest present so far */
	unsigned warm; /* runs since the cold start */
	uint64_t runs, refused, cancelled;
	double mean_us; /* moving mean of service times */
	struct sample samples[SAMPLES];
};
TAILQ_HEAD(server_list, server);

enum outcome { OUT_DONE, OUT_CANCELLED, OUT_DEADLINE, OUT_REFUSED, OUT_TRUNCATED, OUT_OPEN };

/* One request at one server. */
struct run {
	TAILQ_ENTRY(run) entry; /* all runs */
	TAILQ_ENTRY(run) queued;
	struct server *server;
	struct MHD_Connection *conn;
	char id[NAME_SIZE], class[NAME_SIZE];
	bool begun, active, in_queue, suspended, health, truncate, replied;
	unsigned concurrent; /* present at arrival, with this one */
	uint64_t start_us, deadline_us; /* deadline 0: none */
	uint64_t body_len, answer_len;
	XXH64_state_t *digest;
	struct cs_timer timer;
	ev_io gone; /* sees the caller's disconnect */
	struct MHD_Response *reply;
	unsigned status;
};

extern struct ev_loop *loop;
extern struct cs_timers *timers;
extern struct server_list servers;
extern struct listener_set *listener_set;
extern struct cs_rng rng;
extern unsigned sample_pos;

/* run.c */
enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
			  const char *method, const char *version, const char *data, size_t *size,
			  void **ctx);
void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
		  enum MHD_RequestTerminationCode code);
/* Logs the runs that are still going on. */
void runs_log_open(void);

/* answer.c */
struct MHD_Response *answer_body(const char *id, uint64_t len, bool truncate);
struct MHD_Response *answer_health(const struct server *s);
struct MHD_Response *answer_text(const char *text);
/* Adds what every answer of a server carries. */
void answer_state(struct MHD_Response *r, const struct server *s);

/* log.c */
bool log_open(const char *path, struct cs_msg *msg);
void log_run(const struct run *r, enum outcome out);
void log_state(const struct server *s);
void log_close(void);

/* control.c */
bool control_start(const char *addr, uint16_t port, struct cs_msg *msg);
/* Sets one behaviour by name; false for an unknown name. */
bool behaviour_set(struct server *s, const char *name, double value);
/* Applies down and state after a change. */
void behaviour_apply(struct server *s, const struct behaviour *before);

#endif
