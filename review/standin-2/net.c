/* Blocking HTTP/1.1 over TCP for the stand-ins of the second review. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define BODY_MAX (4 * 1024 * 1024)

long long net_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void net_sleep_ms(long ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	while (ms > 0 && nanosleep(&ts, &ts) != 0 && errno == EINTR)
		continue;
}

void net_record(const char *format, ...)
{
	char line[512];
	va_list args;
	int n;

	n = snprintf(line, sizeof(line), "%lld ", net_now_ms());
	va_start(args, format);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, format, args);
	va_end(args);
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	/* One write for each line: several processes append to the same file. */
	if (write(STDOUT_FILENO, line, (size_t)n) < 0)
		exit(2);
}

static struct sockaddr_in address(const char *addr, int port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons((unsigned short)port)};

	if (inet_pton(AF_INET, addr, &sa.sin_addr) != 1) {
		fprintf(stderr, "bad address %s\n", addr);
		exit(2);
	}
	return sa;
}

int net_listen(const char *addr, int port)
{
	struct sockaddr_in sa = address(addr, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 || listen(fd, 512) != 0) {
		fprintf(stderr, "cannot listen on %s:%d: %s\n", addr, port, strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

int net_connect(const char *addr, int port, int timeout_ms)
{
	struct sockaddr_in sa = address(addr, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), one = 1, err = 0;
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	socklen_t len = sizeof(err);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
	    (errno != EINPROGRESS || poll(&p, 1, timeout_ms) <= 0 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

void net_set_timeout(int fd, long ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
}

bool net_send(int fd, const char *text, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, text, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		text += n;
		len -= (size_t)n;
	}
	return true;
}

static bool read_byte(int fd, char *c)
{
	return recv(fd, c, 1, 0) == 1;
}

/* Reads a line up to its LF, without the line end. */
static bool read_line(int fd, char *line, size_t size)
{
	size_t n = 0;
	char c;

	for (;;) {
		if (!read_byte(fd, &c))
			return false;
		if (c == '\n')
			break;
		if (n + 1 >= size)
			return false;
		line[n++] = c;
	}
	if (n > 0 && line[n - 1] == '\r')
		n--;
	line[n] = '\0';
	return true;
}

static bool read_exactly(int fd, struct net_message *m, size_t len)
{
	ssize_t n;

	if (m->body_len + len > BODY_MAX)
		return false;
	m->body = realloc(m->body, m->body_len + len + 1);
	while (len > 0) {
		n = recv(fd, m->body + m->body_len, len, 0);
		if (n <= 0)
			return false;
		m->body_len += (size_t)n;
		len -= (size_t)n;
	}
	m->body[m->body_len] = '\0';
	return true;
}

static bool read_chunks(int fd, struct net_message *m)
{
	char line[128];
	size_t len;

	do {
		if (!read_line(fd, line, sizeof(line)))
			return false;
		len = strtoul(line, NULL, 16);
		if (!read_exactly(fd, m, len) || !read_line(fd, line, sizeof(line)))
			return false;
	} while (len > 0);
	return true;
}

static bool read_to_end(int fd, struct net_message *m)
{
	ssize_t n;

	do {
		if (m->body_len + 4096 > BODY_MAX)
			return false;
		m->body = realloc(m->body, m->body_len + 4097);
		n = recv(fd, m->body + m->body_len, 4096, 0);
		if (n > 0)
			m->body_len += (size_t)n;
	} while (n > 0);
	return n == 0;
}

bool net_read(int fd, struct net_message *m, bool until_end)
{
	const char *value;
	size_t n = 0;

	*m = (struct net_message){.body = NULL};
	while (n < 4 || memcmp(m->head + n - 4, "\r\n\r\n", 4) != 0) {
		if (n + 1 >= sizeof(m->head) || !read_byte(fd, m->head + n))
			return false;
		n++;
	}
	value = net_header(m, "Content-Length");
	if (value != NULL)
		return read_exactly(fd, m, strtoul(value, NULL, 10));
	value = net_header(m, "Transfer-Encoding");
	if (value != NULL)
		return read_chunks(fd, m);
	return !until_end || read_to_end(fd, m);
}

const char *net_header(const struct net_message *m, const char *name)
{
	static __thread char value[512];
	const char *line = m->head, *end;
	size_t len = strlen(name), n;

	while ((line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		end = strstr(line, "\r\n");
		n = end != NULL ? (size_t)(end - line) : strlen(line);
		n = n < sizeof(value) - 1 ? n : sizeof(value) - 1;
		memcpy(value, line, n);
		value[n] = '\0';
		return value;
	}
	return NULL;
}

void net_free(struct net_message *m)
{
	free(m->body);
	m->body = NULL;
}
