/*
 * proxyd: state shared by the parts of cassia-proxyd. listener.c receives client requests from
 * lib/proxy, validate.c checks them, request.c implements the stages of a request, attempt.c runs
 * transfers to servers and to other proxies, reply.c builds responses.
 */
#ifndef PROXYD_PROXYD_H
#define PROXYD_PROXYD_H

#include "base/base.h"
#include "http/http.h"
#include "link/link.h"
#include "policy/policy.h"
#include "proxy/head.h"
#include "proxy/ingress.h"
#include "src/proxyd/outcome.h"
#include "proxy/ring.h"
#include "proxy/transfer.h"
#include "src/proxyd/stats.h"

/*
 * Request and response bodies up to this size in bytes are buffered completely; larger ones are
 * streamed through a buffer of this size.
 */
#define BODY_BUFFER_MAX (64 * 1024)
/* Limit for the header lines of one request in bytes; larger requests get status 431. */
#define REQUEST_HEAD_MAX (16 * 1024)
/* Timeout for receiving further data of an incomplete request body. */
#define BODY_IDLE_US (5 * CS_US_PER_S)

/* What is known about whether a server ran the request. */
enum ran { RAN_NO, RAN_UNKNOWN, RAN_YES };
const char *ran_name(enum ran ran);

/* State of one attempt, in the order in which it can change. */
enum attempt_state {
	ATTEMPT_NOT_SENT, /* no byte of the request was sent */
	ATTEMPT_SENT,
	ATTEMPT_RESPONDED, /* response headers were received */
	ATTEMPT_REFUSED, /* the response states that this request did not run */
	ATTEMPT_LOST /* sent, but no complete response will arrive */
};

/* A hop is a transfer to the proxy of another zone. */
enum attempt_kind { ATTEMPT_SERVER, ATTEMPT_HOP };

struct proxyd;
struct request;

/* One transfer to a backend server or to another zone's proxy. */
struct attempt {
	TAILQ_ENTRY(attempt) entry;
	struct request *req;
	struct cs_transfer *transfer;
	enum attempt_kind kind;
	enum attempt_state state;
	struct cs_target *target; /* ATTEMPT_SERVER */
	char name[CS_NAME_MAX]; /* of the server, or of the instance for a hop */
	char zone[CS_NAME_MAX]; /* ATTEMPT_HOP */
	uint64_t started_us;
	bool running; /* the transfer is running */
	bool ended; /* the outcome was reported to the policy */
	bool hedge;
	/* Request header lines that are specific to this attempt. */
	struct curl_slist lines[3];
	char deadline_header[48];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	/* Response, as far as it was received. */
	unsigned status;
	bool has_head;
	bool state_reported; /* the server state in the response was reported to the policy */
	bool no_body;
	bool refused; /* the response is a refusal, possibly of an earlier request */
	bool complete; /* ended with a complete response */
	bool failed; /* ended without a complete response */
	enum cs_framing framing;
	uint64_t length; /* declared body length; UINT64_MAX if there is none */
	const struct head *head;
	struct ring *data;
};

enum stage {
	STAGE_BODY, /* receiving a body that is buffered */
	STAGE_JOINED, /* waiting for the first request with this id */
	STAGE_WAITING, /* queued by the policy */
	STAGE_RUNNING, /* attempts are running */
	STAGE_RESPONSE /* the response is determined */
};

/* One client request; exists from its headers to the end of the response. */
struct request {
	TAILQ_ENTRY(request) entry;
	struct proxyd *proxyd;
	struct cs_call *call;
	enum stage stage;
	bool admin;
	bool responded; /* the response was passed to the ingress */
	bool disconnected; /* the client disconnected */

	char *target; /* as received, but always in origin form */
	char method[20];
	char id[REQUEST_ID_MAX + 1];
	char class_name[CS_NAME_MAX];
	bool id_given;
	bool class_removed; /* the class was removed from the configuration */
	struct class_stats *stats;
	bool idempotent, bulk;
	unsigned deadline_ms; /* value of the header; 0 if absent */
	struct cs_policy_request policy_request;
	uint64_t latency_target_us;

	/* Request header lines for libcurl, in a single allocation. */
	struct curl_slist *lines;

	/* Request body. */
	bool has_body, body_ended, chunked, streaming, discard_body;
	uint64_t content_length, max_body;
	struct ring body;

	/* Attempts. */
	TAILQ_HEAD(, attempt) attempts;
	struct attempt *winner; /* its response is sent to the client */
	unsigned n_attempts; /* number of attempts other than hedges */
	enum ran ran; /* RAN_UNKNOWN if a failed attempt may have run, else RAN_NO */
	struct cs_timer deadline;
	struct cs_timer wait_or_hedge; /* end of the wait if queued, hedge delay if running */
	struct cs_timer body_idle;

	/* Detection of repeats. */
	struct outcome *outcome; /* entry that this request will complete */
	struct outcome_join join; /* STAGE_JOINED */

