/*
 * standin-platform ADDRESS PORT [VIA]: runs the store at ADDRESS:PORT and two servers in each of
 * two zones. With VIA, the address of a relay, the servers listen on the ports that follow PORT and
 * register VIA as their address.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/platform/platform.h"

#define SERVERS 4

static const char *const zones[SERVERS] = {"z1", "z1", "z2", "z2"};
static struct server *servers[SERVERS];

static void on_stop(struct ev_loop *loop, ev_signal *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* SIGUSR1: registers the first server as draining. */
static void on_drain(struct ev_loop *loop, ev_signal *w, int events)
{
	server_register(servers[0], "draining");
}

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct cs_timers *ts = cs_timers_create(loop);
	struct server_location location = {.addr = argc > 1 ? argv[1] : "",
					   .registered_addr = argc > 3 ? argv[3] : NULL};
	struct cs_msg msg;
	struct store *st;
	ev_signal term, drain;
	char id[16];
	int i, rc = 1;

	if (argc != 3 && argc != 4) {
		fprintf(stderr, "usage: standin-platform ADDRESS PORT [VIA]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	st = store_create(loop, ts, argv[1], (uint16_t)atoi(argv[2]), &msg);
	if (st == NULL)
		goto fail;
	for (i = 0; i < SERVERS; i++) {
		snprintf(id, sizeof(id), "i-%d", i + 1);
		if (location.registered_addr != NULL)
			location.port = (uint16_t)(atoi(argv[2]) + 1 + i);
		servers[i] = server_create(loop, ts, st, &location, id, "svc", zones[i], &msg);
		if (servers[i] == NULL)
			goto fail;
	}
	ev_signal_init(&term, on_stop, SIGTERM);
	ev_signal_start(loop, &term);
	ev_signal_init(&drain, on_drain, SIGUSR1);
	ev_signal_start(loop, &drain);
	printf("%u\n", store_port(st));
	fflush(stdout);
	ev_run(loop, 0);
	rc = 0;
fail:
	if (rc != 0)
		fprintf(stderr, "standin-platform: %s\n", msg.text);
	return rc;
}
