/*
 * Backend servers of the platform. In the query of a request, mode selects a fault, at limits the
 * fault to one server, ms sets the service time, bytes the size of the response, and with the mode
 * shed, retry sets Retry-After.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/standins/platform/platform.h"

#define BODY_MAX_BYTES (4 * 1024 * 1024)
/* Slots of a server, unless the environment variable SLOTS sets them. */
#define SLOTS_DEFAULT 4

/* One execution of an attempt. */
struct run {
	LIST_ENTRY(run) entry;
	char id[80];
};
static LIST_HEAD(, run) runs = LIST_HEAD_INITIALIZER(runs);

struct server {
	LIST_ENTRY(server) entry;
	struct cs_timers *timers;
	struct store *store;
	struct cs_httpd *httpd;
	char id[48], service[48], zone[48], addr[64];
	unsigned running;
	unsigned sequence;
	bool draining;
	unsigned arrivals;
	char header_name[48], header_value[48]; /* header of all responses; "": none */
};
static LIST_HEAD(, server) servers = LIST_HEAD_INITIALIZER(servers);

static int slots(void)
{
	const char *text = getenv("SLOTS");

	return text != NULL ? atoi(text) : SLOTS_DEFAULT;
}

/* A request that is executing. */
struct request {
	struct server *server;
	struct cs_http_req *req;
	struct cs_timer service_timer;
	char mode[16];
};

static void on_request(struct cs_http_req *req, void *arg);
static void on_service_end(struct cs_timer *t, void *arg);

struct server *server_create(struct ev_loop *loop, struct cs_timers *ts, struct store *st,
			     const struct server_location *location, const char *id,
			     const char *service, const char *zone, struct cs_msg *msg)
{
	struct server *s = cs_xcalloc(1, sizeof(*s));

	s->timers = ts;
	s->store = st;
	cs_copy(s->id, sizeof(s->id), id);
	cs_copy(s->service, sizeof(s->service), service);
	cs_copy(s->zone, sizeof(s->zone), zone);
	s->httpd = cs_httpd_create(loop, ts, location->addr, location->port, BODY_MAX_BYTES,
				   on_request, s, msg);
	if (s->httpd == NULL) {
		free(s);
		return NULL;
	}
	snprintf(s->addr, sizeof(s->addr), "%s:%u",
		 location->registered_addr ? location->registered_addr : location->addr,
		 cs_httpd_port(s->httpd));
	LIST_INSERT_HEAD(&servers, s, entry);
	server_register(s, "ready");
	return s;
}

void server_destroy(struct server *s)
{
	if (s == NULL)
		return;
	LIST_REMOVE(s, entry);
	cs_httpd_destroy(s->httpd);
	free(s);
}

static struct server *server_find(const char *id)
{
	struct server *s;

	LIST_FOREACH(s, &servers, entry)
		if (strcmp(s->id, id) == 0)
			return s;
	return NULL;
}

void server_set_header(const char *id, const char *name, const char *value)
{
	struct server *s = server_find(id);

	if (s == NULL)
		return;
	cs_copy(s->header_name, sizeof(s->header_name), name);
	cs_copy(s->header_value, sizeof(s->header_value), value);
}

unsigned server_arrival_count(const char *id)
{
	const struct server *s = server_find(id);

	return s != NULL ? s->arrivals : 0;
}

const char *server_id(const struct server *s)
{
	return s->id;
}

void server_register(struct server *s, const char *state)
{
	char key[80], value[400];

	s->draining = strcmp(state, "draining") == 0;
	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
		 "\"slots\":%d,\"state\":\"%s\",\"cold-remaining-ms\":0,\"sequence\":%u,"
		 "\"born\":1000}",
		 s->service, s->addr, s->zone, slots(), state, ++s->sequence);
	store_write(s->store, key, value);
}

unsigned request_run_count(const char *attempt_id)
{
	const struct run *r;
	unsigned n = 0;

	LIST_FOREACH(r, &runs, entry)
		n += strcmp(r->id, attempt_id) == 0;
	return n;
}

static void record_run(const char *id)
{
	struct run *r = cs_xcalloc(1, sizeof(*r));

	cs_copy(r->id, sizeof(r->id), id);
	LIST_INSERT_HEAD(&runs, r, entry);
}

