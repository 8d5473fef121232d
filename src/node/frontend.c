/* The client side: validation of requests, headers for servers, responses. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/header-list.h"
#include "src/node/node.h"

/* File descriptors reserved for servers, the store and other instances; the rest is for clients. */
#define RESERVED_DESCRIPTORS 1500
/* Limit of a request line with its headers, in bytes. */
#define REQUEST_HEAD_MAX (16 * 1024)
/* Idle timeout of client connections until a document sets one. */
#define IDLE_DEFAULT_S 30
/* Retry-After while the instance has not yet loaded the store and a document. */
#define NOT_READY_RETRY_AFTER_MS 300
/* Retry-After for a route that this version cannot read; another instance may be able to. */
#define UNREADABLE_RETRY_AFTER_MS 1000
/* Headers added to those of the client, and their size in bytes. */
#define ADDED_HEADERS (2 + CS_HEADER_LIST_END_LINES)
#define ADDED_HEADER_BYTES                                                                         \
	(16 + sizeof(PLATFORM_H_WORKSPACE) + CS_WORKSPACE_NAME_MAX + 2 + CS_HEADER_LIST_END_BYTES)

static void on_begin(struct cs_call *call, void *arg);
static size_t on_body(struct cs_call *call, const char *data, size_t n, void *arg);
static void on_body_end(struct cs_call *call, void *arg);
static void on_disconnected(struct cs_call *call, enum cs_call_end end, void *arg);
static ssize_t on_read(struct cs_call *call, char *buf, size_t max, void *arg);
static void on_done(struct cs_call *call, void *arg);
static unsigned on_ahead(struct cs_call *call, void *arg);
static const char *on_name(struct cs_call *call, void *arg);
static void on_cut(const struct cs_linger_cut *cut, void *arg);

static const struct cs_ingress_ops ops = {.begin = on_begin,
					  .body = on_body,
					  .body_end = on_body_end,
					  .disconnected = on_disconnected,
					  .read = on_read,
					  .done = on_done,
					  .ahead = on_ahead,
					  .name = on_name,
					  .cut = on_cut};

bool frontend_start(struct node *n, struct cs_msg *msg)
{
	unsigned total = n->settings.max_descriptors;
	struct cs_ingress_opts opts = {.addr = n->settings.front.addr,
				       .port = n->settings.front.port,
				       .connections = total > 2 * RESERVED_DESCRIPTORS
							      ? total - RESERVED_DESCRIPTORS
							      : total / 2,
				       .head_max = REQUEST_HEAD_MAX,
				       .idle_s = IDLE_DEFAULT_S,
				       .ops = &ops,
				       .arg = n};

	n->ingress = cs_ingress_create(n->loop, n->timers, &opts, msg);
	return n->ingress != NULL;
}

/* Result of the first pass over the client's headers, which validates and measures them. */
struct header_scan {
	size_t bytes;
	unsigned n;
	unsigned hosts, deadlines, ids;
	struct key_scan key;
	const char *connection;
	bool malformed; /* a name or value that must not be forwarded */
};

static bool scan_request_header(const char *name, const char *value, void *arg)
{
	struct header_scan *s = arg;

	s->bytes += strlen(name) + strlen(value) + 4;
	s->n++;
	if (strcasecmp(name, "Connection") == 0)
		s->connection = value;
	s->hosts += strcasecmp(name, "Host") == 0;
	s->deadlines += strcasecmp(name, PLATFORM_H_DEADLINE) == 0;
	s->ids += strcasecmp(name, PLATFORM_H_REQUEST_ID) == 0;
	s->key.keys += strcasecmp(name, PLATFORM_H_KEY) == 0;
	if (!check_name(name) || !check_value(value))
		s->malformed = true;
	return true;
}

/* False if a header is malformed, or if Host, the deadline or the request id is repeated. */
static bool header_scan_is_valid(const struct header_scan *s)
{
	return !s->malformed && s->hosts <= 1 && s->deadlines <= 1 && s->ids <= 1;
}

