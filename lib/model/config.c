/* Parser of the configuration document. A document is accepted or rejected as a whole. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "model/model-local.h"

struct parser {
	struct cs_config *cfg;
	const json_t *doc;
	struct cs_msg *msg;
};

static void read_name(const json_t *obj, const char *key, char out[CS_NAME_MAX])
{
	cs_copy(out, CS_NAME_MAX, json_string_value(json_object_get(obj, key)));
}

static int64_t read_time(const json_t *obj, const char *key)
{
	int64_t ms = 0;

	(void)cs_time_parse(json_string_value(json_object_get(obj, key)), &ms);
	return ms;
}

/* Number or boolean of a validated object, or the key's default from the schema. */
static double read_number(enum cs_section_id id, const json_t *obj, const char *key)
{
	unsigned n, i;
	const struct cs_config_section *s = &cs_config_sections(&n)[id];
	const json_t *v = json_object_get(obj, key);

	if (json_is_boolean(v))
		return json_is_true(v) ? 1 : 0;
	if (v != NULL)
		return json_number_value(v);
	for (i = 0; i < s->n; i++) {
		if (strcmp(s->keys[i].name, key) == 0)
			return s->keys[i].def;
	}
	return 0;
}

static unsigned read_unsigned(enum cs_section_id id, const json_t *obj, const char *key)
{
	return (unsigned)read_number(id, obj, key);
}

/* Rejects a name that an earlier entry uses; each entry type begins with its name or id. */
static bool check_unique(struct parser *p, const char *path, const char *key, const json_t *obj,
			 const void *entries, unsigned n, size_t size)
{
	const char *name = json_string_value(json_object_get(obj, key));
	struct cs_msg allowed;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (strcmp((const char *)entries + i * size, name) != 0)
			continue;
		cs_msg_set(&allowed, "a value that no earlier entry has (entry %u already has it)",
			   i);
		cs_check_set_error(p->msg, path, key, json_object_get(obj, key), allowed.text);
		return false;
	}
	return true;
}

/* Index of the entry that a key refers to, or -1; each entry type begins with its name or id. */
static int resolve_name(struct parser *p, const char *path, const char *key, const json_t *obj,
			const char *type, const void *entries, unsigned n, size_t size)
{
	const json_t *v = json_object_get(obj, key);
	const char *name = json_string_value(v), *similar;
	const char **names;
	struct cs_msg allowed;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (strcmp((const char *)entries + i * size, name) == 0)
			return (int)i;
	}
	names = cs_xcalloc(n, sizeof(*names));
	for (i = 0; i < n; i++)
		names[i] = (const char *)entries + i * size;
	similar = cs_closest_name(name, names, n);
	cs_msg_set(&allowed, "the name of a %s%s%s%s", type, similar ? "; did you mean " : "",
		   similar ? similar : "", similar ? "?" : "");
	cs_check_set_error(p->msg, path, key, v, allowed.text);
	free(names);
	return -1;
}

static bool parse_network(struct parser *p)
{
	const json_t *obj = json_object_get(p->doc, "network");
	struct cs_network *n = &p->cfg->network;

	if (!cs_check_object(CS_SECTION_NETWORK, "network", obj, p->msg))
		return false;
	n->zone_delay_us = (unsigned)lround(
		json_number_value(json_object_get(obj, "zone_delay_ms")) * (double)CS_US_PER_MS);
	n->region_delay_us = (unsigned)lround(
		json_number_value(json_object_get(obj, "region_delay_ms")) * (double)CS_US_PER_MS);
	n->link_mbit_s = read_unsigned(CS_SECTION_NETWORK, obj, "link_mbit_s");
	return true;
}

static bool parse_shift(struct parser *p)
{
	const json_t *obj = json_object_get(p->doc, "shift");

	if (!cs_check_object(CS_SECTION_SHIFT, "shift", obj, p->msg))
		return false;
	p->cfg->shift.cap_pct_s = read_number(CS_SECTION_SHIFT, obj, "cap_pct_s");
	p->cfg->shift.lookup_ttl_ms = read_unsigned(CS_SECTION_SHIFT, obj, "lookup_ttl_ms");
	return true;
}

static bool parse_region(struct parser *p, const json_t *obj, const char *path)
{
	struct cs_config *cfg = p->cfg;

	if (!cs_check_object(CS_SECTION_REGION, path, obj, p->msg) ||
	    !check_unique(p, path, "name", obj, cfg->regions, cfg->n_regions,
			  sizeof(*cfg->regions)))
		return false;
	read_name(obj, "name", cfg->regions[cfg->n_regions++].name);
	return true;
}

