/* Request lifecycle: arrival, slot, service time, response, cancellation. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "tests/standins/servers/servers.h"

#define HEALTH_HANG_US (30 * CS_US_PER_S)
#define MEAN_WEIGHT 0.1 /* of a new service time in the moving average */
#define RESPONSE_MAX_BYTES (1ULL << 30)

static struct run_queue runs = TAILQ_HEAD_INITIALIZER(runs);

static void on_service_end(struct cs_timer *t, void *arg);
static void on_client_readable(struct ev_loop *l, ev_io *w, int events);

static bool random_bool(double pct)
{
	return pct > 0 && cs_rng_unit(&rng) * 100 < pct;
}

/* Draws a service time according to the server's current behaviour. */
static uint64_t random_service_us(struct server *s)
{
	double us = s->behaviour.service_ms * (double)CS_US_PER_MS;

	if (us <= 0)
		return 0;
	us *= 1 + (cs_rng_unit(&rng) * 2 - 1) * s->behaviour.jitter_pct / 100;
	if (random_bool(s->behaviour.straggler_pct))
		us *= s->behaviour.straggler_factor;
	us *= s->behaviour.slow_factor;
	if (s->warm_runs < s->behaviour.cold_runs)
		us *= 1 +
		      (s->behaviour.cold_factor - 1) * (1 - s->warm_runs / s->behaviour.cold_runs);
	return (uint64_t)us;
}

/* Sets the response; resumes the connection if MHD has suspended it. */
static void run_respond(struct run *r, unsigned status, struct MHD_Response *resp)
{
	response_add_state(resp, r->server);
	if (strcmp(r->id, "-") != 0)
		MHD_add_response_header(resp, "X-Request-Id", r->id);
	r->response = resp;
	r->status = status;
	r->responded = true;
	cs_timer_stop(&r->timer);
	ev_io_stop(loop, &r->disconnect);
	if (r->suspended) {
		r->suspended = false;
		MHD_resume_connection(r->conn);
		listener_set_wakeup(listener_set);
	}
}

static void run_refuse(struct run *r)
{
	struct MHD_Response *resp = response_text("refused before running\n");

	r->server->refused++;
	log_run(r, OUTCOME_REFUSED);
	MHD_add_response_header(resp, "X-Ran", "no");
	run_respond(r, 503, resp);
}