/* State of the second pass, which copies the headers to forward. */
struct header_copy {
	const char *connection;
	bool drop_workspace; /* headers of workspaces are this instance's alone */
	struct cs_header_list lines;
};

/* Headers that are set anew for each attempt. */
static bool is_set_per_attempt(const char *name)
{
	return strcasecmp(name, PLATFORM_H_DEADLINE) == 0 ||
	       strcasecmp(name, PLATFORM_H_EXPECTED_SERVER) == 0;
}

static bool is_of_workspace(const char *name)
{
	return strcasecmp(name, PLATFORM_H_KEY) == 0 || strcasecmp(name, PLATFORM_H_WORKSPACE) == 0;
}

static bool copy_request_header(const char *name, const char *value, void *arg)
{
	struct header_copy *hc = arg;

	if (head_is_forwarded(name, hc->connection) && !is_set_per_attempt(name) &&
	    !(hc->drop_workspace && is_of_workspace(name)))
		cs_header_list_add(&hc->lines, name, value);
	return true;
}

static void build_request_headers(struct request *req, const struct header_scan *s)
{
	const struct cs_document *doc = cs_steer_current_document(req->node->steer);
	struct header_copy hc = {.connection = s->connection,
				 .drop_workspace = doc->workspaces != NULL};

	cs_header_list_begin(&hc.lines, s->n + ADDED_HEADERS, s->bytes + ADDED_HEADER_BYTES);
	cs_call_headers(req->call, copy_request_header, &hc);
	cs_header_list_suppress(&hc.lines, "Expect");
	if (*req->workspace_name != '\0')
		cs_header_list_add(&hc.lines, PLATFORM_H_WORKSPACE, req->workspace_name);
	req->headers = cs_header_list_finish(&hc.lines);
}

/* Reads the remaining time stated by the client, in ms; 0 if absent. False if malformed. */
static bool parse_deadline_header(struct cs_call *call, unsigned *ms)
{
	const char *text = cs_call_header(call, PLATFORM_H_DEADLINE);

	*ms = 0;
	return text == NULL || check_deadline(text, ms);
}

/* Returns false if the framing headers are invalid; lib/proxy decodes the body. */
static bool parse_framing(struct request *req)
{
	const char *length = cs_call_header(req->call, "Content-Length");
	char *end;

	if (cs_call_header(req->call, "Transfer-Encoding") != NULL) {
		req->has_body = true;
		req->content_length = UINT64_MAX;
		return length == NULL;
	}
	if (length == NULL)
		return true;
	if (*length < '0' || *length > '9')
		return false;
	req->content_length = strtoull(length, &end, 10);
	req->has_body = req->content_length > 0;
	return *end == '\0';
}

void frontend_reject(struct request *req, unsigned status, const char *reason,
		     unsigned retry_after_ms)
{
	struct node *n = req->node;
	const struct cs_document *doc = cs_steer_current_document(n->steer);

	if (status == 401)
		(*n->stats.bad_key)++;
	workspaces_release(req, true);
	cs_event(n->events, CS_EVENT_IMPORTANT, "request.rejected",
		 "id=%s status=%u reason=%s document=%llu workspace=%s retry_after_ms=%u", req->id,
		 status, reason, (unsigned long long)(doc != NULL ? doc->version : 0),
		 *req->workspace_name != '\0' ? req->workspace_name : "-", retry_after_ms);
	frontend_reply_error(req, status, reason, retry_after_ms);
}