/* Appends the client blocks of a zone. sort_blocks sorts the table and rejects duplicates. */
static bool parse_clients(struct parser *p, const json_t *list, const char *path, unsigned zone)
{
	struct cs_config *cfg = p->cfg;
	size_t i, n = json_array_size(list);
	struct cs_msg key;

	if (n == 0)
		return true;
	cfg->blocks = cs_xrealloc(cfg->blocks, cfg->n_blocks + n, sizeof(*cfg->blocks));
	for (i = 0; i < n; i++) {
		const json_t *v = json_array_get(list, i);
		struct cs_block *b = &cfg->blocks[cfg->n_blocks];

		if (!json_is_string(v) || !cs_block_parse(json_string_value(v), b)) {
			cs_msg_set(&key, "clients[%zu]", i);
			cs_check_set_error(p->msg, path, key.text, v,
					   "a prefix such as 10.1.0.0/16 or 2001:db8::/32 with no "
					   "bits set beyond its length");
			return false;
		}
		b->zone = (uint16_t)zone;
		cfg->n_blocks++;
	}
	return true;
}

static bool parse_zone(struct parser *p, const json_t *obj, const char *path)
{
	struct cs_config *cfg = p->cfg;
	struct cs_zone *z = &cfg->zones[cfg->n_zones];
	int region;

	if (!cs_check_object(CS_SECTION_ZONE, path, obj, p->msg) ||
	    !check_unique(p, path, "name", obj, cfg->zones, cfg->n_zones, sizeof(*cfg->zones)))
		return false;
	region = resolve_name(p, path, "region", obj, "region", cfg->regions, cfg->n_regions,
			      sizeof(*cfg->regions));
	if (region < 0)
		return false;
	read_name(obj, "name", z->name);
	z->region = (unsigned)region;
	return parse_clients(p, json_object_get(obj, "clients"), path, cfg->n_zones++);
}

static bool parse_service(struct parser *p, const json_t *obj, const char *path)
{
	struct cs_config *cfg = p->cfg;
	struct cs_service *s = &cfg->services[cfg->n_services];
	struct cs_msg allowed;

	if (!cs_check_object(CS_SECTION_SERVICE, path, obj, p->msg) ||
	    !check_unique(p, path, "name", obj, cfg->services, cfg->n_services,
			  sizeof(*cfg->services)))
		return false;
	read_name(obj, "name", s->name);
	s->slots = read_unsigned(CS_SECTION_SERVICE, obj, "slots");
	s->connections = read_unsigned(CS_SECTION_SERVICE, obj, "connections");
	if (s->connections < s->slots) {
		cs_msg_set(&allowed, "at least the service's slots (%u)", s->slots);
		cs_check_set_error(p->msg, path, "connections", json_object_get(obj, "connections"),
				   allowed.text);
		return false;
	}
	cfg->n_services++;
	return true;
}

static bool parse_class(struct parser *p, const json_t *obj, const char *path)
{
	struct cs_config *cfg = p->cfg;
	struct cs_class *c = &cfg->classes[cfg->n_classes];
	struct cs_msg allowed;
	int service;

	if (!cs_check_object(CS_SECTION_CLASS, path, obj, p->msg) ||
	    !check_unique(p, path, "name", obj, cfg->classes, cfg->n_classes,
			  sizeof(*cfg->classes)))
		return false;
	service = resolve_name(p, path, "service", obj, "service", cfg->services, cfg->n_services,
			       sizeof(*cfg->services));
	if (service < 0)
		return false;
	read_name(obj, "name", c->name);
	c->service = (unsigned)service;
	c->idempotent = read_number(CS_SECTION_CLASS, obj, "idempotent") != 0;
	c->bulk = read_number(CS_SECTION_CLASS, obj, "bulk") != 0;
	c->latency_target_ms = read_unsigned(CS_SECTION_CLASS, obj, "latency_target_ms");
	c->percentile = read_number(CS_SECTION_CLASS, obj, "percentile");
	c->availability_pct = read_number(CS_SECTION_CLASS, obj, "availability_pct");
	c->headroom_pct = read_number(CS_SECTION_CLASS, obj, "headroom_pct");
	c->max_body = (uint64_t)read_unsigned(CS_SECTION_CLASS, obj, "max_body_kb") * 1024;
	c->timeout_ms = read_unsigned(CS_SECTION_CLASS, obj, "timeout_ms");
	c->priority = read_unsigned(CS_SECTION_CLASS, obj, "priority");
	if (c->timeout_ms < c->latency_target_ms) {
		cs_msg_set(&allowed, "at least the class's latency_target_ms (%u)",
			   c->latency_target_ms);
		cs_check_set_error(p->msg, path, "timeout_ms", json_object_get(obj, "timeout_ms"),
				   allowed.text);
		return false;
	}
	if (c->headroom_pct > cfg->services[service].headroom_pct)
		cfg->services[service].headroom_pct = c->headroom_pct;
	cfg->n_classes++;
	return true;
}

