/* Admin HTTP endpoint: /healthz, /readyz, /metrics, /v1/state. */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define BODY_MAX 1024

struct admin {
	struct agent *agent;
	struct cs_httpd *httpd;
};

static void on_request(struct cs_http_req *req, void *arg);

struct admin *admin_create(struct agent *a, uint16_t port, struct cs_msg *msg)
{
	struct admin *ad = cs_xcalloc(1, sizeof(*ad));

	ad->agent = a;
	ad->httpd = cs_httpd_create(a->loop, a->timers, a->address, port, BODY_MAX, on_request, ad,
				    msg);
	if (ad->httpd == NULL) {
		free(ad);
		return NULL;
	}
	return ad;
}

void admin_destroy(struct admin *ad)
{
	if (ad == NULL)
		return;
	cs_httpd_destroy(ad->httpd);
	free(ad);
}

static void reply_text(struct cs_http_req *req, unsigned status, const char *text)
{
	cs_http_reply(req, status, "text/plain", text, strlen(text));
}

static void set_counter(struct agent *a, const char *name, const char *labels, const char *help,
			uint64_t v)
{
	*cs_metrics_counter(a->metrics, name, labels, help) = v;
}

static void set_gauge(struct agent *a, const char *name, const char *help, uint64_t v)
{
	*cs_metrics_gauge(a->metrics, name, "", help) = (int64_t)v;
}

/* Copies the counters of the modules into the metrics registry. */
static void metrics_collect(struct agent *a)
{
	const struct core_stats *cs = core_stats(a->core);
	const struct cs_bus_stats *bs = cs_bus_stats(a->bus);
	struct cs_config *cfg = core_current_config(a->core);
	uint64_t messages, bytes;
	char labels[64];
	int t;

	set_counter(a, "cassia_store_calls_total", "", "Calls to the store.",
		    cs_store_request_count(store_watch_get_store(a->store_watch)));
	set_counter(a, "cassia_bus_sent_total", "", "Messages sent to peers and daemons.",
		    bs->sent);
	set_counter(a, "cassia_bus_sent_bytes_total", "", "Payload bytes sent.", bs->sent_bytes);
	set_counter(a, "cassia_bus_received_total", "", "Messages received.", bs->received);
	set_counter(a, "cassia_bus_received_bytes_total", "", "Payload bytes received.",
		    bs->received_bytes);
	mesh_received(a->mesh, &messages, &bytes);
	set_counter(a, "cassia_peer_received_total", "", "Messages from peers.", messages);
	set_counter(a, "cassia_peer_received_bytes_total", "", "Payload bytes from peers.", bytes);
	set_counter(a, "cassia_bus_dropped_total", "", "Messages dropped at sending.", bs->dropped);
	set_counter(a, "cassia_bus_malformed_total", "", "Malformed messages.", bs->malformed);
	set_counter(a, "cassia_bus_oversized_total", "", "Oversized messages.", bs->oversized);
	set_counter(a, "cassia_bus_denied_total", "", "Peers without the deployment's key.",
		    bs->denied);
	set_counter(a, "cassia_core_stale_total", "", "Messages behind their sender's last one.",
		    cs->stale);
	set_counter(a, "cassia_config_accepted_total", "", "Documents accepted.", cs->accepted);
	set_counter(a, "cassia_config_refused_total", "reason=\"older\"", "Documents refused.",
		    cs->older);
	set_counter(a, "cassia_config_refused_total", "reason=\"differs\"", "Documents refused.",
		    cs->conflicts);
	set_counter(a, "cassia_config_refused_total", "reason=\"bad\"", "Documents refused.",
		    cs->invalid);
	for (t = CS_WIRE_HEARTBEAT; t < CS_WIRE_TYPE_COUNT; t++) {
		snprintf(labels, sizeof(labels), "type=\"%s\"",
			 cs_wire_type_name((enum cs_wire_type)t));
		if (cs->sends[t] == 0)
			continue;
		set_counter(a, "cassia_sends_total", labels, "Messages to peers by type.",
			    cs->sends[t]);
		set_counter(a, "cassia_send_bytes_total", labels, "Bytes to peers by type.",
			    cs->send_bytes[t]);
	}
	set_gauge(a, "cassia_revision", "Configuration revision in force.",
		  cfg ? cfg->revision : 0);
	set_gauge(a, "cassia_watcher", "1 if this instance watches the store.",
		  core_is_watcher(a->core));
	set_gauge(a, "cassia_peer_connections", "Connections to peers.", mesh_connections(a->mesh));
}

static void reply_metrics(struct agent *a, struct cs_http_req *req)
{
	char *text;

	metrics_collect(a);
	text = cs_metrics_text(a->metrics);
	reply_text(req, 200, text);
	free(text);
}