/* Occupies a slot and starts the service timer, which ends at the deadline at the latest. */
static void run_execute(struct run *r)
{
	struct server *s = r->server;
	uint64_t us = random_service_us(s), now;

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

/* Logs the request, frees its slot or queue place and starts queued requests in free slots. */
static void run_end(struct run *r, enum outcome out)
{
	struct server *s = r->server;
	struct run *next;

	if (!r->active)
		return;
	r->active = false;
	s->outstanding--;
	if (r->in_queue)
		TAILQ_REMOVE(&s->queue, r, queue_entry);
	else
		s->running--;
	r->in_queue = false;
	TAILQ_REMOVE(&runs, r, entry);
	if (out == OUTCOME_CANCELLED)
		s->cancelled++;
	log_run(r, out);
	while (s->running < s->behaviour.slots && (next = TAILQ_FIRST(&s->queue)) != NULL) {
		TAILQ_REMOVE(&s->queue, next, queue_entry);
		next->in_queue = false;
		run_execute(next);
	}
}

static void on_response_delay(struct cs_timer *t, void *arg)
{
	struct run *r = arg;

	run_respond(r, 200, response_body(r->id, r->response_len, r->truncate));
}

static void on_service_end(struct cs_timer *t, void *arg)
{
	struct run *r = arg;
	struct server *s = r->server;

	if (r->deadline_us > 0 && cs_mono_us() >= r->deadline_us) {
		run_end(r, OUTCOME_DEADLINE);
		run_respond(r, 504, response_text("deadline passed\n"));
		return;
	}
	s->warm_runs++;
	r->truncate = random_bool(s->behaviour.truncate_pct);
	run_end(r, r->truncate ? OUTCOME_TRUNCATED : OUTCOME_DONE);
	if (random_bool(s->behaviour.late_pct)) {
		cs_timer_init(&r->timer, on_response_delay, r);
		cs_timer_start(timers, &r->timer, (uint64_t)(s->behaviour.late_ms * CS_US_PER_MS));
		return;
	}
	run_respond(r, 200, response_body(r->id, r->response_len, r->truncate));
}

/* Cancels the request if its connection became readable because the client closed it. */
static void on_client_readable(struct ev_loop *l, ev_io *w, int events)
{
	struct run *r = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(l, w);
	if (n > 0)
		return;
	run_end(r, OUTCOME_CANCELLED);
	run_respond(r, 500, response_text(""));
}

static void run_health_check(struct run *r)
{
	r->health_check = true;
	switch ((enum report_mode)r->server->behaviour.report) {
	case REPORT_MISSING:
		mhd_conn_abort(r->conn);
		run_respond(r, 500, response_text(""));
		return;
	case REPORT_HANG:
		cs_timer_init(&r->timer, on_response_delay, r);
		cs_timer_start(timers, &r->timer, HEALTH_HANG_US);
		return;
	default:
		run_respond(r, 200, response_health(r->server));
	}
}

/* Handles a completely received request: health check, refusal, queueing or execution. */
static void run_start(struct run *r)
{
	struct server *s = r->server;

	r->started = true;
	r->start_us = cs_mono_us();
	cs_timer_init(&r->timer, on_service_end, r);
	if (r->health_check) {
		run_health_check(r);
		return;
	}
	if (s->behaviour.state == STATE_STARTING || random_bool(s->behaviour.refuse_pct) ||
	    (s->behaviour.shed > 0 && s->outstanding >= s->behaviour.slots)) {
		run_refuse(r);
		return;
	}
	s->runs++;
	r->active = true;
	r->concurrent = ++s->outstanding;
	if (s->outstanding > s->peak_outstanding)
		s->peak_outstanding = s->outstanding;
	TAILQ_INSERT_TAIL(&runs, r, entry);
	if (s->running < s->behaviour.slots) {
		run_execute(r);
		return;
	}
	r->in_queue = true;
	TAILQ_INSERT_TAIL(&s->queue, r, queue_entry);
}

static const char *request_header(struct MHD_Connection *conn, const char *name)
{
	return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

static struct run *run_create(struct MHD_Connection *conn, const char *url)
{
	struct run *r = cs_xcalloc(1, sizeof(*r));
	const char *id = request_header(conn, "X-Request-Id"),
		   *class = request_header(conn, "X-Cassia-Class"),
		   *deadline = request_header(conn, "X-Cassia-Deadline-Ms"),
		   *size = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "size");

	r->conn = conn;
	r->server = mhd_conn_tag(conn);
	r->health_check = strcmp(url, "/health") == 0;
	cs_copy(r->id, sizeof(r->id), id ? id : "-");
	cs_copy(r->class, sizeof(r->class), class ? class : "-");
	if (deadline != NULL)
		r->deadline_us = cs_mono_us() + strtoull(deadline, NULL, 10) * CS_US_PER_MS;
	r->response_len = size ? strtoull(size, NULL, 10)
			       : (uint64_t)r->server->behaviour.answer_bytes;
	if (r->response_len > RESPONSE_MAX_BYTES)
		r->response_len = RESPONSE_MAX_BYTES;
	ev_io_init(&r->disconnect, on_client_readable, mhd_conn_fd(conn), EV_READ);
	r->disconnect.data = r;
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
		if (r->body_digest == NULL) {
			r->body_digest = XXH64_createState();
			XXH64_reset(r->body_digest, 0);
		}
		XXH64_update(r->body_digest, data, *size);
		r->body_len += *size;
		*size = 0;
		return MHD_YES;
	}
	if (!r->started)
		run_start(r);
	if (r->responded)
		return MHD_queue_response(conn, r->status, r->response);
	r->suspended = true;
	MHD_suspend_connection(conn);
	ev_io_start(loop, &r->disconnect);
	return MHD_YES;
}

void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
		  enum MHD_RequestTerminationCode code)
{
	struct run *r = *ctx;

	if (r == NULL)
		return;
	*ctx = NULL;
	run_end(r, OUTCOME_CANCELLED);
	cs_timer_stop(&r->timer);
	ev_io_stop(loop, &r->disconnect);
	if (r->response != NULL)
		MHD_destroy_response(r->response);
	if (r->body_digest != NULL)
		XXH64_freeState(r->body_digest);
	free(r);
}

void runs_log_unfinished(void)
{
	struct run *r;

	TAILQ_FOREACH(r, &runs, entry)
		log_run(r, OUTCOME_OPEN);
}
