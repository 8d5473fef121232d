/* Key-value API: get, blocking get, put with check-and-set, delete, and locks held by sessions. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/store/store.h"

struct kv {
	RB_ENTRY(kv) entry;
	char *key;
	char *value;
	size_t len;
	uint64_t flags;
	uint64_t created; /* 0: deleted; the entry keeps its index for blocking queries */
	uint64_t modified;
	char *old_value; /* value before the last write, or NULL */
	size_t old_len;
	uint64_t old_modified;
	char session[64];
};
RB_HEAD(kv_tree, kv);

static struct kv_tree keys = RB_INITIALIZER(&keys);

static int kv_cmp(struct kv *a, struct kv *b);
CS_RB_GENERATE(kv_tree, kv, entry, kv_cmp)

static int kv_cmp(struct kv *a, struct kv *b)
{
	return strcmp(a->key, b->key);
}

static struct kv *kv_find(const char *key)
{
	struct kv search_key = {.key = (char *)(uintptr_t)key};

	return RB_FIND(kv_tree, &keys, &search_key);
}

static void kv_get(struct call *c, const char *key)
{
	struct kv *k = kv_find(key);
	bool stale = faults.stale_reads > 0 && k != NULL && k->old_value != NULL;
	uint64_t index = k ? (stale ? k->old_modified : k->modified) : 1;
	json_t *row;
	char *text;

	if (c->known_index > 0 && c->known_index == index) {
		call_wait(c, call_wait_ms(c));
		return;
	}
	if (k == NULL || k->created == 0) {
		call_reply(c, 404, "", index);
		return;
	}
	text = g_base64_encode((const guchar *)(stale ? k->old_value : k->value),
			       stale ? k->old_len : k->len);
	row = json_pack("{s:i,s:s,s:I,s:s,s:I,s:I}", "LockIndex", 0, "Key", k->key, "Flags",
			(json_int_t)k->flags, "Value", text, "CreateIndex", (json_int_t)k->created,
			"ModifyIndex", (json_int_t)index);
	if (*k->session != '\0')
		json_object_set_new(row, "Session", json_string(k->session));
	g_free(text);
	call_reply_json(c, json_pack("[o]", row), index);
}

/* Whether the cas, acquire and release arguments allow the write. */
static bool put_allowed(struct call *c, const struct kv *k)
{
	const char *cas = call_arg(c, "cas"), *acquire = call_arg(c, "acquire"),
		   *release = call_arg(c, "release");
	uint64_t current_index = k && k->created ? k->modified : 0;

	if (cas != NULL && strtoull(cas, NULL, 10) != current_index)
		return false;
	if (acquire != NULL)
		return session_exists(acquire) &&
		       (k == NULL || *k->session == '\0' || strcmp(k->session, acquire) == 0);
	if (release != NULL)
		return k != NULL && strcmp(k->session, release) == 0;
	return true;
}

static void notify_key_watchers(const char *key)
{
	char *path = cs_xasprintf("/v1/kv/%s", key);

	watchers_notify(path);
	free(path);
}

/* Responds to a write. With faults.lose_responses, an applied write gets no response. */
static void put_reply(struct call *c, bool done)
{
	if (done && faults.lose_responses > 0) {
		faults.lose_responses--;
		call_abort(c);
		return;
	}
	call_reply(c, 200, done ? "true" : "false", 0);
}

static void kv_put(struct call *c, const char *key)
{
	const char *flags = call_arg(c, "flags"), *acquire = call_arg(c, "acquire");
	struct kv *k = kv_find(key);

	if (!put_allowed(c, k)) {
		put_reply(c, false);
		return;
	}
	if (k == NULL) {
		k = cs_xcalloc(1, sizeof(*k));
		k->key = cs_xstrdup(key);
		RB_INSERT(kv_tree, &keys, k);
	}
	free(k->old_value);
	k->old_value = k->value;
	k->old_len = k->len;
	k->old_modified = k->modified;
	k->value = c->body ? c->body : cs_xstrdup("");
	k->len = c->len;
	c->body = NULL;
	c->len = 0;
	k->flags = flags ? strtoull(flags, NULL, 10) : 0;
	k->modified = ++store_index;
	if (k->created == 0)
		k->created = k->modified;
	if (acquire != NULL)
		cs_copy(k->session, sizeof(k->session), acquire);
	if (call_arg(c, "release") != NULL)
		*k->session = '\0';
	put_reply(c, true);
	notify_key_watchers(key);
}

static void kv_delete(struct call *c, const char *key)
{
	struct kv *k = kv_find(key);

	if (!put_allowed(c, k)) {
		put_reply(c, false);
		return;
	}
	if (k != NULL && k->created != 0) {
		k->created = 0;
		k->modified = ++store_index;
		*k->session = '\0';
	}
	put_reply(c, true);
	notify_key_watchers(key);
}

void kv_handle(struct call *c, const char *key)
{
	if (strcmp(c->method, "GET") == 0) {
		if (!c->waiting)
			count_call(c->known_index ? CALL_KV_WATCH : CALL_KV_GET);
		kv_get(c, key);
		return;
	}
	count_call(CALL_KV_PUT);
	if (strcmp(c->method, "PUT") == 0)
		kv_put(c, key);
	else if (strcmp(c->method, "DELETE") == 0)
		kv_delete(c, key);
	else
		call_reply(c, 405, "method not allowed", 0);
}

void kv_release(const char *session)
{
	struct kv *k;

	RB_FOREACH(k, kv_tree, &keys) {
		if (strcmp(k->session, session) != 0)
			continue;
		*k->session = '\0';
		k->modified = ++store_index;
		notify_key_watchers(k->key);
	}
}
