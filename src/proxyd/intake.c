/* Checks of a new request and the header lines that go on to servers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/header-list.h"
#include "src/proxyd/proxyd.h"

/* Lines added to the caller's: class, id and the removal of libcurl's own defaults. */
#define OWN_LINES 4
#define OWN_BYTES 256

/* First pass over the headers. */
struct scan {
	struct request *req;
	const char *class_name, *id, *deadline, *hop, *length, *coding, *connection;
	const char *bad; /* name of the first bad header */
	size_t bytes;
	unsigned n;
};

/* Second pass. */
struct writer {
	const char *connection;
	struct cs_lines lines;
};

/* Keeps the value of one of our own headers; a second one makes the request bad. */
static void scan_own(struct scan *s, const char **slot, const char *name, const char *value)
{
	if (*slot != NULL && s->bad == NULL)
		s->bad = name;
	*slot = value;
}

static bool scan_header(const char *name, const char *value, void *arg)
{
	struct scan *s = arg;

	s->bytes += strlen(name) + strlen(value) + 4;
	s->n++;
	if (s->bad == NULL && (!check_name(name) || !check_value(value)))
		s->bad = name;
	switch (*name | 0x20) {
	case 'x':
		if (strcasecmp(name, "X-Cassia-Class") == 0)
			scan_own(s, &s->class_name, name, value);
		else if (strcasecmp(name, "X-Request-Id") == 0)
			scan_own(s, &s->id, name, value);
		else if (strcasecmp(name, "X-Cassia-Deadline-Ms") == 0)
			scan_own(s, &s->deadline, name, value);
		else if (strcasecmp(name, "X-Cassia-Hop") == 0)
			scan_own(s, &s->hop, name, value);
		break;
	case 'c':
		if (strcasecmp(name, "Content-Length") == 0)
			scan_own(s, &s->length, name, value);
		else if (strcasecmp(name, "Connection") == 0)
			s->connection = value;
		break;
	case 't':
		if (strcasecmp(name, "Transfer-Encoding") == 0)
			scan_own(s, &s->coding, name, value);
		break;
	default:
		break;
	}
	return true;
}

/* True for headers that the proxy sets itself. */
static bool is_own(const char *name)
{
	return strncasecmp(name, "X-Cassia-", 9) == 0 || strcasecmp(name, "X-Request-Id") == 0;
}

static bool write_header(const char *name, const char *value, void *arg)
{
	struct writer *w = arg;

	if (head_goes_on(name, w->connection) && !is_own(name))
		cs_lines_put(&w->lines, name, value);
	return true;
}

static void build_lines(struct request *req, const struct scan *s)
{
	struct writer w = {.connection = s->connection};

	cs_lines_begin(&w.lines, s->n + OWN_LINES, s->bytes + OWN_BYTES);
	cs_lines_put(&w.lines, "X-Request-Id", req->id);
	cs_lines_put(&w.lines, "X-Cassia-Class", req->class_name);
	cs_call_headers(req->call, write_header, &w);
	req->lines = cs_lines_end(&w.lines);
}

/* Parses Content-Length and Transfer-Encoding; MHD does the framing itself. */
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

static void bad(struct request *req, unsigned status, const char *error, const char *message)
{
	(*req->proxyd->stats.bad_input)++;
	req->result = RESULT_BAD;
	req->stage = STAGE_ANSWER;
	reply_error(req, status, error, RAN_NO, message, 0);
}

/* Checks the request's own headers; false after setting an error reply. */
static bool check_headers(struct request *req, const struct scan *s)
{
	/* First, because what is known of the body decides how an error is sent. */
	bool framed = read_framing(req, s);
	char message[160];

	snprintf(req->id, sizeof(req->id), "r-%016llx",
		 (unsigned long long)cs_rng_next(&req->proxyd->ids));
	if (s->id != NULL && !check_request_id(s->id)) {
		bad(req, 400, "bad_request_id",
		    "X-Request-Id must be 1 to 64 of A-Z a-z 0-9 . _ -");
		return false;
	}
	if (s->id != NULL)
		cs_copy(req->id, sizeof(req->id), s->id);
	req->id_given = s->id != NULL;
	if (!check_method(req->method)) {
		bad(req, 400, "bad_method", "the method is malformed or not supported");
		return false;
	}
	if (!check_target(req->target)) {
		bad(req, 400, "bad_target",
		    "the target must start with / and hold no control "
		    "characters, spaces or bytes over 126");
		return false;
	}
	if (s->bytes > HEAD_MAX) {
		bad(req, 431, "headers_too_large", "the headers are over 16384 bytes");
		return false;
	}
	if (s->bad != NULL) {
		snprintf(message, sizeof(message), "header '%.64s' is malformed or repeated",
			 s->bad);
		bad(req, 400, "bad_header", message);
		return false;
	}
	if (s->deadline != NULL && !check_deadline(s->deadline, &req->deadline_ms)) {
		bad(req, 400, "bad_deadline", "X-Cassia-Deadline-Ms must be 1 to 600000");
		return false;
	}
	if (s->hop != NULL && strcmp(s->hop, "1") != 0) {
		bad(req, 400, "bad_hop", "X-Cassia-Hop must be 1");
		return false;
	}
	req->ask.hopped = s->hop != NULL;
	if (!framed) {
		cs_call_last(req->call);
		bad(req, 400, "bad_framing", "Content-Length or Transfer-Encoding is malformed");
		return false;
	}
	return true;
}

/* Finds the class; false after setting an error reply. */
static bool check_class(struct request *req, const char *name)
{
	struct proxyd *p = req->proxyd;
	struct cs_config *cfg = cs_policy_config(p->policy);
	const struct cs_class *c;
	unsigned ms;
	int i;

	if (name == NULL) {
		bad(req, 400, "no_class", "the header X-Cassia-Class is required");
		return false;
	}
	if (cfg == NULL) {
		request_refuse(req, CS_REFUSAL_NOT_READY, CS_US_PER_MS);
		return false;
	}
	i = cs_config_class(cfg, name);
	if (i < 0) {
		bad(req, 404, "unknown_class", "the configuration has no such class");
		return false;
	}
	c = &cfg->classes[i];
	cs_copy(req->class_name, sizeof(req->class_name), c->name);
	req->ask.class_index = (unsigned)i;
	req->stats = p->stats.by_index[i];
	req->idempotent = c->idempotent;
	req->bulk = c->bulk;
	req->max_body = c->max_body;
	req->target_us = c->latency_target_ms * CS_US_PER_MS;
	ms = c->timeout_ms;
	if (req->deadline_ms > 0 && req->deadline_ms < ms)
		ms = req->deadline_ms;
	req->ask.deadline_us = req->ask.arrived_us + ms * CS_US_PER_MS;
	(*req->stats->requests)++;
	return true;
}

void intake_check(struct request *req)
{
	struct scan s = {.req = req};

	req->ask.arrived_us = cs_mono_us();
	cs_call_headers(req->call, scan_header, &s);
	if (!check_headers(req, &s))
		return;
	if (strncmp(req->target, "/_cassia", 8) == 0 && strchr("/?", req->target[8]) != NULL) {
		req->admin = true;
		return;
	}
	if (!check_class(req, s.class_name))
		return;
	req->ask.hash = cs_hash_str(req->id, 0);
	req->ask.body_len = req->chunked ? UINT64_MAX : req->content_length;
	if (!req->chunked && req->content_length > req->max_body) {
		request_error(req, 413, "too_large", RAN_NO, "the body is over the class's limit");
		return;
	}
	build_lines(req, &s);
}
