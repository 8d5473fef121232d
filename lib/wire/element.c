/* Elements of messages: arena allocator, packing, and reading with type checks. */
#include <stdlib.h>
#include <string.h>

#include "wire/wire-int.h"

#define ARENA_ALIGNMENT 16
#define ARENA_BLOCK_SIZE 4096

struct arena_block {
	struct arena_block *next;
	_Alignas(ARENA_ALIGNMENT) char data[];
};

void *arena_alloc(struct cs_wire_arena *a, size_t n, size_t size)
{
	size_t len = (n * size + (ARENA_ALIGNMENT - 1)) & ~(size_t)(ARENA_ALIGNMENT - 1),
	       block_size;
	struct arena_block *b;
	void *p;

	if (len > a->available) {
		block_size = len > ARENA_BLOCK_SIZE ? len : ARENA_BLOCK_SIZE;
		b = cs_xcalloc(1, sizeof(*b) + block_size);
		b->next = a->first;
		a->first = b;
		a->next = b->data;
		a->available = block_size;
	}
	p = a->next;
	a->next += len;
	a->available -= len;
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

struct reader reader_init(const msgpack_object *o, struct cs_wire_arena *arena, bool *malformed)
{
	struct reader r = {.arena = arena, .malformed = malformed};

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > CS_WIRE_ROWS_MAX) {
		*malformed = true;
		return r;
	}
	r.items = o->via.array.ptr;
	r.n = o->via.array.size;
	return r;
}

/* Returns the next element; NULL if there is none or it has another type. */
static const msgpack_object *next_element(struct reader *r, msgpack_object_type type)
{
	const msgpack_object *o;

	if (*r->malformed || r->next >= r->n) {
		*r->malformed = true;
		return NULL;
	}
	o = &r->items[r->next++];
	if (o->type != type) {
		*r->malformed = true;
		return NULL;
	}
	return o;
}

uint64_t read_u64(struct reader *r)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

unsigned read_uint(struct reader *r, unsigned max)
{
	uint64_t v = read_u64(r);

	if (v > max) {
		*r->malformed = true;
		return 0;
	}
	return (unsigned)v;
}

bool read_bool(struct reader *r)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_BOOLEAN);

	return o != NULL && o->via.boolean;
}

/*
 * True if a string was read that has less than max bytes and no null byte. msgpack sets no pointer
 * for an empty string.
 */
static bool is_valid_text(const msgpack_object *o, size_t max)
{
	if (o == NULL || o->via.str.size >= max)
		return false;
	return o->via.str.size == 0 || memchr(o->via.str.ptr, '\0', o->via.str.size) == NULL;
}

const char *read_text(struct reader *r, size_t max, size_t *len)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_STR);
	char *s;

	if (!is_valid_text(o, max)) {
		*r->malformed = true;
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
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!is_valid_text(o, size)) {
		*r->malformed = true;
		return;
	}
	if (o->via.str.size > 0)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

bool read_array(struct reader *r, struct reader *out)
{
	*out = (struct reader){.arena = r->arena, .malformed = r->malformed};
	if (*r->malformed || r->next >= r->n) {
		*r->malformed = true;
		return false;
	}
	if (r->items[r->next].type == MSGPACK_OBJECT_NIL) {
		r->next++;
		return false;
	}
	*out = reader_init(&r->items[r->next++], r->arena, r->malformed);
	return !*r->malformed;
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
