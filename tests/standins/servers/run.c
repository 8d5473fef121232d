/* The life of a request: arrival, slot, service time, answer, cancellation. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "tests/standins/servers/servers.h"

#define HANG_US (30 * CS_US_PER_S)
#define MEAN_WEIGHT 0.1 /* of a new service time in the moving mean */
#define ANSWER_MAX (1ULL << 30)

static struct run_queue runs = TAILQ_HEAD_INITIALIZER(runs);

static void on_service_end(struct cs_timer *t, void *arg);
static void on_gone(struct ev_loop *l, ev_io *w, int events);

static bool chance(double pct)
{
	return pct > 0 && cs_rng_unit(&rng) * 100 < pct;
}

/* Draws a service time in us from the server's present behaviour. */
static uint64_t draw_service(struct server *s)
{
	double us = s->b.service_ms * (double)CS_US_PER_MS;

	if (us <= 0)
		return 0;
	us *= 1 + (cs_rng_unit(&rng) * 2 - 1) * s->b.jitter_pct / 100;
	if (chance(s->b.straggler_pct))
		us *= s->b.straggler_factor;
	us *= s->b.slow_factor;
	if (s->warm < s->b.cold_runs)
		us *= 1 + (s->b.cold_factor - 1) * (1 - s->warm / s->b.cold_runs);
	return (uint64_t)us;
}

/* Hands the reply to MHD, now or when it runs the connection again. */
static void reply(struct run *r, unsigned status, struct MHD_Response *resp)
{
	answer_state(resp, r->server);
	r->reply = resp;
	r->status = status;
	r->replied = true;
	cs_timer_stop(&r->timer);
	ev_io_stop(loop, &r->gone);
	if (r->suspended) {
		r->suspended = false;
		MHD_resume_connection(r->conn);
		listener_set_wakeup(listener_set);
	}
}

static void refuse(struct run *r)
{
	struct MHD_Response *resp = answer_text("refused before running\n");

	r->server->refused++;
	log_run(r, OUT_REFUSED);
	MHD_add_response_header(resp, "X-Ran", "no");
	reply(r, 503, resp);
}

/* Takes a slot and starts the service time. */
static void serve(struct run *r)
{
	struct server *s = r->server;
	uint64_t us = draw_service(s), now;

	s->running++;
	s->mean_us += ((double)us - s->mean_us) * MEAN_WEIGHT;
	if (us == 0) {
		on_service_end(&r->timer, r);
		return;
	}
	if (r->deadline_us > 0) {
		now = cs_mono_us();
		if (now + us > r->deadline_us)
			us = r->deadline_us > now ? r->deadline_us - now : 0;
	}
	cs_timer_start(timers, &r->timer, us);
}

/* Frees the run's place, starts the next queued one and logs. */
static void leave(struct run *r, enum outcome out)
{
	struct server *s = r->server;
	struct run *next;

	if (!r->active)
		return;
	r->active = false;
	s->present--;
	if (r->in_queue)
		TAILQ_REMOVE(&s->queue, r, queued);
	else
		s->running--;
	r->in_queue = false;
	TAILQ_REMOVE(&runs, r, entry);
	if (out == OUT_CANCELLED)
		s->cancelled++;
	log_run(r, out);
	while (s->running < s->b.slots && (next = TAILQ_FIRST(&s->queue)) != NULL) {
		TAILQ_REMOVE(&s->queue, next, queued);
		next->in_queue = false;
		serve(next);
	}
}

static void on_late(struct cs_timer *t, void *arg)
{
	struct run *r = arg;

	reply(r, 200, answer_body(r->id, r->answer_len, r->truncate));
}

static void on_service_end(struct cs_timer *t, void *arg)
{
	struct run *r = arg;
	struct server *s = r->server;

	if (r->deadline_us > 0 && cs_mono_us() >= r->deadline_us) {
		leave(r, OUT_DEADLINE);
		reply(r, 504, answer_text("deadline passed\n"));
		return;
	}
	s->warm++;
	r->truncate = chance(s->b.truncate_pct);
	leave(r, r->truncate ? OUT_TRUNCATED : OUT_DONE);
	if (chance(s->b.late_pct)) {
		cs_timer_init(&r->timer, on_late, r);
		cs_timer_start(timers, &r->timer, (uint64_t)(s->b.late_ms * CS_US_PER_MS));
		return;
	}
	reply(r, 200, answer_body(r->id, r->answer_len, r->truncate));
}

