/* Validates new requests and builds the header lines that are forwarded to servers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/header-list.h"
#include "src/proxyd/proxyd.h"

/* Lines added to those of the client: class, id and the suppression of libcurl's defaults. */
#define ADDED_LINES 4
#define ADDED_BYTES 256

/* Result of the first pass over the headers. */
struct scan {
	struct request *req;
	const char *class_name, *id, *deadline, *hop, *length, *coding, *connection;
	const char *bad_header; /* name of the first malformed or repeated header, or NULL */
	size_t bytes; /* including separators and line ends */
	unsigned n; /* lines */
};

/* State of the second pass, which copies the headers to forward. */
struct header_writer {
	const char *connection;
	struct cs_header_list lines;
};

/* Stores the value of a header that may occur only once; a repetition is an error. */
static void scan_single(struct scan *s, const char **slot, const char *name, const char *value)
{
	if (*slot != NULL && s->bad_header == NULL)
		s->bad_header = name;
	*slot = value;
}

static bool scan_header(const char *name, const char *value, void *arg)
{
	struct scan *s = arg;

	s->bytes += strlen(name) + strlen(value) + 4;
	s->n++;
	if (s->bad_header == NULL && (!check_name(name) || !check_value(value)))
		s->bad_header = name;
	switch (*name | 0x20) {
	case 'x':
		if (strcasecmp(name, "X-Cassia-Class") == 0)
			scan_single(s, &s->class_name, name, value);
		else if (strcasecmp(name, "X-Request-Id") == 0)
			scan_single(s, &s->id, name, value);
		else if (strcasecmp(name, "X-Cassia-Deadline-Ms") == 0)
			scan_single(s, &s->deadline, name, value);
		else if (strcasecmp(name, "X-Cassia-Hop") == 0)
			scan_single(s, &s->hop, name, value);
		break;
	case 'c':
		if (strcasecmp(name, "Content-Length") == 0)
			scan_single(s, &s->length, name, value);
		else if (strcasecmp(name, "Connection") == 0)
			s->connection = value;
		break;
	case 't':
		if (strcasecmp(name, "Transfer-Encoding") == 0)
			scan_single(s, &s->coding, name, value);
		break;
	default:
		break;
	}
	return true;
}

/* True for headers that only the proxy sets. */
static bool is_proxy_header(const char *name)
{
	return strncasecmp(name, "X-Cassia-", 9) == 0 || strcasecmp(name, "X-Request-Id") == 0;
}

static bool forward_header(const char *name, const char *value, void *arg)
{
	struct header_writer *w = arg;

	if (head_is_forwarded(name, w->connection) && !is_proxy_header(name))
		cs_header_list_add(&w->lines, name, value);
	return true;
}

static void build_header_lines(struct request *req, const struct scan *s)
{
	struct header_writer w = {.connection = s->connection};

	cs_header_list_begin(&w.lines, s->n + ADDED_LINES, s->bytes + ADDED_BYTES);
	cs_header_list_add(&w.lines, "X-Request-Id", req->id);
	cs_header_list_add(&w.lines, "X-Cassia-Class", req->class_name);
	cs_call_headers(req->call, forward_header, &w);
	req->lines = cs_header_list_finish(&w.lines);
}

/* Parses Content-Length and Transfer-Encoding. lib/proxy decodes the body. */
static bool read_framing(struct request *req, const struct scan *s)
{
	char *end;

	if (s->coding != NULL) {
		req->has_body = req->chunked = true;
		return s->length == NULL && strcasecmp(s->coding, "chunked") == 0;
	}
	if (s->length == NULL)
		return true;
	if (*s->length < '0' || *s->length > '9')
		return false;
	req->content_length = strtoull(s->length, &end, 10);
	if (*end != '\0')
		return false;
	req->has_body = req->content_length > 0;
	return true;
}

static void reject_request(struct request *req, unsigned status, const char *error,
			   const char *message)
{
	(*req->proxyd->stats.bad_input)++;
	req->result = RESULT_REJECTED;
	req->stage = STAGE_RESPONSE;
	reply_error(req, status, error, RAN_NO, message, 0);
}

/* Rejects a request that the ingress could not parse; returns false after the error response. */
static bool check_parsed(struct request *req)
{
	enum cs_call_fault fault = cs_call_fault(req->call);
	unsigned status = cs_call_fault_status(fault);

	if (fault == CS_CALL_VALID)
		return true;
	reject_request(req, fault == CS_CALL_BAD_METHOD ? 400 : status, cs_call_fault_name(fault),
		       "the request line or the headers are malformed or too large");
	return false;
}

