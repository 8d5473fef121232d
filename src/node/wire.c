/* Encoding and decoding of the messages between instances. */
#include <math.h>
#include <string.h>

#include "src/node/wire.h"
#include "wire/wire.h"

/* Elements of each kind of message. */
#define REPORT_ELEMENTS 15
/* Elements of a report from the first version, without those that were appended since. */
#define REPORT_ELEMENTS_MIN 11
#define CHANGES_ELEMENTS 8
/* Elements per row and per change in their flat arrays. */
#define ROW_ELEMENTS 4
#define LEAVING_ELEMENTS 2
#define LIMIT_ELEMENTS 4
#define HOME_FLOW_ELEMENTS 3
#define COLD_ELEMENTS 3
#define CHANGE_ELEMENTS 3
/* Largest size of an encoded row, in bytes. */
#define ROW_BYTES_MAX 14
/* Values are quantized to these steps so that nearly all of them fit into one byte. */
#define PACE_STEP_PCT 10
#define AGE_STEP_MS 10
#define SHARE_STEPS 100
/* Flags of a report. */
#define FLAG_READY 1
#define FLAG_LEAVING 2
#define FLAG_STORE_STABLE 4
#define FLAG_STORE_FRESH 8
#define FLAG_KEYS_STALE 16

void wire_pack_text(msgpack_packer *pk, const char *s)
{
	size_t n = strlen(s);

	msgpack_pack_str(pk, n);
	msgpack_pack_str_body(pk, s, n);
}

static void pack_services(msgpack_packer *pk, const struct cs_steer_report *r)
{
	const struct cs_report_service *svc;
	unsigned i, k;

	msgpack_pack_array(pk, r->n_services);
	for (i = 0; i < r->n_services; i++) {
		svc = &r->services[i];
		msgpack_pack_array(pk, 2 + svc->n_shares);
		msgpack_pack_uint32(pk, svc->service);
		msgpack_pack_float(pk, svc->busy_slots);
		for (k = 0; k < svc->n_shares; k++)
			msgpack_pack_uint8(pk, (uint8_t)(svc->shares[k] * SHARE_STEPS + 0.5F));
	}
}

static void pack_rows(msgpack_packer *pk, const struct cs_steer_report *r, unsigned n)
{
	const struct cs_report_row *row;
	unsigned i;

	msgpack_pack_array(pk, n * ROW_ELEMENTS);
	for (i = 0; i < n; i++) {
		row = &r->rows[i];
		msgpack_pack_uint32(pk, row->server);
		msgpack_pack_uint16(pk, row->in_flight);
		msgpack_pack_uint16(pk, row->slowdown_pct / PACE_STEP_PCT);
		msgpack_pack_uint16(pk, row->slowdown_age_ms / AGE_STEP_MS);
	}
}

static void pack_leaving_servers(msgpack_packer *pk, const struct cs_steer_report *r)
{
	unsigned i;

	msgpack_pack_array(pk, r->n_leaving_servers * LEAVING_ELEMENTS);
	for (i = 0; i < r->n_leaving_servers; i++) {
		msgpack_pack_uint32(pk, r->leaving_servers[i].server);
		msgpack_pack_uint32(pk, r->leaving_servers[i].started);
	}
}

static void pack_limits(msgpack_packer *pk, const struct cs_steer_report *r)
{
	const struct cs_report_limit *limit;
	unsigned i;

	msgpack_pack_array(pk, r->n_limits * LIMIT_ELEMENTS);
	for (i = 0; i < r->n_limits; i++) {
		limit = &r->limits[i];
		msgpack_pack_uint32(pk, limit->server);
		msgpack_pack_uint32(pk, limit->started);
		msgpack_pack_float(pk, limit->per_s);
		msgpack_pack_uint16(pk, limit->age_ms);
	}
}

static void pack_home_flows(msgpack_packer *pk, const struct cs_steer_report *r)
{
	unsigned i;

	msgpack_pack_array(pk, r->n_home_flows * HOME_FLOW_ELEMENTS);
	for (i = 0; i < r->n_home_flows; i++) {
		msgpack_pack_uint32(pk, r->home_flows[i].service);
		msgpack_pack_uint8(pk, (uint8_t)r->home_flows[i].region);
		msgpack_pack_float(pk, r->home_flows[i].busy_slots);
	}
}

