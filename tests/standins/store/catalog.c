/*
 * Service catalog: register, deregister, list, blocking list. A change becomes visible in the list
 * after the lag (faults.list_lag_ms) that is set when the change is made.
 */
#include <stdlib.h>
#include <string.h>

#include "tests/standins/store/store.h"

struct service {
	LIST_ENTRY(service) link;
	char *name;
	json_t *entries; /* registered Service objects by id */
	json_t *visible; /* list that clients receive */
	uint64_t index; /* of the last change of visible */
};

/* A list that becomes visible after the lag. */
struct pending {
	struct cs_timer timer;
	struct service *service;
	json_t *list;
};

static LIST_HEAD(, service) services = LIST_HEAD_INITIALIZER(services);

static struct service *service_get(const char *name)
{
	struct service *s;

	LIST_FOREACH(s, &services, link)
		if (strcmp(s->name, name) == 0)
			return s;
	s = cs_xcalloc(1, sizeof(*s));
	s->name = cs_xstrdup(name);
	s->visible = json_array();
	s->index = 1;
	s->entries = json_object();
	LIST_INSERT_HEAD(&services, s, link);
	return s;
}

/* Makes a list visible and takes over its reference. */
static void publish(struct service *s, json_t *list)
{
	char *path = cs_xasprintf("/v1/health/service/%s", s->name);

	json_decref(s->visible);
	s->visible = list;
	s->index = ++store_index;
	watchers_notify(path);
	free(path);
}

static void on_lag_end(struct cs_timer *t, void *arg)
{
	struct pending *p = arg;

	publish(p->service, p->list);
	free(p);
}

/* Makes the registered entries visible, at once if the lag is 0. */
static void schedule_publish(struct service *s)
{
	json_t *list = json_array(), *service;
	struct pending *p;
	const char *id;

	json_object_foreach(s->entries, id, service)
		json_array_append_new(list, json_pack("{s:{s:s},s:O,s:[]}", "Node", "Node",
						      "standin", "Service", service, "Checks"));
	if (faults.list_lag_ms == 0) {
		publish(s, list);
		return;
	}
	p = cs_xcalloc(1, sizeof(*p));
	p->service = s;
	p->list = list;
	cs_timer_init(&p->timer, on_lag_end, p);
	cs_timer_start(timers, &p->timer, faults.list_lag_ms * CS_US_PER_MS);
}

/* Returns the service that has an entry with this id, or NULL. */
static struct service *service_find_by_entry(const char *id)
{
	struct service *s;

	LIST_FOREACH(s, &services, link)
		if (json_object_get(s->entries, id) != NULL)
			return s;
	return NULL;
}

/* Converts a registration to a Service object of the list; NULL if it has no name. */
static json_t *service_json(json_t *doc, const char **name, const char **id)
{
	json_t *meta = json_object_get(doc, "Meta"), *out;
	const char *addr = json_string_value(json_object_get(doc, "Address"));

	*name = json_string_value(json_object_get(doc, "Name"));
	*id = json_string_value(json_object_get(doc, "ID"));
	if (*name == NULL)
		return NULL;
	if (*id == NULL)
		*id = *name;
	out = json_pack("{s:s,s:s,s:s,s:I}", "ID", *id, "Service", *name, "Address",
			addr ? addr : "", "Port", json_integer_value(json_object_get(doc, "Port")));
	json_object_set_new(out, "Meta", meta ? json_incref(meta) : json_object());
	return out;
}

void catalog_register(struct call *c)
{
	json_t *doc = json_loadb(c->body ? c->body : "", c->len, 0, NULL), *registered = NULL;
	struct service *s, *owner;
	const char *name, *id;

	count_call(CALL_REGISTER);
	if (doc != NULL)
		registered = service_json(doc, &name, &id);
	if (registered == NULL) {
		json_decref(doc);
		call_reply(c, 400, "malformed registration", 0);
		return;
	}
	s = service_get(name);
	owner = service_find_by_entry(id);
	if (owner != NULL && owner != s) {
		json_object_del(owner->entries, id);
		schedule_publish(owner);
	}
	if (!json_equal(json_object_get(s->entries, id), registered)) {
		json_object_set(s->entries, id, registered);
		schedule_publish(s);
	}
	json_decref(registered);
	json_decref(doc);
	call_reply(c, 200, "", 0);
}

void catalog_deregister(struct call *c, const char *id)
{
	struct service *s = service_find_by_entry(id);

	count_call(CALL_REGISTER);
	if (s == NULL) {
		call_reply(c, 404, "unknown service id", 0);
		return;
	}
	json_object_del(s->entries, id);
	schedule_publish(s);
	call_reply(c, 200, "", 0);
}

void catalog_list(struct call *c, const char *service)
{
	struct service *s = service_get(service);

	if (!c->waiting)
		count_call(c->known_index ? CALL_LIST_WATCH : CALL_LIST);
	if (c->known_index > 0 && c->known_index == s->index) {
		call_wait(c, call_wait_ms(c));
		return;
	}
	call_reply_json(c, json_incref(s->visible), s->index);
}