/* Validates the request line and headers; returns false after sending an error response. */
static bool check_headers(struct request *req, const struct scan *s)
{
	/* Sets the body fields also for a request that one of the checks rejects. */
	bool framed = read_framing(req, s);
	char message[160];

	snprintf(req->id, sizeof(req->id), "r-%016llx",
		 (unsigned long long)cs_rng_next(&req->proxyd->id_rng));
	if (s->id != NULL && !check_request_id(s->id)) {
		reject_request(req, 400, "bad_request_id",
			       "X-Request-Id must be 1 to 64 of A-Z a-z 0-9 . _ -");
		return false;
	}
	if (s->id != NULL)
		cs_copy(req->id, sizeof(req->id), s->id);
	req->id_given = s->id != NULL;
	if (!check_parsed(req))
		return false;
	if (!check_method(req->method)) {
		reject_request(req, 400, "bad_method", "the method is malformed or not supported");
		return false;
	}
	if (!check_target(req->target)) {
		reject_request(req, 400, "bad_target",
			       "the target must start with / and hold no control "
			       "characters, spaces or bytes over 126");
		return false;
	}
	if (s->bytes > REQUEST_HEAD_MAX) {
		reject_request(req, 431, "headers_too_large", "the headers are over 16384 bytes");
		return false;
	}
	if (s->bad_header != NULL) {
		snprintf(message, sizeof(message), "header '%.64s' is malformed or repeated",
			 s->bad_header);
		reject_request(req, 400, "bad_header", message);
		return false;
	}
	if (s->deadline != NULL && !check_deadline(s->deadline, &req->deadline_ms)) {
		reject_request(req, 400, "bad_deadline",
			       "X-Cassia-Deadline-Ms must be 1 to 600000");
		return false;
	}
	if (s->hop != NULL && strcmp(s->hop, "1") != 0) {
		reject_request(req, 400, "bad_hop", "X-Cassia-Hop must be 1");
		return false;
	}
	req->policy_request.hopped = s->hop != NULL;
	if (!framed) {
		cs_call_close_after_response(req->call);
		reject_request(req, 400, "bad_framing",
			       "Content-Length or Transfer-Encoding is malformed");
		return false;
	}
	return true;
}

/* Applies the settings of the class; returns false after sending an error response. */
static bool check_class(struct request *req, const char *name)
{
	struct proxyd *p = req->proxyd;
	struct cs_config *cfg = cs_policy_config(p->policy);
	const struct cs_class *c;
	unsigned ms;
	int i;

	if (name == NULL) {
		reject_request(req, 400, "no_class", "the header X-Cassia-Class is required");
		return false;
	}
	if (cfg == NULL) {
		request_refuse(req, CS_REFUSAL_NOT_READY, CS_US_PER_MS);
		return false;
	}
	i = cs_config_class(cfg, name);
	if (i < 0) {
		reject_request(req, 404, "unknown_class", "the configuration has no such class");
		return false;
	}
	c = &cfg->classes[i];
	cs_copy(req->class_name, sizeof(req->class_name), c->name);
	req->policy_request.class_index = (unsigned)i;
	req->stats = p->stats.by_index[i];
	req->idempotent = c->idempotent;
	req->bulk = c->bulk;
	req->max_body = c->max_body;
	req->latency_target_us = c->latency_target_ms * CS_US_PER_MS;
	ms = c->timeout_ms;
	if (req->deadline_ms > 0 && req->deadline_ms < ms)
		ms = req->deadline_ms;
	req->policy_request.deadline_us = req->policy_request.arrived_us + ms * CS_US_PER_MS;
	(*req->stats->requests)++;
	return true;
}

void request_validate(struct request *req)
{
	struct scan s = {.req = req};

	req->policy_request.arrived_us = cs_mono_us();
	cs_call_headers(req->call, scan_header, &s);
	if (!check_headers(req, &s))
		return;
	if (strncmp(req->target, "/_cassia", 8) == 0 && strchr("/?", req->target[8]) != NULL) {
		req->admin = true;
		return;
	}
	if (!check_class(req, s.class_name))
		return;
	req->policy_request.hash = cs_hash_str(req->id, 0);
	req->policy_request.body_len = req->chunked ? UINT64_MAX : req->content_length;
	if (!req->chunked && req->content_length > req->max_body) {
		request_error(req, 413, "too_large", RAN_NO, "the body is over the class's limit");
		return;
	}
	build_header_lines(req, &s);
}
