/* Calls: the request as seen by the owner of the ingress, and the response that it sets. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/ingress-int.h"

struct cs_call *call_create(struct conn *c)
{
	struct cs_call *call = cs_xcalloc(1, sizeof(*call));

	call->conn = c;
	call->size = UINT64_MAX;
	return call;
}

void call_destroy(struct cs_call *call)
{
	struct cs_ingress *g = call->conn->owner;

	if (call->begun)
		g->ops->done(call, g->arg);
	head_free(&call->headers);
	head_free(&call->lines);
	free(call->target);
	free(call->cookie);
	free(call->body);
	free(call);
}

void cs_call_set_data(struct cs_call *call, void *data)
{
	call->data = data;
}

void *cs_call_data(const struct cs_call *call)
{
	return call->data;
}

enum cs_call_fault cs_call_fault(const struct cs_call *call)
{
	return call->fault;
}

unsigned cs_call_fault_status(enum cs_call_fault fault)
{
	switch (fault) {
	case CS_CALL_TOO_LARGE:
		return 431;
	case CS_CALL_BAD_METHOD:
		return 501;
	case CS_CALL_BAD_VERSION:
		return 505;
	default:
		return 400;
	}
}

const char *cs_call_fault_name(enum cs_call_fault fault)
{
	static const char *const names[] = {"none",	   "bad_request",      "bad_method",
					    "bad_target",  "bad_version",      "bad_header",
					    "bad_framing", "headers_too_large"};

	return names[fault];
}

const char *cs_call_end_name(enum cs_call_end end)
{
	static const char *const names[] = {"client_closed", "idle", "broken", "bad_body"};

	return names[end];
}

const char *cs_call_method(const struct cs_call *call)
{
	return call->method;
}

const char *cs_call_target(const struct cs_call *call)
{
	return call->target != NULL ? call->target : "";
}

const char *cs_call_header(const struct cs_call *call, const char *name)
{
	return head_get(&call->headers, name);
}

/* Finds a cookie in the value of one Cookie header; returns its value and length, or NULL. */
static const char *find_cookie(const char *list, const char *name, size_t *len)
{
	size_t n = strlen(name);
	const char *p = list;

	while (*p != '\0') {
		p += strspn(p, "; \t");
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			p += n + 1;
			*len = strcspn(p, ";");
			while (*len > 0 && (p[*len - 1] == ' ' || p[*len - 1] == '\t'))
				--*len;
			return p;
		}
		p += strcspn(p, ";");
	}
	return NULL;
}

const char *cs_call_cookie(struct cs_call *call, const char *name)
{
	const char *line, *value, *cookie;
	size_t at = 0, len;

	while (head_next(&call->headers, &at, &line, &value)) {
		if (strcasecmp(line, "Cookie") != 0)
			continue;
		cookie = find_cookie(value, name, &len);
		if (cookie == NULL)
			continue;
		free(call->cookie);
		call->cookie = cs_xcalloc(1, len + 1);
		memcpy(call->cookie, cookie, len);
		return call->cookie;
	}
	return NULL;
}

void cs_call_set_deadline(struct cs_call *call, uint64_t deadline_us)
{
	call->deadline_us = deadline_us;
}

bool cs_call_closed_unread(const struct cs_call *call)
{
	return call->closed_unread;
}

void cs_call_headers(const struct cs_call *call,
		     bool (*fn)(const char *name, const char *value, void *arg), void *arg)
{
	const char *name, *value;
	size_t at = 0;

	while (head_next(&call->headers, &at, &name, &value))
		if (!fn(name, value, arg))
			return;
}

/* Replaces the response, unless the output already contains a part of one. */
static bool set_response(struct cs_call *call, unsigned status, const struct head *lines)
{
	if (call->head_written)
		return false;
	call->responded = true;
	if (call->conn->reading == call)
		call->conn->body_blocked = false;
	call->status = status;
	head_clear(&call->lines);
	if (lines != NULL)
		head_copy(&call->lines, lines);
	free(call->body);
	call->body = NULL;
	conn_schedule(call->conn);
	return true;
}

void cs_call_respond(struct cs_call *call, unsigned status, const struct head *lines,
		     const char *body, size_t len)
{
	if (!set_response(call, status, lines))
		return;
	call->streamed = false;
	call->size = len;
	call->body = cs_xcalloc(1, len + 1);
	memcpy(call->body, body, len);
}

void cs_call_respond_stream(struct cs_call *call, unsigned status, const struct head *lines,
			    uint64_t size)
{
	if (!set_response(call, status, lines))
		return;
	call->streamed = true;
	call->size = size;
}

void cs_call_close_after_response(struct cs_call *call)
{
	call->close_after = true;
}

void cs_call_resume(struct cs_call *call)
{
	if (call->conn->reading == call)
		call->conn->body_blocked = false;
	conn_schedule(call->conn);
}
