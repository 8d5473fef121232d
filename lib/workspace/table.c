/*
 * The workspaces of a document, found by key and by id. Keys are kept as 128-bit hashes under a
 * secret of the process: neither a dump of the memory nor a log shows one, and no client can choose
 * keys that collide.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "workspace/workspace.h"

#define DIGEST_BYTES crypto_shorthash_siphashx24_BYTES
/* Hash tables have at least twice as many places as entries. */
#define PLACES_MIN 16

struct key_place {
	uint8_t digest[DIGEST_BYTES];
	uint32_t workspace; /* index + 1; 0: free */
};

struct cs_workspace_table {
	struct cs_workspace **list;
	unsigned n, max;
	struct key_place *keys;
	unsigned n_keys, key_places; /* powers of two */
	uint32_t *ids; /* index + 1, by id; 0: free */
	unsigned id_places;
	unsigned n_unknown;
};

static uint8_t secret[crypto_shorthash_siphashx24_KEYBYTES];

static void secret_init(void)
{
	static bool done;

	if (done)
		return;
	randombytes_buf(secret, sizeof(secret));
	done = true;
}

struct cs_workspace_table *cs_workspace_table_create(void)
{
	struct cs_workspace_table *t = cs_xcalloc(1, sizeof(*t));

	secret_init();
	t->key_places = t->id_places = PLACES_MIN;
	t->keys = cs_xcalloc(t->key_places, sizeof(*t->keys));
	t->ids = cs_xcalloc(t->id_places, sizeof(*t->ids));
	return t;
}

void cs_workspace_table_destroy(struct cs_workspace_table *t)
{
	unsigned i;

	if (t == NULL)
		return;
	for (i = 0; i < t->n; i++) {
		free(t->list[i]->name);
		free(t->list[i]->homes);
		free(t->list[i]);
	}
	free(t->list);
	free(t->keys);
	free(t->ids);
	free(t);
}

/* Place of an id in the table, or the free place where it belongs. */
static unsigned id_place(const struct cs_workspace_table *t, uint64_t id)
{
	unsigned i = (unsigned)id & (t->id_places - 1);

	while (t->ids[i] != 0 && t->list[t->ids[i] - 1]->id != id)
		i = (i + 1) & (t->id_places - 1);
	return i;
}

static void ids_grow(struct cs_workspace_table *t)
{
	unsigned i;

	if (2 * (t->n + 1) <= t->id_places)
		return;
	t->id_places *= 2;
	free(t->ids);
	t->ids = cs_xcalloc(t->id_places, sizeof(*t->ids));
	for (i = 0; i < t->n; i++)
		t->ids[id_place(t, t->list[i]->id)] = i + 1;
}

struct cs_workspace *cs_workspace_add(struct cs_workspace_table *t, const char *name)
{
	struct cs_workspace *ws;
	uint64_t id;

	if (*name == '\0' || strlen(name) >= CS_WORKSPACE_NAME_MAX)
		return NULL;
	id = cs_hash_str(name, 0);
	if (cs_workspace_by_id(t, id) != NULL)
		return NULL;
	ids_grow(t);
	if (t->n == t->max) {
		t->max = t->max > 0 ? 2 * t->max : PLACES_MIN;
		t->list = cs_xrealloc(t->list, t->max, sizeof(struct cs_workspace *));
	}
	ws = cs_xcalloc(1, sizeof(*ws));
	ws->id = id;
	ws->name = cs_xstrdup(name);
	t->list[t->n] = ws;
	t->ids[id_place(t, id)] = ++t->n;
	return ws;
}

/* Place of a digest in the table, or the free place where it belongs. */
static struct key_place *key_place(const struct cs_workspace_table *t, const uint8_t *digest)
{
	unsigned i;
	uint32_t start;

	memcpy(&start, digest, sizeof(start));
	i = start & (t->key_places - 1);
	while (t->keys[i].workspace != 0 &&
	       sodium_memcmp(t->keys[i].digest, digest, DIGEST_BYTES) != 0)
		i = (i + 1) & (t->key_places - 1);
	return &t->keys[i];
}

static void keys_grow(struct cs_workspace_table *t)
{
	struct key_place *old = t->keys;
	unsigned i, n = t->key_places;

	if (2 * (t->n_keys + 1) <= n)
		return;
	t->key_places *= 2;
	t->keys = cs_xcalloc(t->key_places, sizeof(*t->keys));
	for (i = 0; i < n; i++)
		if (old[i].workspace != 0)
			*key_place(t, old[i].digest) = old[i];
	free(old);
}

static void key_digest(const char *key, uint8_t *out)
{
	crypto_shorthash_siphashx24(out, (const uint8_t *)key, strlen(key), secret);
}

bool cs_workspace_add_key(struct cs_workspace_table *t, const struct cs_workspace *ws,
			  const char *key)
{
	uint8_t digest[DIGEST_BYTES];
	struct key_place *p;

	if (*key == '\0' || strlen(key) > CS_WORKSPACE_KEY_MAX)
		return false;
	keys_grow(t);
	key_digest(key, digest);
	p = key_place(t, digest);
	if (p->workspace != 0)
		return false;
	memcpy(p->digest, digest, sizeof(digest));
	p->workspace = t->ids[id_place(t, ws->id)];
	t->n_keys++;
	return true;
}

void cs_workspace_add_unknown(struct cs_workspace_table *t)
{
	t->n_unknown++;
}

bool cs_workspace_has_unknown(const struct cs_workspace_table *t)
{
	return t->n_unknown > 0;
}

unsigned cs_workspace_count(const struct cs_workspace_table *t)
{
	return t->n;
}

unsigned cs_workspace_count_keys(const struct cs_workspace_table *t)
{
	return t->n_keys;
}

const struct cs_workspace *cs_workspace_by_key(const struct cs_workspace_table *t, const char *key)
{
	uint8_t digest[DIGEST_BYTES];
	const struct key_place *p;

	if (strlen(key) > CS_WORKSPACE_KEY_MAX)
		return NULL;
	key_digest(key, digest);
	p = key_place(t, digest);
	return p->workspace != 0 ? t->list[p->workspace - 1] : NULL;
}

const struct cs_workspace *cs_workspace_by_id(const struct cs_workspace_table *t, uint64_t id)
{
	uint32_t i = t->ids[id_place(t, id)];

	return i != 0 ? t->list[i - 1] : NULL;
}
