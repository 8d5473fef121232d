/*
 * wire: messages between instances, as msgpack arrays in datagrams. The first element is the format
 * version and the second the kind; unknown trailing elements are ignored.
 */
#ifndef NODE_WIRE_H
#define NODE_WIRE_H

#include <msgpack.h>

#include "steer/steer.h"

#define WIRE_DATAGRAM_MAX 8192

enum wire_kind {
	WIRE_REPORT = 1, /* state of one instance */
	WIRE_DIGEST = 2, /* aggregated state of a zone's instances */
	WIRE_CHANGES = 3, /* changes of the store */
	WIRE_ENTRIES = 4, /* changes of servers' entries alone, ahead of others */
	WIRE_QUOTA_ASK = 5, /* question to a keeper of tokens; quota-wire.c */
	WIRE_QUOTA_REPLY = 6
};

/* Store changes that an instance which watches the store relays to others. */
#define WIRE_CHANGES_MAX 64
struct wire_change {
	char key[256];
	uint64_t revision;
	const char *value; /* not NUL-terminated; NULL: the key was removed, or see omitted */
	size_t len;
	/* The value is too large for a datagram; receivers read it from the store. */
	bool omitted;
};
struct wire_changes {
	char name[CS_NAME_MAX]; /* sender */
	bool entries_only; /* WIRE_ENTRIES */
	uint64_t from, to; /* covers all changes with from < revision <= to */
	unsigned removal_grace_ms; /* servers whose entries were removed stay usable for this time */
	unsigned root_index; /* index of the root that sends, which selects the distribution tree */
	struct wire_change change[WIRE_CHANGES_MAX];
	unsigned n;
};

void wire_pack_report(msgpack_sbuffer *buf, const struct cs_steer_report *r);
void wire_pack_ask(msgpack_sbuffer *buf, const struct cs_quota_ask *ask);
void wire_pack_reply(msgpack_sbuffer *buf, const struct cs_quota_reply *reply);
void wire_pack_changes(msgpack_sbuffer *buf, const struct wire_changes *c);

/* A decoded message; the values of changes point into the datagram. */
struct wire_message {
	enum wire_kind kind;
	union {
		struct cs_steer_report report; /* WIRE_REPORT, WIRE_DIGEST */
		struct wire_changes changes;
		struct cs_quota_ask ask;
		struct cs_quota_reply reply;
	} u;
};
/* Text as an element of a message; false if it is none or does not fit into size bytes. */
void wire_pack_text(msgpack_packer *pk, const char *s);
bool wire_unpack_text(const msgpack_object *o, char *out, size_t size);
/* quota-wire.c: reads the elements of a message of that kind. */
bool wire_unpack_ask(const msgpack_object *v, uint32_t n, struct cs_quota_ask *out);
bool wire_unpack_reply(const msgpack_object *v, uint32_t n, struct cs_quota_reply *out);
/* Version of the messages, their first element. */
#define WIRE_FORMAT_VERSION 3
/* False if the message is malformed. */
bool wire_unpack(const char *data, size_t len, struct wire_message *out);

#endif
