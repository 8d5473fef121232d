/* Shared by the files of lib/wire only: arena, packing and checked reading of elements. */
#ifndef CS_WIRE_INT_H
#define CS_WIRE_INT_H

#include <msgpack.h>

#include "wire/wire.h"

/* Memory of one parsed message, freed as a whole. */
struct cs_wire_arena {
	struct arena_block *first;
	size_t left;
	char *next;
};
void *arena_alloc(struct cs_wire_arena *a, size_t n, size_t size);
void arena_free(struct cs_wire_arena *a);

/* Reader of one msgpack array; the first fault makes all later reads give zero values. */
struct reader {
	const msgpack_object *items;
	unsigned n;
	unsigned next;
	struct cs_wire_arena *arena;
	bool *bad;
};
struct reader reader_array(const msgpack_object *o, struct cs_wire_arena *arena, bool *bad);
uint64_t read_u64(struct reader *r);
unsigned read_uint(struct reader *r, unsigned max);
bool read_bool(struct reader *r);
/* A string shorter than max bytes, without NUL bytes. */
const char *read_str(struct reader *r, size_t max);
const char *read_text(struct reader *r, size_t max, size_t *len);
void read_name(struct reader *r, char *out, size_t size);
/* The next element as an array, or an empty reader and false if it is nil. */
bool read_array(struct reader *r, struct reader *out);
/* An element of a row array as a reader. */
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
