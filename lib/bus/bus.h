/*
 * bus: ZeroMQ sockets on a libev loop. A bus has a ZeroMQ context, the CURVE keys and the counters.
 * A listening socket is a ROUTER; a connecting socket is a DEALER with one peer. No function
 * blocks: a message is dropped and counted if the queue is full or there is no connection.
 */
#ifndef CS_BUS_H
#define CS_BUS_H

#include "base/base.h"

#define CS_BUS_MESSAGE_MAX (1536 * 1024) /* bytes; larger messages are dropped and counted */
#define CS_BUS_QUEUE_MAX 1000 /* messages queued for one peer */
#define CS_BUS_ROUTING_ID_MAX 16 /* bytes of a routing id */
#define CS_BUS_KEY_LEN 40 /* characters of a Z85 key */

/* Counters of all sockets of a bus. Byte counts are those of payloads, without framing. */
struct cs_bus_stats {
	uint64_t sent, sent_bytes;
	uint64_t received, received_bytes;
	uint64_t dropped; /* queue full, not connected, or unknown routing id */
	uint64_t oversized; /* received messages larger than CS_BUS_MESSAGE_MAX */
	uint64_t malformed; /* unexpected frames; users of the bus add messages that do not parse */
	uint64_t denied; /* CURVE handshakes with another key than the deployment's */
};

/* Routing id that a ROUTER assigned to a peer. */
struct cs_bus_routing_id {
	uint8_t len;
	uint8_t data[CS_BUS_ROUTING_ID_MAX];
};

struct cs_bus;
struct cs_sock;
/* Called for each received message. from is NULL on a DEALER; data is valid during the call. */
typedef void (*cs_sock_cb)(struct cs_sock *s, const struct cs_bus_routing_id *from,
			   const void *data, size_t len, void *arg);

/*
 * Keys are in Z85; if both are NULL or empty, there is no authentication. A deployment has a single
 * key pair, used by servers and clients. Returns NULL and sets msg if a key is malformed or the two
 * are not a pair.
 */
struct cs_bus *cs_bus_create(struct ev_loop *loop, const char *key_public, const char *key_secret,
			     struct cs_msg *msg);
/* Also closes all sockets. */
void cs_bus_destroy(struct cs_bus *b);
struct cs_bus_stats *cs_bus_stats(struct cs_bus *b);

/* Binds a ROUTER; port 0 binds a free port. secure: accepts only peers with the deployment's key. */
struct cs_sock *cs_sock_listen(struct cs_bus *b, const char *addr, uint16_t port, bool secure,
			       cs_sock_cb cb, void *arg, struct cs_msg *msg);
/* Connects a DEALER, which reconnects automatically; source is its source IP or NULL. */
struct cs_sock *cs_sock_connect(struct cs_bus *b, const char *source, const char *addr,
				uint16_t port, bool secure, cs_sock_cb cb, void *arg,
				struct cs_msg *msg);
uint16_t cs_sock_port(const struct cs_sock *s);
/* Sends a message; to is NULL on a DEALER. Returns false if it was dropped. */
bool cs_sock_send(struct cs_sock *s, const struct cs_bus_routing_id *to, const void *data,
		  size_t len);
/* May be called from the socket's own callback. */
void cs_sock_close(struct cs_sock *s);

#endif
