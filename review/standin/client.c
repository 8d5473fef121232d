/*
 * review-client now: prints the time in ms, as the other lines have it.
 *
 * review-client call ADDRESS PORT METHOD TARGET [BODY]: makes one call and prints the body of the
 * response; exits with 0 if its status is 200.
 *
 * review-client send ADDRESS PORT METHOD TARGET ID BUDGET_MS BYTES FRAMING PACE_MS WAIT_MS: opens a
 * connection, waits for WAIT_MS and sends a request with a body of BYTES; FRAMING is length or
 * chunked. It pauses for PACE_MS after each 64 KB. It prints what was sent and what was answered.
 * Like the clients of PROTOCOL.md it leaves at its time budget.
 *
 * review-client load ADDRESS PORT METHOD TARGET PREFIX BUDGET_MS PER_S FOR_MS: sends PER_S requests
 * a second for FOR_MS, each on a new connection, with the ids PREFIX-1, PREFIX-2, ...
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "review/standin/http.h"

#define BLOCK 65536

static int call(char **argv, int argc)
{
	const char *body = argc > 6 ? argv[6] : "";
	static struct stream s;
	static struct message m;
	static char text[8192];
	char head[2000];
	struct body_sum sum;
	int n;

	s.fd = connect_to(argv[2], argv[3]);
	if (s.fd < 0)
		return 1;
	n = snprintf(head, sizeof(head),
		     "%s %s HTTP/1.1\r\nHost: %s:%s\r\nContent-Type: application/json\r\n"
		     "Content-Length: %zu\r\n\r\n",
		     argv[4], argv[5], argv[2], argv[3], strlen(body));
	if (!write_all(s.fd, head, (size_t)n) || !write_all(s.fd, body, strlen(body)) ||
	    !read_message(&s, &m) || !read_body(&s, &m, true, &sum, text, sizeof(text)))
		return 1;
	printf("%s\n", text);
	return strncmp(m.text, "HTTP/1.1 200", 12) == 0 ? 0 : 1;
}

/* One request as the command line describes it. */
struct request {
	const char *addr, *port, *method, *target;
	char id[64];
	long budget_ms, pace_ms, wait_ms;
	uint64_t bytes;
	bool chunked;
};

/* Sends one block of the body, as a chunk if it is sent in chunks. */
static bool send_block(int fd, const struct request *r, const char *data, size_t n)
{
	char line[24];
	int len = snprintf(line, sizeof(line), "%zx\r\n", n);

	if (!r->chunked)
		return write_all(fd, data, n);
	return write_all(fd, line, (size_t)len) && write_all(fd, data, n) &&
	       write_all(fd, "\r\n", 2);
}

/* Sends the body: bytes that depend on the id and the position. */
static bool send_body(int fd, const struct request *r, struct body_sum *sum)
{
	static char block[BLOCK];
	uint64_t left = r->bytes, state = 1, i;
	const char *p;
	size_t n;

	for (p = r->id; *p != '\0'; p++)
		state = state * 131 + (unsigned char)*p;
	while (left > 0) {
		n = left < sizeof(block) ? (size_t)left : sizeof(block);
		for (i = 0; i < n; i++) {
			state = state * 6364136223846793005ULL + 1442695040888963407ULL;
			block[i] = (char)(state >> 56);
		}
		sum_add(sum, block, n);
		if (!send_block(fd, r, block, n))
			return false;
		left -= n;
		sleep_ms(r->pace_ms);
	}
	return !r->chunked || write_all(fd, "0\r\n\r\n", 5);
}

static bool send_request(int fd, const struct request *r, struct body_sum *sum)
{
	char head[1000], length[48];
	int n;

	snprintf(length, sizeof(length), "Content-Length: %llu\r\n", (unsigned long long)r->bytes);
	n = snprintf(head, sizeof(head),
		     "%s %s HTTP/1.1\r\nHost: h.example\r\nCassiascale-Attempt-Id: %s\r\n"
		     "Cassiascale-Deadline-Milliseconds: %ld\r\n%s\r\n",
		     r->method, r->target, r->id, r->budget_ms,
		     r->chunked	    ? "Transfer-Encoding: chunked\r\n"
		     : r->bytes > 0 ? length
				    : "");
	sum_begin(sum);
	return write_all(fd, head, (size_t)n) && send_body(fd, r, sum);
}

