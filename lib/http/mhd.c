/* Runs an MHD daemon on the loop through its epoll descriptor and timeout; socket helpers. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"

#define LISTEN_BACKLOG 1024
/* A peer counts as unreachable if it leaves keepalive probes or data unacknowledged. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNACKNOWLEDGED_MAX_MS 2500

struct cs_mhd {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_prepare prepare;
	ev_idle idle; /* active while MHD has work that needs no event */
	struct cs_timer timeout;
	bool run_pending; /* MHD_run is due before the loop blocks */
};

static void on_io(struct ev_loop *loop, ev_io *w, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_idle(struct ev_loop *loop, ev_idle *w, int events);
static void on_timeout(struct cs_timer *t, void *arg);

struct cs_mhd *cs_mhd_attach(struct ev_loop *loop, struct cs_timers *ts, struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
	struct cs_mhd *m = cs_xcalloc(1, sizeof(*m));

	m->loop = loop;
	m->timers = ts;
	m->daemon = daemon;
	ev_io_init(&m->io, on_io, info->epoll_fd, EV_READ);
	ev_prepare_init(&m->prepare, on_prepare);
	ev_idle_init(&m->idle, on_idle);
	m->io.data = m->prepare.data = m->idle.data = m;
	cs_timer_init(&m->timeout, on_timeout, m);
	ev_io_start(loop, &m->io);
	ev_prepare_start(loop, &m->prepare);
	return m;
}

void cs_mhd_detach(struct cs_mhd *m)
{
	if (m == NULL)
		return;
	ev_io_stop(m->loop, &m->io);
	ev_prepare_stop(m->loop, &m->prepare);
	ev_idle_stop(m->loop, &m->idle);
	cs_timer_stop(&m->timeout);
	free(m);
}

void cs_mhd_wakeup(struct cs_mhd *m)
{
	m->run_pending = true;
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct cs_mhd *m = w->data;

	m->run_pending = false;
	MHD_run(m->daemon);
}

static void on_idle(struct ev_loop *loop, ev_idle *w, int events)
{
	struct cs_mhd *m = w->data;

	MHD_run(m->daemon);
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	struct cs_mhd *m = arg;

	MHD_run(m->daemon);
}

/* Before the loop blocks: serves resumed connections, then arms the timer for MHD's timeout. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_mhd *m = w->data;
	MHD_UNSIGNED_LONG_LONG ms;

	if (m->run_pending) {
		m->run_pending = false;
		MHD_run(m->daemon);
	}
	if (MHD_get_timeout(m->daemon, &ms) != MHD_YES) {
		ev_idle_stop(loop, &m->idle);
		return;
	}
	if (ms == 0) {
		ev_idle_start(loop, &m->idle);
		return;
	}
	ev_idle_stop(loop, &m->idle);
	if (!cs_timer_active(&m->timeout))
		cs_timer_start(m->timers, &m->timeout, ms * CS_US_PER_MS);
}

int cs_listen(const char *addr, uint16_t port, uint16_t *bound, struct cs_msg *msg)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(port)};
	socklen_t len = sizeof(sa);
	int fd, one = 1;

	if (inet_pton(AF_INET, addr, &sa.sin_addr) != 1) {
		cs_msg_set(msg, "address '%s' is not an IPv4 address", addr);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		cs_msg_set(msg, "cannot create a socket: %s", strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 || listen(fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) != 0) {
		cs_msg_set(msg, "cannot listen on %s:%u: %s", addr, port, strerror(errno));
		close(fd);
		return -1;
	}
	*bound = ntohs(sa.sin_port);
	return fd;
}

void cs_sock_set_keepalive(int fd)
{
	int one = 1, idle_s = KEEPALIVE_IDLE_S, interval_s = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES, unacknowledged_ms = UNACKNOWLEDGED_MAX_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
		   sizeof(unacknowledged_ms));
}

void cs_mhd_peer(struct MHD_Connection *conn, char *out, size_t size)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr *sa = info ? info->client_addr : NULL;

	cs_copy(out, size, "");
	if (sa == NULL)
		return;
	if (sa->sa_family == AF_INET)
		inet_ntop(AF_INET, &((const struct sockaddr_in *)(const void *)sa)->sin_addr, out,
			  (socklen_t)size);
	else if (sa->sa_family == AF_INET6)
		inet_ntop(AF_INET6, &((const struct sockaddr_in6 *)(const void *)sa)->sin6_addr,
			  out, (socklen_t)size);
}
