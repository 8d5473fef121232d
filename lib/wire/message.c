/* Packing and parsing of messages; types with many fields are in digest.c and view.c. */
#include <stdlib.h>
#include <string.h>

#include "wire/wire-int.h"

#define BUF_INITIAL_SIZE 512

static const char *const type_names[] = {"",	       "heartbeat", "digest",	  "config_get",
					 "config_doc", "report",    "snapshot",	  "list_get",
					 "list_doc",   "loan_ask",  "loan_grant", "digest_get"};

#define TYPE_MAX (sizeof(type_names) / sizeof(type_names[0]) - 1)

const char *cs_wire_type_name(enum cs_wire_type type)
{
	return (size_t)type <= TYPE_MAX ? type_names[type] : "";
}

/* Write callback of the msgpack packer; doubles the size of the buffer as needed. */
static int buf_write(void *arg, const char *data, size_t len)
{
	struct cs_wire_buf *b = arg;
	size_t size = b->size ? b->size : BUF_INITIAL_SIZE;

	while (size < b->len + len)
		size *= 2;
	if (size != b->size) {
		b->data = cs_xrealloc(b->data, size, 1);
		b->size = size;
	}
	memcpy(b->data + b->len, data, len);
	b->len += len;
	return 0;
}

void cs_wire_buf_free(struct cs_wire_buf *b)
{
	free(b->data);
	*b = (struct cs_wire_buf){0};
}

/* Number of elements after version and type. */
static unsigned field_count(enum cs_wire_type type)
{
	static const unsigned fields[] = {
		[CS_WIRE_HEARTBEAT] = 12, [CS_WIRE_DIGEST] = 8,	   [CS_WIRE_CONFIG_GET] = 2,
		[CS_WIRE_CONFIG_DOC] = 2, [CS_WIRE_REPORT] = 10,   [CS_WIRE_SNAPSHOT] = 10,
		[CS_WIRE_LIST_GET] = 3,	  [CS_WIRE_LIST_DOC] = 5,  [CS_WIRE_LOAN_ASK] = 5,
		[CS_WIRE_LOAN_GRANT] = 5, [CS_WIRE_DIGEST_GET] = 2};

	return fields[type];
}

void pack_load(msgpack_packer *pk, const struct cs_report_load *l)
{
	msgpack_pack_array(pk, 7);
	put_str(pk, l->service);
	msgpack_pack_uint32(pk, l->capacity);
	msgpack_pack_uint32(pk, l->in_flight);
	msgpack_pack_uint32(pk, l->waiting);
	msgpack_pack_uint32(pk, l->foreign);
	msgpack_pack_uint32(pk, l->service_us);
	put_bool(pk, l->out_of_target);
}

void parse_loads(struct reader *r, const struct cs_report_load **out, unsigned *n)
{
	struct reader rows, row;
	struct cs_report_load *l;
	unsigned i;

	*n = 0;
	if (!read_array(r, &rows))
		return;
	l = arena_alloc(r->arena, rows.n, sizeof(*l));
	for (i = 0; i < rows.n; i++) {
		row = read_row(&rows);
		read_name(&row, l[i].service, sizeof(l[i].service));
		l[i].capacity = read_uint(&row, UINT32_MAX);
		l[i].in_flight = read_uint(&row, UINT32_MAX);
		l[i].waiting = read_uint(&row, UINT32_MAX);
		l[i].foreign = read_uint(&row, UINT32_MAX);
		l[i].service_us = read_uint(&row, UINT32_MAX);
		l[i].out_of_target = read_bool(&row);
	}
	*out = l;
	*n = rows.n;
}

static void pack_heartbeat(msgpack_packer *pk, const struct cs_wire_heartbeat *h)
{
	unsigned i;

	put_str(pk, h->instance);
	put_str(pk, h->zone);
	msgpack_pack_uint64(pk, h->stamp.incarnation);
	msgpack_pack_uint64(pk, h->stamp.sequence);
	msgpack_pack_uint64(pk, h->revision);
	msgpack_pack_uint64(pk, h->config_hash);
	msgpack_pack_uint64(pk, h->lists_version);
	put_bool(pk, h->ready);
	put_bool(pk, h->leaving);
	put_bool(pk, h->store_ok);
	msgpack_pack_uint64(pk, h->roster);
	msgpack_pack_array(pk, h->n_loads);
	for (i = 0; i < h->n_loads; i++)
		pack_load(pk, &h->loads[i]);
}

static void parse_heartbeat(struct reader *r, struct cs_wire_heartbeat *h)
{
	h->instance = read_str(r, CS_NAME_MAX);
	h->zone = read_str(r, CS_NAME_MAX);
	h->stamp.incarnation = read_u64(r);
	h->stamp.sequence = read_u64(r);
	h->revision = read_u64(r);
	h->config_hash = read_u64(r);
	h->lists_version = read_u64(r);
	h->ready = read_bool(r);
	h->leaving = read_bool(r);
	h->store_ok = read_bool(r);
	h->roster = read_u64(r);
	parse_loads(r, &h->loads, &h->n_loads);
}

static void pack_loan(msgpack_packer *pk, const struct cs_wire_loan *l)
{
	put_str(pk, l->instance);
	put_str(pk, l->server);
	msgpack_pack_uint32(pk, l->slots);
	msgpack_pack_uint32(pk, l->duration_ms);
	msgpack_pack_uint64(pk, l->id);
}

static void parse_loan(struct reader *r, struct cs_wire_loan *l)
{
	l->instance = read_str(r, CS_NAME_MAX);
	l->server = read_str(r, CS_NAME_MAX);
	l->slots = read_uint(r, UINT16_MAX);
	l->duration_ms = read_uint(r, UINT32_MAX);
	l->id = read_u64(r);
}

