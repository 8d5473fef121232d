/* HTTP/1.1 messages over blocking sockets, for the stand-ins of the review. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "review/standin/http.h"

#define BACKLOG 512
#define LINE_SIZE 600
#define FNV_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void sleep_ms(long ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};

	while (nanosleep(&ts, &ts) != 0 && errno == EINTR)
		continue;
}

static bool parse_address(const char *addr, const char *port, struct sockaddr_in *out)
{
	*out = (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_port = htons((uint16_t)strtoul(port, NULL, 10))};
	return inet_pton(AF_INET, addr, &out->sin_addr) == 1;
}

int listen_at(const char *addr, const char *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	struct sockaddr_in sa;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (parse_address(addr, port, &sa) && bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    listen(fd, BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

int connect_to(const char *addr, const char *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	struct sockaddr_in sa;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (parse_address(addr, port, &sa) && connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool write_all(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

void print_line(const char *fmt, ...)
{
	char line[LINE_SIZE];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line) - 1, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	if ((size_t)n > sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(STDOUT_FILENO, line, (size_t)n) < 0)
		exit(2);
}

void sum_begin(struct body_sum *s)
{
	*s = (struct body_sum){.hash = FNV_BASIS};
}

void sum_add(struct body_sum *s, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		s->hash = (s->hash ^ (unsigned char)data[i]) * FNV_PRIME;
	s->bytes += len;
}

/* Receives more input once all of it was consumed; false at its end. */
static bool fill(struct stream *s)
{
	ssize_t n;

	if (s->pos < s->len)
		return true;
	do
		n = recv(s->fd, s->buf, sizeof(s->buf), 0);
	while (n < 0 && errno == EINTR);
	s->pos = 0;
	s->len = n > 0 ? (size_t)n : 0;
	return n > 0;
}

/* Reads a line that ends with CR LF, without its end; -1 if it is incomplete or too long. */
static long read_line(struct stream *s, char *out, size_t size)
{
	size_t n = 0;
	char c;

	while (n < size && fill(s)) {
		c = s->buf[s->pos++];
		if (c != '\n') {
			out[n++] = c;
			continue;
		}
		if (n > 0 && out[n - 1] == '\r')
			n--;
		out[n] = '\0';
		return (long)n;
	}
	return -1;
}

bool read_message(struct stream *s, struct message *m)
{
	long n;

	m->len = 0;
	for (;;) {
		n = read_line(s, m->text + m->len, sizeof(m->text) - m->len);
		if (n < 0)
			return false;
		if (n == 0 && m->len == 0)
			continue;
		if (n == 0)
			return true;
		m->len += (size_t)n + 1;
	}
}

const char *message_header(const struct message *m, const char *name)
{
	size_t at = strlen(m->text) + 1, n = strlen(name);
	const char *line;

	for (; at < m->len; at += strlen(line) + 1) {
		line = m->text + at;
		if (strncasecmp(line, name, n) == 0 && line[n] == ':')
			return line + n + 1 + strspn(line + n + 1, " ");
	}
	return NULL;
}

/* Where a body goes: its sum, and its first bytes as text. */
struct sink {
	struct body_sum *sum;
	char *text;
	size_t size;
};

static void sink_add(struct sink *k, const char *data, size_t n)
{
	size_t have = strlen(k->text), room = k->size - 1 - have;

	sum_add(k->sum, data, n);
	if (n < room)
		room = n;
	memcpy(k->text + have, data, room);
	k->text[have + room] = '\0';
}

/* Reads n bytes, or all up to the end of the input if n is UINT64_MAX. */
static bool read_bytes(struct stream *s, uint64_t n, struct sink *k)
{
	size_t part;

	while (n > 0) {
		if (!fill(s))
			return n == UINT64_MAX;
		part = s->len - s->pos;
		if (part > n)
			part = (size_t)n;
		sink_add(k, s->buf + s->pos, part);
		s->pos += part;
		if (n != UINT64_MAX)
			n -= part;
	}
	return true;
}

static bool read_chunks(struct stream *s, struct sink *k)
{
	char line[64];
	uint64_t n;

	for (;;) {
		if (read_line(s, line, sizeof(line)) < 0)
			return false;
		n = strtoull(line, NULL, 16);
		if (n > 0 && !read_bytes(s, n, k))
			return false;
		if (read_line(s, line, sizeof(line)) != 0)
			return false;
		if (n == 0)
			return true;
	}
}

bool read_body(struct stream *s, const struct message *m, bool until_end, struct body_sum *sum,
	       char *text, size_t size)
{
	const char *length = message_header(m, "Content-Length");
	struct sink k = {.sum = sum, .text = text, .size = size};

	sum_begin(sum);
	text[0] = '\0';
	if (message_header(m, "Transfer-Encoding") != NULL)
		return read_chunks(s, &k);
	if (length != NULL)
		return read_bytes(s, strtoull(length, NULL, 10), &k);
	return !until_end || read_bytes(s, UINT64_MAX, &k);
}
