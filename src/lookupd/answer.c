/* Handlers of /v1/lookup and /v1/locate: instances for a class and a client address. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

/* Validated arguments of a request. */
struct lookup_args {
	const char *class_name;
	int class_index;
	char addr_text[CS_ADDR_MAX];
	uint8_t addr[16];
};

void send_error(struct cs_http_req *req, unsigned status, const char *code, const char *message)
{
	json_t *doc = json_pack("{s:s, s:s}", "error", code, "message", message);
	char *text = doc != NULL ? json_dumps(doc, JSON_COMPACT) : NULL;
	char *line = cs_xasprintf("%s\n", text != NULL ? text : "{\"error\":\"malformed\"}");

	if (status == 503)
		cs_http_add_header(req, "Retry-After", "1");
	cs_http_reply(req, status, NULL, line, strlen(line));
	free(line);
	free(text);
	json_decref(doc);
}

/* Allocates the counters for the classes of a new configuration. */
static void update_class_counters(struct lookupd *d, const struct cs_config *cfg)
{
	char labels[CS_NAME_MAX + 16];
	unsigned i;

	if (d->class_lookups != NULL && d->class_lookups_revision == cfg->revision &&
	    d->n_class_lookups == cfg->n_classes)
		return;
	d->class_lookups_revision = cfg->revision;
	free(d->class_lookups);
	d->n_class_lookups = cfg->n_classes;
	d->class_lookups = cs_xcalloc(cfg->n_classes, sizeof(*d->class_lookups));
	for (i = 0; i < cfg->n_classes; i++) {
		snprintf(labels, sizeof(labels), "class=\"%s\"", cfg->classes[i].name);
		d->class_lookups[i] = cs_metrics_counter(d->metrics, "cassia_lookups_total", labels,
							 "Lookups answered with entries.");
	}
}

/* Responds that a class is unknown; the message suggests the most similar name. */
static void send_unknown_class(const struct cs_config *cfg, struct cs_http_req *req,
			       const char *name)
{
	const char **names = cs_xcalloc(cfg->n_classes, sizeof(*names)), *similar;
	struct cs_msg msg;
	unsigned i;

	for (i = 0; i < cfg->n_classes; i++)
		names[i] = cfg->classes[i].name;
	similar = cs_closest_name(name, names, cfg->n_classes);
	cs_msg_set(&msg, "class \"%.60s\" is not in the configuration%s%s%s", name,
		   similar ? "; did you mean " : "", similar ? similar : "", similar ? "?" : "");
	send_error(req, 404, "unknown_class", msg.text);
	free(names);
}

/* Reads and validates the arguments. On an error sends the response and returns false. */
static bool read_args(struct lookupd *d, struct cs_http_req *req, struct lookup_args *args)
{
	const struct cs_view *v = steer_view(d->steer);
	const char *addr = cs_http_query_arg(req, "addr");

	if (strcmp(cs_http_method(req), "GET") != 0) {
		send_error(req, 405, "method", "only GET is allowed");
		return false;
	}
	args->class_name = cs_http_query_arg(req, "class");
	if (args->class_name == NULL || args->class_name[0] == '\0') {
		++*d->malformed;
		send_error(req, 400, "malformed", "the argument class is required");
		return false;
	}
	if (addr != NULL)
		cs_copy(args->addr_text, sizeof(args->addr_text), addr);
	else
		cs_http_peer(req, args->addr_text, sizeof(args->addr_text));
	if (!cs_addr_parse(args->addr_text, args->addr)) {
		++*d->malformed;
		send_error(req, 400, "malformed", "addr is not an IPv4 or IPv6 address");
		return false;
	}
	if (v == NULL) {
		++*d->not_ready;
		send_error(req, 503, "not_ready", "no configuration yet");
		return false;
	}
	args->class_index = cs_config_class(v->cfg, args->class_name);
	if (args->class_index < 0) {
		++*d->unknown_class;
		send_unknown_class(v->cfg, req, args->class_name);
		return false;
	}
	return true;
}

/* Appends text, truncated to the buffer; the buffer suffices for CS_LOCATE_MAX entries. */
static size_t append(char *buf, size_t size, size_t at, const char *text, size_t len)
{
	if (len > size - at)
		len = size - at;
	memcpy(buf + at, text, len);
	return at + len;
}

void handle_lookup(struct lookupd *d, struct cs_http_req *req)
{
	uint64_t start = cs_mono_us();
	struct cs_locate_result found;
	struct lookup_args args;
	char buf[4096];
	const char *part;
	size_t len, at;
	unsigned i;

	if (!read_args(d, req, &args))
		return;
	update_class_counters(d, steer_view(d->steer)->cfg);
	if (!cs_plan_locate(steer_plan(d->steer), (unsigned)args.class_index, args.addr,
			    cs_wall_ms(), *d->class_lookups[args.class_index], &found)) {
		++*d->no_instance;
		send_error(req, 503, "no_instance", "no entry instance is usable");
		return;
	}
	part = steer_response_prefix(d->steer, (unsigned)args.class_index, &len);
	at = append(buf, sizeof(buf), 0, part, len);
	for (i = 0; i < found.n; i++) {
		part = steer_response_entry(d->steer, found.members[i], &len);
		if (part == NULL)
			continue;
		if (buf[at - 1] != '[')
			at = append(buf, sizeof(buf), at, ",", 1);
		at = append(buf, sizeof(buf), at, part, len);
	}
	at = append(buf, sizeof(buf), at, "]}\n", 3);
	if (d->stopping)
		cs_http_add_header(req, "Connection", "close");
	cs_http_reply(req, 200, NULL, buf, at);
	++*d->class_lookups[args.class_index];
	cs_hist_add(d->lookup_us, cs_mono_us() - start);
}

void handle_locate(struct lookupd *d, struct cs_http_req *req)
{
	const struct cs_view *v = steer_view(d->steer);
	json_t *doc, *list = json_array();
	struct cs_locate_result found = {0};
	struct lookup_args args;
	char *text;
	unsigned i;
	int zone, block;
	char prefix[CS_BLOCK_MAX] = "";

	if (!read_args(d, req, &args)) {
		json_decref(list);
		return;
	}
	if (!cs_plan_locate(steer_plan(d->steer), (unsigned)args.class_index, args.addr,
			    cs_wall_ms(), 0, &found))
		found.n = 0;
	for (i = 0; i < found.n; i++) {
		const struct cs_member *m = found.members[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:i, s:s, s:s?}", "instance",
						      m->name, "zone", m->zone, "address", m->addr,
						      "port", (int)m->proxy_port, "state",
						      cs_member_state_name(m->state), "reason",
						      found.reason[i]));
	}
	block = cs_blocks_match(v->cfg->blocks, v->cfg->block_parents, v->cfg->n_blocks, args.addr);
	zone = cs_config_zone_of_addr(v->cfg, args.addr);
	if (block >= 0)
		cs_block_format(&v->cfg->blocks[block], prefix);
	doc = json_pack("{s:s, s:s, s:s?, s:s?, s:I, s:i, s:s, s:o}", "class", args.class_name,
			"address", args.addr_text, "caller_zone",
			zone >= 0 ? v->cfg->zones[zone].name : NULL, "block",
			block >= 0 ? prefix : NULL, "revision", (json_int_t)v->cfg->revision,
			"ttl_ms", (int)v->cfg->shift.lookup_ttl_ms, "told_by", d->instance,
			"entries", list);
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}