void cs_wire_pack(struct cs_wire_buf *b, const struct cs_wire_msg *m)
{
	msgpack_packer pk;

	b->len = 0;
	msgpack_packer_init(&pk, b, buf_write);
	msgpack_pack_array(&pk, 2 + field_count(m->type));
	msgpack_pack_uint8(&pk, CS_WIRE_VERSION);
	msgpack_pack_uint8(&pk, (uint8_t)m->type);
	switch (m->type) {
	case CS_WIRE_HEARTBEAT:
		pack_heartbeat(&pk, &m->u.heartbeat);
		break;
	case CS_WIRE_DIGEST:
		pack_digest(&pk, &m->u.digest);
		break;
	case CS_WIRE_DIGEST_GET:
		pack_digest_get(&pk, &m->u.digest_get);
		break;
	case CS_WIRE_CONFIG_GET:
		put_str(&pk, m->u.config_get.instance);
		msgpack_pack_uint64(&pk, m->u.config_get.revision);
		break;
	case CS_WIRE_CONFIG_DOC:
		msgpack_pack_uint64(&pk, m->u.config_doc.revision);
		msgpack_pack_str(&pk, m->u.config_doc.len);
		msgpack_pack_str_body(&pk, m->u.config_doc.text, m->u.config_doc.len);
		break;
	case CS_WIRE_REPORT:
		pack_report(&pk, &m->u.report);
		break;
	case CS_WIRE_SNAPSHOT:
		pack_snapshot(&pk, &m->u.snapshot);
		break;
	case CS_WIRE_LIST_GET:
		put_str(&pk, m->u.list_get.instance);
		put_str(&pk, m->u.list_get.service);
		msgpack_pack_uint64(&pk, m->u.list_get.version);
		break;
	case CS_WIRE_LIST_DOC:
		pack_list(&pk, &m->u.list_doc);
		break;
	case CS_WIRE_LOAN_ASK:
	case CS_WIRE_LOAN_GRANT:
		pack_loan(&pk, &m->u.loan);
		break;
	}
}

/* Reads the fields that follow the version and the type; the caller has checked these two. */
static void parse_fields(struct reader *r, struct cs_wire_msg *m)
{
	switch (m->type) {
	case CS_WIRE_HEARTBEAT:
		parse_heartbeat(r, &m->u.heartbeat);
		break;
	case CS_WIRE_DIGEST:
		parse_digest(r, &m->u.digest);
		break;
	case CS_WIRE_DIGEST_GET:
		parse_digest_get(r, &m->u.digest_get);
		break;
	case CS_WIRE_CONFIG_GET:
		m->u.config_get.instance = read_str(r, CS_NAME_MAX);
		m->u.config_get.revision = read_u64(r);
		break;
	case CS_WIRE_CONFIG_DOC:
		m->u.config_doc.revision = read_u64(r);
		m->u.config_doc.text = read_text(r, CS_CONFIG_MAX + 1, &m->u.config_doc.len);
		break;
	case CS_WIRE_REPORT:
		parse_report(r, &m->u.report);
		break;
	case CS_WIRE_SNAPSHOT:
		parse_snapshot(r, &m->u.snapshot);
		break;
	case CS_WIRE_LIST_GET:
		m->u.list_get.instance = read_str(r, CS_NAME_MAX);
		m->u.list_get.service = read_str(r, CS_NAME_MAX);
		m->u.list_get.version = read_u64(r);
		break;
	case CS_WIRE_LIST_DOC:
		parse_list(r, &m->u.list_doc);
		break;
	case CS_WIRE_LOAN_ASK:
	case CS_WIRE_LOAN_GRANT:
		parse_loan(r, &m->u.loan);
		break;
	}
}

struct cs_wire_msg *cs_wire_parse(const void *data, size_t len, struct cs_msg *msg)
{
	struct cs_wire_msg *m = cs_xcalloc(1, sizeof(*m));
	msgpack_unpacked up;
	struct reader r;
	uint64_t version, type;
	bool malformed = false;
	size_t off = 0;

	m->arena = cs_xcalloc(1, sizeof(*m->arena));
	msgpack_unpacked_init(&up);
	if (!cs_wire_is_well_formed(data, len) ||
	    msgpack_unpack_next(&up, data, len, &off) != MSGPACK_UNPACK_SUCCESS || off != len) {
		cs_msg_set(msg, "the %zu bytes are not exactly one msgpack object", len);
		goto fail;
	}
	r = reader_init(&up.data, m->arena, &malformed);
	version = read_u64(&r);
	type = read_u64(&r);
	if (malformed || version != CS_WIRE_VERSION || type == 0 || type > TYPE_MAX) {
		cs_msg_set(msg, "unknown protocol version or message type");
		goto fail;
	}
	m->type = (enum cs_wire_type)type;
	parse_fields(&r, m);
	if (malformed) {
		cs_msg_set(msg, "a field of a %s message is missing or malformed",
			   cs_wire_type_name(m->type));
		goto fail;
	}
	msgpack_unpacked_destroy(&up);
	return m;
fail:
	msgpack_unpacked_destroy(&up);
	cs_wire_free(m);
	return NULL;
}

void cs_wire_free(struct cs_wire_msg *m)
{
	if (m == NULL)
		return;
	if (m->type == CS_WIRE_SNAPSHOT)
		cs_view_destroy(m->u.snapshot.view);
	arena_free(m->arena);
	free(m);
}
