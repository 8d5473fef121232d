/*
 * proxyd: state shared by the parts of cassia-proxyd. server.c takes callers' requests from
 * lib/proxy, request.c leads each through its stages, attempt.c runs transfers to servers and
 * to other proxies with libcurl, reply.c builds answers.
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

/* Bodies and answers of at most this size are held whole; larger ones stream through it. */
#define BUFFER_MAX (64 * 1024)
/* Header lines of one request in bytes; more gets 431. */
#define HEAD_MAX (16 * 1024)
/* Longest time without a byte of an unfinished body. */
#define BODY_IDLE_US (5 * CS_US_PER_S)

/* What can be said about whether a server ran the request. */
enum ran { RAN_NO, RAN_UNKNOWN, RAN_YES };
const char *ran_name(enum ran ran);

/* State of one attempt, in the order in which it can change. */
enum attempt_state {
	ATTEMPT_NOT_SENT, /* no byte of the request left */
	ATTEMPT_SENT,
	ATTEMPT_ANSWERED, /* head of an answer is in */
	ATTEMPT_REFUSED, /* answered that it did not run */
	ATTEMPT_LOST /* sent, and no whole answer will come */
};

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
	char name[CS_NAME_MAX]; /* of the server or instance */
	char zone[CS_NAME_MAX]; /* ATTEMPT_HOP */
	uint64_t started_us;
	bool running; /* the transfer goes on */
	bool ended; /* the policy was told */
	bool hedge;
	/* Request lines that differ between attempts. */
	struct curl_slist lines[3];
	char deadline_line[48];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	/* Answer, as far as it is in. */
	unsigned status;
	bool head_done;
	bool state_taken; /* the policy has the server's state from the head */
	bool no_body;
	bool refused; /* the answer says that it did not run */
	bool whole; /* ended, all of it is in */
	bool failed; /* ended before its end */
	enum cs_framing framing;
	uint64_t length; /* CS_FRAMING_LENGTH */
	const struct head *head;
	struct ring *data;
};

enum stage {
	STAGE_BODY, /* collecting a small body */
	STAGE_JOINED, /* waits for the first request with this id */
	STAGE_WAITING, /* in the policy's queue */
	STAGE_RUNNING, /* attempts are out */
	STAGE_ANSWER /* the answer is fixed */
};

/* One request of a caller; lives from its first line to the end of its answer. */
struct request {
	TAILQ_ENTRY(request) entry;
	struct proxyd *proxyd;
	struct cs_call *call;
	enum stage stage;
	bool admin;
	bool answered; /* the ingress has the answer */
	bool gone; /* the caller's connection ended */

	char *target; /* as received */
	char method[20];
	char id[REQUEST_ID_MAX + 1];
	char class_name[CS_NAME_MAX];
	bool id_given;
	bool class_gone; /* removed from the configuration */
	struct class_stats *stats;
	bool idempotent, bulk;
	unsigned deadline_ms; /* from the header; 0 if absent */
	struct cs_policy_request ask;
	uint64_t target_us; /* latency target */

	/* Request header lines for libcurl, in one block. */
	struct curl_slist *lines;

	/* Body. */
	bool has_body, body_ended, chunked, streaming, discard;
	uint64_t content_length, max_body;
	struct ring body;

	/* Attempts. */
	TAILQ_HEAD(, attempt) attempts;
	struct attempt *winner; /* its answer goes to the caller */
	unsigned tries;
	enum ran ran; /* of ended attempts: strongest that can not be excluded */
	struct cs_timer deadline, aux, idle; /* aux: end of waiting, or hedge */

	/* Outcome table. */
	struct outcome *outcome; /* this request runs it */
	struct outcome_join join;

	/* Answer. */
	unsigned status;
	enum result { RESULT_NONE, RESULT_OK, RESULT_REFUSED, RESULT_FAILED, RESULT_BAD } result;
};

enum stop_stage {
	STOP_NO,
	STOP_ANNOUNCED, /* not ready, serves on until lookups have stopped naming it */
	STOP_REFUSING, /* new work is refused */
	STOP_DONE
};

