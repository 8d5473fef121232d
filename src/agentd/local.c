/* Daemons of this instance: REPORTs in, SNAPSHOTs out, over a ROUTER on the own address. */
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define PUSH_US (100 * CS_US_PER_MS) /* shortest time between two snapshots */
#define RESEND_US (400 * CS_US_PER_MS) /* a snapshot not held by then is sent again */
#define ALIVE_US CS_US_PER_S

struct client {
	bool known;
	bool stopping;
	struct cs_bus_id id;
	struct cs_wire_stamp held; /* as reported, or as sent if that is newer */
	uint64_t heard_us;
	uint64_t sent_us;
};

struct local {
	struct agent *agent;
	struct cs_sock *listener;
	struct cs_timer push;
	struct cs_wire_buf buf;
	struct client clients[2]; /* by enum cs_link_kind */
};

static void on_message(struct cs_sock *s, const struct cs_bus_id *from, const void *data,
		       size_t len, void *arg);
static void on_push(struct cs_timer *t, void *arg);

struct local *local_create(struct agent *a, uint16_t port, struct cs_msg *msg)
{
	struct local *l = cs_xcalloc(1, sizeof(*l));

	l->agent = a;
	l->listener = cs_sock_listen(a->bus, a->address, port, false, on_message, l, msg);
	if (l->listener == NULL) {
		free(l);
		return NULL;
	}
	cs_timer_init(&l->push, on_push, l);
	cs_timer_start_every(a->timers, &l->push, PUSH_US);
	return l;
}

void local_destroy(struct local *l)
{
	if (l == NULL)
		return;
	cs_timer_stop(&l->push);
	cs_sock_close(l->listener);
	cs_wire_buf_free(&l->buf);
	free(l);
}

static void client_push(struct local *l, struct client *cl)
{
	struct agent *a = l->agent;
	uint64_t now = cs_mono_us();

	if (!cl->known || now - cl->heard_us > ALIVE_US)
		return;
	if (!core_snapshot(a->core, &cl->held, now, &l->buf))
		return;
	if (!cs_sock_send(l->listener, &cl->id, l->buf.data, l->buf.len))
		return;
	cl->held.incarnation = a->incarnation;
	cl->held.sequence = core_sequence(a->core);
	cl->sent_us = now;
}

void local_push(struct local *l)
{
	client_push(l, &l->clients[CS_LINK_PROXY]);
	client_push(l, &l->clients[CS_LINK_LOOKUP]);
}

static void on_push(struct cs_timer *t, void *arg)
{
	local_push(arg);
}

unsigned local_alive(const struct local *l, bool *stopping)
{
	uint64_t now = cs_mono_us();
	unsigned i, n = 0;

	*stopping = false;
	for (i = 0; i < 2; i++) {
		if (!l->clients[i].known || now - l->clients[i].heard_us > ALIVE_US)
			continue;
		n++;
		*stopping |= l->clients[i].stopping;
	}
	return n;
}

/* Takes what the daemon holds, unless a newer snapshot is still on its way. */
static void take_held(struct client *cl, const struct cs_wire_report *r, uint64_t now)
{
	if (cl->held.incarnation == r->held.incarnation && r->held.sequence < cl->held.sequence &&
	    now - cl->sent_us < RESEND_US)
		return;
	cl->held = r->held;
}

static void on_message(struct cs_sock *s, const struct cs_bus_id *from, const void *data,
		       size_t len, void *arg)
{
	struct local *l = arg;
	struct agent *a = l->agent;
	uint64_t now = cs_mono_us();
	struct cs_wire_msg *m;
	struct client *cl;
	struct cs_msg err;

	m = cs_wire_parse(data, len, &err);
	if (m == NULL || m->type != CS_WIRE_REPORT) {
		cs_bus_stats(a->bus)->malformed++;
		cs_log(CS_WARNING, "local", "Message dropped. bytes=%zu", len);
		goto out;
	}
	/* A process that was replaced may still have reports on their way. */
	if (!core_report(a->core, &m->u.report, now))
		goto out;
	cl = &l->clients[m->u.report.body.kind];
	if (!cl->known || cl->id.len != from->len ||
	    memcmp(cl->id.data, from->data, from->len) != 0)
		cl->held = (struct cs_wire_stamp){0};
	cl->known = true;
	cl->id = *from;
	cl->heard_us = now;
	cl->stopping = m->u.report.body.stopping;
	take_held(cl, &m->u.report, now);
	client_push(l, cl);
	agent_flush(a);
out:
	cs_wire_free(m);
}
