/*
 * Client of the second review.
 *
 *   review2-client call ADDRESS PORT METHOD PATH [BODY]: one call to a stand-in or an instance;
 * prints the status and the body, and fails unless the status is 2xx.
 *
 *   review2-client send ADDRESS PORT KIND ID: one request; KIND is safe or unsafe. Records it.
 *
 *   review2-client load ADDRESS PORT KIND PREFIX PER_S SECONDS: requests at a rate, each on a
 *   connection of its own. Records what is sent and answered. It does not retry.
 *
 *   review2-client resolve ADDRESS PORT PER_S SECONDS: asks the directory at a rate, and records
 * what it names.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net.h"

#define DEADLINE_MS 2500

static const char *addr, *kind;
static int port;

static int status_of(const struct net_message *m)
{
	int status = 0;

	sscanf(m->head, "HTTP/1.1 %d", &status);
	return status;
}

/* Sends text on a new connection and reads the answer; false if there is none. */
static bool exchange(const char *text, long timeout_ms, struct net_message *m)
{
	int fd = net_connect(addr, port, 1000);
	bool ok;

	*m = (struct net_message){.body = NULL};
	if (fd < 0)
		return false;
	net_set_timeout(fd, timeout_ms);
	ok = net_send(fd, text, strlen(text)) && net_read(fd, m, true);
	close(fd);
	return ok;
}

static void request(const char *id)
{
	bool safe = strcmp(kind, "safe") == 0;
	long long began = net_now_ms();
	struct net_message m;
	char text[1024];

	snprintf(text, sizeof(text),
		 "%s /%s/x HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: %s\r\n"
		 "Cassiascale-Deadline-Milliseconds: %d\r\n%s\r\n%s",
		 safe ? "GET" : "POST", kind, id, DEADLINE_MS, safe ? "" : "Content-Length: 4\r\n",
		 safe ? "" : "body");
	net_record("client sends %s %s to %s", id, kind, addr);
	if (exchange(text, DEADLINE_MS + 500, &m))
		net_record("client gets %s %d after %lld ms", id, status_of(&m),
			   net_now_ms() - began);
	else
		net_record("client gets %s nothing after %lld ms", id, net_now_ms() - began);
	net_free(&m);
}

static void *request_thread(void *arg)
{
	request(arg);
	free(arg);
	return NULL;
}

/* Calls fn in a thread of its own for each of the requests of a rate. */
static void at_rate(const char *prefix, int per_s, int seconds)
{
	long long began = net_now_ms(), due;
	pthread_attr_t attr;
	pthread_t thread;
	char *id;
	int i;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	for (i = 0; i < per_s * seconds; i++) {
		due = began + (long long)i * 1000 / per_s;
		net_sleep_ms((long)(due - net_now_ms()));
		id = malloc(96);
		snprintf(id, 96, "%s-%d", prefix, i);
		if (pthread_create(&thread, &attr, request_thread, id) != 0)
			free(id);
	}
	net_sleep_ms(DEADLINE_MS + 600);
}

static void resolve(int per_s, int seconds)
{
	struct net_message m;
	int i, status;

	for (i = 0; i < per_s * seconds; i++) {
		if (exchange("GET /v1/resolve?name=h.example&region=lombardia&zone=lom-brescia "
			     "HTTP/1.1\r\n"
			     "Host: directory\r\nConnection: close\r\n\r\n",
			     1000, &m)) {
			status = status_of(&m);
			net_record("directory answers %d %.300s", status,
				   m.body != NULL ? m.body : "");
		}
		net_free(&m);
		net_sleep_ms(1000 / per_s);
	}
}

static int call(const char *method, const char *path, const char *body)
{
	struct net_message m;
	char *text = malloc(strlen(body) + 1024);
	bool ok;
	int status;

	sprintf(text,
		"%s %.700s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: "
		"%zu\r\n\r\n%s",
		method, path, strlen(body), body);
	ok = exchange(text, 5000, &m);
	free(text);
	if (!ok) {
		net_free(&m);
		fprintf(stderr, "no answer\n");
		return 1;
	}
	status = status_of(&m);
	printf("%d %s\n", status, m.body != NULL ? m.body : "");
	net_free(&m);
	return status / 100 == 2 ? 0 : 1;
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc < 6) {
		fprintf(stderr, "usage: review2-client call|send|load|resolve ADDRESS PORT ...\n");
		return 2;
	}
	addr = argv[2];
	port = atoi(argv[3]);
	if (strcmp(argv[1], "call") == 0)
		return call(argv[4], argv[5], argc > 6 ? argv[6] : "");
	if (strcmp(argv[1], "resolve") == 0) {
		resolve(atoi(argv[4]), atoi(argv[5]));
		return 0;
	}
	kind = argv[4];
	if (strcmp(argv[1], "send") == 0)
		request(argv[5]);
	else if (argc > 7)
		at_rate(argv[5], atoi(argv[6]), atoi(argv[7]));
	return 0;
}