/* The caller's connection became readable while its request runs: data or the end. */
static void on_gone(struct ev_loop *l, ev_io *w, int events)
{
	struct run *r = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(l, w);
	if (n > 0)
		return;
	leave(r, OUT_CANCELLED);
	reply(r, 500, answer_text(""));
}

static void start_health(struct run *r)
{
	r->health = true;
	switch ((enum report)r->server->b.report) {
	case REPORT_MISSING:
		mhd_conn_abort(r->conn);
		reply(r, 500, answer_text(""));
		return;
	case REPORT_HANG:
		cs_timer_init(&r->timer, on_late, r);
		cs_timer_start(timers, &r->timer, HANG_US);
		return;
	default:
		reply(r, 200, answer_health(r->server));
	}
}

/* The request has arrived whole: refuse it, queue it or run it. */
static void begin(struct run *r)
{
	struct server *s = r->server;

	r->begun = true;
	r->start_us = cs_mono_us();
	cs_timer_init(&r->timer, on_service_end, r);
	if (r->health) {
		start_health(r);
		return;
	}
	if (s->b.state == STATE_STARTING || chance(s->b.refuse_pct) ||
	    (s->b.shed > 0 && s->present >= s->b.slots)) {
		refuse(r);
		return;
	}
	s->runs++;
	r->active = true;
	r->concurrent = ++s->present;
	if (s->present > s->peak)
		s->peak = s->present;
	TAILQ_INSERT_TAIL(&runs, r, entry);
	if (s->running < s->b.slots) {
		serve(r);
		return;
	}
	r->in_queue = true;
	TAILQ_INSERT_TAIL(&s->queue, r, queued);
}

static const char *header(struct MHD_Connection *conn, const char *name)
{
	return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

static struct run *run_create(struct MHD_Connection *conn, const char *url)
{
	struct run *r = cs_xcalloc(1, sizeof(*r));
	const char *id = header(conn, "X-Request-Id"), *class = header(conn, "X-Cassia-Class"),
		   *deadline = header(conn, "X-Cassia-Deadline-Ms"),
		   *size = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "size");

	r->conn = conn;
	r->server = mhd_conn_tag(conn);
	r->health = strcmp(url, "/health") == 0;
	cs_copy(r->id, sizeof(r->id), id ? id : "-");
	cs_copy(r->class, sizeof(r->class), class ? class : "-");
	if (deadline != NULL)
		r->deadline_us = cs_mono_us() + strtoull(deadline, NULL, 10) * CS_US_PER_MS;
	r->answer_len = size ? strtoull(size, NULL, 10) : (uint64_t)r->server->b.answer_bytes;
	if (r->answer_len > ANSWER_MAX)
		r->answer_len = ANSWER_MAX;
	ev_io_init(&r->gone, on_gone, mhd_conn_fd(conn), EV_READ);
	r->gone.data = r;
	return r;
}

enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
			  const char *method, const char *version, const char *data, size_t *size,
			  void **ctx)
{
	struct run *r = *ctx;

	if (r == NULL) {
		*ctx = run_create(conn, url);
		return MHD_YES;
	}
	if (*size > 0) {
		if (r->digest == NULL) {
			r->digest = XXH64_createState();
			XXH64_reset(r->digest, 0);
		}
		XXH64_update(r->digest, data, *size);
		r->body_len += *size;
		*size = 0;
		return MHD_YES;
	}
	if (!r->begun)
		begin(r);
	if (r->replied)
		return MHD_queue_response(conn, r->status, r->reply);
	r->suspended = true;
	MHD_suspend_connection(conn);
	ev_io_start(loop, &r->gone);
	return MHD_YES;
}

void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
		  enum MHD_RequestTerminationCode code)
{
	struct run *r = *ctx;

	if (r == NULL)
		return;
	*ctx = NULL;
	leave(r, OUT_CANCELLED);
	cs_timer_stop(&r->timer);
	ev_io_stop(loop, &r->gone);
	if (r->reply != NULL)
		MHD_destroy_response(r->reply);
	if (r->digest != NULL)
		XXH64_freeState(r->digest);
	free(r);
}

void runs_log_open(void)
{
	struct run *r;

	TAILQ_FOREACH(r, &runs, entry)
		log_run(r, OUT_OPEN);
}
