/* HTTP listener: passes events of client connections to the request handling. */
#include "src/proxyd/proxyd.h"

/*
 * Limit of a request line with its headers, in bytes. Headers over REQUEST_HEAD_MAX still fit, so
 * that they get an error response from validate.c.
 */
#define HEAD_BYTES_MAX (32 * 1024)
#define CONNECTION_LIMIT 20000
/* Timeout for idle connections and for receiving request headers. */
#define IDLE_TIMEOUT_S 30

static void on_begin(struct cs_call *call, void *arg);
static size_t on_body(struct cs_call *call, const char *data, size_t n, void *arg);
static void on_body_end(struct cs_call *call, void *arg);
static void on_disconnected(struct cs_call *call, enum cs_call_end end, void *arg);
static ssize_t on_read(struct cs_call *call, char *buf, size_t max, void *arg);
static void on_done(struct cs_call *call, void *arg);

static const struct cs_ingress_ops ops = {.begin = on_begin,
					  .body = on_body,
					  .body_end = on_body_end,
					  .disconnected = on_disconnected,
					  .read = on_read,
					  .done = on_done};

bool listener_start(struct proxyd *p, struct cs_msg *msg)
{
	struct cs_ingress_opts opts = {.addr = p->address,
				       .port = p->port,
				       .connections = CONNECTION_LIMIT,
				       .head_max = HEAD_BYTES_MAX,
				       .idle_s = IDLE_TIMEOUT_S,
				       .ops = &ops,
				       .arg = p};

	p->ingress = cs_ingress_create(p->loop, p->timers, &opts, msg);
	if (p->ingress == NULL)
		return false;
	p->port = cs_ingress_port(p->ingress);
	return true;
}

void listener_stop(struct proxyd *p)
{
	struct request *req;

	if (p->ingress == NULL)
		return;
	TAILQ_FOREACH(req, &p->requests, entry)
		request_disconnected(req);
	cs_ingress_destroy(p->ingress);
	p->ingress = NULL;
}

static void on_begin(struct cs_call *call, void *arg)
{
	struct request *req = request_create(arg, call);

	cs_call_set_data(call, req);
	request_validate(req);
	if (!req->responded && !req->admin)
		request_start(req);
}

static size_t on_body(struct cs_call *call, const char *data, size_t n, void *arg)
{
	struct request *req = cs_call_data(call);

	return req->admin ? n : request_body(req, data, n);
}

static void on_body_end(struct cs_call *call, void *arg)
{
	struct request *req = cs_call_data(call);

	if (req->admin)
		admin_handle(req);
	else
		request_body_end(req);
}

static void on_disconnected(struct cs_call *call, enum cs_call_end end, void *arg)
{
	request_disconnected(cs_call_data(call));
}

static ssize_t on_read(struct cs_call *call, char *buf, size_t max, void *arg)
{
	return reply_read(cs_call_data(call), buf, max);
}

static void on_done(struct cs_call *call, void *arg)
{
	request_destroy(cs_call_data(call));
}
