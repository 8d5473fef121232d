/*
 * review-server ADDRESS PORT ID [COLD_MS]: a backend server as PROTOCOL.md describes it. It prints
 * a line for each request that arrives and each that it runs. In the query of a request, ms is the
 * work in ms. On SIGUSR1 it resets 55 % of its open connections, chosen at random.
 *
 * It runs SLOTS requests at once, queues as many and rejects further ones, drops a request when its
 * connection closes, and stops work at the time budget that it receives. For COLD_MS after its
 * start it is cold: it then crashes when COLD_ARRIVALS_MAX requests and one arrive in one second.
 * LINK_MS is the delay of its link, one way.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/standin/http.h"

#define SLOTS 9
#define LINK_MS 1
#define QUEUE_POLL_MS 5
#define RESET_PERCENT 55
#define CONNS_MAX 1024
#define BUDGET_DEFAULT_MS 60000
/* Well above the bound of rinnova-hub, cold-per-s x cold-overrun + cold-slack = 11 x 1.5 + 5. */
#define COLD_ARRIVALS_MAX 33

struct conn {
	struct stream in;
	bool used, reset;
};

static const char *id;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct conn conns[CONNS_MAX];
static int running;
static int64_t cold_until_ms;
/* Times of the last arrivals. */
static int64_t arrivals[COLD_ARRIVALS_MAX + 1];
static unsigned long n_arrivals;

static bool is_reset(struct conn *c)
{
	bool reset;

	pthread_mutex_lock(&lock);
	reset = c->reset;
	pthread_mutex_unlock(&lock);
	return reset;
}

/* Takes a slot or gives it back; false if all are taken. */
static bool slot(int n)
{
	bool ok;

	pthread_mutex_lock(&lock);
	ok = n < 0 || running < SLOTS;
	if (ok)
		running += n;
	pthread_mutex_unlock(&lock);
	return ok;
}

/* Counts an arrival; a cold server crashes when too many arrive in one second. */
static void count_arrival(struct conn *c, const char *attempt)
{
	struct sockaddr_in peer = {.sin_family = AF_INET};
	socklen_t size = sizeof(peer);
	char from[INET_ADDRSTRLEN] = "";
	int64_t now = now_ms(), *oldest;
	bool crash;

	getpeername(c->in.fd, (struct sockaddr *)&peer, &size);
	inet_ntop(AF_INET, &peer.sin_addr, from, sizeof(from));
	pthread_mutex_lock(&lock);
	oldest = &arrivals[n_arrivals++ % (COLD_ARRIVALS_MAX + 1)];
	*oldest = now;
	oldest = &arrivals[n_arrivals % (COLD_ARRIVALS_MAX + 1)];
	crash = now < cold_until_ms && n_arrivals > COLD_ARRIVALS_MAX && now - *oldest < 1000;
	print_line("arrive id=%s server=%s from=%s at_ms=%lld cold=%d", attempt, id, from,
		   (long long)now, now < cold_until_ms);
	if (crash) {
		print_line("crash server=%s at_ms=%lld running=%d", id, (long long)now, running);
		_exit(3);
	}
	pthread_mutex_unlock(&lock);
}

static bool respond(struct conn *c, const char *status, const char *attempt, const char *extra,
		    const char *body)
{
	char out[1200];
	int n;

	n = snprintf(
		out, sizeof(out),
		"HTTP/1.1 %s\r\nCassiascale-Instance-Id: %s\r\n"
		"Cassiascale-Server-Load: %d,0,%d,100\r\n%s%s%s%sContent-Length: %zu\r\n\r\n%s",
		status, id, running, SLOTS, *attempt ? "Cassiascale-Attempt-Id: " : "", attempt,
		*attempt ? "\r\n" : "", extra, strlen(body), body);
	sleep_ms(LINK_MS);
	return write_all(c->in.fd, out, (size_t)n);
}

/* Works for some time; false if the connection ended meanwhile. */
static bool work(struct conn *c, int64_t ms)
{
	int64_t end = now_ms() + ms, left;
	struct pollfd p = {.fd = c->in.fd, .events = POLLRDHUP};

	while ((left = end - now_ms()) > 0) {
		if (poll(&p, 1, (int)left) > 0 || is_reset(c))
			return false;
	}
	return true;
}

/* Runs a request whose body has arrived; false if its connection ended. */
static bool run(struct conn *c, const struct message *m, const char *attempt,
		const struct body_sum *sum)
{
	const char *ms = strstr(m->text, "ms="), *budget;
	int64_t needed = ms != NULL ? strtol(ms + 3, NULL, 10) : 1, allowed = BUDGET_DEFAULT_MS;
	char body[200], signature[80];
	int64_t begin = now_ms();
	bool done;

	budget = message_header(m, "Cassiascale-Deadline-Milliseconds");
	if (budget != NULL)
		allowed = strtol(budget, NULL, 10);
	print_line("run id=%s server=%s at_ms=%lld bytes=%llu hash=%016llx allowed_ms=%lld line=%s",
		   attempt, id, (long long)begin, (unsigned long long)sum->bytes,
		   (unsigned long long)sum->hash, (long long)allowed, m->text);
	done = work(c, needed < allowed ? needed : allowed);
	print_line("end id=%s server=%s at_ms=%lld worked_ms=%lld of_ms=%lld cut=%d", attempt, id,
		   (long long)now_ms(), (long long)(now_ms() - begin), (long long)needed, !done);
	if (!done)
		return false;
	snprintf(body, sizeof(body), "id=%.60s bytes=%llu hash=%016llx\n", attempt,
		 (unsigned long long)sum->bytes, (unsigned long long)sum->hash);
	snprintf(signature, sizeof(signature), "Cassiascale-Response-Signature: %016llx\r\n",
		 (unsigned long long)sum->hash);
	return respond(c, needed <= allowed ? "200 OK" : "504 Gateway Timeout", attempt, signature,
		       needed <= allowed ? body : "");
}

