/* Shared by the files of lib/bus only. */
#ifndef CS_BUS_INT_H
#define CS_BUS_INT_H

#include "bus/bus.h"

enum sock_kind { SOCK_ROUTER, SOCK_DEALER, SOCK_ZAP };

struct cs_sock {
	TAILQ_ENTRY(cs_sock) entry;
	TAILQ_ENTRY(cs_sock) dirty_entry;
	struct cs_bus *bus;
	enum sock_kind kind;
	void *zmq;
	ev_io io;
	bool dirty;
	bool in_call; /* its messages are being read: closing waits */
	bool closed;
	uint16_t port;
	void (*read)(struct cs_sock *s); /* takes one message */
	cs_sock_cb cb;
	void *arg;
};

TAILQ_HEAD(bus_list, cs_sock);
TAILQ_HEAD(bus_dirty, cs_sock);

struct cs_bus {
	struct ev_loop *loop;
	void *ctx;
	ev_prepare before;
	ev_idle busy;
	struct bus_list socks;
	struct bus_dirty dirty;
	struct cs_bus_stats stats;
	bool secure;
	char key_public[CS_BUS_KEY_LEN + 1];
	char key_secret[CS_BUS_KEY_LEN + 1];
	uint8_t key_raw[32]; /* public key */
};

void bus_sock_watch(struct cs_sock *s);
void bus_sock_dirty(struct cs_sock *s);
void bus_sock_clean(struct cs_sock *s);

bool bus_keys_set(struct cs_bus *b, const char *key_public, const char *key_secret,
		  struct cs_msg *msg);
bool bus_zap_start(struct cs_bus *b, struct cs_msg *msg);
void bus_secure_server(struct cs_bus *b, void *zmq);
void bus_secure_client(struct cs_bus *b, void *zmq);

#endif
