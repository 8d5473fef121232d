/* Answers to callers: errors of the system, whole answers, streamed answers, kept outcomes. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "src/proxyd/proxyd.h"

/* Bytes MHD asks for in one call while an answer streams. */
#define BLOCK_SIZE (32 * 1024)
/* Largest header block and body of a reply written before the end of the request's body. */
#define EARLY_MAX (8 * 1024)

static ssize_t on_answer(void *cls, uint64_t pos, char *buf, size_t max);

const char *ran_name(enum ran ran)
{
	static const char *const names[] = {"no", "unknown", "yes"};

	return names[ran];
}

/* Adds a header; MHD takes no tabs in values. */
static void add_header(struct MHD_Response *r, const char *name, const char *value)
{
	char *copy, *p;

	if (strchr(value, '\t') == NULL) {
		MHD_add_response_header(r, name, value);
		return;
	}
	copy = cs_xstrdup(value);
	for (p = copy; *p != '\0'; p++)
		if (*p == '\t')
			*p = ' ';
	MHD_add_response_header(r, name, copy);
	free(copy);
}

/* Headers that identify the answer. */
static void add_identity(struct request *req, const char *server, enum ran ran)
{
	struct MHD_Response *r = req->reply;

	MHD_add_response_header(r, "X-Request-Id", req->id);
	MHD_add_response_header(r, "X-Cassia-Instance", req->proxyd->instance);
	if (server != NULL)
		MHD_add_response_header(r, "X-Cassia-Server", server);
	MHD_add_response_header(r, "X-Cassia-Ran", ran_name(ran));
}

/* body is NULL for a reply that streams. */
static void set_reply(struct request *req, unsigned status, struct MHD_Response *r,
		      const char *body, size_t len)
{
	if (req->reply != NULL)
		MHD_destroy_response(req->reply);
	req->reply = r;
	req->reply_body = body;
	req->reply_len = len;
	req->status = status;
}

void reply_error(struct request *req, unsigned status, const char *error, enum ran ran,
		 const char *message, unsigned retry_after_s)
{
	json_t *doc = json_pack("{s:s, s:s, s:s, s:s}", "error", error, "message", message, "ran",
				ran_name(ran), "request_id", req->id);
	char *text = doc ? json_dumps(doc, JSON_COMPACT) : NULL;
	char *line = cs_xasprintf("%s\n", text ? text : "{}");
	char number[16];

	json_decref(doc);
	free(text);
	set_reply(req, status,
		  MHD_create_response_from_buffer(strlen(line), line, MHD_RESPMEM_MUST_FREE), line,
		  strlen(line));
	MHD_add_response_header(req->reply, "Content-Type", "application/json");
	add_identity(req, NULL, ran);
	if (status == 503) {
		snprintf(number, sizeof(number), "%u", retry_after_s ? retry_after_s : 1);
		MHD_add_response_header(req->reply, "Retry-After", number);
	}
}

void reply_text(struct request *req, unsigned status, const char *type, char *body)
{
	set_reply(req, status,
		  MHD_create_response_from_buffer(strlen(body), body, MHD_RESPMEM_MUST_FREE), body,
		  strlen(body));
	MHD_add_response_header(req->reply, "Content-Type", type);
}

/* Passes a server's header lines on, without those of one connection and our own. */
static void add_head(struct MHD_Response *r, const struct head *head, bool hop)
{
	const char *connection = head_get(head, "Connection"), *name, *value;
	size_t at = 0;

	while (head_next(head, &at, &name, &value)) {
		if (head_is_hop(name) || strcasecmp(name, "Content-Length") == 0)
			continue;
		if (connection != NULL && head_list_has(connection, name))
			continue;
		if (strcasecmp(name, "X-Ran") == 0 || strcasecmp(name, "X-Server-State") == 0 ||
		    strcasecmp(name, "X-Request-Id") == 0)
			continue;
		if (!hop && strncasecmp(name, "X-Cassia-", 9) == 0)
			continue;
		add_header(r, name, value);
	}
}

/* Response object for a whole answer; its bytes stay in the attempt. */
static struct MHD_Response *whole_response(struct request *req, struct attempt *att)
{
	if (strcmp(req->method, "HEAD") == 0 && att->length != UINT64_MAX)
		return MHD_create_response_from_callback(att->length, BLOCK_SIZE, on_answer, req,
							 NULL);
	return MHD_create_response_from_buffer(ring_used(&att->data), att->data.data,
					       MHD_RESPMEM_PERSISTENT);
}

