/* Internal declarations of lib/wire: arena allocator, packing, and reading with type checks. */
#ifndef CS_WIRE_INT_H
#define CS_WIRE_INT_H

#include <msgpack.h>

#include "wire/wire.h"

/* Arena that holds the strings and arrays of one parsed message. */
struct cs_wire_arena {
	struct arena_block *first;
	size_t available; /* free bytes in the first block */
	char *next;
};
void *arena_alloc(struct cs_wire_arena *a, size_t n, size_t size);
void arena_free(struct cs_wire_arena *a);

/* Reader of a msgpack array. After the first malformed element, all reads return zero values. */
struct reader {
	const msgpack_object *items;
	unsigned n;
	unsigned next;
	struct cs_wire_arena *arena;
	bool *malformed; /* shared by all readers of a message */
};
struct reader reader_init(const msgpack_object *o, struct cs_wire_arena *arena, bool *malformed);
uint64_t read_u64(struct reader *r);
unsigned read_uint(struct reader *r, unsigned max);
bool read_bool(struct reader *r);
/* Reads a string of less than max bytes without null bytes, and copies it to the arena. */
const char *read_str(struct reader *r, size_t max);
const char *read_text(struct reader *r, size_t max, size_t *len);
/* Reads a string into out; it is malformed if it does not fit. */
void read_name(struct reader *r, char *out, size_t size);
/* Opens the next element as an array; sets an empty reader and returns false if it is nil. */
bool read_array(struct reader *r, struct reader *out);
/* Opens the next row of an array of rows. */
struct reader read_row(struct reader *rows);

void put_str(msgpack_packer *pk, const char *s);
void put_bool(msgpack_packer *pk, bool v);

void pack_snapshot(msgpack_packer *pk, const struct cs_wire_snapshot *s);
void parse_snapshot(struct reader *r, struct cs_wire_snapshot *s);
void pack_report(msgpack_packer *pk, const struct cs_wire_report *rep);
void parse_report(struct reader *r, struct cs_wire_report *rep);
void pack_digest(msgpack_packer *pk, const struct cs_wire_digest *d);
void parse_digest(struct reader *r, struct cs_wire_digest *d);
void pack_digest_get(msgpack_packer *pk, const struct cs_wire_digest_get *g);
void parse_digest_get(struct reader *r, struct cs_wire_digest_get *g);
void pack_list(msgpack_packer *pk, const struct cs_wire_list_doc *l);
void parse_list(struct reader *r, struct cs_wire_list_doc *l);
void pack_load(msgpack_packer *pk, const struct cs_report_load *l);
void parse_loads(struct reader *r, const struct cs_report_load **out, unsigned *n);

#endif
