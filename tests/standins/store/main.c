/* Accepts calls, applies faults and dispatches calls by path. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/standins/store/store.h"

#define HEADER_MEMORY_BYTES (16 * 1024)
#define BODY_MAX_BYTES (1024 * 1024)
#define WAIT_DEFAULT_MS (5 * 60 * 1000)
#define WAIT_MAX_MS (10 * 60 * 1000)

struct ev_loop *loop;
struct cs_timers *timers;
struct faults faults;
uint64_t store_index = 1;

static struct listener_set *listener_set;
static struct mhd_listener *listener;
static struct call_list watchers = TAILQ_HEAD_INITIALIZER(watchers);
static struct call_list hung_calls = TAILQ_HEAD_INITIALIZER(hung_calls);

static struct cs_setting settings[] = {
	{.name = "address", .def = "127.0.0.1", .unit = "", .help = "address to listen on"},
	{.name = "port",
	 .kind = CS_SET_INT,
	 .def = "8500",
	 .min = 0,
	 .max = 65535,
	 .unit = "",
	 .help = "port to listen on"},
	{.name = "control-port",
	 .kind = CS_SET_INT,
	 .def = "8501",
	 .min = 0,
	 .max = 65535,
	 .unit = "",
	 .help = "control port"},
	{.name = NULL},
};

static void on_wait_end(struct cs_timer *t, void *arg);

/* Removes the call from its list and resumes the connection so that MHD sends the response. */
static void call_finish(struct call *c)
{
	if (c->waiting)
		TAILQ_REMOVE(&watchers, c, entry);
	if (c->hung)
		TAILQ_REMOVE(&hung_calls, c, entry);
	c->waiting = c->hung = false;
	cs_timer_stop(&c->timer);
	if (c->suspended) {
		c->suspended = false;
		MHD_resume_connection(c->conn);
		listener_set_wakeup(listener_set);
	}
}

