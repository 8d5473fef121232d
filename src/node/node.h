/*
 * node: state shared by the parts of cassia-node, which runs as a single process on each instance
 * of the users' platform. frontend.c accepts client requests, request.c runs the state machine of
 * each request, and attempt.c sends requests to backend servers. store-sync.c mirrors the store,
 * document-load.c puts its document in force,
 * registration.c keeps this instance's entry in it, gossip.c exchanges reports with the other
 * instances, and workspaces.c checks keys and quotas. lib/steer and lib/workspace make the
 * decisions.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/base.h"
#include "base/event.h"
#include "http/http.h"
#include "platform/platform.h"
#include "proxy/ingress.h"
#include "proxy/transfer.h"
#include "steer/feed.h"
#include "steer/steer.h"

/* Request bodies up to this size are buffered completely before the first attempt, for retries. */
#define BODY_BUFFER_MAX ((size_t)1024 * 1024)
/* Responses up to this size are buffered completely; larger ones are streamed to the client. */
#define RESPONSE_BUFFER_MAX ((size_t)256 * 1024)
/*
 * The same for downloads, of which many are in progress at once while clients read slowly. A
 * request whose response is streamed is not sent again: the client may have received a part.
 */
#define DOWNLOAD_BUFFER_MAX ((size_t)64 * 1024)
#define REQUEST_ID_SIZE 65

/*
 * Priority of the sockets on which the store and other instances are heard. After a long iteration
 * of the loop, what they say is known before a server is chosen for a request and before one is
 * sent.
 */
#define NEWS_PRIORITY EV_MAXPRI

struct node;
struct request;

/* One attempt to run a request on a backend server. */
struct attempt {
	TAILQ_ENTRY(attempt) entry;
	struct request *req;
	struct cs_backend *backend;
	struct cs_transfer *transfer;
	uint64_t started_us;
	bool head_recorded;
	char server[CS_NAME_MAX];
	/* Headers of this attempt, linked in front of those of the request. */
	struct curl_slist headers[2];
	char deadline_header[64];
	char expected_header[96];
};

enum request_stage {
	STAGE_BODY, /* receiving the body */
	STAGE_TOKEN, /* waiting for a token of its workspace's quota */
	STAGE_WAITING, /* queued for a server slot */
	STAGE_FORWARDED, /* at least one attempt was started */
	STAGE_RESPONDING /* the response is chosen, or the client disconnected */
};

/* Token of a workspace's quota. */
enum token_state {
	TOKEN_NONE, /* none is needed, or it was spent */
	TOKEN_PENDING, /* the request waits for one */
	TOKEN_HELD /* taken, and not spent while nothing may have run */
};

/* One client request, from its header section to the end of its response. */
struct request {
	TAILQ_ENTRY(request) entry;
	struct node *node;
	struct cs_call *call;
	enum request_stage stage;
	struct cs_steer_request steer_state;
	const char *full_id; /* as the client sent it, in the call's headers; "" if there is none */
	char id[REQUEST_ID_SIZE]; /* its beginning, for logs */
	char route[CS_NAME_MAX];
	char workspace_name[CS_WORKSPACE_NAME_MAX]; /* "" if it has none */
	uint64_t workspace; /* its id; 0: none */
	uint64_t key_version; /* document by which its key was last checked */
	enum token_state token;
	uint64_t token_until_us, token_since_us; /* by cs_boottime_us */
	TAILQ_ENTRY(request) token_entry;
	enum cs_repeat repeat;
	struct curl_slist *headers; /* headers for servers, in one allocation */
	bool has_body, body_ended, body_streaming;
	uint64_t content_length; /* UINT64_MAX: chunked */
	struct ring body;
	TAILQ_HEAD(attempt_list, attempt) attempts;
	struct attempt *streaming_attempt; /* its response is being streamed to the client */
	bool outlasts_process; /* its deadline was after the end of the process, which stops */
	bool may_have_run; /* a finished attempt may have run on its server */
	unsigned n_attempts;
	struct cs_timer deadline_timer, hedge_timer;
};

