/* HTTP/1.1 messages over blocking sockets, for the stand-ins of the review. */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_MAX 20000
#define INPUT_SIZE 65536

/* Length and FNV-1a hash of a body. */
struct body_sum {
	uint64_t bytes, hash;
};

/* A connection with buffered input. */
struct stream {
	int fd;
	size_t pos, len;
	char buf[INPUT_SIZE];
};

/* A header section: the first line, then header lines, each ended by a NUL byte. */
struct message {
	char text[HEAD_MAX];
	size_t len;
};

int64_t now_ms(void);
void sleep_ms(long ms);
/* Opens a socket that listens at an address, or one that is connected to it; -1 on failure. */
int listen_at(const char *addr, const char *port);
int connect_to(const char *addr, const char *port);
bool write_all(int fd, const char *data, size_t len);
/* Writes a line to standard output with one call. */
void print_line(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

void sum_begin(struct body_sum *s);
void sum_add(struct body_sum *s, const char *data, size_t len);

/* Reads a header section; false if the connection ended before it was complete. */
bool read_message(struct stream *s, struct message *m);
/* Value of a header, or NULL. */
const char *message_header(const struct message *m, const char *name);
/*
 * Reads the body that the header section announces and copies its first bytes to text. Without a
 * length it extends to the end of the connection if until_end is set. False if it is incomplete.
 */
bool read_body(struct stream *s, const struct message *m, bool until_end, struct body_sum *sum,
	       char *text, size_t size);

#endif
