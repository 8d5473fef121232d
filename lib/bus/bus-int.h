/* Internal declarations of lib/bus. */
#ifndef CS_BUS_INT_H
#define CS_BUS_INT_H

#include "bus/bus.h"

#define KEY_RAW_LEN 32 /* bytes of a decoded key */

enum sock_kind { SOCK_ROUTER, SOCK_DEALER, SOCK_ZAP };

struct cs_sock {
	TAILQ_ENTRY(cs_sock) entry;
	TAILQ_ENTRY(cs_sock) pending_entry;
	struct cs_bus *bus;
	enum sock_kind kind;
	void *zmq;
	ev_io io;
	bool pending; /* on the pending list of the bus */
	bool reading; /* sock_drain is reading from it, and frees it if a callback closed it */
	bool closed;
	uint16_t port;
	void (*read)(struct cs_sock *s); /* receives and handles one message */
	cs_sock_cb cb;
	void *arg;
};

TAILQ_HEAD(bus_socks, cs_sock);
TAILQ_HEAD(bus_pending, cs_sock);

struct cs_bus {
	struct ev_loop *loop;
	void *ctx;
	ev_prepare prepare;
	ev_idle idle; /* active while sockets are pending, so that the loop does not block */
	struct bus_socks socks;
	struct bus_pending pending; /* sockets whose ZMQ_EVENTS must be read again */
	struct cs_bus_stats stats;
	bool secure;
	char key_public[CS_BUS_KEY_LEN + 1];
	char key_secret[CS_BUS_KEY_LEN + 1];
	uint8_t key_public_raw[KEY_RAW_LEN]; /* decoded from Z85 */
};

void bus_sock_register(struct cs_sock *s);
void bus_sock_set_pending(struct cs_sock *s);
void bus_sock_clear_pending(struct cs_sock *s);

bool bus_set_keys(struct cs_bus *b, const char *key_public, const char *key_secret,
		  struct cs_msg *msg);
bool bus_zap_start(struct cs_bus *b, struct cs_msg *msg);
void bus_set_curve_server(struct cs_bus *b, void *zmq);
void bus_set_curve_client(struct cs_bus *b, void *zmq);

#endif
