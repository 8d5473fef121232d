/* Elements of messages: arena, packing helpers and checked reading. */
#include <stdlib.h>
#include <string.h>

#include "wire/wire-int.h"

#define ARENA_BLOCK 4096

struct arena_block {
	struct arena_block *next;
	_Alignas(16) char data[];
};

void *arena_alloc(struct cs_wire_arena *a, size_t n, size_t size)
{
	size_t len = (n * size + 15) & ~(size_t)15, room;
	struct arena_block *b;
	void *p;

	if (len > a->left) {
		room = len > ARENA_BLOCK ? len : ARENA_BLOCK;
		b = cs_xcalloc(1, sizeof(*b) + room);
		b->next = a->first;
		a->first = b;
		a->next = b->data;
		a->left = room;
	}
	p = a->next;
	a->next += len;
	a->left -= len;
	return p;
}

void arena_free(struct cs_wire_arena *a)
{
	struct arena_block *b;

	while ((b = a->first) != NULL) {
		a->first = b->next;
		free(b);
	}
	free(a);
}

struct reader reader_array(const msgpack_object *o, struct cs_wire_arena *arena, bool *bad)
{
	struct reader r = {.arena = arena, .bad = bad};

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > CS_WIRE_ROWS_MAX) {
		*bad = true;
		return r;
	}
	r.items = o->via.array.ptr;
	r.n = o->via.array.size;
	return r;
}

/* Next element of the wanted type, or NULL and a fault. */
static const msgpack_object *next_item(struct reader *r, msgpack_object_type type)
{
	const msgpack_object *o;

	if (*r->bad || r->next >= r->n) {
		*r->bad = true;
		return NULL;
	}
	o = &r->items[r->next++];
	if (o->type != type) {
		*r->bad = true;
		return NULL;
	}
	return o;
}

uint64_t read_u64(struct reader *r)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

unsigned read_uint(struct reader *r, unsigned max)
{
	uint64_t v = read_u64(r);

	if (v > max) {
		*r->bad = true;
		return 0;
	}
	return (unsigned)v;
}

bool read_bool(struct reader *r)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_BOOLEAN);

	return o != NULL && o->via.boolean;
}

/* True for text of less than max bytes without NUL bytes. msgpack points an empty one nowhere. */
static bool is_text(const msgpack_object *o, size_t max)
{
	if (o == NULL || o->via.str.size >= max)
		return false;
	return o->via.str.size == 0 || memchr(o->via.str.ptr, '\0', o->via.str.size) == NULL;
}

const char *read_text(struct reader *r, size_t max, size_t *len)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_STR);
	char *s;

	if (!is_text(o, max)) {
		*r->bad = true;
		*len = 0;
		return "";
	}
	*len = o->via.str.size;
	s = arena_alloc(r->arena, *len + 1, 1);
	if (*len > 0)
		memcpy(s, o->via.str.ptr, *len);
	s[*len] = '\0';
	return s;
}

const char *read_str(struct reader *r, size_t max)
{
	size_t len;

	return read_text(r, max, &len);
}

void read_name(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o = next_item(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!is_text(o, size)) {
		*r->bad = true;
		return;
	}
	if (o->via.str.size > 0)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

bool read_array(struct reader *r, struct reader *out)
{
	*out = (struct reader){.arena = r->arena, .bad = r->bad};
	if (*r->bad || r->next >= r->n) {
		*r->bad = true;
		return false;
	}
	if (r->items[r->next].type == MSGPACK_OBJECT_NIL) {
		r->next++;
		return false;
	}
	*out = reader_array(&r->items[r->next++], r->arena, r->bad);
	return !*r->bad;
}

struct reader read_row(struct reader *rows)
{
	struct reader row;

	read_array(rows, &row);
	return row;
}

void put_str(msgpack_packer *pk, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s ? s : "", len);
}

void put_bool(msgpack_packer *pk, bool v)
{
	if (v)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}
