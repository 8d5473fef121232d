/* Responses to clients: proxy errors, complete and streamed responses, stored outcomes. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "src/proxyd/proxyd.h"

const char *ran_name(enum ran ran)
{
	static const char *const names[] = {"no", "unknown", "yes"};

	return names[ran];
}

static void add_header(struct head *h, const char *name, const char *value)
{
	head_add(h, name, strlen(name), value, strlen(value));
}

/* Adds the headers that identify the request and who responded. */
static void add_identity(struct request *req, struct head *h, const char *server, enum ran ran)
{
	add_header(h, "X-Request-Id", req->id);
	add_header(h, "X-Cassia-Instance", req->proxyd->instance);
	if (server != NULL)
		add_header(h, "X-Cassia-Server", server);
	add_header(h, "X-Cassia-Ran", ran_name(ran));
}

/* Sends a complete response and frees its header lines. */
static void send_complete(struct request *req, unsigned status, struct head *h, const char *body,
			  size_t len)
{
	req->responded = true;
	req->status = status;
	cs_call_respond(req->call, status, h, body, len);
	head_free(h);
}

void reply_error(struct request *req, unsigned status, const char *error, enum ran ran,
		 const char *message, unsigned retry_after_s)
{
	json_t *doc = json_pack("{s:s, s:s, s:s, s:s}", "error", error, "message", message, "ran",
				ran_name(ran), "request_id", req->id);
	char *text = doc ? json_dumps(doc, JSON_COMPACT) : NULL;
	char *line = cs_xasprintf("%s\n", text ? text : "{}");
	struct head h = {0};
	char number[16];

	json_decref(doc);
	free(text);
	add_header(&h, "Content-Type", "application/json");
	add_identity(req, &h, NULL, ran);
	if (status == 503) {
		snprintf(number, sizeof(number), "%u", retry_after_s ? retry_after_s : 1);
		add_header(&h, "Retry-After", number);
	}
	send_complete(req, status, &h, line, strlen(line));
	free(line);
}

void reply_text(struct request *req, unsigned status, const char *type, char *body)
{
	struct head h = {0};

	add_header(&h, "Content-Type", type);
	send_complete(req, status, &h, body, strlen(body));
	free(body);
}

/*
 * Copies the response headers to forward: not the hop-by-hop ones, and not those that servers use to
 * inform the proxy or that the proxy sets itself. Another proxy's X-Cassia- headers are forwarded.
 */
static void add_forwarded_headers(struct head *to, const struct head *head, bool hop)
{
	const char *connection = head_get(head, "Connection"), *name, *value;
	size_t at = 0;

	while (head_next(head, &at, &name, &value)) {
		if (!head_is_forwarded(name, connection))
			continue;
		if (strcasecmp(name, "X-Ran") == 0 || strcasecmp(name, "X-Server-State") == 0 ||
		    strcasecmp(name, "X-Request-Id") == 0)
			continue;
		if (!hop && strncasecmp(name, "X-Cassia-", 9) == 0)
			continue;
		add_header(to, name, value);
	}
}

/* Starts a response that is forwarded while it is being received. */
static void start_stream(struct request *req, const struct attempt *att, struct head *h)
{
	uint64_t size = att->framing == CS_FRAMING_LENGTH ? att->length : UINT64_MAX;

	if (cs_fault_enabled("discard"))
		size = UINT64_MAX;
	req->responded = true;
	req->status = att->status;
	cs_call_respond_stream(req->call, att->status, h, size);
	head_free(h);
}

void reply_attempt(struct request *req)
{
	struct attempt *att = req->winner;
	bool hop = att->kind == ATTEMPT_HOP;
	struct head h = {0};

	add_forwarded_headers(&h, att->head, hop);
	if (hop)
		add_header(&h, "X-Request-Id", req->id);
	else
		add_identity(req, &h, att->name, RAN_YES);
	/* A complete response that did not wrap in the ring can be sent from its buffer. */
	if ((att->no_body && att->length == UINT64_MAX) ||
	    (!att->no_body && att->complete && att->framing != CS_FRAMING_CLOSE &&
	     ring_is_intact(att->data)))
		send_complete(req, att->status, &h, att->data->data ? att->data->data : "",
			      ring_used(att->data));
	else
		start_stream(req, att, &h);
}

void reply_outcome(struct request *req, const struct outcome *o)
{
	struct head h = {0};
	char message[96];

	switch (o->kind) {
	case OUTCOME_STORED:
		add_forwarded_headers(&h, &o->head, true);
		add_header(&h, "X-Request-Id", req->id);
		send_complete(req, o->status, &h, o->body, o->len);
		break;
	case OUTCOME_STATUS_ONLY:
		snprintf(message, sizeof(message),
			 "the request ran with status %u; its answer was not kept", o->status);
		reply_error(req, 409, "answer_not_kept", RAN_YES, message, 0);
		break;
	case OUTCOME_RUNNING:
	case OUTCOME_UNKNOWN:
		reply_error(req, 502, "lost", RAN_UNKNOWN,
			    "an earlier request with this id was lost; the outcome is unknown", 0);
		break;
	}
}

ssize_t reply_read(struct request *req, char *buf, size_t max)
{
	struct attempt *att = req->winner;
	size_t n;

	if (req->disconnected || att == NULL)
		return CS_READ_ERROR;
	n = ring_read(att->data, buf, max);
	if (n > 0) {
		*req->stats->body_out += n;
		attempt_response_consumed(att);
		return (ssize_t)n;
	}
	if (att->failed)
		return CS_READ_ERROR;
	return att->complete ? CS_READ_END : CS_READ_AGAIN;
}