/* Metrics of the process. */
struct node_stats {
	struct cs_metrics *metrics;
	uint64_t *requests, *ok, *late, *failed, *refused, *disconnected, *closed_unread;
	uint64_t *no_route, *not_ready, *malformed, *unreadable_route, *refused_entries;
	uint64_t *bad_key, *over_quota;
	uint64_t *cut_responses, *cut_requests, *cut_connections;
	uint64_t *sends, *leaving_sends, *limited_sends, *repeats, *hedges, *sheds, *misdirected,
		*unsent, *withheld, *broken, *cancelled;
	uint64_t *probes, *store_failures, *reports_in, *reports_out;
	struct cs_hist *latency, *wait, *send_delay, *turn;
	int64_t *ready, *members, *servers, *limited_servers, *cold_servers, *limit_part, *document,
		*document_problems, *in_flight, *store_unreachable;
	int64_t *workspaces, *keys, *key_age_ms, *keys_stale, *quota_loans, *quota_waiting;
};

enum stop_stage {
	STOP_NONE,
	STOP_ANNOUNCED, /* reported as not ready; connections are still accepted */
	STOP_CLOSED /* the listener is closed; the process exits after the last request */
};

struct node {
	struct ev_loop *loop;
	struct cs_timers *timers;
	const char *settings_path;
	struct platform_settings settings;
	uint64_t settings_mtime_ns;
	uint64_t boot; /* start time; later processes of this instance have higher values */
	uint16_t metrics_port;
	struct cs_events *events;
	struct cs_steer *steer;
	struct cs_transfer_pool *connections; /* to backend servers */
	struct cs_ingress *ingress;
	struct cs_httpd *ready_httpd, *directory_httpd, *metrics_httpd;
	struct cs_curl *control_curl; /* for calls to the store */
	struct platform_store *store;
	struct store_sync *store_sync;
	struct document_load *document_load;
	struct registration *registration;
	struct node_gossip *gossip;
	struct workspaces *workspaces;
	struct node_stats stats;
	TAILQ_HEAD(, request) requests;
	struct cs_timer tick_timer, dispatch_timer, settings_timer;
	bool dispatching;
	ev_signal term, interrupt, hup;
	enum stop_stage stop;
	uint64_t stop_us;
	struct cs_timer stop_timer;
};

/* True if this instance can serve clients. */
bool node_ready(const struct node *n);
/* Fills in this instance as it is announced to clients and to other instances. */
void node_describe_self(const struct node *n, struct cs_steer_member *out);

/* frontend.c: the client side. */
bool frontend_start(struct node *n, struct cs_msg *msg);
/* Completes a request with an error response of this process. */
void frontend_reply_error(struct request *req, unsigned status, const char *error,
			  unsigned retry_after_ms);
/* Logs a request that is rejected before routing and sends the error response. */
void frontend_reject(struct request *req, unsigned status, const char *reason,
		     unsigned retry_after_ms);
/* Forwards the response of an attempt, either from its buffer or as a stream. */
void frontend_forward_response(struct request *req, struct attempt *a);

/* request.c: the state machine of a request. */
struct request *request_create(struct node *n, struct cs_call *call);
void request_destroy(struct request *req);
/* Starts a request whose header section was accepted. */
void request_start(struct request *req);
/* Returns how many of the n body bytes were consumed. */
size_t request_body(struct request *req, const char *data, size_t n);
void request_body_end(struct request *req);
/* The connection of the client ended before its response. */
void request_disconnected(struct request *req, enum cs_call_end end);
/* Called when the transfer of an attempt has changed state or received data. */
void request_progress(struct request *req, struct attempt *a);
/* The request got a token of its workspace's quota. */
void request_token_decided(struct request *req);
/*
 * Completes a request with an error response. A status that promises that it has not run becomes
 * 502 if it may have run.
 */
void request_fail(struct request *req, unsigned status, const char *reason,
		  unsigned retry_after_ms);
/* Decides again on the waiting requests that may now be sent or refused. */
void requests_dispatch(struct node *n);
/* Limits the requests in progress to the end of a stopping process; refuses those not to be sent. */
void requests_limit_to_stop(struct node *n);
/* Logs the requests that the end of the process cuts. */
void requests_log_cut(struct node *n);
/* Schedules requests_dispatch for the next turn of the loop. */
void requests_schedule_dispatch(struct node *n);

