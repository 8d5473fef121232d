/*
 * review2-server ADDRESS PORT ID SLOTS WORK_MS [NAME=VALUE...]: a server of the users' platform. It
 * records each request that reaches it and what it answers. A request that does not fit into its
 * slots waits a little, and is turned away when too many wait. Options:
 *
 *   limit=N         all answers name Server-Limit N
 *   retry-after=S   after SIGUSR1 it turns away the next request with 503 and Retry-After S
 *   turn-away=1     as if SIGUSR1 had come at its start
 *   cold=MS         it is cold for MS after its start, as its health answers say
 *   crash=N         while cold it ends when more than N requests reach it in one second; 0: never
 *
 * After SIGUSR2 it leaves: it says Server-Leaving in all answers, and its health answer is 503.
 * With SIGHUP it becomes cold again, for 3 s.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define ARRIVALS 4096
#define COLD_AGAIN_MS 3000

static const char *server_id;
static int slots, work_ms, crash_above;
static long long cold_until_ms;
static const char *limit, *retry_after;
static volatile sig_atomic_t leaving, turn_away, cold_again;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t freed = PTHREAD_COND_INITIALIZER;
static int running, waiting;
static long long arrivals[ARRIVALS];
static unsigned n_arrivals;

static void on_signal(int sig)
{
	if (sig == SIGUSR1)
		turn_away = 1;
	else if (sig == SIGHUP)
		cold_again = 1;
	else
		leaving = 1;
}

/* Until when the server is cold; 0 or a time that has passed: it is not. */
static long long cold_until(void)
{
	pthread_mutex_lock(&lock);
	if (cold_again) {
		cold_again = 0;
		cold_until_ms = net_now_ms() + COLD_AGAIN_MS;
		net_record("server %s is cold again", server_id);
	}
	pthread_mutex_unlock(&lock);
	return cold_until_ms;
}

static void reply(int fd, const char *status, const char *id, const char *more, const char *body)
{
	char text[2048];
	int n;

	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 %s\r\nCassiascale-Instance-Id: %s\r\n"
		     "Cassiascale-Server-Load: %d,%d,%d,100\r\n%s%s%s%s%s%s%s%s"
		     "Content-Length: %zu\r\n\r\n%s",
		     status, server_id, running, waiting, slots,
		     id != NULL ? "Cassiascale-Attempt-Id: " : "", id != NULL ? id : "",
		     id != NULL ? "\r\n" : "", limit != NULL ? "Server-Limit: " : "",
		     limit != NULL ? limit : "", limit != NULL ? "\r\n" : "",
		     leaving ? "Server-Leaving: 1\r\n" : "", more, strlen(body), body);
	net_send(fd, text, (size_t)n);
}

static void health(int fd)
{
	long long left = cold_until() - net_now_ms();
	char more[64] = "";

	if (left > 0)
		snprintf(more, sizeof(more), "Cassiascale-Cold-Milliseconds: %lld\r\n", left);
	reply(fd, leaving ? "503 Service Unavailable" : "200 OK", NULL, more, "ok");
}

/* Counts an arrival; ends the process if it is cold and more arrive in a second than it bears. */
static void count_arrival(void)
{
	long long now = net_now_ms();
	unsigned i, n = 0;

	pthread_mutex_lock(&lock);
	arrivals[n_arrivals++ % ARRIVALS] = now;
	for (i = 0; i < ARRIVALS && i < n_arrivals; i++)
		n += arrivals[i] > now - 1000;
	pthread_mutex_unlock(&lock);
	if (crash_above > 0 && now < cold_until() && (int)n > crash_above) {
		net_record("server %s crashes: %u requests in a second while cold", server_id, n);
		_exit(3);
	}
}

/* True when the request has a slot; false if too many wait. */
static bool take_slot(void)
{
	bool taken = true;

	pthread_mutex_lock(&lock);
	if (running >= slots && waiting >= 3 * slots) {
		taken = false;
	} else {
		waiting++;
		while (running >= slots)
			pthread_cond_wait(&freed, &lock);
		waiting--;
		running++;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

static void release_slot(void)
{
	pthread_mutex_lock(&lock);
	running--;
	pthread_cond_signal(&freed);
	pthread_mutex_unlock(&lock);
}

static void run(int fd, const char *id, const char *method)
{
	if (!take_slot()) {
		net_record("server %s full %s", server_id, id);
		reply(fd, "503 Service Unavailable", id, "Cassiascale-Not-Executed: 1\r\n", "");
		return;
	}
	net_record("server %s runs %s %s", server_id, id, method);
	net_sleep_ms(work_ms);
	release_slot();
	net_record("server %s answers %s 200%s", server_id, id, leaving ? " leaving" : "");
	reply(fd, "200 OK", id, "Cassiascale-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
	      "done");
}

static void handle(int fd, const struct net_message *m)
{
	char id[128], method[16] = "", path[256] = "", more[96];
	const char *value = net_header(m, "Cassiascale-Attempt-Id");

	sscanf(m->head, "%15s %255s", method, path);
	if (strcmp(path, "/health") == 0) {
		health(fd);
		return;
	}
	if (value == NULL) {
		reply(fd, "400 Bad Request", NULL, "Cassiascale-Not-Executed: 1\r\n", "");
		return;
	}
	snprintf(id, sizeof(id), "%s", value);
	value = net_header(m, "Cassiascale-Expected-Instance");
	if (value != NULL && strcmp(value, server_id) != 0) {
		reply(fd, "421 Misdirected Request", id, "Cassiascale-Not-Executed: 1\r\n", "");
		return;
	}
	net_record("server %s gets %s %s", server_id, id, method);
	count_arrival();
	if (turn_away) {
		turn_away = 0;
		net_record("server %s turns-away %s 503 Retry-After %s", server_id, id,
			   retry_after);
		snprintf(more, sizeof(more), "Cassiascale-Not-Executed: 1\r\nRetry-After: %s\r\n",
			 retry_after);
		reply(fd, "503 Service Unavailable", id, more, "");
		return;
	}
	run(fd, id, method);
}

static void *serve(void *arg)
{
	struct net_message m;
	int fd = (int)(long)arg;

	while (net_read(fd, &m, false)) {
		handle(fd, &m);
		net_free(&m);
	}
	net_free(&m);
	close(fd);
	return NULL;
}

static const char *option(int argc, char **argv, const char *name)
{
	size_t len = strlen(name);
	int i;

	for (i = 6; i < argc; i++)
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t attr;
	pthread_t thread;
	int fd, conn;

	if (argc < 6) {
		fprintf(stderr,
			"usage: review2-server ADDRESS PORT ID SLOTS WORK_MS [NAME=VALUE...]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	signal(SIGHUP, on_signal);
	server_id = argv[3];
	slots = atoi(argv[4]);
	work_ms = atoi(argv[5]);
	limit = option(argc, argv, "limit");
	retry_after = option(argc, argv, "retry-after");
	cold_until_ms = option(argc, argv, "cold") != NULL
				? net_now_ms() + atoi(option(argc, argv, "cold"))
				: 0;
	crash_above = option(argc, argv, "crash") != NULL ? atoi(option(argc, argv, "crash")) : 0;
	turn_away = option(argc, argv, "turn-away") != NULL;
	fd = net_listen(argv[1], atoi(argv[2]));
	if (fd < 0)
		return 2;
	net_record("server %s starts", server_id);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	for (;;) {
		conn = accept(fd, NULL, NULL);
		if (conn >= 0 && pthread_create(&thread, &attr, serve, (void *)(long)conn) != 0)
			close(conn);
	}
}