static bool respond_health(struct conn *c)
{
	int64_t left = cold_until_ms - now_ms();
	char cold[64] = "";

	if (left > 0)
		snprintf(cold, sizeof(cold), "Cassiascale-Cold-Milliseconds: %lld\r\n",
			 (long long)left);
	return respond(c, "200 OK", "", cold, "ok");
}

/* Waits in the queue for a slot; false if the queue is full or the connection has ended. */
static bool wait_for_slot(struct conn *c)
{
	static int waiting;
	bool ok;

	pthread_mutex_lock(&lock);
	ok = waiting < SLOTS;
	waiting += ok;
	pthread_mutex_unlock(&lock);
	if (!ok)
		return false;
	while (!(ok = slot(1)) && work(c, QUEUE_POLL_MS))
		continue;
	pthread_mutex_lock(&lock);
	waiting--;
	pthread_mutex_unlock(&lock);
	return ok;
}

/* Serves one request; false if the connection ended. */
static bool serve(struct conn *c)
{
	const char *attempt, *expected;
	struct body_sum sum;
	struct message m;
	char text[8];
	bool ok;

	if (!read_message(&c->in, &m) || !read_body(&c->in, &m, false, &sum, text, sizeof(text)) ||
	    is_reset(c))
		return false;
	sleep_ms(LINK_MS);
	attempt = message_header(&m, "Cassiascale-Attempt-Id");
	expected = message_header(&m, "Cassiascale-Expected-Instance");
	if (strncmp(m.text, "GET /health ", 12) == 0)
		return respond_health(c);
	if (attempt == NULL)
		return respond(c, "400 Bad Request", "", "Cassiascale-Not-Executed: 1\r\n", "");
	if (expected != NULL && strcmp(expected, id) != 0)
		return respond(c, "421 Misdirected Request", attempt, "", "");
	count_arrival(c, attempt);
	if (!wait_for_slot(c))
		return respond(c, "503 Service Unavailable", attempt,
			       "Cassiascale-Not-Executed: 1\r\n", "");
	ok = run(c, &m, attempt, &sum);
	slot(-1);
	return ok;
}

static void *on_connection(void *arg)
{
	struct linger abort_conn = {.l_onoff = 1, .l_linger = 0};
	struct conn *c = arg;

	while (serve(c))
		continue;
	pthread_mutex_lock(&lock);
	if (c->reset)
		setsockopt(c->in.fd, SOL_SOCKET, SO_LINGER, &abort_conn, sizeof(abort_conn));
	close(c->in.fd);
	c->used = false;
	pthread_mutex_unlock(&lock);
	return NULL;
}

static struct conn *conn_create(int fd)
{
	struct conn *c = NULL;
	unsigned i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNS_MAX && c == NULL; i++)
		if (!conns[i].used)
			c = &conns[i];
	if (c != NULL) {
		c->used = true;
		c->reset = false;
		c->in.fd = fd;
		c->in.pos = c->in.len = 0;
	}
	pthread_mutex_unlock(&lock);
	return c;
}

/* Resets a part of the open connections, chosen at random: each wakes up and closes itself. */
static void reset_some(void)
{
	struct conn *open[CONNS_MAX], *c;
	unsigned n = 0, i, k, n_reset;

	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNS_MAX; i++)
		if (conns[i].used)
			open[n++] = &conns[i];
	n_reset = n * RESET_PERCENT / 100;
	for (i = 0; i < n_reset; i++) {
		k = i + (unsigned)random() % (n - i);
		c = open[k];
		open[k] = open[i];
		c->reset = true;
		shutdown(c->in.fd, SHUT_RD);
	}
	pthread_mutex_unlock(&lock);
	print_line("reset server=%s at_ms=%lld connections=%u of=%u", id, (long long)now_ms(),
		   n_reset, n);
}

static void *on_signals(void *arg)
{
	const sigset_t *set = arg;
	int sig;

	for (;;)
		if (sigwait(set, &sig) == 0)
			reset_some();
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t detached;
	struct conn *c;
	pthread_t t;
	sigset_t set;
	int fd, client;

	if (argc != 4 && argc != 5) {
		fprintf(stderr, "usage: review-server ADDRESS PORT ID [COLD_MS]\n");
		return 2;
	}
	id = argv[3];
	cold_until_ms = argc == 5 ? now_ms() + strtol(argv[4], NULL, 10) : 0;
	srandom((unsigned)now_ms() ^ (unsigned)getpid());
	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	fd = listen_at(argv[1], argv[2]);
	pthread_attr_init(&detached);
	pthread_attr_setdetachstate(&detached, PTHREAD_CREATE_DETACHED);
	if (fd < 0 || pthread_create(&t, &detached, on_signals, &set) != 0) {
		fprintf(stderr, "review-server: cannot listen at %s:%s\n", argv[1], argv[2]);
		return 2;
	}
	for (;;) {
		client = accept(fd, NULL, NULL);
		if (client < 0)
			continue;
		c = conn_create(client);
		if (c == NULL || pthread_create(&t, &detached, on_connection, c) != 0)
			close(client);
	}
}