void call_reply(struct call *c, unsigned status, const char *body, uint64_t index)
{
	char text[32];

	c->status = status;
	c->response = MHD_create_response_from_buffer(strlen(body), (void *)(uintptr_t)body,
						      MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(c->response, "Content-Type", "application/json");
	if (index > 0) {
		snprintf(text, sizeof(text), "%llu", (unsigned long long)index);
		MHD_add_response_header(c->response, "X-Consul-Index", text);
	}
	call_finish(c);
}

void call_reply_json(struct call *c, json_t *body, uint64_t index)
{
	char *text = json_dumps(body, JSON_COMPACT);

	call_reply(c, 200, text, index);
	free(text);
	json_decref(body);
}

void call_wait(struct call *c, uint64_t wait_ms)
{
	if (c->waiting)
		return;
	c->waiting = true;
	TAILQ_INSERT_TAIL(&watchers, c, entry);
	cs_timer_init(&c->timer, on_wait_end, c);
	cs_timer_start(timers, &c->timer, wait_ms * CS_US_PER_MS);
}

/* The wait time of a blocking query has passed: responds with the current state. */
static void on_wait_end(struct cs_timer *t, void *arg)
{
	struct call *c = arg;

	c->known_index = 0;
	call_handle(c);
}

void call_hang(struct call *c)
{
	c->hung = true;
	TAILQ_INSERT_TAIL(&hung_calls, c, entry);
}

void call_abort(struct call *c)
{
	mhd_conn_abort(c->conn);
	call_reply(c, 500, "", 0);
}

void watchers_notify(const char *prefix)
{
	size_t len = strlen(prefix);
	struct call *c, *next;

	TAILQ_FOREACH_SAFE(c, &watchers, entry, next)
		if (strncmp(c->path, prefix, len) == 0)
			call_handle(c);
}

const char *call_arg(struct call *c, const char *name)
{
	return MHD_lookup_connection_value(c->conn, MHD_GET_ARGUMENT_KIND, name);
}

uint64_t call_wait_ms(struct call *c)
{
	const char *text = call_arg(c, "wait");
	unsigned long long ms;
	char *end;

	if (text == NULL)
		return WAIT_DEFAULT_MS;
	ms = strtoull(text, &end, 10);
	if (strcmp(end, "s") == 0)
		ms *= 1000;
	else if (strcmp(end, "m") == 0)
		ms *= 60000;
	return ms > WAIT_MAX_MS ? WAIT_MAX_MS : ms;
}

void call_handle(struct call *c)
{
	static const char kv_prefix[] = "/v1/kv/", session_prefix[] = "/v1/session/",
			  list_prefix[] = "/v1/health/service/",
			  register_path[] = "/v1/agent/service/register",
			  deregister_path[] = "/v1/agent/service/deregister/";

	if (strncmp(c->path, kv_prefix, sizeof(kv_prefix) - 1) == 0)
		kv_handle(c, c->path + sizeof(kv_prefix) - 1);
	else if (strncmp(c->path, session_prefix, sizeof(session_prefix) - 1) == 0)
		session_handle(c, c->path + sizeof(session_prefix) - 1);
	else if (strncmp(c->path, list_prefix, sizeof(list_prefix) - 1) == 0)
		catalog_list(c, c->path + sizeof(list_prefix) - 1);
	else if (strcmp(c->path, register_path) == 0)
		catalog_register(c);
	else if (strncmp(c->path, deregister_path, sizeof(deregister_path) - 1) == 0)
		catalog_deregister(c, c->path + sizeof(deregister_path) - 1);
	else
		call_reply(c, 404, "unknown path", 0);
}

static void on_delay_end(struct cs_timer *t, void *arg)
{
	struct call *c = arg;

	if (faults.outage != OUTAGE_NONE)
		call_hang(c);
	else
		call_handle(c);
}

/* Handles a completely received call for the first time. */
static void call_received(struct call *c)
{
	c->started = true;
	if (c->len > BODY_MAX_BYTES) {
		call_reply(c, 413, "Request body is too large", 0);
	} else if (faults.outage != OUTAGE_NONE) {
		call_hang(c);
	} else if (faults.delay_ms > 0) {
		cs_timer_init(&c->timer, on_delay_end, c);
		cs_timer_start(timers, &c->timer, faults.delay_ms * CS_US_PER_MS);
	} else {
		call_handle(c);
	}
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx)
{
	struct call *c = *ctx;
	const char *index;

	if (c == NULL) {
		c = cs_xcalloc(1, sizeof(*c));
		c->conn = conn;
		c->method = cs_xstrdup(method);
		c->path = cs_xstrdup(url);
		index = call_arg(c, "index");
		c->known_index = index ? strtoull(index, NULL, 10) : 0;
		*ctx = c;
		return MHD_YES;
	}
	if (*size > 0) {
		if (c->len <= BODY_MAX_BYTES) {
			c->body = cs_xrealloc(c->body, c->len + *size + 1, 1);
			memcpy(c->body + c->len, data, *size);
			c->len += *size;
			c->body[c->len] = '\0';
		}
		*size = 0;
		return MHD_YES;
	}
	if (!c->started)
		call_received(c);
	if (c->response != NULL)
		return MHD_queue_response(conn, c->status, c->response);
	c->suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct call *c = *ctx;

	if (c == NULL)
		return;
	*ctx = NULL;
	c->suspended = false;
	call_finish(c);
	if (c->response != NULL)
		MHD_destroy_response(c->response);
	free(c->method);
	free(c->path);
	free(c->body);
	free(c);
}

void outage_apply(void)
{
	struct cs_msg msg;
	struct call *c;

	if (faults.outage == OUTAGE_NONE) {
		if (!mhd_listener_open(listener, &msg))
			cs_log(CS_ERR, "main", "Cannot reopen the listener: %s", msg.text);
		mhd_listener_pause(listener, false);
		while ((c = TAILQ_FIRST(&hung_calls)) != NULL)
			call_abort(c);
		return;
	}
	while ((c = TAILQ_FIRST(&watchers)) != NULL) {
		if (faults.outage == OUTAGE_REFUSE) {
			call_abort(c);
			continue;
		}
		TAILQ_REMOVE(&watchers, c, entry);
		c->waiting = false;
		cs_timer_stop(&c->timer);
		call_hang(c);
	}
	if (faults.outage == OUTAGE_REFUSE)
		mhd_listener_close(listener);
}

static void on_signal(struct ev_loop *l, ev_signal *w, int events)
{
	ev_break(l, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	ev_signal term, intr;
	struct cs_msg msg;
	const char *addr;

	cs_log_open("standin-store", CS_INFO);
	switch (cs_settings_load(settings, "Simulated key-value store for tests", &argc, &argv,
				 &msg)) {
	case CS_SETTINGS_EXIT:
		return 0;
	case CS_SETTINGS_INVALID:
		fprintf(stderr, "standin-store: %s\n", msg.text);
		return 2;
	case CS_SETTINGS_OK:
		break;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	timers = cs_timers_create(loop);
	addr = cs_setting_text(settings, "address");
	listener_set = listener_set_create(loop, timers, on_access, on_completed, NULL,
					   HEADER_MEMORY_BYTES);
	listener = mhd_listener_create(listener_set, addr,
				       (uint16_t)cs_setting_int(settings, "port"), NULL, &msg);
	if (listener == NULL ||
	    !control_start(addr, (uint16_t)cs_setting_int(settings, "control-port"), &msg)) {
		fprintf(stderr, "standin-store: %s\n", msg.text);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	return 0;
}
