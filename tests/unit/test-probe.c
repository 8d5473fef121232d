/* Tests of src/node/probe.c with a test server on a loopback socket. */
#include <arpa/inet.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/node/node.h"
#include "tests/unit/steer-fixture.h"

#define ITERATIONS_MAX 400
#define RESPONSE "HTTP/1.1 200 OK\r\nCassiascale-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n"

struct fixture {
	struct node node;
	int listener;
	uint16_t port;
};

/* For notice.c, which logs the revision. */
uint64_t store_sync_revision(const struct store_sync *ss)
{
	return 0;
}

/* For probe.c, which tells other instances of cold servers. */
void gossip_send_urgent(struct node_gossip *g)
{
}

/* For probe.c, as requests may wait for a check. */
void requests_schedule_dispatch(struct node *n)
{
}

static void ignore_event(struct cs_transfer *t, void *arg)
{
}

static void add_server(struct fixture *f)
{
	struct cs_server_entry e = {.port = f->port,
				    .slots = 4,
				    .started_ms = 1000,
				    .addr = "127.0.0.1",
				    .id = "i-1",
				    .service = "s",
				    .zone = "a1"};

	cs_steer_update_server(f->node.steer, &e, cs_mono_us());
}

static void fixture_init(struct fixture *f)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	struct node *n = &f->node;

	memset(f, 0, sizeof(*f));
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(f->listener, 8), ==, 0);
	g_assert_cmpint(getsockname(f->listener, (struct sockaddr *)&sa, &len), ==, 0);
	f->port = ntohs(sa.sin_port);
	n->loop = ev_loop_new(EVFLAG_AUTO);
	n->timers = cs_timers_create(n->loop);
	n->events = cs_events_create(n->loop, n->timers, STDERR_FILENO, "test");
	n->connections = cs_transfer_pool_create(n->loop, n->timers, NULL);
	stats_init(&n->stats);
	n->steer = fixture_create("me", "a1", cs_mono_us());
	g_assert_true(cs_steer_set_document(n->steer, fixture_document(1, NULL), cs_mono_us()));
	add_server(f);
}

static void fixture_destroy(struct fixture *f)
{
	struct node *n = &f->node;

	cs_transfer_pool_destroy(n->connections);
	cs_steer_destroy(n->steer);
	stats_free(&n->stats);
	cs_events_destroy(n->events);
	cs_timers_destroy(n->timers);
	ev_loop_destroy(n->loop);
	close(f->listener);
}

/* Runs the loop until the server has a connection or data on it. */
static void run_until_readable(struct fixture *f, int fd)
{
	struct timeval tv;
	fd_set set;
	int i;

	for (i = 0; i < ITERATIONS_MAX; i++) {
		ev_run(f->node.loop, EVRUN_NOWAIT);
		FD_ZERO(&set);
		FD_SET(fd, &set);
		tv = (struct timeval){.tv_usec = 1000};
		if (select(fd + 1, &set, NULL, NULL, &tv) == 1)
			return;
	}
	g_assert_not_reached();
}

/* Sends a request whose connection is kept; returns the server's side of it. */
static int open_kept_connection(struct fixture *f)
{
	struct cs_transfer_opts opts = {.addr = "127.0.0.1",
					.port = f->port,
					.method = "GET",
					.target = "/x/",
					.id = "one",
					.buffer_max = 4096};
	struct cs_transfer *t;
	char buf[2048];
	int fd, i;

	t = cs_transfer_start(f->node.connections, &opts, ignore_event, ignore_event, NULL);
	run_until_readable(f, f->listener);
	fd = accept(f->listener, NULL, NULL);
	run_until_readable(f, fd);
	g_assert_cmpint(recv(fd, buf, sizeof(buf), 0), >, 0);
	g_assert_cmpint(send(fd, RESPONSE, strlen(RESPONSE), MSG_NOSIGNAL), >, 0);
	for (i = 0; i < ITERATIONS_MAX && cs_transfer_state(t) != CS_TRANSFER_COMPLETE; i++) {
		ev_run(f->node.loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	g_assert_cmpint(cs_transfer_state(t), ==, CS_TRANSFER_COMPLETE);
	cs_transfer_destroy(t);
	return fd;
}

/* Puts a new document in force and overwrites the memory of the one before. */
static void replace_document(struct fixture *f)
{
	const struct cs_document *old = cs_steer_current_document(f->node.steer);
	size_t size = malloc_usable_size(old->services);
	char *blocks[16];
	unsigned i;

	g_assert_true(
		cs_steer_set_document(f->node.steer, fixture_document(2, NULL), cs_mono_us()));
	for (i = 0; i < G_N_ELEMENTS(blocks); i++) {
		blocks[i] = malloc(size);
		g_assert_nonnull(blocks[i]);
		memset(blocks[i], 'x', size);
	}
	for (i = 0; i < G_N_ELEMENTS(blocks); i++)
		free(blocks[i]);
}

/*
 * Guards against a health check of a path in freed memory: the kept connection chosen for it turns
 * out to be unusable, and the document that had the path was replaced before it is sent on a new
 * one.
 */
static void test_document_replaced(void)
{
	struct fixture f;
	char buf[2048];
	int fd, new_fd;

	fixture_init(&f);
	fd = open_kept_connection(&f);
	/* A transfer that may not be repeated and chose this connection would be restarted. */
	g_usleep(G_USEC_PER_SEC / 4);
	cs_steer_set_evacuated(f.node.steer, "a1", true, cs_mono_us());
	cs_steer_set_evacuated(f.node.steer, "a1", false, cs_mono_us());
	probe_due(&f.node);
	replace_document(&f);
	run_until_readable(&f, f.listener);
	new_fd = accept(f.listener, NULL, NULL);
	run_until_readable(&f, new_fd);
	memset(buf, 0, sizeof(buf));
	g_assert_cmpint(recv(new_fd, buf, sizeof(buf) - 1, 0), >, 0);
	*strstr(buf, "\r\n") = '\0';
	g_assert_cmpstr(buf, ==, "GET /health HTTP/1.1");
	g_assert_cmpint(send(new_fd, RESPONSE, strlen(RESPONSE), MSG_NOSIGNAL), >, 0);
	g_usleep(5000);
	ev_run(f.node.loop, EVRUN_NOWAIT);
	ev_run(f.node.loop, EVRUN_NOWAIT);
	close(fd);
	close(new_fd);
	fixture_destroy(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_NOTHING);
	g_test_add_func("/probe/document-replaced", test_document_replaced);
	return g_test_run();
}
