/*
 * review2-late ADDRESS PORT STORE_ADDRESS STORE_PORT DELAY_MS: stands between one instance and the
 * store. A write under a condition or without (kv-txn) reaches the store DELAY_MS later, and its
 * answer is lost; DELAY_MS 0 passes it on like all other calls.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

static const char *store_addr;
static int store_port, delay_ms;

/* Passes a call on to the store; false if there is no answer. */
static bool forward(const struct net_message *call, struct net_message *answer)
{
	int fd = net_connect(store_addr, store_port, 1000);
	bool ok;

	*answer = (struct net_message){.body = NULL};
	if (fd < 0)
		return false;
	ok = net_send(fd, call->head, strlen(call->head)) &&
	     (call->body == NULL || net_send(fd, call->body, call->body_len)) &&
	     net_read(fd, answer, false);
	close(fd);
	return ok;
}

static void *serve(void *arg)
{
	int fd = (int)(long)arg;
	struct net_message call, answer;
	bool ok = true;

	while (ok && net_read(fd, &call, false)) {
		if (delay_ms > 0 && strncmp(call.head, "POST /v1/kv-txn ", 16) == 0) {
			net_record("store gets a write of the instance, and its answer is lost");
			net_sleep_ms(delay_ms);
			forward(&call, &answer);
			net_record("store carries the write out %d ms later", delay_ms);
			ok = false;
		} else {
			ok = forward(&call, &answer) &&
			     net_send(fd, answer.head, strlen(answer.head)) &&
			     (answer.body == NULL || net_send(fd, answer.body, answer.body_len));
		}
		net_free(&answer);
		net_free(&call);
	}
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t attr;
	pthread_t thread;
	int fd, conn;

	if (argc != 6) {
		fprintf(stderr,
			"usage: review2-late ADDRESS PORT STORE_ADDRESS STORE_PORT DELAY_MS\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	store_addr = argv[3];
	store_port = atoi(argv[4]);
	delay_ms = atoi(argv[5]);
	fd = net_listen(argv[1], atoi(argv[2]));
	if (fd < 0)
		return 2;
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	for (;;) {
		conn = accept(fd, NULL, NULL);
		if (conn >= 0 && pthread_create(&thread, &attr, serve, (void *)(long)conn) != 0)
			close(conn);
	}
}