/* Adds the headers that every response has. */
static void add_common_headers(struct server *s, struct cs_http_req *req, const char *id)
{
	char load[48];

	snprintf(load, sizeof(load), "%u,0,%d,100", s->running, slots());
	cs_http_add_header(req, "Cassiascale-Server-Load", load);
	cs_http_add_header(req, "Cassiascale-Instance-Id", s->id);
	if (*s->header_value != '\0')
		cs_http_add_header(req, s->header_name, s->header_value);
	if (id != NULL)
		cs_http_add_header(req, "Cassiascale-Attempt-Id", id);
}

/* What the request says of its workspace, for the body; "" if it says nothing. */
static const char *workspace_text(struct cs_http_req *req)
{
	static char text[128];
	const char *name = cs_http_header(req, "Cassiascale-Tenant-Name");
	const char *key = cs_http_header(req, "Cassiascale-Key");

	if (name == NULL && key == NULL)
		return "";
	snprintf(text, sizeof(text), " workspace=%s key=%s", name ? name : "-",
		 key ? "passed-on" : "-");
	return text;
}

static void on_service_end(struct cs_timer *t, void *arg)
{
	struct request *r = arg;
	struct server *s = r->server;
	const char *id = cs_http_header(r->req, "Cassiascale-Attempt-Id");
	const char *bytes = cs_http_query_arg(r->req, "bytes");
	static char body[BODY_MAX_BYTES];
	size_t len, size = bytes ? strtoull(bytes, NULL, 10) : 0;

	s->running--;
	snprintf(body, 512, "server=%s%s path=%s id=%s", s->id, workspace_text(r->req),
		 cs_http_path(r->req), id ? id : "-");
	len = strlen(body);
	if (size > len && size <= sizeof(body)) {
		memset(body + len, '.', size - len);
		len = size;
	}
	add_common_headers(s, r->req, strcmp(r->mode, "wrong-id") == 0 ? "another" : id);
	if (strcmp(r->mode, "no-signature") != 0)
		cs_http_add_header(r->req, "Cassiascale-Response-Signature", "3e1b.07.5a2");
	if (strcmp(r->mode, "error") == 0)
		cs_http_reply(r->req, 500, "text/plain", body, len);
	else if (strcmp(r->mode, "busy-ran") == 0)
		cs_http_reply(r->req, 503, "text/plain", body, len);
	else
		cs_http_reply(r->req, 200, "text/plain", body, len);
	free(r);
}

static void on_request(struct cs_http_req *req, void *arg)
{
	const char *expected = cs_http_header(req, "Cassiascale-Expected-Instance");
	const char *id = cs_http_header(req, "Cassiascale-Attempt-Id");
	const char *mode = cs_http_query_arg(req, "mode"), *ms = cs_http_query_arg(req, "ms");
	const char *target_id = cs_http_query_arg(req, "at");
	const char *retry_after = cs_http_query_arg(req, "retry");
	struct server *s = arg;
	struct request *r;

	if (strcmp(cs_http_path(req), "/health") == 0) {
		add_common_headers(s, req, NULL);
		cs_http_reply(req, s->draining ? 503 : 200, "text/plain", "ok", 2);
		return;
	}
	if (expected != NULL && strcmp(expected, s->id) != 0) {
		add_common_headers(s, req, id);
		cs_http_add_header(req, "Cassiascale-Not-Executed", "1");
		cs_http_reply(req, 421, "text/plain", "", 0);
		return;
	}
	s->arrivals++;
	if (target_id != NULL && strcmp(target_id, s->id) != 0)
		mode = NULL;
	if (mode != NULL && strcmp(mode, "shed") == 0) {
		add_common_headers(s, req, id);
		cs_http_add_header(req, "Cassiascale-Not-Executed", "1");
		if (retry_after != NULL)
			cs_http_add_header(req, "Retry-After", retry_after);
		cs_http_reply(req, 503, "text/plain", "", 0);
		return;
	}
	record_run(id ? id : "");
	s->running++;
	r = cs_xcalloc(1, sizeof(*r));
	r->server = s;
	r->req = req;
	cs_copy(r->mode, sizeof(r->mode), mode ? mode : "");
	cs_timer_init(&r->service_timer, on_service_end, r);
	cs_timer_start(s->timers, &r->service_timer,
		       (ms ? strtoull(ms, NULL, 10) : 1) * CS_US_PER_MS);
}
