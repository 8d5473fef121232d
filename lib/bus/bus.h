/*
 * bus: ZeroMQ sockets on the loop. One bus holds the context, the CURVE keys and the counters; a
 * listener is a ROUTER, a connection is a DEALER to one target. Nothing here blocks: a full queue
 * or a missing connection drops the message and counts it.
 */
#ifndef CS_BUS_H
#define CS_BUS_H

#include "base/base.h"

#define CS_BUS_MESSAGE_MAX (1536 * 1024) /* bytes; larger messages are dropped and counted */
#define CS_BUS_QUEUE 1000 /* messages waiting for one peer */
#define CS_BUS_ID_MAX 16 /* bytes of a routing id that the ROUTER assigns */
#define CS_BUS_KEY_LEN 40 /* characters of a Z85 key */

/* Counters of all sockets of a bus. Bytes are of payloads, without framing. */
struct cs_bus_stats {
	uint64_t sent, sent_bytes;
	uint64_t received, received_bytes;
	uint64_t dropped; /* queue full, not connected, or unknown routing id */
	uint64_t oversized; /* received above CS_BUS_MESSAGE_MAX */
	uint64_t malformed; /* unexpected frames; parsers above add theirs */
	uint64_t denied; /* CURVE handshakes without the deployment's key */
};

/* Routing id of the peer that a ROUTER got a message from. */
struct cs_bus_id {
	uint8_t len;
	uint8_t data[CS_BUS_ID_MAX];
};

struct cs_bus;
struct cs_sock;
/* A received message; from is NULL on a connection. data is valid during the call. */
typedef void (*cs_sock_cb)(struct cs_sock *s, const struct cs_bus_id *from, const void *data,
			   size_t len, void *arg);

/*
 * Keys in Z85; both NULL or empty for no authentication. The one pair of the deployment serves as
 * server and as client key. NULL and a message for a malformed key or a public key that does not
 * belong to the secret one.
 */
struct cs_bus *cs_bus_create(struct ev_loop *loop, const char *key_public, const char *key_secret,
			     struct cs_msg *msg);
/* Closes all sockets. */
void cs_bus_destroy(struct cs_bus *b);
struct cs_bus_stats *cs_bus_stats(struct cs_bus *b);

/* Binds a ROUTER; port 0 takes a free one. secure: only peers with the deployment's key. */
struct cs_sock *cs_sock_listen(struct cs_bus *b, const char *addr, uint16_t port, bool secure,
			       cs_sock_cb cb, void *arg, struct cs_msg *msg);
/* Connects a DEALER from the source IP (NULL: any); it reconnects by itself. */
struct cs_sock *cs_sock_connect(struct cs_bus *b, const char *source, const char *addr,
				uint16_t port, bool secure, cs_sock_cb cb, void *arg,
				struct cs_msg *msg);
uint16_t cs_sock_port(const struct cs_sock *s);
/* Sends one message; to is NULL on a connection. False: dropped and counted. */
bool cs_sock_send(struct cs_sock *s, const struct cs_bus_id *to, const void *data, size_t len);
/* Closes the socket; allowed inside its own callback. */
void cs_sock_close(struct cs_sock *s);

#endif