struct proxyd {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_setting *settings;
	const char *instance, *zone, *address;
	bool bind_source; /* outgoing connections need the source address */
	uint16_t port;
	struct cs_policy *policy;
	bool had_room; /* slots of the zone's servers were divided once */
	struct cs_link *link;
	struct cs_lanes *servers, *hops; /* transfers to servers, and to other proxies */
	struct cs_ingress *ingress;
	struct outcomes *outcomes;
	struct stats stats;
	TAILQ_HEAD(, request) requests;
	unsigned n_requests;
	struct cs_rng ids; /* of request ids; a system call for each would be slow */
	bool pump; /* waiting requests may go on */
	struct cs_timer retry;
	ev_prepare before;
	ev_idle awake; /* active while pump is set */
	ev_signal term, intr;
	enum stop_stage stop;
	struct cs_timer stop_timer;
	struct cs_report_load *report_loads;
};

/* Keeps the loop from sleeping until pump is served; call it after setting it. */
void proxyd_wake(struct proxyd *p);

/* server.c */
bool server_start(struct proxyd *p, struct cs_msg *msg);
void server_stop(struct proxyd *p);

/* intake.c: checks of a new request. Sets an error reply, or fills the request. */
void intake_check(struct request *req);

/* request.c */
struct request *request_create(struct proxyd *p, struct cs_call *call);
void request_destroy(struct request *req);
/* Headers are accepted: starts collecting the body or decides. */
void request_start(struct request *req);
/* Takes body bytes; returns how many. */
size_t request_body(struct request *req, const char *data, size_t size);
void request_body_end(struct request *req);
/* The caller's connection ended before the answer was complete. */
void request_gone(struct request *req);
/* An attempt has news; called outside of libcurl's callbacks. */
void request_progress(struct request *req);
/* Asks the policy and acts on the answer. */
void request_decide(struct request *req);
/* Ends the request with an error of the system's own. */
void request_error(struct request *req, unsigned status, const char *error, enum ran ran,
		   const char *message);
void request_refuse(struct request *req, enum cs_refusal reason, unsigned retry_after_ms);
/* What can be said now about whether the request ran. */
enum ran request_ran(const struct request *req);

/* attempt.c */
struct attempt *attempt_start(struct request *req, struct cs_target *target);
struct attempt *attempt_hop(struct request *req, const struct cs_decision *d);
/* Ends an attempt, running or not, and tells the policy. */
void attempt_end(struct attempt *att, enum cs_outcome outcome);
/* True if the server may have begun to work on it. */
bool attempt_may_have_run(const struct attempt *att);
/* Frees an ended attempt. */
void attempt_free(struct attempt *att);
/* Hands the server's own word on its state to the policy, once, when the head is in. */
void attempt_take_state(struct attempt *att);
/* More body bytes are in. */
void attempt_body_ready(struct attempt *att);
/* The caller took bytes of the answer. */
void attempt_answer_taken(struct attempt *att);

/* reply.c */
void reply_error(struct request *req, unsigned status, const char *error, enum ran ran,
		 const char *message, unsigned retry_after_s);
/* Fixes the winner's answer as the reply: whole if it ended, else streamed. */
void reply_attempt(struct request *req);
void reply_outcome(struct request *req, const struct outcome *o);
void reply_text(struct request *req, unsigned status, const char *type, char *body);
/* Next bytes of a streamed answer, or one of CS_READ_*. */
ssize_t reply_read(struct request *req, char *buf, size_t max);

/* outcomes at this instance: dedup.c */
/* True if the request may run; else it joined or its reply is set. */
bool dedup_begin(struct request *req);
/* The answer or error is fixed; ran tells what is known. */
void dedup_end(struct request *req, enum ran ran);
void dedup_leave(struct request *req);

/* admin.c */
void admin_handle(struct request *req);

/* view.c: link and view */
bool view_start(struct proxyd *p, const char *endpoint, struct cs_msg *msg);
void view_stop(struct proxyd *p);
/* Whether new work is welcome. */
bool view_ready(struct proxyd *p);

/* stop.c */
void stop_watch(struct proxyd *p);

#endif
