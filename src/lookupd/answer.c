/* Lookup answers: class and caller's address in, entry instances out. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

/* A request after its arguments were checked. */
struct ask {
	const char *class_name;
	int class_index;
	char addr_text[CS_ADDR_MAX];
	uint8_t addr[16];
};

void answer_error(struct cs_http_req *req, unsigned status, const char *code, const char *message)
{
	json_t *doc = json_pack("{s:s, s:s}", "error", code, "message", message);
	char *text = doc != NULL ? json_dumps(doc, JSON_COMPACT) : NULL;
	char *line = cs_xasprintf("%s\n", text != NULL ? text : "{\"error\":\"malformed\"}");

	if (status == 503)
		cs_http_set(req, "Retry-After", "1");
	cs_http_reply(req, status, NULL, line, strlen(line));
	free(line);
	free(text);
	json_decref(doc);
}

/* Renews the counters of classes after a new configuration. */
static void renew_counters(struct lookupd *d, const struct cs_config *cfg)
{
	char labels[CS_NAME_MAX + 16];
	unsigned i;

	if (d->class_count != NULL && d->counted_revision == cfg->revision &&
	    d->n_class_count == cfg->n_classes)
		return;
	d->counted_revision = cfg->revision;
	free(d->class_count);
	d->n_class_count = cfg->n_classes;
	d->class_count = cs_xcalloc(cfg->n_classes, sizeof(*d->class_count));
	for (i = 0; i < cfg->n_classes; i++) {
		snprintf(labels, sizeof(labels), "class=\"%s\"", cfg->classes[i].name);
		d->class_count[i] = cs_metrics_counter(d->metrics, "cassia_lookups_total", labels,
						       "Lookups answered with entries.");
	}
}

/* Message for an unknown class, with the nearest known name. */
static void refuse_class(const struct cs_config *cfg, struct cs_http_req *req, const char *name)
{
	const char **names = cs_xcalloc(cfg->n_classes, sizeof(*names)), *near;
	struct cs_msg msg;
	unsigned i;

	for (i = 0; i < cfg->n_classes; i++)
		names[i] = cfg->classes[i].name;
	near = cs_nearest(name, names, cfg->n_classes);
	cs_msg_set(&msg, "class \"%.60s\" is not in the configuration%s%s%s", name,
		   near ? "; did you mean " : "", near ? near : "", near ? "?" : "");
	answer_error(req, 404, "unknown_class", msg.text);
	free(names);
}

/* Reads and checks the arguments; replies and returns false if one is bad. */
static bool read_ask(struct lookupd *d, struct cs_http_req *req, struct ask *ask)
{
	const struct cs_view *v = steer_view(d->steer);
	const char *addr = cs_http_arg(req, "addr");

	if (strcmp(cs_http_method(req), "GET") != 0) {
		answer_error(req, 405, "method", "only GET is allowed");
		return false;
	}
	ask->class_name = cs_http_arg(req, "class");
	if (ask->class_name == NULL || ask->class_name[0] == '\0') {
		++*d->malformed;
		answer_error(req, 400, "malformed", "the argument class is required");
		return false;
	}
	if (addr != NULL)
		cs_copy(ask->addr_text, sizeof(ask->addr_text), addr);
	else
		cs_http_peer(req, ask->addr_text, sizeof(ask->addr_text));
	if (!cs_addr_parse(ask->addr_text, ask->addr)) {
		++*d->malformed;
		answer_error(req, 400, "malformed", "addr is not an IPv4 or IPv6 address");
		return false;
	}
	if (v == NULL) {
		++*d->unready;
		answer_error(req, 503, "not_ready", "no configuration yet");
		return false;
	}
	ask->class_index = cs_config_class(v->cfg, ask->class_name);
	if (ask->class_index < 0) {
		++*d->unknown_class;
		refuse_class(v->cfg, req, ask->class_name);
		return false;
	}
	return true;
}

/* Appends with a bound; answers are at most CS_LOCATE_MAX entries, so the buffer suffices. */
static size_t append(char *buf, size_t size, size_t at, const char *text, size_t len)
{
	if (len > size - at)
		len = size - at;
	memcpy(buf + at, text, len);
	return at + len;
}

void answer_lookup(struct lookupd *d, struct cs_http_req *req)
{
	uint64_t start = cs_mono_us();
	struct cs_located found;
	struct ask ask;
	char buf[4096];
	const char *part;
	size_t len, at;
	unsigned i;

	if (!read_ask(d, req, &ask))
		return;
	renew_counters(d, steer_view(d->steer)->cfg);
	if (!cs_plan_locate(steer_plan(d->steer), (unsigned)ask.class_index, ask.addr, cs_wall_ms(),
			    *d->class_count[ask.class_index], &found)) {
		++*d->no_instance;
		answer_error(req, 503, "no_instance", "no entry instance is usable");
		return;
	}
	part = steer_prefix(d->steer, (unsigned)ask.class_index, &len);
	at = append(buf, sizeof(buf), 0, part, len);
	for (i = 0; i < found.n; i++) {
		part = steer_entry(d->steer, found.members[i], &len);
		if (part == NULL)
			continue;
		if (buf[at - 1] != '[')
			at = append(buf, sizeof(buf), at, ",", 1);
		at = append(buf, sizeof(buf), at, part, len);
	}
	at = append(buf, sizeof(buf), at, "]}\n", 3);
	if (d->stopping)
		cs_http_set(req, "Connection", "close");
	cs_http_reply(req, 200, NULL, buf, at);
	++*d->class_count[ask.class_index];
	cs_hist_add(d->lookup_us, cs_mono_us() - start);
}

void answer_locate(struct lookupd *d, struct cs_http_req *req)
{
	const struct cs_view *v = steer_view(d->steer);
	json_t *doc, *list = json_array();
	struct cs_located found = {0};
	struct ask ask;
	char *text;
	unsigned i;
	int zone, block;
	char prefix[CS_BLOCK_MAX] = "";

	if (!read_ask(d, req, &ask)) {
		json_decref(list);
		return;
	}
	if (!cs_plan_locate(steer_plan(d->steer), (unsigned)ask.class_index, ask.addr, cs_wall_ms(),
			    0, &found))
		found.n = 0;
	for (i = 0; i < found.n; i++) {
		const struct cs_member *m = found.members[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:i, s:s, s:s?}", "instance",
						      m->name, "zone", m->zone, "address", m->addr,
						      "port", (int)m->proxy_port, "state",
						      cs_member_state_name(m->state), "reason",
						      found.reason[i]));
	}
	block = cs_blocks_locate(v->cfg->blocks, v->cfg->block_up, v->cfg->n_blocks, ask.addr);
	zone = cs_config_locate(v->cfg, ask.addr);
	if (block >= 0)
		cs_block_format(&v->cfg->blocks[block], prefix);
	doc = json_pack("{s:s, s:s, s:s?, s:s?, s:I, s:i, s:s, s:o}", "class", ask.class_name,
			"address", ask.addr_text, "caller_zone",
			zone >= 0 ? v->cfg->zones[zone].name : NULL, "block",
			block >= 0 ? prefix : NULL, "revision", (json_int_t)v->cfg->revision,
			"ttl_ms", (int)v->cfg->shift.lookup_ttl_ms, "told_by", d->instance,
			"entries", list);
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}
