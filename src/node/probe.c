/* Health checks of servers that lib/steer excludes from routing until they pass one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

#define PROBE_TIMEOUT_MS 1000L

struct probe {
	struct node *node;
	struct cs_backend *backend;
	struct cs_transfer *transfer;
	uint64_t started_us;
	char server[CS_NAME_MAX];
	char path[CS_NAME_MAX]; /* a copy: the document may be replaced meanwhile */
	char expected_header[96];
	struct curl_slist headers[2];
	struct cs_timer timeout;
};

static void on_progress(struct cs_transfer *t, void *arg);
static void on_body_consumed(struct cs_transfer *t, void *arg);
static void on_timeout(struct cs_timer *t, void *arg);

static void probe_start(struct node *n, struct cs_backend *b)
{
	struct probe *p = cs_xcalloc(1, sizeof(*p));
	struct cs_transfer_opts opts = {
		.addr = cs_backend_addr(b),
		.port = cs_backend_port(b),
		.method = "GET",
		.target = p->path,
		.lines = p->headers,
		/*
		 * On a kept connection the copy of an earlier response could arrive, and that such
		 * a connection fails says nothing about health.
		 */
		.own_connection = true,
		.buffer_max = RESPONSE_BUFFER_MAX};

	p->node = n;
	p->backend = b;
	p->started_us = cs_mono_us();
	cs_copy(p->server, sizeof(p->server), cs_backend_id(b));
	cs_copy(p->path, sizeof(p->path), cs_backend_health_path(n->steer, b));
	snprintf(p->expected_header, sizeof(p->expected_header), PLATFORM_H_EXPECTED_SERVER ": %s",
		 p->server);
	p->headers[0] = (struct curl_slist){p->expected_header, NULL};
	cs_timer_init(&p->timeout, on_timeout, p);
	cs_timer_start(n->timers, &p->timeout, PROBE_TIMEOUT_MS * CS_US_PER_MS);
	(*n->stats.probes)++;
	p->transfer = cs_transfer_start(n->connections, &opts, on_progress, on_body_consumed, p);
}

void probe_due(struct node *n)
{
	struct cs_backend *b;

	while ((b = cs_steer_next_probe(n->steer, cs_mono_us())) != NULL)
		probe_start(n, b);
}

static void probe_end(struct probe *p, bool ok, unsigned cold_ms)
{
	struct node *n = p->node;

	cs_event(n->events, CS_EVENT_IMPORTANT, "server.probed",
		 "server=%s ok=%d cold_ms=%u status=%u", p->server, ok, cold_ms,
		 cs_transfer_status(p->transfer));
	if (cs_steer_probe_done(n->steer, p->backend, ok, cold_ms, cs_mono_us()))
		gossip_send_urgent(n->gossip);
	requests_schedule_dispatch(n);
	cs_timer_stop(&p->timeout);
	cs_transfer_destroy(p->transfer);
	free(p);
}

static void on_progress(struct cs_transfer *t, void *arg)
{
	struct probe *p = arg;
	struct cs_server_notice notice;
	const char *server;
	bool from_server, ok;

	switch (cs_transfer_state(t)) {
	case CS_TRANSFER_SENT:
	case CS_TRANSFER_HEAD:
		return;
	case CS_TRANSFER_UNSENT:
	case CS_TRANSFER_FAILED:
		probe_end(p, false, 0);
		return;
	case CS_TRANSFER_COMPLETE:
		break;
	}
	server = head_get(cs_transfer_head(t), PLATFORM_H_SERVER_ID);
	platform_notice_parse(cs_transfer_head(t), cs_transfer_status(t), &notice);
	from_server = server != NULL && strcmp(server, p->server) == 0;
	if (from_server)
		notice_record(p->node, p->backend, t, p->started_us, "-", false);
	ok = cs_transfer_status(t) == 200 && from_server;
	probe_end(p, ok, notice.cold_ms);
}

static void on_body_consumed(struct cs_transfer *t, void *arg)
{
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	probe_end(arg, false, 0);
}