/* Reads the target of a drain, given by exactly one of the keys zone and region. */
static bool parse_drain_target(struct parser *p, const json_t *obj, const char *path,
			       struct cs_drain *d)
{
	struct cs_config *cfg = p->cfg;
	bool zone = json_object_get(obj, "zone") != NULL;
	int target;
	unsigned i;

	if (zone == (json_object_get(obj, "region") != NULL)) {
		cs_msg_set(p->msg, "%s: %s is not allowed; allowed: exactly one of zone and region",
			   path, zone ? "both zone and region" : "neither zone nor region");
		return false;
	}
	if (zone)
		target = resolve_name(p, path, "zone", obj, "zone", cfg->zones, cfg->n_zones,
				      sizeof(*cfg->zones));
	else
		target = resolve_name(p, path, "region", obj, "region", cfg->regions,
				      cfg->n_regions, sizeof(*cfg->regions));
	if (target < 0)
		return false;
	d->kind = zone ? CS_DRAIN_ZONE : CS_DRAIN_REGION;
	d->target = (unsigned)target;
	for (i = 0; i < cfg->n_drains; i++) {
		if (cfg->drains[i].kind != d->kind || cfg->drains[i].target != d->target)
			continue;
		cs_msg_set(p->msg,
			   "%s.%s: \"%s\" is not allowed; allowed: one drain a %s (drain %s "
			   "already has it)",
			   path, zone ? "zone" : "region",
			   zone ? cfg->zones[target].name : cfg->regions[target].name,
			   zone ? "zone" : "region", cfg->drains[i].id);
		return false;
	}
	return true;
}

static bool parse_drain(struct parser *p, const json_t *obj, const char *path)
{
	struct cs_config *cfg = p->cfg;
	struct cs_drain *d = &cfg->drains[cfg->n_drains];
	struct cs_msg allowed;

	if (!cs_check_object(CS_SECTION_DRAIN, path, obj, p->msg) ||
	    !check_unique(p, path, "id", obj, cfg->drains, cfg->n_drains, sizeof(*cfg->drains)) ||
	    !parse_drain_target(p, obj, path, d))
		return false;
	read_name(obj, "id", d->id);
	d->start_ms = read_time(obj, "start");
	d->deadline_ms = read_time(obj, "deadline");
	if (d->deadline_ms <= d->start_ms) {
		cs_msg_set(&allowed, "a time after start (%s)",
			   json_string_value(json_object_get(obj, "start")));
		cs_check_set_error(p->msg, path, "deadline", json_object_get(obj, "deadline"),
				   allowed.text);
		return false;
	}
	cfg->n_drains++;
	return true;
}

static bool parse_change(struct parser *p, const json_t *obj, const char *path)
{
	struct cs_config *cfg = p->cfg;
	struct cs_change *c = &cfg->changes[cfg->n_changes];
	uint64_t min_revision = cfg->n_changes > 0 ? c[-1].revision + 1 : 1;
	struct cs_msg allowed;

	if (!cs_check_object(CS_SECTION_CHANGE, path, obj, p->msg) ||
	    !check_unique(p, path, "id", obj, cfg->changes, cfg->n_changes, sizeof(*cfg->changes)))
		return false;
	read_name(obj, "id", c->id);
	read_name(obj, "by", c->by);
	c->revision = (uint64_t)json_integer_value(json_object_get(obj, "revision"));
	c->at_ms = read_time(obj, "at");
	cs_copy(c->text, sizeof(c->text), json_string_value(json_object_get(obj, "text")));
	if (c->revision < min_revision || c->revision > cfg->revision) {
		cs_msg_set(&allowed, "%lu to the document's revision (%lu), in ascending order",
			   (unsigned long)min_revision, (unsigned long)cfg->revision);
		cs_check_set_error(p->msg, path, "revision", json_object_get(obj, "revision"),
				   allowed.text);
		return false;
	}
	cfg->n_changes++;
	return true;
}

typedef bool (*parse_entry_fn)(struct parser *p, const json_t *obj, const char *path);