	/* Response. */
	unsigned status;
	enum result {
		RESULT_NONE,
		RESULT_OK,
		RESULT_REFUSED,
		RESULT_FAILED,
		RESULT_REJECTED
	} result;
};

enum stop_stage {
	STOP_NO,
	STOP_ANNOUNCED, /* not ready, but serving requests until cached lookups have expired */
	STOP_REFUSING, /* new requests are refused */
	STOP_DONE
};

struct proxyd {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_setting *settings;
	const char *instance, *zone, *address;
	bool bind_source; /* bind outgoing connections to address */
	uint16_t port;
	struct cs_policy *policy;
	bool had_capacity; /* slots of the zone's servers were assigned at least once */
	struct cs_link *link;
	/* Transfers to servers and to the proxies of other zones. */
	struct cs_transfer_pool *server_pool, *hop_pool;
	struct cs_ingress *ingress;
	struct outcomes *outcomes;
	struct stats stats;
	TAILQ_HEAD(, request) requests;
	unsigned n_requests;
	struct cs_rng id_rng; /* for request ids; a system call for each id would be slow */
	bool dispatch_waiting; /* queued requests are dispatched in this loop iteration */
	struct cs_timer dispatch_timer;
	ev_prepare prepare;
	ev_idle keep_awake; /* keeps the loop from blocking before dispatch_waiting is handled */
	ev_signal term, intr;
	enum stop_stage stop;
	struct cs_timer stop_timer;
	struct cs_report_load *report_loads;
};

/* Keeps the loop from blocking; to be called after dispatch_waiting was set. */
void proxyd_wake(struct proxyd *p);

/* listener.c */
bool listener_start(struct proxyd *p, struct cs_msg *msg);
void listener_stop(struct proxyd *p);

/* validate.c: validates a new request; fills it in or sends an error response. */
void request_validate(struct request *req);

/* request.c */
struct request *request_create(struct proxyd *p, struct cs_call *call);
void request_destroy(struct request *req);
/* Called after validation: receives the body first, or dispatches at once if it is streamed. */
void request_start(struct request *req);
/* Accepts body data; returns the number of bytes accepted. */
size_t request_body(struct request *req, const char *data, size_t size);
void request_body_end(struct request *req);
/* The client disconnected before the response was complete. */
void request_disconnected(struct request *req);
/* The state of an attempt changed; not called from within libcurl's callbacks. */
void request_progress(struct request *req);
/* Requests a decision from the policy and carries it out. */
void request_decide(struct request *req);
/* Ends the request with an error response generated by the proxy. */
void request_error(struct request *req, unsigned status, const char *error, enum ran ran,
		   const char *message);
void request_refuse(struct request *req, enum cs_refusal reason, unsigned retry_after_ms);
/* What is currently known about whether the request ran. */
enum ran request_ran(const struct request *req);

/* attempt.c */
struct attempt *attempt_start(struct request *req, struct cs_target *target);
struct attempt *attempt_start_hop(struct request *req, const struct cs_decision *d);
/* Ends an attempt, running or not, and reports the outcome to the policy. */
void attempt_end(struct attempt *att, enum cs_outcome outcome);
/* True if the server may have started to process the request. */
bool attempt_may_have_run(const struct attempt *att);
/* Frees an ended attempt. */
void attempt_free(struct attempt *att);
/* Reports the state that the server declares in its response headers to the policy, once. */
void attempt_report_server_state(struct attempt *att);
/* More request body data was received. */
void attempt_body_added(struct attempt *att);
/* Response data was passed to the client. */
void attempt_response_consumed(struct attempt *att);

/* reply.c */
void reply_error(struct request *req, unsigned status, const char *error, enum ran ran,
		 const char *message, unsigned retry_after_s);
/*
 * Sends the response of the attempt that was selected: complete if its transfer has ended,
 * otherwise streamed.
 */
void reply_attempt(struct request *req);
void reply_outcome(struct request *req, const struct outcome *o);
void reply_text(struct request *req, unsigned status, const char *type, char *body);
/* Provides the next data of a streamed response; returns its length or one of CS_READ_*. */
ssize_t reply_read(struct request *req, char *buf, size_t max);

/* dedup.c: detection of repeated requests at this instance */
/* True if the request may run; otherwise it has joined another one or its response was sent. */
bool dedup_begin(struct request *req);
/* Records the outcome once the response or error is determined, and passes it to joined requests. */
void dedup_end(struct request *req, enum ran ran);
/* Stops waiting for the request that this one has joined. */
void dedup_leave(struct request *req);

/* admin.c */
void admin_handle(struct request *req);

/* view.c: link to the agent */
bool view_start(struct proxyd *p, const char *endpoint, struct cs_msg *msg);
void view_stop(struct proxyd *p);
/* Whether this instance is ready for new requests. */
bool view_ready(struct proxyd *p);

/* stop.c */
void stop_init(struct proxyd *p);

#endif