/* Selects the route. If there is none, rejects the request and returns false. */
static bool select_route(struct request *req, const struct header_scan *scan, unsigned budget_ms)
{
	struct node *n = req->node;
	const struct cs_document *doc = cs_steer_current_document(n->steer);
	const char *host = cs_call_header(req->call, "Host");
	const char *object = cs_call_cookie(req->call, PLATFORM_COOKIE_AFFINITY);
	const struct cs_workspace *ws;
	const struct cs_route *r;
	uint64_t now = cs_mono_us();

	if (doc == NULL || !store_sync_is_loaded(n->store_sync)) {
		(*n->stats.not_ready)++;
		frontend_reject(req, 503, "not_ready", NOT_READY_RETRY_AFTER_MS);
		return false;
	}
	r = host ? cs_document_route(doc, host, cs_call_target(req->call)) : NULL;
	if (r != NULL ? r->unreadable : doc->n_unmatchable > 0) {
		(*n->stats.unreadable_route)++;
		frontend_reject(req, 503, "route_unreadable", UNREADABLE_RETRY_AFTER_MS);
		return false;
	}
	if (r == NULL) {
		(*n->stats.no_route)++;
		frontend_reject(req, 404, "no_route", 0);
		return false;
	}
	cs_copy(req->route, sizeof(req->route), r->name);
	if (!workspaces_identify(req, r, &scan->key, &ws) ||
	    (ws != NULL && !workspaces_take_token(req, ws, budget_ms)))
		return false;
	req->repeat = r->repeat;
	req->steer_state.object = object != NULL ? cs_hash_str(object, 0) : 0;
	req->steer_state.arg = req;
	cs_steer_request_init(n->steer, &req->steer_state, r, budget_ms, now);
	if (ws != NULL)
		cs_steer_request_set_workspace(n->steer, &req->steer_state, ws, now);
	stop_limit_request(n, req);
	if (!stop_may_send(n, req)) {
		(*n->stats.refused)++;
		frontend_reject(req, 503, "stopping", stop_retry_after_ms(n));
		return false;
	}
	return true;
}

static void on_begin(struct cs_call *call, void *arg)
{
	struct node *n = arg;
	struct request *req = request_create(n, call);
	const char *id = cs_call_header(call, PLATFORM_H_REQUEST_ID);
	struct header_scan s = {.n = 0};
	unsigned budget_ms;

	cs_call_set_data(call, req);
	if (id != NULL)
		req->full_id = id;
	cs_copy(req->id, sizeof(req->id), req->full_id);
	if (cs_call_closed_unread(call)) {
		(*n->stats.closed_unread)++;
		cs_event(n->events, CS_EVENT_IMPORTANT, "request.closed_unread", "id=%s", req->id);
	}
	if (cs_call_fault(call) != CS_CALL_VALID) {
		(*n->stats.malformed)++;
		frontend_reject(req, cs_call_fault_status(cs_call_fault(call)),
				cs_call_fault_name(cs_call_fault(call)), 0);
		return;
	}
	cs_call_headers(call, scan_request_header, &s);
	if (!header_scan_is_valid(&s) || !parse_framing(req) ||
	    !parse_deadline_header(call, &budget_ms) || !check_target(cs_call_target(call)) ||
	    !check_method(cs_call_method(call))) {
		cs_call_close_after_response(call);
		frontend_reject(req, 400, "bad_request", 0);
		return;
	}
	if (budget_ms > 0)
		cs_call_set_deadline(call, cs_mono_us() + budget_ms * CS_US_PER_MS);
	if (!select_route(req, &s, budget_ms))
		return;
	build_request_headers(req, &s);
	request_start(req);
}

static size_t on_body(struct cs_call *call, const char *data, size_t n, void *arg)
{
	return request_body(cs_call_data(call), data, n);
}

static void on_body_end(struct cs_call *call, void *arg)
{
	request_body_end(cs_call_data(call));
}

static void on_disconnected(struct cs_call *call, enum cs_call_end end, void *arg)
{
	request_disconnected(cs_call_data(call), end);
}

static void on_done(struct cs_call *call, void *arg)
{
	request_destroy(cs_call_data(call));
}

/*
 * Requests that may be repeated begin before the responses to earlier ones on their connection. A
 * download may break off and close the connection, so none begins behind it: the client sends those
 * behind it again.
 */
static unsigned on_ahead(struct cs_call *call, void *arg)
{
	struct node *n = arg;
	const struct cs_document *doc = cs_steer_current_document(n->steer);
	const char *host = cs_call_header(call, "Host");
	const struct cs_route *r = NULL;

	if (doc != NULL && host != NULL)
		r = cs_document_route(doc, host, cs_call_target(call));
	if (r == NULL)
		return 0;
	switch (r->repeat) {
	case CS_REPEAT_SAFE:
		return CS_AHEAD_BEGIN | CS_AHEAD_FOLLOW;
	case CS_REPEAT_ONCE:
		return CS_AHEAD_FOLLOW;
	case CS_REPEAT_DOWNLOAD:
	case CS_REPEAT_UPLOAD:
		break;
	}
	return 0;
}

