/* sockets: open connections to servers by addresses and ports. */
#ifndef CS_PROXY_SOCKETS_H
#define CS_PROXY_SOCKETS_H

#include "base/base.h"

struct sockets;
struct sockets *sockets_create(void);
void sockets_destroy(struct sockets *s);
/* Key of a connection's addresses in text and ports. */
uint64_t sockets_key(const char *dst, int dst_port, const char *src, int src_port);
void sockets_add(struct sockets *s, uint64_t key, int fd);
/* Descriptor, or -1; *idle_us is the time since sockets_add or sockets_touch. */
int sockets_find_idle(struct sockets *s, uint64_t key, uint64_t *idle_us);
/* A request on the connection has ended. */
void sockets_touch(struct sockets *s, uint64_t key);
void sockets_closed(struct sockets *s, int fd);
/* True if a connection on which nothing is expected has input or has ended. */
bool sockets_has_input(int fd);

#endif
