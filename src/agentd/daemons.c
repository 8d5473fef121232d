/*
 * Connections of the daemons of this instance, over a ZeroMQ ROUTER socket: receives reports, sends
 * snapshots.
 */
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define PUSH_INTERVAL_US (100 * CS_US_PER_MS)
#define RESEND_AFTER_US (400 * CS_US_PER_MS) /* an unacknowledged snapshot is sent again */
#define DAEMON_TIMEOUT_US CS_US_PER_S

struct daemon_client {
	bool known;
	bool stopping;
	struct cs_bus_routing_id id;
	struct cs_wire_stamp
		held; /* view that the daemon has: last one reported or, if newer, sent */
	uint64_t last_report_us;
	uint64_t sent_us;
};

struct daemon_links {
	struct agent *agent;
	struct cs_sock *listener;
	struct cs_timer push_timer;
	struct cs_wire_buf buf;
	struct daemon_client clients[2]; /* indexed by enum cs_link_kind */
};

static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg);
static void on_push_timer(struct cs_timer *t, void *arg);

struct daemon_links *daemon_links_create(struct agent *a, uint16_t port, struct cs_msg *msg)
{
	struct daemon_links *d = cs_xcalloc(1, sizeof(*d));

	d->agent = a;
	d->listener = cs_sock_listen(a->bus, a->address, port, false, on_message, d, msg);
	if (d->listener == NULL) {
		free(d);
		return NULL;
	}
	cs_timer_init(&d->push_timer, on_push_timer, d);
	cs_timer_start_every(a->timers, &d->push_timer, PUSH_INTERVAL_US);
	return d;
}

void daemon_links_destroy(struct daemon_links *d)
{
	if (d == NULL)
		return;
	cs_timer_stop(&d->push_timer);
	cs_sock_close(d->listener);
	cs_wire_buf_free(&d->buf);
	free(d);
}

static void client_send_snapshot(struct daemon_links *d, struct daemon_client *cl)
{
	struct agent *a = d->agent;
	uint64_t now = cs_mono_us();

	if (!cl->known || now - cl->last_report_us > DAEMON_TIMEOUT_US)
		return;
	if (!core_snapshot(a->core, &cl->held, now, &d->buf))
		return;
	if (!cs_sock_send(d->listener, &cl->id, d->buf.data, d->buf.len))
		return;
	cl->held.incarnation = a->incarnation;
	cl->held.sequence = core_view_sequence(a->core);
	cl->sent_us = now;
}

void daemon_links_push(struct daemon_links *d)
{
	client_send_snapshot(d, &d->clients[CS_LINK_PROXY]);
	client_send_snapshot(d, &d->clients[CS_LINK_LOOKUP]);
}

static void on_push_timer(struct cs_timer *t, void *arg)
{
	daemon_links_push(arg);
}

unsigned daemon_links_count_alive(const struct daemon_links *d, bool *stopping)
{
	uint64_t now = cs_mono_us();
	unsigned i, n = 0;

	*stopping = false;
	for (i = 0; i < 2; i++) {
		if (!d->clients[i].known || now - d->clients[i].last_report_us > DAEMON_TIMEOUT_US)
			continue;
		n++;
		*stopping |= d->clients[i].stopping;
	}
	return n;
}

/* Records the view that the daemon reports, unless a newer snapshot was sent recently. */
static void update_held(struct daemon_client *cl, const struct cs_wire_report *r, uint64_t now)
{
	if (cl->held.incarnation == r->applied.incarnation &&
	    r->applied.sequence < cl->held.sequence && now - cl->sent_us < RESEND_AFTER_US)
		return;
	cl->held = r->applied;
}

static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg)
{
	struct daemon_links *d = arg;
	struct agent *a = d->agent;
	uint64_t now = cs_mono_us();
	struct cs_wire_msg *m;
	struct daemon_client *cl;
	struct cs_msg err;

	m = cs_wire_parse(data, len, &err);
	if (m == NULL || m->type != CS_WIRE_REPORT) {
		cs_bus_stats(a->bus)->malformed++;
		cs_log(CS_WARNING, "local",
		       "Message from a daemon dropped: malformed or not a report. bytes=%zu", len);
		goto out;
	}
	/* Reports of a replaced process may still arrive. */
	if (!core_handle_report(a->core, &m->u.report, now))
		goto out;
	cl = &d->clients[m->u.report.body.kind];
	if (!cl->known || cl->id.len != from->len ||
	    memcmp(cl->id.data, from->data, from->len) != 0)
		cl->held = (struct cs_wire_stamp){0};
	cl->known = true;
	cl->id = *from;
	cl->last_report_us = now;
	cl->stopping = m->u.report.body.stopping;
	update_held(cl, &m->u.report, now);
	client_send_snapshot(d, cl);
	agent_flush(a);
out:
	cs_wire_free(m);
}