static const char *on_name(struct cs_call *call, void *arg)
{
	const struct request *req = cs_call_data(call);

	return req->id;
}

static void on_cut(const struct cs_linger_cut *cut, void *arg)
{
	struct node *n = arg;

	(*n->stats.cut_connections)++;
	cs_event(n->events, CS_EVENT_IMPORTANT, "connection.cut",
		 "id=%s why=%s lingered_ms=%llu bytes=%llu", cut->name,
		 cs_linger_why_name(cut->why),
		 (unsigned long long)(cut->lingered_us / CS_US_PER_MS),
		 (unsigned long long)cut->bytes);
}

/* The client connection can accept more of a streamed response. */
static ssize_t on_read(struct cs_call *call, char *buf, size_t max, void *arg)
{
	struct request *req = cs_call_data(call);
	struct attempt *a = req->streaming_attempt;
	size_t n;

	if (a == NULL)
		return CS_READ_ERROR;
	n = ring_read(cs_transfer_data(a->transfer), buf, max);
	if (n > 0) {
		cs_transfer_data_consumed(a->transfer);
		return (ssize_t)n;
	}
	switch (cs_transfer_state(a->transfer)) {
	case CS_TRANSFER_COMPLETE:
		return CS_READ_END;
	case CS_TRANSFER_FAILED:
	case CS_TRANSFER_UNSENT:
		return CS_READ_ERROR;
	case CS_TRANSFER_SENT:
	case CS_TRANSFER_HEAD:
		break;
	}
	return CS_READ_AGAIN;
}

void frontend_reply_error(struct request *req, unsigned status, const char *error,
			  unsigned retry_after_ms)
{
	struct head headers = {0};
	char body[128], text[24];
	int n;

	n = snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n", error);
	head_add(&headers, "Content-Type", 12, "application/json", 16);
	if (*req->full_id != '\0')
		head_add(&headers, PLATFORM_H_REQUEST_ID, strlen(PLATFORM_H_REQUEST_ID),
			 req->full_id, strlen(req->full_id));
	if (retry_after_ms > 0) {
		snprintf(text, sizeof(text), "%.3f", retry_after_ms / 1000.0);
		head_add(&headers, "Retry-After", 11, text, strlen(text));
	}
	req->stage = STAGE_RESPONDING;
	cs_call_respond(req->call, status, &headers, body, (size_t)n);
	head_free(&headers);
}

/* Copies the server's headers except for hop-by-hop and framing headers. */
static void copy_response_headers(const struct head *from, struct head *to)
{
	const char *connection = head_get(from, "Connection"), *name, *value;
	size_t at = 0;

	while (head_next(from, &at, &name, &value)) {
		if (head_is_forwarded(name, connection))
			head_add(to, name, strlen(name), value, strlen(value));
	}
}

void frontend_forward_response(struct request *req, struct attempt *a)
{
	struct cs_transfer *t = a->transfer;
	struct ring *data = cs_transfer_data(t);
	unsigned status = cs_transfer_status(t);
	struct head headers = {0};
	bool no_body;

	/* Without a body, as for HEAD, the length that it would have is stated. */
	no_body = cs_transfer_bodiless(t) && cs_transfer_length(t) != UINT64_MAX;
	copy_response_headers(cs_transfer_head(t), &headers);
	req->stage = STAGE_RESPONDING;
	if (!no_body && cs_transfer_state(t) == CS_TRANSFER_COMPLETE && ring_is_intact(data))
		cs_call_respond(req->call, status, &headers, data->data ? data->data : "",
				ring_used(data));
	else
		cs_call_respond_stream(req->call, status, &headers, cs_transfer_length(t));
	head_free(&headers);
}
