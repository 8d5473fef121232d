/* Connection to the local agent: sends periodic reports, merges received snapshots into a view. */
#include <stdlib.h>
#include <string.h>

#include "bus/bus.h"
#include "link/link.h"
#include "wire/wire.h"

#define REPORT_PERIOD_US (250 * CS_US_PER_MS)

struct cs_link {
	struct cs_timers *timers;
	struct cs_bus *bus;
	struct cs_sock *sock;
	struct cs_timer report_timer;
	enum cs_link_kind kind;
	cs_link_view_cb on_view;
	cs_link_report_cb on_report;
	void *arg;
	struct cs_view *view; /* result of all snapshots; NULL until the first one */
	struct cs_wire_buf buf;
	uint64_t started_ms; /* wall clock */
	uint64_t snapshot_us; /* time of the last snapshot; 0: none */
};

static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg);
static void on_report_timer(struct cs_timer *t, void *arg);

/* Parses tcp://IP:PORT. */
static bool parse_endpoint(const char *endpoint, char *addr, size_t size, uint16_t *port)
{
	const char *p, *colon;
	char *end;
	unsigned long v;
	uint8_t raw[16];

	if (strncmp(endpoint, "tcp://", 6) != 0)
		return false;
	p = endpoint + 6;
	colon = strrchr(p, ':');
	if (colon == NULL || (size_t)(colon - p) >= size)
		return false;
	memcpy(addr, p, (size_t)(colon - p));
	addr[colon - p] = '\0';
	v = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || end == colon + 1 || v == 0 || v > UINT16_MAX)
		return false;
	*port = (uint16_t)v;
	return cs_addr_parse(addr, raw);
}

struct cs_link *cs_link_create(struct ev_loop *loop, struct cs_timers *ts, const char *endpoint,
			       const char *source, enum cs_link_kind kind, cs_link_view_cb on_view,
			       cs_link_report_cb on_report, void *arg, struct cs_msg *msg)
{
	struct cs_link *l;
	char addr[CS_ADDR_MAX];
	uint16_t port;

	if (!parse_endpoint(endpoint, addr, sizeof(addr), &port)) {
		cs_msg_set(msg, "agent: value '%s' is not allowed; use tcp://IP:PORT", endpoint);
		return NULL;
	}
	l = cs_xcalloc(1, sizeof(*l));
	l->timers = ts;
	l->kind = kind;
	l->on_view = on_view;
	l->on_report = on_report;
	l->arg = arg;
	l->started_ms = (uint64_t)cs_wall_ms();
	l->bus = cs_bus_create(loop, NULL, NULL, msg);
	if (l->bus == NULL)
		goto fail;
	l->sock = cs_sock_connect(l->bus, source, addr, port, false, on_message, l, msg);
	if (l->sock == NULL)
		goto fail;
	cs_timer_init(&l->report_timer, on_report_timer, l);
	cs_timer_start_every(ts, &l->report_timer, REPORT_PERIOD_US);
	return l;
fail:
	cs_bus_destroy(l->bus);
	free(l);
	return NULL;
}

void cs_link_destroy(struct cs_link *l)
{
	if (l == NULL)
		return;
	cs_timer_stop(&l->report_timer);
	cs_bus_destroy(l->bus);
	cs_view_destroy(l->view);
	cs_wire_buf_free(&l->buf);
	free(l);
}

void cs_link_send_report(struct cs_link *l)
{
	struct cs_wire_msg m = {.type = CS_WIRE_REPORT};
	struct cs_wire_report *r = &m.u.report;

	r->body.kind = l->kind;
	if (l->on_report != NULL)
		l->on_report(&r->body, l->arg);
	r->body.kind = l->kind;
	r->started_ms = l->started_ms;
	if (l->view != NULL) {
		r->applied.incarnation = l->view->incarnation;
		r->applied.sequence = l->view->sequence;
	}
	cs_wire_pack(&l->buf, &m);
	cs_sock_send(l->sock, NULL, l->buf.data, l->buf.len);
}

uint64_t cs_link_snapshot_age_us(const struct cs_link *l)
{
	if (l->snapshot_us == 0)
		return UINT64_MAX;
	return cs_mono_us() - l->snapshot_us;
}

static void on_report_timer(struct cs_timer *t, void *arg)
{
	cs_link_send_report(arg);
}

/* Replaces an array of the view by that of a snapshot. */
#define MOVE_ARRAY(to, from, field, count)                                                         \
	do {                                                                                       \
		free((to)->field);                                                                 \
		(to)->field = (from)->field;                                                       \
		(to)->count = (from)->count;                                                       \
		(from)->field = NULL;                                                              \
		(from)->count = 0;                                                                 \
	} while (0)

/*
 * Keeps the current configuration if that of the snapshot is older: a restarted agent may not have
 * received the latest revision yet.
 */
static void apply_config(struct cs_view *to, struct cs_view *from)
{
	if (from->cfg == NULL)
		return;
	if (to->cfg != NULL && from->cfg->revision < to->cfg->revision &&
	    !cs_fault_enabled("revision"))
		return;
	cs_config_unref(to->cfg);
	to->cfg = from->cfg;
	from->cfg = NULL;
}

/*
 * Returns true if the snapshot is not older than the view and the parts that it omits are unchanged
 * since the view.
 */
static bool snapshot_is_applicable(const struct cs_link *l, const struct cs_wire_snapshot *s)
{
	if (l->view == NULL || s->view->incarnation != l->view->incarnation)
		return s->base == 0;
	return s->base <= l->view->sequence && s->view->sequence >= l->view->sequence;
}

static void apply_snapshot(struct cs_link *l, struct cs_wire_snapshot *s)
{
	struct cs_view *from = s->view;

	if (!snapshot_is_applicable(l, s))
		return;
	if (l->view == NULL)
		l->view = cs_view_create();
	l->view->incarnation = from->incarnation;
	l->view->sequence = from->sequence;
	l->view->store_ok = from->store_ok;
	apply_config(l->view, from);
	if (s->has_members)
		MOVE_ARRAY(l->view, from, members, n_members);
	if (s->has_servers)
		MOVE_ARRAY(l->view, from, servers, n_servers);
	if (s->has_loads)
		MOVE_ARRAY(l->view, from, loads, n_loads);
	if (s->has_loans)
		MOVE_ARRAY(l->view, from, loans, n_loans);
	if (l->on_view != NULL)
		l->on_view(l->view, l->arg);
}

static void on_message(struct cs_sock *sock, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg)
{
	struct cs_link *l = arg;
	struct cs_wire_msg *m;
	struct cs_msg msg;

	m = cs_wire_parse(data, len, &msg);
	if (m == NULL) {
		cs_bus_stats(l->bus)->malformed++;
		cs_log(CS_WARNING, "link", "Dropped a malformed message from the agent: %s.",
		       msg.text);
		return;
	}
	if (m->type == CS_WIRE_SNAPSHOT) {
		l->snapshot_us = cs_mono_us();
		apply_snapshot(l, &m->u.snapshot);
	}
	cs_wire_free(m);
}