static void pack_cold(msgpack_packer *pk, const struct cs_steer_report *r)
{
	unsigned i;

	msgpack_pack_array(pk, r->n_cold * COLD_ELEMENTS);
	for (i = 0; i < r->n_cold; i++) {
		msgpack_pack_uint32(pk, r->cold[i].server);
		msgpack_pack_uint32(pk, r->cold[i].started);
		msgpack_pack_uint32(pk, r->cold[i].cold_ms);
	}
}

static int report_flags(const struct cs_steer_report *r)
{
	return (r->ready ? FLAG_READY : 0) | (r->leaving ? FLAG_LEAVING : 0) |
	       (r->store_stable ? FLAG_STORE_STABLE : 0) | (r->store_fresh ? FLAG_STORE_FRESH : 0) |
	       (r->keys_stale ? FLAG_KEYS_STALE : 0);
}

static void pack_report(msgpack_sbuffer *buf, const struct cs_steer_report *r, unsigned n_rows)
{
	unsigned i, n = r->is_digest ? r->n_ready : 0;
	msgpack_packer pk;

	msgpack_sbuffer_clear(buf);
	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REPORT_ELEMENTS);
	msgpack_pack_int(&pk, WIRE_FORMAT_VERSION);
	msgpack_pack_int(&pk, r->is_digest ? WIRE_DIGEST : WIRE_REPORT);
	wire_pack_text(&pk, r->name);
	msgpack_pack_uint64(&pk, r->boot);
	msgpack_pack_uint64(&pk, r->seq);
	msgpack_pack_int(&pk, report_flags(r));
	msgpack_pack_uint64(&pk, r->store_revision);
	pack_services(&pk, r);
	pack_rows(&pk, r, n_rows);
	msgpack_pack_array(&pk, n);
	for (i = 0; i < n; i++)
		msgpack_pack_uint32(&pk, r->ready_members[i]);
	msgpack_pack_uint8(&pk, (uint8_t)r->root_index);
	pack_leaving_servers(&pk, r);
	pack_limits(&pk, r);
	pack_home_flows(&pk, r);
	pack_cold(&pk, r);
}

/* Of a report that is too large, rows of servers' load are left out: they matter least. */
void wire_pack_report(msgpack_sbuffer *buf, const struct cs_steer_report *r)
{
	unsigned n = r->n_rows, over;

	pack_report(buf, r, n);
	while (buf->size > WIRE_DATAGRAM_MAX && n > 0) {
		over = (unsigned)(buf->size - WIRE_DATAGRAM_MAX) / ROW_BYTES_MAX + 1;
		n -= over < n ? over : n;
		pack_report(buf, r, n);
	}
}

void wire_pack_changes(msgpack_sbuffer *buf, const struct wire_changes *c)
{
	const struct wire_change *ch;
	msgpack_packer pk;
	unsigned i;

	msgpack_sbuffer_clear(buf);
	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, CHANGES_ELEMENTS);
	msgpack_pack_int(&pk, WIRE_FORMAT_VERSION);
	msgpack_pack_int(&pk, c->entries_only ? WIRE_ENTRIES : WIRE_CHANGES);
	wire_pack_text(&pk, c->name);
	msgpack_pack_uint64(&pk, c->from);
	msgpack_pack_uint64(&pk, c->to);
	msgpack_pack_uint32(&pk, c->removal_grace_ms);
	msgpack_pack_uint8(&pk, (uint8_t)c->root_index);
	msgpack_pack_array(&pk, c->n * CHANGE_ELEMENTS);
	for (i = 0; i < c->n; i++) {
		ch = &c->change[i];
		wire_pack_text(&pk, ch->key);
		msgpack_pack_uint64(&pk, ch->revision);
		if (ch->omitted) {
			msgpack_pack_true(&pk);
			continue;
		}
		if (ch->value == NULL) {
			msgpack_pack_nil(&pk);
			continue;
		}
		msgpack_pack_bin(&pk, ch->len);
		msgpack_pack_bin_body(&pk, ch->value, ch->len);
	}
}

