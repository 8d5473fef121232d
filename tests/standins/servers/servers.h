/*
 * standin-servers: simulates many backend servers in one process, each on its own address. A
 * response body is generated from the request id. Every executed request is logged, and the
 * behaviour of each server is set through the control port.
 */
#ifndef STANDIN_SERVERS_H
#define STANDIN_SERVERS_H

#include <jansson.h>
#include <xxhash.h>

#include "tests/lib/listener.h"

#define NAME_SIZE 65
#define LOAD_SAMPLES 128 /* samples kept for REPORT_LATE */
#define LOAD_SAMPLE_INTERVAL_US (50 * CS_US_PER_MS)

enum state { STATE_READY, STATE_STARTING, STATE_DRAINING };
/* How a server responds to health checks; the values are those of the control argument "report". */
enum report_mode { REPORT_TRUE, REPORT_LATE, REPORT_FALSE, REPORT_MISSING, REPORT_HANG };

/* Behaviour of a server. All fields are doubles so that control.c can set them from one table. */
struct behaviour {
	double slots;
	double service_ms; /* mean service time; 0: respond immediately */
	double jitter_pct; /* uniform spread around the mean */
	double straggler_pct;
	double straggler_factor;
	double slow_factor; /* multiplies each service time; 1: normal speed */
	double cold_factor; /* multiplies service times when cold; falls to 1 over cold_runs */
	double cold_runs; /* requests until the server is warm */
	double refuse_pct; /* refused before execution */
	double shed; /* 1: refuse requests when all slots are busy, 0: queue them */
	double truncate_pct; /* responses truncated half-way */
	double late_pct; /* responses delayed by late_ms after execution */
	double late_ms;
	double answer_bytes;
	double report; /* enum report_mode */
	double report_late_ms; /* age of the load reported with REPORT_LATE */
	double report_in_flight; /* reported with REPORT_FALSE */
	double report_service_ms; /* reported with REPORT_FALSE */
	double state; /* enum state */
	double down; /* 1: refuses connections */
};

/* Load of a server at one time. */
struct load_sample {
	unsigned in_flight;
	unsigned service_us;
};

struct run;
TAILQ_HEAD(run_queue, run);

struct server {
	TAILQ_ENTRY(server) entry;
	char name[NAME_SIZE], service[NAME_SIZE], zone[NAME_SIZE], addr[46];
	uint16_t port;
	struct behaviour behaviour;
	struct mhd_listener *listener;
	struct run_queue queue; /* requests waiting for a slot */
	unsigned outstanding; /* running and queued requests */
	unsigned running;
	unsigned peak_outstanding;
	unsigned warm_runs; /* requests executed since the last cold start */
	uint64_t runs, refused, cancelled;
	double mean_us; /* exponential moving average of service times */
	struct load_sample load_samples[LOAD_SAMPLES];
};
TAILQ_HEAD(server_list, server);

enum outcome {
	OUTCOME_DONE,
	OUTCOME_CANCELLED,
	OUTCOME_DEADLINE,
	OUTCOME_REFUSED,
	OUTCOME_TRUNCATED,
	OUTCOME_OPEN
};

/* One request received by one server. */
struct run {
	TAILQ_ENTRY(run) entry; /* in the list of active runs */
	TAILQ_ENTRY(run) queue_entry; /* in server->queue */
	struct server *server;
	struct MHD_Connection *conn;
	char id[NAME_SIZE], class[NAME_SIZE];
	bool started, active, in_queue, suspended, health_check, truncate, responded;
	unsigned concurrent; /* outstanding requests at arrival, this one included */
	uint64_t start_us, deadline_us; /* deadline_us 0: none */
	uint64_t body_len, response_len;
	XXH64_state_t *body_digest;
	struct cs_timer timer;
	ev_io disconnect; /* detects that the client closed the connection */
	struct MHD_Response *response;
	unsigned status;
};

extern struct ev_loop *loop;
extern struct cs_timers *timers;
extern struct server_list servers;
extern struct listener_set *listener_set;
extern struct cs_rng rng;
extern unsigned load_sample_index; /* of the latest sample */

/* run.c */
enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
			  const char *method, const char *version, const char *data, size_t *size,
			  void **ctx);
void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
		  enum MHD_RequestTerminationCode code);
/* Logs the requests that are still executing. */
void runs_log_unfinished(void);

/* response.c */
struct MHD_Response *response_body(const char *id, uint64_t len, bool truncate);
struct MHD_Response *response_health(const struct server *s);
struct MHD_Response *response_text(const char *text);
/* Adds the state header of a server that is not ready. */
void response_add_state(struct MHD_Response *r, const struct server *s);

/* log.c */
bool log_open(const char *path, struct cs_msg *msg);
void log_run(const struct run *r, enum outcome out);
void log_state(const struct server *s);
void log_close(void);

/* control.c */
bool control_start(const char *addr, uint16_t port, struct cs_msg *msg);
/* Sets one field of the behaviour by name; false if the name is unknown. */
bool behaviour_set(struct server *s, const char *name, double value);
/* Opens or closes the listener and logs a state change after the behaviour was changed. */
void behaviour_apply(struct server *s, const struct behaviour *before);

#endif
