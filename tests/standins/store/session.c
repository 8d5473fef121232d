/* Sessions with a TTL: create, renew, destroy, expire. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/store/store.h"

#define TTL_DEFAULT_MS 15000

struct session {
	LIST_ENTRY(session) entry;
	char id[64];
	char name[64];
	uint64_t ttl_ms;
	struct cs_timer timer;
};

static LIST_HEAD(, session) sessions = LIST_HEAD_INITIALIZER(sessions);

static struct session *session_find(const char *id)
{
	struct session *s;

	LIST_FOREACH(s, &sessions, entry)
		if (strcmp(s->id, id) == 0)
			return s;
	return NULL;
}

bool session_exists(const char *id)
{
	return session_find(id) != NULL;
}

static void session_end(struct session *s)
{
	cs_timer_stop(&s->timer);
	LIST_REMOVE(s, entry);
	kv_release(s->id);
	free(s);
}

bool session_expire(const char *id)
{
	struct session *s, *next;
	bool any = false;

	LIST_FOREACH_SAFE(s, &sessions, entry, next) {
		if (strcmp(id, "all") != 0 && strcmp(id, s->id) != 0 && strcmp(id, s->name) != 0)
			continue;
		session_end(s);
		any = true;
	}
	return any;
}

static void on_ttl(struct cs_timer *t, void *arg)
{
	session_end(arg);
}

/* Parses a TTL such as 10s or 500ms. */
static uint64_t parse_ttl_ms(const char *text)
{
	unsigned long long v;
	char *end;

	if (text == NULL)
		return TTL_DEFAULT_MS;
	v = strtoull(text, &end, 10);
	return strcmp(end, "ms") == 0 ? v : v * 1000;
}

static json_t *session_json(const struct session *s)
{
	char ttl[32];

	snprintf(ttl, sizeof(ttl), "%llums", (unsigned long long)s->ttl_ms);
	return json_pack("{s:s,s:s,s:s}", "ID", s->id, "Name", s->name, "TTL", ttl);
}

static void session_create(struct call *c)
{
	json_t *doc = c->len ? json_loadb(c->body, c->len, 0, NULL) : json_object();
	struct session *s = cs_xcalloc(1, sizeof(*s));
	const char *name = json_string_value(json_object_get(doc, "Name"));

	s->ttl_ms = parse_ttl_ms(json_string_value(json_object_get(doc, "TTL")));
	cs_copy(s->name, sizeof(s->name), name ? name : "");
	cs_random_id(s->id, sizeof(s->id), "s-");
	LIST_INSERT_HEAD(&sessions, s, entry);
	cs_timer_init(&s->timer, on_ttl, s);
	cs_timer_start(timers, &s->timer, s->ttl_ms * CS_US_PER_MS);
	json_decref(doc);
	if (faults.lose_responses > 0) {
		faults.lose_responses--;
		call_abort(c);
		return;
	}
	call_reply_json(c, json_pack("{s:s}", "ID", s->id), 0);
}

void session_handle(struct call *c, const char *rest)
{
	struct session *s;

	count_call(CALL_SESSION);
	if (strcmp(rest, "create") == 0) {
		session_create(c);
		return;
	}
	if (strncmp(rest, "renew/", 6) == 0) {
		s = session_find(rest + 6);
		if (s == NULL) {
			call_reply(c, 404, "Session id not found", 0);
			return;
		}
		cs_timer_start(timers, &s->timer, s->ttl_ms * CS_US_PER_MS);
		call_reply_json(c, json_pack("[o]", session_json(s)), 0);
		return;
	}
	if (strncmp(rest, "destroy/", 8) == 0) {
		s = session_find(rest + 8);
		if (s != NULL)
			session_end(s);
		call_reply(c, 200, "true", 0);
		return;
	}
	call_reply(c, 404, "unknown path", 0);
}
