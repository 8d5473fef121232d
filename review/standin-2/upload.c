/*
 * An upload to a server that reads slowly.
 *
 *   review2-upload serve ADDRESS PORT ID STALL_MS: a server that begins to work on an upload with
 * its first bytes, reads nothing for STALL_MS after the first 64 KB, then the rest, and answers 650
 * ms later.
 *
 *   review2-upload send ADDRESS PORT ID BYTES BUDGET_MS: one upload; records its answer.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define FIRST_BYTES (64 * 1024)
/* Work on an upload after its last byte. */
#define WORK_MS 650

static const char *server_id;
static int stall_ms;

/* Reads a header section byte by byte, so that nothing of the body is taken. */
static bool read_head(int fd, struct net_message *m)
{
	size_t n = 0;

	memset(m, 0, sizeof(*m));
	while (n < 4 || memcmp(m->head + n - 4, "\r\n\r\n", 4) != 0) {
		if (n + 1 >= sizeof(m->head) || recv(fd, m->head + n, 1, 0) != 1)
			return false;
		n++;
	}
	return true;
}

/* Reads and drops n bytes; returns how many came. */
static long drop(int fd, long n)
{
	static __thread char buf[65536];
	long got = 0;
	ssize_t r;

	while (got < n) {
		r = recv(fd, buf,
			 (size_t)(n - got < (long)sizeof(buf) ? n - got : (long)sizeof(buf)), 0);
		if (r <= 0)
			break;
		got += r;
	}
	return got;
}

static void answer(int fd, const char *id, const char *body)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nCassiascale-Instance-Id: %s\r\nCassiascale-Server-Load: "
		 "0,0,9,100\r\n%s%s%s"
		 "Cassiascale-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
		 "%zu\r\n\r\n%s",
		 server_id, id != NULL ? "Cassiascale-Attempt-Id: " : "", id != NULL ? id : "",
		 id != NULL ? "\r\n" : "", strlen(body), body);
	net_send(fd, text, strlen(text));
}

static void *serve(void *arg)
{
	int fd = (int)(long)arg;
	struct net_message m;
	const char *value;
	char id[128];
	long length, got;

	while (read_head(fd, &m)) {
		value = net_header(&m, "Content-Length");
		length = value != NULL ? strtol(value, NULL, 10) : 0;
		value = net_header(&m, "Cassiascale-Attempt-Id");
		if (value == NULL) {
			answer(fd, NULL, "ok");
			continue;
		}
		snprintf(id, sizeof(id), "%s", value);
		net_record("server %s runs %s of %ld bytes", server_id, id, length);
		got = drop(fd, length < FIRST_BYTES ? length : FIRST_BYTES);
		if (length > FIRST_BYTES) {
			net_sleep_ms(stall_ms);
			net_record("server %s reads on %s", server_id, id);
			got += drop(fd, length - FIRST_BYTES);
		}
		net_record("server %s has %ld of %ld bytes of %s", server_id, got, length, id);
		if (got < length)
			break;
		net_sleep_ms(WORK_MS);
		net_record("server %s answers %s 200", server_id, id);
		answer(fd, id, "done");
	}
	close(fd);
	return NULL;
}

static int serve_all(const char *addr, int port)
{
	int fd = net_listen(addr, port), conn;
	pthread_t thread;

	if (fd < 0)
		return 2;
	net_record("server %s starts", server_id);
	for (;;) {
		conn = accept(fd, NULL, NULL);
		if (conn >= 0 && pthread_create(&thread, NULL, serve, (void *)(long)conn) == 0)
			pthread_detach(thread);
	}
}

/* Sends the body beside the answer, which may come before its end. */
struct body {
	int fd;
	long bytes;
};

static void *send_body(void *arg)
{
	const struct body *b = arg;
	static char block[65536];
	long left = b->bytes, n;

	while (left > 0) {
		n = left < (long)sizeof(block) ? left : (long)sizeof(block);
		if (!net_send(b->fd, block, (size_t)n))
			break;
		left -= n;
	}
	net_record("client has sent %ld of %ld bytes", b->bytes - left, b->bytes);
	return NULL;
}

static int send_one(const char *addr, int port, const char *id, long bytes, int budget_ms)
{
	long long began = net_now_ms();
	struct net_message m = {.body = NULL};
	struct body b = {.fd = net_connect(addr, port, 1000), .bytes = bytes};
	char text[512];
	pthread_t thread;
	int status = 0;

	if (b.fd < 0)
		return 2;
	snprintf(text, sizeof(text),
		 "POST /upload/x HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: %s\r\n"
		 "Cassiascale-Deadline-Milliseconds: %d\r\nContent-Length: %ld\r\n\r\n",
		 id, budget_ms, bytes);
	net_record("client sends %s to %s", id, addr);
	net_send(b.fd, text, strlen(text));
	pthread_create(&thread, NULL, send_body, &b);
	net_set_timeout(b.fd, budget_ms);
	if (net_read(b.fd, &m, true))
		sscanf(m.head, "HTTP/1.1 %d", &status);
	net_record("client gets %s %d after %lld ms %.60s", id, status, net_now_ms() - began,
		   m.body != NULL ? m.body : "");
	return status == 200 ? 0 : 1;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc == 6 && strcmp(argv[1], "serve") == 0) {
		server_id = argv[4];
		stall_ms = atoi(argv[5]);
		return serve_all(argv[2], atoi(argv[3]));
	}
	if (argc == 7 && strcmp(argv[1], "send") == 0)
		return send_one(argv[2], atoi(argv[3]), argv[4], atol(argv[5]), atoi(argv[6]));
	fprintf(stderr, "usage: review2-upload serve|send ...\n");
	return 2;
}
