/* Listening sockets that pass accepted connections to one MHD daemon. */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/lib/listener.h"

#define ACCEPT_BURST 64
#define IDLE_TIMEOUT_S 120

struct listener_conn {
	LIST_ENTRY(listener_conn) entry;
	struct mhd_listener *listener;
	struct MHD_Connection *conn;
};

struct mhd_listener {
	struct listener_set *owner;
	ev_io io;
	char addr[46];
	uint16_t port;
	int fd; /* -1 while closed */
	unsigned connections;
	void *tag;
	LIST_HEAD(, listener_conn) conns;
};

struct listener_set {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	struct cs_mhd *mhd;
	struct mhd_listener *accepting; /* read by on_connection() in MHD_add_connection() */
};

static void on_accept(struct ev_loop *loop, ev_io *w, int events);
static void on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
			  enum MHD_ConnectionNotificationCode code);

struct listener_set *listener_set_create(struct ev_loop *loop, struct cs_timers *ts,
					 MHD_AccessHandlerCallback access,
					 MHD_RequestCompletedCallback completed, void *arg,
					 size_t memory)
{
	struct listener_set *set = cs_xcalloc(1, sizeof(*set));

	set->loop = loop;
	set->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		access, arg, MHD_OPTION_NOTIFY_COMPLETED, completed, arg,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, set, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
		MHD_OPTION_CONNECTION_LIMIT, 60000U, MHD_OPTION_END);
	if (set->daemon == NULL) {
		free(set);
		return NULL;
	}
	set->mhd = cs_mhd_attach(loop, ts, set->daemon);
	return set;
}

struct mhd_listener *mhd_listener_create(struct listener_set *set, const char *addr, uint16_t port,
					 void *tag, struct cs_msg *msg)
{
	struct mhd_listener *l = cs_xcalloc(1, sizeof(*l));

	l->owner = set;
	l->tag = tag;
	l->port = port;
	l->fd = -1;
	LIST_INIT(&l->conns);
	cs_copy(l->addr, sizeof(l->addr), addr);
	if (!mhd_listener_open(l, msg)) {
		free(l);
		return NULL;
	}
	return l;
}

uint16_t mhd_listener_port(const struct mhd_listener *l)
{
	return l->port;
}

bool mhd_listener_open(struct mhd_listener *l, struct cs_msg *msg)
{
	if (l->fd >= 0)
		return true;
	l->fd = cs_listen(l->addr, l->port, &l->port, msg);
	if (l->fd < 0)
		return false;
	ev_io_init(&l->io, on_accept, l->fd, EV_READ);
	l->io.data = l;
	ev_io_start(l->owner->loop, &l->io);
	return true;
}

void mhd_listener_close(struct mhd_listener *l)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct listener_conn *lc;
	int fd;

	if (l->fd < 0)
		return;
	ev_io_stop(l->owner->loop, &l->io);
	close(l->fd);
	l->fd = -1;
	LIST_FOREACH(lc, &l->conns, entry) {
		fd = mhd_conn_fd(lc->conn);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(fd, SHUT_RDWR);
	}
	listener_set_wakeup(l->owner);
}

void mhd_listener_pause(struct mhd_listener *l, bool paused)
{
	if (l->fd < 0)
		return;
	if (paused)
		ev_io_stop(l->owner->loop, &l->io);
	else
		ev_io_start(l->owner->loop, &l->io);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct mhd_listener *l = w->data;
	struct sockaddr_in sa;
	socklen_t len;
	int fd, i, one = 1;

	for (i = 0; i < ACCEPT_BURST; i++) {
		len = sizeof(sa);
		fd = accept4(l->fd, (struct sockaddr *)&sa, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			break;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		l->owner->accepting = l;
		MHD_add_connection(l->owner->daemon, fd, (struct sockaddr *)&sa, len);
		l->owner->accepting = NULL;
	}
	listener_set_wakeup(l->owner);
}

static void on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct listener_set *set = cls;
	struct listener_conn *lc = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		lc = cs_xcalloc(1, sizeof(*lc));
		lc->listener = set->accepting;
		lc->conn = conn;
		lc->listener->connections++;
		LIST_INSERT_HEAD(&lc->listener->conns, lc, entry);
		*ctx = lc;
		return;
	}
	lc->listener->connections--;
	LIST_REMOVE(lc, entry);
	free(lc);
	*ctx = NULL;
}

void *mhd_conn_tag(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	const struct listener_conn *lc = info->socket_context;

	return lc->listener->tag;
}

unsigned mhd_listener_connections(const struct mhd_listener *l)
{
	return l->connections;
}

void listener_set_wakeup(struct listener_set *set)
{
	cs_mhd_wakeup(set->mhd);
}

int mhd_conn_fd(struct MHD_Connection *conn)
{
	return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

void mhd_conn_abort(struct MHD_Connection *conn)
{
	shutdown(mhd_conn_fd(conn), SHUT_RDWR);
}
