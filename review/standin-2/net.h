/* net: blocking HTTP/1.1 over TCP for the stand-ins of the second review. */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>

#define NET_HEAD_MAX 16384

/* One message: its header section, ended by NUL, and the length of its body. */
struct net_message {
	char head[NET_HEAD_MAX];
	char *body; /* freed by net_free */
	size_t body_len;
};

/* Wall clock in ms, as all records have it. */
long long net_now_ms(void);
void net_sleep_ms(long ms);
/* Prints one line to standard output at once, begun with the time. */
void net_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int net_listen(const char *addr, int port);
/* Connects within timeout_ms; -1 on failure. */
int net_connect(const char *addr, int port, int timeout_ms);
/* Limits each read of a connection; 0: none. */
void net_set_timeout(int fd, long ms);
bool net_send(int fd, const char *text, size_t len);
/* Reads a message with a length, in chunks or, if until_end, up to the end of the connection. */
bool net_read(int fd, struct net_message *m, bool until_end);
/* Value of a header, in a static buffer of the thread; NULL if there is none. */
const char *net_header(const struct net_message *m, const char *name);
void net_free(struct net_message *m);

#endif