static bool is_uint(const msgpack_object *o, uint64_t max)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= max;
}

static bool is_float(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_FLOAT32 || o->type == MSGPACK_OBJECT_FLOAT64;
}

static bool is_array_within(const msgpack_object *o, uint32_t max_size)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size <= max_size;
}

bool wire_unpack_text(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static bool unpack_service(const msgpack_object *o, struct cs_report_service *svc)
{
	const msgpack_object *v = o->via.array.ptr;
	uint32_t k;

	if (!is_array_within(o, 2 + CS_REGIONS_MAX) || o->via.array.size < 2 ||
	    !is_uint(&v[0], UINT32_MAX) || !is_float(&v[1]) || !isfinite(v[1].via.f64) ||
	    v[1].via.f64 < 0)
		return false;
	svc->service = (uint32_t)v[0].via.u64;
	svc->busy_slots = (float)v[1].via.f64;
	svc->n_shares = o->via.array.size - 2;
	for (k = 0; k < svc->n_shares; k++) {
		if (!is_uint(&v[2 + k], SHARE_STEPS))
			return false;
		svc->shares[k] = (float)v[2 + k].via.u64 / SHARE_STEPS;
	}
	return true;
}

static bool unpack_services(const msgpack_object *o, struct cs_steer_report *r)
{
	uint32_t i;

	if (!is_array_within(o, CS_REPORT_SERVICES_MAX))
		return false;
	for (i = 0; i < o->via.array.size; i++)
		if (!unpack_service(&o->via.array.ptr[i], &r->services[r->n_services++]))
			return false;
	return true;
}

static bool unpack_rows(const msgpack_object *o, struct cs_steer_report *r)
{
	const msgpack_object *v;
	uint32_t i;

	if (!is_array_within(o, ROW_ELEMENTS * CS_REPORT_ROWS_MAX) ||
	    o->via.array.size % ROW_ELEMENTS != 0)
		return false;
	for (i = 0; i < o->via.array.size; i += ROW_ELEMENTS) {
		v = &o->via.array.ptr[i];
		if (!is_uint(&v[0], UINT32_MAX) || !is_uint(&v[1], UINT16_MAX) ||
		    !is_uint(&v[2], UINT16_MAX / PACE_STEP_PCT) ||
		    !is_uint(&v[3], UINT16_MAX / AGE_STEP_MS))
			return false;
		r->rows[r->n_rows++] =
			(struct cs_report_row){(uint32_t)v[0].via.u64, (uint16_t)v[1].via.u64,
					       (uint16_t)(v[2].via.u64 * PACE_STEP_PCT),
					       (uint16_t)(v[3].via.u64 * AGE_STEP_MS)};
	}
	return true;
}

static bool unpack_ready(const msgpack_object *o, struct cs_steer_report *r)
{
	uint32_t i;

	if (!is_array_within(o, CS_DIGEST_READY_MAX))
		return false;
	for (i = 0; i < o->via.array.size; i++) {
		if (!is_uint(&o->via.array.ptr[i], UINT32_MAX))
			return false;
		r->ready_members[r->n_ready++] = (uint32_t)o->via.array.ptr[i].via.u64;
	}
	return true;
}

static bool unpack_leaving_servers(const msgpack_object *o, struct cs_steer_report *r)
{
	const msgpack_object *v;
	uint32_t i;

	if (!is_array_within(o, LEAVING_ELEMENTS * CS_REPORT_LEAVING_MAX) ||
	    o->via.array.size % LEAVING_ELEMENTS != 0)
		return false;
	for (i = 0; i < o->via.array.size; i += LEAVING_ELEMENTS) {
		v = &o->via.array.ptr[i];
		if (!is_uint(&v[0], UINT32_MAX) || !is_uint(&v[1], UINT32_MAX))
			return false;
		r->leaving_servers[r->n_leaving_servers++] =
			(struct cs_report_leaving){(uint32_t)v[0].via.u64, (uint32_t)v[1].via.u64};
	}
	return true;
}

static bool unpack_limits(const msgpack_object *o, struct cs_steer_report *r)
{
	const msgpack_object *v;
	uint32_t i;

	if (!is_array_within(o, LIMIT_ELEMENTS * CS_REPORT_LIMITS_MAX) ||
	    o->via.array.size % LIMIT_ELEMENTS != 0)
		return false;
	for (i = 0; i < o->via.array.size; i += LIMIT_ELEMENTS) {
		v = &o->via.array.ptr[i];
		if (!is_uint(&v[0], UINT32_MAX) || !is_uint(&v[1], UINT32_MAX) ||
		    !is_float(&v[2]) || !isfinite(v[2].via.f64) || v[2].via.f64 < 0 ||
		    !is_uint(&v[3], UINT16_MAX))
			return false;
		r->limits[r->n_limits++] =
			(struct cs_report_limit){(uint32_t)v[0].via.u64, (uint32_t)v[1].via.u64,
						 (float)v[2].via.f64, (uint16_t)v[3].via.u64};
	}
	return true;
}

static bool unpack_home_flows(const msgpack_object *o, struct cs_steer_report *r)
{
	const msgpack_object *v;
	uint32_t i;

	if (!is_array_within(o, HOME_FLOW_ELEMENTS * CS_REPORT_HOME_FLOWS_MAX) ||
	    o->via.array.size % HOME_FLOW_ELEMENTS != 0)
		return false;
	for (i = 0; i < o->via.array.size; i += HOME_FLOW_ELEMENTS) {
		v = &o->via.array.ptr[i];
		if (!is_uint(&v[0], UINT32_MAX) || !is_uint(&v[1], CS_REGIONS_MAX - 1) ||
		    !is_float(&v[2]) || !isfinite(v[2].via.f64) || v[2].via.f64 < 0)
			return false;
		r->home_flows[r->n_home_flows++] = (struct cs_report_home_flow){
			(uint32_t)v[0].via.u64, (unsigned)v[1].via.u64, (float)v[2].via.f64};
	}
	return true;
}

static bool unpack_cold(const msgpack_object *o, struct cs_steer_report *r)
{
	const msgpack_object *v;
	uint32_t i;

	if (!is_array_within(o, COLD_ELEMENTS * CS_REPORT_COLD_MAX) ||
	    o->via.array.size % COLD_ELEMENTS != 0)
		return false;
	for (i = 0; i < o->via.array.size; i += COLD_ELEMENTS) {
		v = &o->via.array.ptr[i];
		if (!is_uint(&v[0], UINT32_MAX) || !is_uint(&v[1], UINT32_MAX) ||
		    !is_uint(&v[2], UINT32_MAX))
			return false;
		r->cold[r->n_cold++] = (struct cs_report_cold){
			(uint32_t)v[0].via.u64, (uint32_t)v[1].via.u64, (unsigned)v[2].via.u64};
	}
	return true;
}

static bool unpack_report(const msgpack_object *v, uint32_t n, struct cs_steer_report *r)
{
	memset(r, 0, sizeof(*r));
	if (n < REPORT_ELEMENTS_MIN || !wire_unpack_text(&v[2], r->name, sizeof(r->name)) ||
	    !is_uint(&v[3], UINT64_MAX) || !is_uint(&v[4], UINT64_MAX) || !is_uint(&v[5], 255) ||
	    !is_uint(&v[6], UINT64_MAX) || !is_uint(&v[10], CS_ROOTS_PER_ZONE - 1))
		return false;
	r->boot = v[3].via.u64;
	r->seq = v[4].via.u64;
	r->ready = v[5].via.u64 & FLAG_READY;
	r->leaving = v[5].via.u64 & FLAG_LEAVING;
	r->store_stable = v[5].via.u64 & FLAG_STORE_STABLE;
	r->store_fresh = v[5].via.u64 & FLAG_STORE_FRESH;
	r->keys_stale = v[5].via.u64 & FLAG_KEYS_STALE;
	r->store_revision = v[6].via.u64;
	r->root_index = (unsigned)v[10].via.u64;
	return unpack_services(&v[7], r) && unpack_rows(&v[8], r) && unpack_ready(&v[9], r) &&
	       (n < 12 || unpack_leaving_servers(&v[11], r)) &&
	       (n < 13 || unpack_limits(&v[12], r)) && (n < 14 || unpack_home_flows(&v[13], r)) &&
	       (n < REPORT_ELEMENTS || unpack_cold(&v[14], r));
}

static bool unpack_change(const msgpack_object *v, struct wire_change *ch)
{
	if (!wire_unpack_text(&v[0], ch->key, sizeof(ch->key)) || !is_uint(&v[1], UINT64_MAX))
		return false;
	ch->revision = v[1].via.u64;
	ch->value = NULL;
	ch->len = 0;
	ch->omitted = v[2].type == MSGPACK_OBJECT_BOOLEAN && v[2].via.boolean;
	if (v[2].type == MSGPACK_OBJECT_NIL || ch->omitted)
		return true;
	if (v[2].type != MSGPACK_OBJECT_BIN)
		return false;
	ch->value = v[2].via.bin.ptr;
	ch->len = v[2].via.bin.size;
	return true;
}

static bool unpack_changes(const msgpack_object *v, uint32_t n, struct wire_changes *c)
{
	uint32_t i;

	memset(c, 0, sizeof(*c));
	if (n < CHANGES_ELEMENTS || !wire_unpack_text(&v[2], c->name, sizeof(c->name)) ||
	    !is_uint(&v[3], UINT64_MAX) || !is_uint(&v[4], UINT64_MAX) ||
	    !is_uint(&v[5], UINT32_MAX) || !is_uint(&v[6], CS_ROOTS_PER_ZONE - 1) ||
	    !is_array_within(&v[7], CHANGE_ELEMENTS * WIRE_CHANGES_MAX) ||
	    v[7].via.array.size % CHANGE_ELEMENTS != 0)
		return false;
	c->from = v[3].via.u64;
	c->to = v[4].via.u64;
	c->removal_grace_ms = (unsigned)v[5].via.u64;
	c->root_index = (unsigned)v[6].via.u64;
	for (i = 0; i < v[7].via.array.size; i += CHANGE_ELEMENTS)
		if (!unpack_change(&v[7].via.array.ptr[i], &c->change[c->n++]))
			return false;
	return true;
}

bool wire_unpack(const char *data, size_t len, struct wire_message *out)
{
	const msgpack_object *v;
	msgpack_unpacked msg;
	size_t off = 0;
	bool ok = false;
	uint32_t n;

	msgpack_unpacked_init(&msg);
	if (!cs_wire_is_well_formed((const uint8_t *)data, len) ||
	    msgpack_unpack_next(&msg, data, len, &off) != MSGPACK_UNPACK_SUCCESS ||
	    msg.data.type != MSGPACK_OBJECT_ARRAY || msg.data.via.array.size < 2)
		goto out;
	v = msg.data.via.array.ptr;
	n = msg.data.via.array.size;
	if (!is_uint(&v[0], UINT32_MAX) || v[0].via.u64 != WIRE_FORMAT_VERSION ||
	    !is_uint(&v[1], 255))
		goto out;
	out->kind = (enum wire_kind)v[1].via.u64;
	switch (out->kind) {
	case WIRE_REPORT:
	case WIRE_DIGEST:
		ok = unpack_report(v, n, &out->u.report);
		out->u.report.is_digest = out->kind == WIRE_DIGEST;
		break;
	case WIRE_CHANGES:
	case WIRE_ENTRIES:
		ok = unpack_changes(v, n, &out->u.changes);
		out->u.changes.entries_only = out->kind == WIRE_ENTRIES;
		break;
	case WIRE_QUOTA_ASK:
		ok = wire_unpack_ask(v, n, &out->u.ask);
		break;
	case WIRE_QUOTA_REPLY:
		ok = wire_unpack_reply(v, n, &out->u.reply);
		break;
	}
out:
	msgpack_unpacked_destroy(&msg);
	return ok;
}