/* Age in ms; null if unknown. */
static json_t *age_ms(uint64_t us)
{
	return us == UINT64_MAX ? json_null() : json_integer((json_int_t)(us / CS_US_PER_MS));
}

static json_t *members_json(const struct cs_view *v)
{
	json_t *rows = json_array();
	const struct cs_member *m;
	unsigned i;

	for (i = 0; i < v->n_members; i++) {
		m = &v->members[i];
		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s,s:b,s:b,s:I,s:I,s:o}", "name",
				  m->name, "zone", m->zone, "addr", m->addr, "lookup_port",
				  m->lookup_port, "proxy_port", m->proxy_port, "bus_port",
				  m->bus_port, "admin_port", m->admin_port, "state",
				  cs_member_state_name(m->state), "listed", m->listed, "ready",
				  m->ready, "incarnation", (json_int_t)m->incarnation, "revision",
				  (json_int_t)m->revision, "silent_ms", age_ms(m->silent_us)));
	}
	return rows;
}

static json_t *servers_json(const struct cs_view *v)
{
	json_t *rows = json_array();
	const struct cs_server *s;
	unsigned i;

	for (i = 0; i < v->n_servers; i++) {
		s = &v->servers[i];
		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:i,s:o}", "name", s->name,
				  "service", s->service, "zone", s->zone, "addr", s->addr, "port",
				  s->port, "state", cs_server_state_name(s->state), "slots",
				  s->slots, "in_flight", s->reported_in_flight, "service_us",
				  s->reported_service_us, "age_ms", age_ms(s->reported_age_us)));
	}
	return rows;
}

static json_t *loads_json(const struct cs_view *v)
{
	json_t *rows = json_array();
	const struct cs_zone_load *l;
	unsigned i;

	for (i = 0; i < v->n_loads; i++) {
		l = &v->loads[i];
		json_array_append_new(
			rows, json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:b,s:o}", "zone", l->zone,
					"service", l->service, "capacity", l->capacity, "in_flight",
					l->in_flight, "waiting", l->waiting, "foreign", l->foreign,
					"service_us", l->service_us, "out_of_target",
					l->out_of_target, "age_ms", age_ms(l->age_us)));
	}
	return rows;
}

static json_t *module_status(bool ok, const char *message)
{
	return json_pack("{s:s,s:s}", "status", ok ? "ok" : "degraded", "message", message);
}

static json_t *status_json(struct agent *a, const struct cs_view *v)
{
	bool stopping;
	unsigned daemons = daemon_links_count_alive(a->daemons, &stopping);
	const char *store = core_is_watcher(a->core) ? "watching" : "told by the zone's watchers";

	return json_pack(
		"{s:o,s:o,s:o,s:o}", "store",
		module_status(v->store_ok, v->store_ok ? store : "no answer lately"), "config",
		module_status(v->cfg != NULL, v->cfg ? "in force" : "none known"), "daemons",
		module_status(daemons == 2, daemons == 2 ? "both report" : "not all report"),
		"process",
		module_status(!core_is_stale(a->core),
			      core_is_stale(a->core) ? "resumed after a pause" : "running"));
}

static void reply_state(struct agent *a, struct cs_http_req *req)
{
	struct cs_view *v = core_view(a->core, cs_mono_us());
	json_t *doc;
	char *text;

	doc = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:b,s:b,s:b,s:o,s:o,s:o,s:o}", "instance",
			a->instance, "zone", a->zone, "kind", "agent", "version", CS_VERSION,
			"revision", (json_int_t)(v->cfg ? v->cfg->revision : 0), "incarnation",
			(json_int_t)v->incarnation, "sequence", (json_int_t)v->sequence, "ready",
			core_is_ready(a->core) && !core_is_stale(a->core), "watcher",
			core_is_watcher(a->core), "stopping", a->stopping, "parts",
			status_json(a, v), "members", members_json(v), "servers", servers_json(v),
			"loads", loads_json(v));
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
	cs_view_destroy(v);
}

static void on_request(struct cs_http_req *req, void *arg)
{
	struct admin *ad = arg;
	struct agent *a = ad->agent;
	const char *path = cs_http_path(req);

	if (strcmp(cs_http_method(req), "GET") != 0) {
		reply_text(req, 405, "use GET\n");
	} else if (strcmp(path, "/healthz") == 0) {
		reply_text(req, 200, "ok\n");
	} else if (strcmp(path, "/readyz") == 0) {
		if (core_is_ready(a->core) && !core_is_stale(a->core))
			reply_text(req, 200, "ready\n");
		else
			reply_text(req, 503, "not ready\n");
	} else if (strcmp(path, "/metrics") == 0) {
		reply_metrics(a, req);
	} else if (strcmp(path, "/v1/state") == 0) {
		reply_state(a, req);
	} else {
		reply_text(req, 404, "no such path\n");
	}
}
