/*
 * Simulated agent for tests of a single daemon. Sends the view in a JSON file to each daemon that
 * sends a report, and again after the file has changed. Prints each change of a daemon's report as
 * one line on standard output.
 *
 * Usage: standin-agent ADDRESS PORT FILE
 *
 * Example of FILE:
 * {"config":{...},"members":[{"name":"a","zone":"z","addr":"127.0.0.1","proxy_port":8080}],
 *  "servers":[{"name":"s","service":"v","zone":"z","addr":"127.0.0.1","port":9100,"slots":4}],
 *  "loads":[{"zone":"z","service":"v","capacity":8,"in_flight":2,"service_us":5000}]}
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "bus/bus.h"
#include "wire/wire.h"

#define FILE_POLL_INTERVAL_US (50 * CS_US_PER_MS)

struct agent {
	struct cs_sock *sock;
	const char *file;
	struct timespec file_mtime;
	struct cs_view *view;
	struct cs_wire_buf buf;
	char last_line[160]; /* last printed report */
};

static const char *string_field(json_t *row, const char *key)
{
	const char *s = json_string_value(json_object_get(row, key));

	return s ? s : "";
}

static unsigned unsigned_field(json_t *row, const char *key)
{
	return (unsigned)json_integer_value(json_object_get(row, key));
}

static void view_parse_members(struct cs_view *v, json_t *list)
{
	struct cs_member *m;
	json_t *row;
	size_t i;

	v->n_members = (unsigned)json_array_size(list);
	v->members = cs_xcalloc(v->n_members + 1, sizeof(*v->members));
	json_array_foreach(list, i, row) {
		m = &v->members[i];
		cs_copy(m->name, sizeof(m->name), string_field(row, "name"));
		cs_copy(m->zone, sizeof(m->zone), string_field(row, "zone"));
		cs_copy(m->addr, sizeof(m->addr), string_field(row, "addr"));
		m->proxy_port = (uint16_t)unsigned_field(row, "proxy_port");
		m->listed = m->ready = true;
		m->incarnation = 1;
		m->revision = v->cfg->revision;
	}
}

static void view_parse_servers(struct cs_view *v, json_t *list)
{
	struct cs_server *s;
	json_t *row;
	size_t i;

	v->n_servers = (unsigned)json_array_size(list);
	v->servers = cs_xcalloc(v->n_servers + 1, sizeof(*v->servers));
	json_array_foreach(list, i, row) {
		s = &v->servers[i];
		cs_copy(s->name, sizeof(s->name), string_field(row, "name"));
		cs_copy(s->service, sizeof(s->service), string_field(row, "service"));
		cs_copy(s->zone, sizeof(s->zone), string_field(row, "zone"));
		cs_copy(s->addr, sizeof(s->addr), string_field(row, "addr"));
		s->port = (uint16_t)unsigned_field(row, "port");
		s->slots = unsigned_field(row, "slots");
	}
}

static void view_parse_loads(struct cs_view *v, json_t *list)
{
	struct cs_zone_load *l;
	json_t *row;
	size_t i;

	v->n_loads = (unsigned)json_array_size(list);
	v->loads = cs_xcalloc(v->n_loads + 1, sizeof(*v->loads));
	json_array_foreach(list, i, row) {
		l = &v->loads[i];
		cs_copy(l->zone, sizeof(l->zone), string_field(row, "zone"));
		cs_copy(l->service, sizeof(l->service), string_field(row, "service"));
		l->capacity = unsigned_field(row, "capacity");
		l->in_flight = unsigned_field(row, "in_flight");
		l->service_us = unsigned_field(row, "service_us");
		l->version = 1;
	}
}

/* Loads the view from the file; keeps the previous view if it has no valid configuration. */
static void load_view(struct agent *a)
{
	json_t *doc = json_load_file(a->file, 0, NULL);
	char *text = json_dumps(json_object_get(doc, "config"), JSON_COMPACT);
	struct cs_view *v = cs_view_create();
	struct cs_msg msg = {"no config"};

	v->cfg = text ? cs_config_parse(text, strlen(text), &msg) : NULL;
	free(text);
	if (v->cfg == NULL) {
		fprintf(stderr, "standin-agent: %s: %s\n", a->file, msg.text);
		cs_view_destroy(v);
		json_decref(doc);
		return;
	}
	view_parse_members(v, json_object_get(doc, "members"));
	view_parse_servers(v, json_object_get(doc, "servers"));
	view_parse_loads(v, json_object_get(doc, "loads"));
	json_decref(doc);
	v->store_ok = true;
	v->incarnation = 1;
	v->sequence = a->view ? a->view->sequence + 1 : 1;
	cs_view_destroy(a->view);
	a->view = v;
}

static void on_poll(struct cs_timer *t, void *arg)
{
	struct agent *a = arg;
	struct stat st;

	if (stat(a->file, &st) != 0 ||
	    memcmp(&st.st_mtim, &a->file_mtime, sizeof(a->file_mtime)) == 0)
		return;
	a->file_mtime = st.st_mtim;
	load_view(a);
}

static void print_report(struct agent *a, const struct cs_report *r)
{
	char line[sizeof(a->last_line)];

	snprintf(line, sizeof(line), "report ready=%d stopping=%d revision=%llu", r->ready,
		 r->stopping, (unsigned long long)r->revision);
	if (strcmp(line, a->last_line) == 0)
		return;
	cs_copy(a->last_line, sizeof(a->last_line), line);
	puts(line);
	fflush(stdout);
}

static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg)
{
	struct agent *a = arg;
	struct cs_msg msg;
	struct cs_wire_msg *m = cs_wire_parse(data, len, &msg), out = {.type = CS_WIRE_SNAPSHOT};
	struct cs_wire_snapshot *snap = &out.u.snapshot;

	if (m == NULL || m->type != CS_WIRE_REPORT)
		goto out;
	print_report(a, &m->u.report.body);
	if (a->view == NULL || m->u.report.applied.sequence == a->view->sequence)
		goto out;
	snap->has_config = snap->has_members = snap->has_servers = snap->has_loads = true;
	snap->has_loans = true;
	snap->view = a->view;
	cs_wire_pack(&a->buf, &out);
	cs_sock_send(s, from, a->buf.data, a->buf.len);
out:
	if (m != NULL)
		cs_wire_free(m);
}

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct cs_timers *ts = cs_timers_create(loop);
	struct agent a = {0};
	struct cs_timer poll;
	struct cs_bus *bus;
	struct cs_msg msg;

	if (argc != 4) {
		fprintf(stderr, "usage: standin-agent ADDRESS PORT FILE\n");
		return 2;
	}
	cs_log_open("standin-agent", CS_NOTICE);
	a.file = argv[3];
	bus = cs_bus_create(loop, NULL, NULL, &msg);
	if (bus != NULL)
		a.sock = cs_sock_listen(bus, argv[1], (uint16_t)strtoul(argv[2], NULL, 10), false,
					on_message, &a, &msg);
	if (a.sock == NULL) {
		fprintf(stderr, "standin-agent: %s\n", msg.text);
		return 1;
	}
	cs_timer_init(&poll, on_poll, &a);
	cs_timer_start_every(ts, &poll, FILE_POLL_INTERVAL_US);
	ev_run(loop, 0);
	return 0;
}