/* Response object for an answer that streams. */
static struct MHD_Response *stream_response(struct request *req, struct attempt *att)
{
	uint64_t size = att->framing == FRAMING_LENGTH ? att->length : MHD_SIZE_UNKNOWN;
	struct MHD_Response *r;

	if (cs_fault("discard"))
		size = MHD_SIZE_UNKNOWN;
	r = MHD_create_response_from_callback(size, BLOCK_SIZE, on_answer, req, NULL);
	/*
	 * The server marks the end by closing the connection. The caller gets the same framing:
	 * a final chunk would claim that the answer is whole.
	 */
	if (att->framing == FRAMING_CLOSE)
		MHD_set_response_options(r, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
	return r;
}

void reply_attempt(struct request *req)
{
	struct attempt *att = req->winner;
	bool hop = att->kind == ATTEMPT_HOP, kept = att->no_body;

	/* A whole answer that did not wrap can be sent from its buffer. */
	if (att->whole && att->framing != FRAMING_CLOSE && ring_whole(&att->data))
		kept = true;
	if (kept)
		set_reply(req, att->status, whole_response(req, att),
			  att->data.data ? att->data.data : "", ring_used(&att->data));
	else
		set_reply(req, att->status, stream_response(req, att), NULL, 0);
	add_head(req->reply, &att->head, hop);
	if (hop)
		MHD_add_response_header(req->reply, "X-Request-Id", req->id);
	else
		add_identity(req, att->name, RAN_YES);
}

void reply_outcome(struct request *req, const struct outcome *o)
{
	char message[96];

	switch (o->kind) {
	case OUTCOME_KEPT:
		set_reply(req, o->status,
			  MHD_create_response_from_buffer(o->len, o->body, MHD_RESPMEM_MUST_COPY),
			  NULL, 0);
		add_head(req->reply, &o->head, true);
		MHD_add_response_header(req->reply, "X-Request-Id", req->id);
		break;
	case OUTCOME_STATUS:
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

enum MHD_Result reply_send(struct request *req)
{
	if (req->proxyd->stop != STOP_NO || req->close)
		MHD_add_response_header(req->reply, "Connection", "close");
	return MHD_queue_response(req->mhd, req->status, req->reply);
}

/* Text of a reply's header lines. */
struct lines {
	char text[EARLY_MAX];
	size_t len;
};

static enum MHD_Result write_line(void *cls, enum MHD_ValueKind kind, const char *name,
				  const char *value)
{
	struct lines *l = cls;
	int n;

	if (strcasecmp(name, "Content-Length") == 0 || strcasecmp(name, "Connection") == 0)
		return MHD_YES;
	n = snprintf(l->text + l->len, sizeof(l->text) - l->len, "%s: %s\r\n", name, value);
	if (n < 0 || (size_t)n >= sizeof(l->text) - l->len)
		return MHD_NO;
	l->len += (size_t)n;
	return MHD_YES;
}

bool reply_early(struct request *req)
{
	struct lines l = {.len = 0};
	int fd = req->conn ? req->conn->fd : -1, rows;
	struct iovec iov[2];
	struct msghdr msg = {.msg_iov = iov, .msg_iovlen = 2};
	char *head;
	ssize_t n;

	if (req->reply_body == NULL || req->reply_len > EARLY_MAX || fd < 0)
		return false;
	rows = MHD_get_response_headers(req->reply, NULL, NULL);
	if (MHD_get_response_headers(req->reply, write_line, &l) != rows)
		return false;
	head = cs_xasprintf("HTTP/1.1 %u %s\r\n%sConnection: close\r\nContent-Length: %zu\r\n\r\n",
			    req->status, MHD_get_reason_phrase_for(req->status), l.text,
			    req->reply_len);
	iov[0] = (struct iovec){.iov_base = head, .iov_len = strlen(head)};
	iov[1] = (struct iovec){.iov_base = (void *)(uintptr_t)req->reply_body,
				.iov_len = req->reply_len};
	/*
	 * MHD has written nothing for this request but an interim answer, so that the socket takes
	 * it all; if not, the caller sees a cut answer.
	 */
	n = sendmsg(fd, &msg, MSG_DONTWAIT | MSG_NOSIGNAL);
	free(head);
	return n > 0;
}

/* MHD wants more of the winner's answer. */
static ssize_t on_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct request *req = cls;
	struct attempt *att = req->winner;
	size_t n;

	if (req->gone || att == NULL)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = ring_get(&att->data, buf, max);
	if (n > 0) {
		*req->stats->body_out += n;
		attempt_answer_taken(att);
		return (ssize_t)n;
	}
	if (att->failed)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (att->whole)
		return MHD_CONTENT_READER_END_OF_STREAM;
	server_suspend(req);
	return 0;
}