/* attempt.c: attempts on backend servers. */
struct attempt *node_attempt_start(struct request *req, struct cs_backend *b, bool hedge);
/* Stops an attempt if it is running, reports its outcome to lib/steer and frees it. */
void node_attempt_end(struct attempt *a, enum cs_steer_outcome outcome);
/* What is known so far about an attempt and whether the server ran the request. */
enum attempt_result {
	ATTEMPT_PENDING,
	ATTEMPT_COMPLETE, /* the whole response of the server is buffered */
	ATTEMPT_STREAMING, /* valid response header; the body exceeds the buffer */
	ATTEMPT_NOT_EXECUTED, /* the server states that it did not run the request */
	ATTEMPT_MISDIRECTED, /* another server uses the address */
	ATTEMPT_UNSENT,
	ATTEMPT_WITHHELD, /* not sent: the server became unusable since it was chosen */
	ATTEMPT_UNSURE_ADDRESS, /* unusable, and another server may use the address */
	ATTEMPT_UNUSABLE /* may have run, but there is no response to forward */
};
enum attempt_result node_attempt_classify(struct attempt *a, const char **why);
/* Passes what the server states in the response header to lib/steer, once per attempt. */
void node_attempt_record_head(struct attempt *a);

/*
 * notice.c: applies what a server states about itself in the response to a request or health check.
 * ends_limit: the server would name its limit in this response if it had one.
 */
void notice_record(struct node *n, struct cs_backend *b, const struct cs_transfer *t,
		   uint64_t sent_us, const char *request_id, bool ends_limit);
/* Logs what lib/steer learned about servers from other instances, or by the passing of time. */
void notice_log_reported(struct node *n, const char *source, const char *reporter);

/* store-sync.c: local copy of the store's document, entries and evacuations. */
struct store_sync *store_sync_create(struct node *n);
void store_sync_destroy(struct store_sync *ss);
/* True once all keys have been read. */
bool store_sync_is_loaded(const struct store_sync *ss);
/* Latest store revision that was applied. */
uint64_t store_sync_revision(const struct store_sync *ss);
/* True if the store responded to a call of this instance very recently. */
bool store_sync_is_fresh(const struct store_sync *ss);
/* Applies changes relayed by an instance of the zone that watches the store. */
struct wire_changes;
void store_sync_apply_relayed(struct store_sync *ss, const struct wire_changes *c);
/* Confirms the document in force if the last call showed that it is the newest. */
void store_sync_confirm_document(struct store_sync *ss);
/* True if all calls to the store have succeeded for several seconds. */
bool store_sync_is_stable(const struct store_sync *ss);
/* True while calls to the store fail. */
bool store_sync_is_unreachable(const struct store_sync *ss);

/* document-load.c: reads documents and puts them in force. */
struct document_load *document_load_create(struct node *n);
void document_load_destroy(struct document_load *dl);
/* Begins to read a document unless this revision is known; the item need not outlive the call. */
void document_load_start(struct document_load *dl, const struct platform_item *it);
/* True if the document in force is the newest that this instance knows of. */
bool document_load_is_current(const struct document_load *dl);
/* Reads the document from the store, where it has this revision or a later one. */
void document_load_fetch(struct document_load *dl, uint64_t revision);

/* registration.c: this instance's own key in the store. */
struct registration *registration_create(struct node *n);
void registration_destroy(struct registration *r);
/* Writes the key again with a new lease, after the store was restored from a copy. */
void registration_repeat(struct registration *r);
/*
 * The instance's own key was removed (in is NULL) or written, at a revision of the store. If that
 * of a former process replaced it, carried out late by the store, the key is written again; that of
 * a later one stays.
 */
void registration_key_changed(struct registration *r, const struct platform_instance *in,
			      uint64_t revision);
/* Revokes the lease, which removes the key. */
void registration_withdraw(struct registration *r);

/* gossip.c: messages between instances. */
struct node_gossip *gossip_create(struct node *n, struct cs_msg *msg);
void gossip_destroy(struct node_gossip *g);
uint16_t gossip_port(const struct node_gossip *g);
/* Adds or updates an instance that is listed in the store. */
void gossip_update_peer(struct node_gossip *g, const char *name, const char *zone,
			const struct platform_endpoint *addr);
