/* sockets: descriptors of open connections to servers, indexed by addresses and ports. */
#ifndef CS_PROXY_SOCKETS_H
#define CS_PROXY_SOCKETS_H

#include "base/base.h"

struct sockets;
struct sockets *sockets_create(void);
void sockets_destroy(struct sockets *s);
/* Hash of the four-tuple of a connection; the addresses are given as text. */
uint64_t sockets_key(const char *dst, int dst_port, const char *src, int src_port);
void sockets_add(struct sockets *s, uint64_t key, int fd);
/* State of a connection before a request is sent on it. */
struct sockets_use {
	int fd;
	uint64_t serial; /* unique to the connection within the process */
	unsigned sends; /* requests sent on it before */
	uint64_t idle_us; /* time since sockets_add or sockets_touch */
	bool id_used; /* a request with this id was sent on it, or it takes no more requests */
};
/*
 * Returns false if the connection is not known. id is that of the request to send; requests without
 * an id share the empty one.
 */
bool sockets_find(struct sockets *s, uint64_t key, const char *id, struct sockets_use *use);
/* Records a request that is sent on the connection. */
void sockets_record_send(struct sockets *s, uint64_t key, const char *id);
/* The connection takes no more requests. */
void sockets_retire(struct sockets *s, uint64_t key);
/* Restarts the idle time when a request on the connection has ended. */
void sockets_touch(struct sockets *s, uint64_t key);
void sockets_remove(struct sockets *s, int fd);
/* True if a connection on which no data is expected has input or was closed by the peer. */
bool sockets_has_input(int fd);

#endif