/* Parses a list of the document into a new array; array is the address of the pointer to set. */
static bool parse_list(struct parser *p, const char *key, void *array, size_t size,
		       parse_entry_fn fn)
{
	const json_t *list = json_object_get(p->doc, key);
	size_t i, n = json_array_size(list);
	void *mem = cs_xcalloc(n, size);
	struct cs_msg path;

	memcpy(array, &mem, sizeof(mem));
	for (i = 0; i < n; i++) {
		cs_msg_set(&path, "%s[%zu]", key, i);
		if (!fn(p, json_array_get(list, i), path.text))
			return false;
	}
	return true;
}

/* Sorts the block table, finds the parent of each block and rejects duplicate prefixes. */
static bool sort_blocks(struct parser *p)
{
	struct cs_config *cfg = p->cfg;
	unsigned i;

	if (cfg->n_blocks == 0)
		return true;
	qsort(cfg->blocks, cfg->n_blocks, sizeof(*cfg->blocks), cs_block_cmp);
	cfg->block_parents = cs_blocks_find_parents(cfg->blocks, cfg->n_blocks);
	for (i = 1; i < cfg->n_blocks; i++) {
		const struct cs_block *b = &cfg->blocks[i];
		char text[CS_BLOCK_MAX];

		if (cs_block_cmp(b - 1, b) != 0)
			continue;
		cs_block_format(b, text);
		cs_msg_set(
			p->msg,
			"zones[%u].clients: \"%s\" is not allowed; allowed: each prefix once (zone "
			"%s already has it)",
			b->zone, text, cfg->zones[b[-1].zone].name);
		return false;
	}
	return true;
}

static bool parse_document(struct parser *p)
{
	struct cs_config *cfg = p->cfg;

	if (!cs_check_object(CS_SECTION_DOCUMENT, "", p->doc, p->msg))
		return false;
	cfg->revision = (uint64_t)json_integer_value(json_object_get(p->doc, "revision"));
	read_name(p->doc, "deployment", cfg->deployment);
	return parse_network(p) && parse_shift(p) &&
	       parse_list(p, "regions", &cfg->regions, sizeof(*cfg->regions), parse_region) &&
	       parse_list(p, "zones", &cfg->zones, sizeof(*cfg->zones), parse_zone) &&
	       parse_list(p, "services", &cfg->services, sizeof(*cfg->services), parse_service) &&
	       parse_list(p, "classes", &cfg->classes, sizeof(*cfg->classes), parse_class) &&
	       parse_list(p, "drains", &cfg->drains, sizeof(*cfg->drains), parse_drain) &&
	       parse_list(p, "changes", &cfg->changes, sizeof(*cfg->changes), parse_change) &&
	       sort_blocks(p);
}

struct cs_config *cs_config_parse(const char *text, size_t len, struct cs_msg *msg)
{
	struct cs_config *cfg;
	struct parser p;
	json_error_t err;
	json_t *doc;
	bool ok;

	if (len > CS_CONFIG_MAX) {
		cs_msg_set(msg, "document: %zu bytes are not allowed; allowed: at most %d", len,
			   CS_CONFIG_MAX);
		return NULL;
	}
	doc = json_loadb(text, len, JSON_REJECT_DUPLICATES, &err);
	if (doc == NULL) {
		cs_msg_set(msg, "document: not JSON at line %d column %d: %s", err.line, err.column,
			   err.text);
		return NULL;
	}
	cfg = cs_xcalloc(1, sizeof(*cfg));
	cfg->refs = 1;
	p = (struct parser){.cfg = cfg, .doc = doc, .msg = msg};
	ok = parse_document(&p);
	if (ok) {
		cfg->text =
			json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS | JSON_REAL_PRECISION(15));
		cfg->text_len = cfg->text != NULL ? strlen(cfg->text) : 0;
		ok = cfg->text != NULL && cfg->text_len <= CS_CONFIG_MAX;
		if (!ok)
			cs_msg_set(msg, "document: %zu bytes are not allowed; allowed: at most %d",
				   cfg->text_len, CS_CONFIG_MAX);
	}
	json_decref(doc);
	if (ok)
		return cfg;
	cs_config_unref(cfg);
	return NULL;
}

struct cs_config *cs_config_ref(struct cs_config *cfg)
{
	if (cfg != NULL)
		cfg->refs++;
	return cfg;
}

void cs_config_unref(struct cs_config *cfg)
{
	if (cfg == NULL || --cfg->refs > 0)
		return;
	free(cfg->regions);
	free(cfg->zones);
	free(cfg->services);
	free(cfg->classes);
	free(cfg->drains);
	free(cfg->changes);
	free(cfg->blocks);
	free(cfg->block_parents);
	free(cfg->text);
	free(cfg);
}