/* The instance is no longer listed in the store. */
void gossip_unlist_peer(struct node_gossip *g, const char *name);
/*
 * Relays the response to a watch after revision from, of all keys or of servers' entries only, to
 * the instances of the zone that do not watch the store.
 */
void gossip_send_changes(struct node_gossip *g, const struct platform_response *resp,
			 bool entries_only, uint64_t from, unsigned removal_grace_ms);
/* Sends a report immediately, for example when this instance shuts down. */
void gossip_send_report(struct node_gossip *g);
/* Sends a report immediately to the instances that are near, and to others up to a limit. */
void gossip_send_urgent(struct node_gossip *g);

/* Sends a message on quotas to the instance that it is for, unless that is unknown. */
void gossip_send_ask(struct node_gossip *g, const struct cs_quota_ask *ask);
void gossip_send_reply(struct node_gossip *g, const struct cs_quota_reply *reply);

/* workspaces.c: keys, their age, quotas. */
struct workspaces *workspaces_create(struct node *n);
void workspaces_destroy(struct workspaces *w);
/* Another document is in force; the former one is destroyed. */
void workspaces_document_changed(struct node *n);
void workspaces_settings_changed(struct node *n);
/* The document in force was the newest at that time, by cs_boottime_us. */
void workspaces_confirm(struct node *n, uint64_t confirmed_us);
/* True if requests with a key are refused, as the key may have been withdrawn. */
bool workspaces_keys_stale(const struct node *n);
uint64_t workspaces_key_age_ms(const struct node *n);
void workspaces_counts(const struct node *n, struct cs_quota_counts *out);
/* What a request's headers contain of a key. */
struct key_scan {
	unsigned keys; /* headers with a key */
};
/* Finds the workspace of a request, NULL if it needs none. False if the request was rejected. */
bool workspaces_identify(struct request *req, const struct cs_route *r, const struct key_scan *scan,
			 const struct cs_workspace **out);
/* Takes a token, or begins to wait for one. False if the request was rejected. */
bool workspaces_take_token(struct request *req, const struct cs_workspace *ws, unsigned budget_ms);
/* Counts a request for the metrics of its workspace, if it has one. */
void workspaces_count(const struct request *req, enum cs_usage_kind kind);
/* Metrics of workspaces as text, or NULL without any; the caller frees it with free(). */
char *workspaces_metrics(const struct node *n);
/* The request ends. unused: nothing of it has run, so that another one may spend its token. */
void workspaces_release(struct request *req, bool unused);
/* True if the request may (still) be sent as far as its key is concerned. */
bool workspaces_check(struct request *req);
/* Ends a request for which workspaces_check is false. */
void workspaces_refuse(struct request *req);
void workspaces_handle_ask(struct node *n, const struct cs_quota_ask *ask);
void workspaces_handle_reply(struct node *n, const struct cs_quota_reply *reply);

/* probe.c: health checks of servers that are excluded until they pass one. */
void probe_due(struct node *n);

/* admin.c: readiness, directory, metrics. */
bool admin_start(struct node *n, struct cs_msg *msg);
void admin_stop(struct node *n);

/* stats.c */
void stats_init(struct node_stats *s);
void stats_free(struct node_stats *s);

/* stop.c: graceful shutdown; the handlers of SIGTERM, SIGINT and SIGHUP. */
void stop_init(struct node *n);
/*
 * Moves a deadline after the end of the process to before it; true if it was moved. A request to
 * which that happened may be broken off, and stop_may_send decides whether it is sent all the same.
 */
bool stop_limit_request(const struct node *n, struct request *req);
bool stop_may_send(const struct node *n, const struct request *req);
/* Retry-After of requests that are refused because the process stops. */
unsigned stop_retry_after_ms(const struct node *n);

/* reload.c: reloads of the settings file, on SIGHUP or when its mtime changes. */
/* Defers SIGHUP while it has no handler: its default action ends the process. */
void reload_defer_signal(bool defer);
void reload_init(struct node *n);
void reload_now(struct node *n, const char *cause);

#endif