/* Sends a request, prints what was sent and answered; false if there was no answer. */
static bool exchange(const struct request *r, struct stream *s, struct message *m)
{
	struct timeval limit = {.tv_sec = r->budget_ms / 1000};
	struct body_sum sum, answer;
	char text[200];
	int64_t begin;
	bool sent, whole;

	limit.tv_usec = r->budget_ms % 1000 * 1000;
	s->fd = connect_to(r->addr, r->port);
	s->pos = s->len = 0;
	sleep_ms(r->wait_ms);
	begin = now_ms();
	print_line("send id=%s to=%s at_ms=%lld connected=%d", r->id, r->addr, (long long)begin,
		   s->fd >= 0);
	if (s->fd < 0)
		return false;
	setsockopt(s->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	sent = send_request(s->fd, r, &sum);
	print_line("sent id=%s at_ms=%lld whole=%d bytes=%llu hash=%016llx line=%s %s", r->id,
		   (long long)now_ms(), sent, (unsigned long long)sum.bytes,
		   (unsigned long long)sum.hash, r->method, r->target);
	if (!read_message(s, m)) {
		print_line("answer id=%s at_ms=%lld after_ms=%lld status=none", r->id,
			   (long long)now_ms(), (long long)(now_ms() - begin));
		close(s->fd);
		return false;
	}
	whole = read_body(s, m, true, &answer, text, sizeof(text));
	text[strcspn(text, "\r\n")] = '\0';
	print_line("answer id=%s at_ms=%lld after_ms=%lld status=%.3s signed=%d whole=%d body=%s",
		   r->id, (long long)now_ms(), (long long)(now_ms() - begin), m->text + 9,
		   message_header(m, "Cassiascale-Response-Signature") != NULL, whole, text);
	close(s->fd);
	return true;
}

static int send_one(char **argv)
{
	struct request r = {.addr = argv[2],
			    .port = argv[3],
			    .method = argv[4],
			    .target = argv[5],
			    .budget_ms = strtol(argv[7], NULL, 10),
			    .bytes = strtoull(argv[8], NULL, 10),
			    .chunked = strcmp(argv[9], "chunked") == 0,
			    .pace_ms = strtol(argv[10], NULL, 10),
			    .wait_ms = strtol(argv[11], NULL, 10)};
	static struct stream s;
	static struct message m;

	snprintf(r.id, sizeof(r.id), "%s", argv[6]);
	return exchange(&r, &s, &m) ? 0 : 1;
}

/* A request of the load with its buffers, owned by its thread. */
struct job {
	struct request request;
	struct stream stream;
	struct message message;
};

static void *on_job(void *arg)
{
	struct job *j = arg;

	exchange(&j->request, &j->stream, &j->message);
	free(j);
	return NULL;
}

static int load(char **argv)
{
	long per_s = strtol(argv[8], NULL, 10), n = per_s * strtol(argv[9], NULL, 10) / 1000, i;
	struct request r = {.addr = argv[2],
			    .port = argv[3],
			    .method = argv[4],
			    .target = argv[5],
			    .budget_ms = strtol(argv[7], NULL, 10)};
	int64_t begin = now_ms(), due;
	pthread_attr_t detached;
	struct job *j;
	pthread_t t;

	pthread_attr_init(&detached);
	pthread_attr_setdetachstate(&detached, PTHREAD_CREATE_DETACHED);
	for (i = 0; i < n; i++) {
		due = begin + i * 1000 / per_s;
		if (due > now_ms())
			sleep_ms(due - now_ms());
		j = calloc(1, sizeof(*j));
		if (j == NULL)
			return 2;
		j->request = r;
		snprintf(j->request.id, sizeof(j->request.id), "%s-%ld", argv[6], i + 1);
		if (pthread_create(&t, &detached, on_job, j) != 0)
			return 2;
	}
	sleep_ms(r.budget_ms + 100);
	return 0;
}

int main(int argc, char **argv)
{
	if (argc == 2 && strcmp(argv[1], "now") == 0)
		return printf("%lld\n", (long long)now_ms()) > 0 ? 0 : 1;
	if (argc >= 6 && strcmp(argv[1], "call") == 0)
		return call(argv, argc);
	if (argc == 12 && strcmp(argv[1], "send") == 0)
		return send_one(argv);
	if (argc == 10 && strcmp(argv[1], "load") == 0)
		return load(argv);
	fprintf(stderr, "usage: review-client now\n"
			"       review-client call ADDRESS PORT METHOD TARGET [BODY]\n"
			"       review-client send ADDRESS PORT METHOD TARGET ID BUDGET_MS BYTES "
			"length|chunked PACE_MS WAIT_MS\n"
			"       review-client load ADDRESS PORT METHOD TARGET PREFIX BUDGET_MS "
			"PER_S FOR_MS\n");
	return 2;
}
