/* Encoding and decoding of the messages on quotas of workspaces. */
#include <string.h>

#include "src/node/wire.h"

/* Elements of each message, and of a row in its flat array. */
#define ASK_ELEMENTS 12
#define REPLY_ELEMENTS 11
#define ASK_ROW_ELEMENTS 2
#define REPLY_ROW_ELEMENTS 3

static void pack_begin(msgpack_packer *pk, msgpack_sbuffer *buf, unsigned elements,
		       enum wire_kind kind, const char *from, const char *to)
{
	msgpack_sbuffer_clear(buf);
	msgpack_packer_init(pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(pk, elements);
	msgpack_pack_int(pk, WIRE_FORMAT_VERSION);
	msgpack_pack_int(pk, kind);
	wire_pack_text(pk, from);
	wire_pack_text(pk, to);
}

void wire_pack_ask(msgpack_sbuffer *buf, const struct cs_quota_ask *ask)
{
	msgpack_packer pk;
	unsigned i;

	pack_begin(&pk, buf, ASK_ELEMENTS, WIRE_QUOTA_ASK, ask->from, ask->to);
	msgpack_pack_uint64(&pk, ask->boot);
	msgpack_pack_uint64(&pk, ask->seq);
	msgpack_pack_uint64(&pk, ask->sent_us);
	msgpack_pack_uint64(&pk, ask->echo_us);
	msgpack_pack_uint64(&pk, ask->echo_boot);
	msgpack_pack_uint64(&pk, ask->held_us);
	/* Rights: the slots and the fleet in one element. */
	msgpack_pack_uint64(&pk, (uint64_t)ask->fleet << 8 | ask->lent_slots);
	msgpack_pack_array(&pk, ask->n_rows * ASK_ROW_ELEMENTS);
	for (i = 0; i < ask->n_rows; i++) {
		msgpack_pack_uint64(&pk, ask->rows[i].id);
		msgpack_pack_uint32(&pk, ask->rows[i].tokens);
	}
}

void wire_pack_reply(msgpack_sbuffer *buf, const struct cs_quota_reply *reply)
{
	msgpack_packer pk;
	unsigned i;

	pack_begin(&pk, buf, REPLY_ELEMENTS, WIRE_QUOTA_REPLY, reply->from, reply->to);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, reply->boot);
	msgpack_pack_uint64(&pk, reply->to_boot);
	msgpack_pack_uint64(&pk, reply->seq);
	msgpack_pack_uint64(&pk, reply->asked_us);
	msgpack_pack_uint64(&pk, reply->now_us);
	msgpack_pack_uint64(&pk, reply->version);
	msgpack_pack_uint64(&pk, reply->age_us);
	msgpack_pack_array(&pk, reply->n_rows * REPLY_ROW_ELEMENTS);
	for (i = 0; i < reply->n_rows; i++) {
		msgpack_pack_uint64(&pk, reply->rows[i].id);
		msgpack_pack_uint32(&pk, reply->rows[i].tokens);
		msgpack_pack_uint32(&pk, reply->rows[i].room_ms);
	}
}

static bool read_uint(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

static bool read_name(const msgpack_object *o, char *out)
{
	return wire_unpack_text(o, out, CS_QUOTA_NAME_MAX) && *out != '\0' &&
	       strlen(out) == o->via.str.size;
}

/* Reads a flat array of rows with the given number of elements each. */
static bool read_rows(const msgpack_object *o, unsigned elements, struct cs_quota_row *rows,
		      unsigned *n)
{
	uint64_t id, tokens, room = 0;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % elements != 0 ||
	    o->via.array.size > elements * CS_QUOTA_ROWS_MAX)
		return false;
	for (i = 0; i < o->via.array.size; i += elements) {
		if (!read_uint(&o->via.array.ptr[i], UINT64_MAX, &id) ||
		    !read_uint(&o->via.array.ptr[i + 1], UINT32_MAX, &tokens) ||
		    (elements > 2 && !read_uint(&o->via.array.ptr[i + 2], UINT32_MAX, &room)))
			return false;
		rows[(*n)++] = (struct cs_quota_row){id, (unsigned)tokens, (unsigned)room};
	}
	return true;
}

bool wire_unpack_ask(const msgpack_object *v, uint32_t n, struct cs_quota_ask *out)
{
	uint64_t rights;

	memset(out, 0, sizeof(*out));
	if (n < ASK_ELEMENTS || !read_name(&v[2], out->from) || !read_name(&v[3], out->to) ||
	    !read_uint(&v[4], UINT64_MAX, &out->boot) || !read_uint(&v[5], UINT64_MAX, &out->seq) ||
	    !read_uint(&v[6], UINT64_MAX, &out->sent_us) ||
	    !read_uint(&v[7], UINT64_MAX, &out->echo_us) ||
	    !read_uint(&v[8], UINT64_MAX, &out->echo_boot) ||
	    !read_uint(&v[9], UINT32_MAX, &out->held_us) || !read_uint(&v[10], UINT32_MAX, &rights))
		return false;
	out->lent_slots = (unsigned)(rights & 0xff);
	out->fleet = (unsigned)(rights >> 8);
	return read_rows(&v[11], ASK_ROW_ELEMENTS, out->rows, &out->n_rows);
}

bool wire_unpack_reply(const msgpack_object *v, uint32_t n, struct cs_quota_reply *out)
{
	memset(out, 0, sizeof(*out));
	if (n < REPLY_ELEMENTS || !read_name(&v[2], out->from) || !read_name(&v[3], out->to) ||
	    v[4].type != MSGPACK_OBJECT_ARRAY || v[4].via.array.size != 2 ||
	    !read_uint(&v[4].via.array.ptr[0], UINT64_MAX, &out->boot) ||
	    !read_uint(&v[4].via.array.ptr[1], UINT64_MAX, &out->to_boot) ||
	    !read_uint(&v[5], UINT64_MAX, &out->seq) ||
	    !read_uint(&v[6], UINT64_MAX, &out->asked_us) ||
	    !read_uint(&v[7], UINT64_MAX, &out->now_us) ||
	    !read_uint(&v[8], UINT64_MAX, &out->version) ||
	    !read_uint(&v[9], UINT64_MAX, &out->age_us))
		return false;
	return read_rows(&v[10], REPLY_ROW_ELEMENTS, out->rows, &out->n_rows);
}
