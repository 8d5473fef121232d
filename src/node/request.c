/* Life of one request: body, decision, sends, answer. */
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

/* While requests wait, they are decided again at least this often. */
#define PUMP_US (10 * CS_US_PER_MS)
/* Time to come back after a refusal that states none. */
#define RETRY_DEFAULT_MS 200

static void on_deadline(struct cs_timer *t, void *arg);
static void on_hedge(struct cs_timer *t, void *arg);
static void request_act(struct request *req, const struct cs_steer_decision *d, uint64_t now);

struct request *request_create(struct node *n, struct cs_call *call)
{
	struct request *req = cs_xcalloc(1, sizeof(*req));

	req->node = n;
	req->call = call;
	TAILQ_INIT(&req->sends);
	ring_init(&req->body, BODY_WHOLE_MAX);
	cs_timer_init(&req->deadline, on_deadline, req);
	cs_timer_init(&req->hedge, on_hedge, req);
	TAILQ_INSERT_TAIL(&n->requests, req, entry);
	(*n->stats.requests)++;
	return req;
}

static void stop_timers(struct request *req)
{
	cs_timer_stop(&req->deadline);
	cs_timer_stop(&req->hedge);
}

/* Ends every send but one. */
static void end_sends(struct request *req, const struct send *keep, enum cs_steer_outcome outcome)
{
	struct send *s, *next;

	TAILQ_FOREACH_SAFE(s, &req->sends, entry, next)
		if (s != keep)
			send_end(s, outcome);
}

void request_destroy(struct request *req)
{
	struct node *n = req->node;

	stop_timers(req);
	cs_steer_forget(n->steer, &req->ask);
	end_sends(req, NULL, CS_STEER_CANCELLED);
	TAILQ_REMOVE(&n->requests, req, entry);
	ring_free(&req->body);
	free(req->lines);
	free(req);
}

static unsigned ms_since(uint64_t start_us, uint64_t now)
{
	return (unsigned)((now - start_us) / CS_US_PER_MS);
}

/* True if a send that is out or ended may have run. */
static bool may_have_run(const struct request *req)
{
	const struct send *s;

	if (req->maybe_run)
		return true;
	TAILQ_FOREACH(s, &req->sends, entry)
		if (cs_transfer_state(s->transfer) != CS_TRANSFER_UNSENT)
			return true;
	return false;
}

/* The answer is fixed: nothing else happens to the request but sending it. */
static void enter_answer(struct request *req)
{
	cs_steer_forget(req->node->steer, &req->ask);
	cs_timer_stop(&req->hedge);
	req->stage = STAGE_ANSWER;
}

/* Ends with an answer of the system's own; "not run" is said only if it is true. */
static void request_fail(struct request *req, unsigned status, const char *reason,
			 unsigned retry_after_ms)
{
	struct node *n = req->node;
	bool run = may_have_run(req);
	uint64_t now = cs_mono_us();

	if (req->stage == STAGE_ANSWER)
		return;
	if (status == 503 && run)
		status = 502;
	enter_answer(req);
	cs_timer_stop(&req->deadline);
	if (status == 503) {
		(*n->stats.refused)++;
		cs_event(n->events, CS_EVENT_KEEP, "request.refused",
			 "id=%s route=%s service=%s reason=%s waited_ms=%u sends=%u "
			 "retry_after_ms=%u left_ms=%lld",
			 req->id, req->route, req->ask.service, reason,
			 ms_since(req->ask.arrived_us, now), req->n_sends, retry_after_ms,
			 (long long)(req->ask.deadline_us - now) / 1000);
	} else {
		(*n->stats.failed)++;
		cs_event(n->events, CS_EVENT_KEEP, "request.failed",
			 "id=%s route=%s service=%s reason=%s status=%u after_ms=%u sends=%u "
			 "may_have_run=%d",
			 req->id, req->route, req->ask.service, reason, status,
			 ms_since(req->ask.arrived_us, now), req->n_sends, run);
	}
	front_error(req, status, reason, status == 503 ? retry_after_ms : 0);
}

void request_start(struct request *req)
{
	struct node *n = req->node;

	req->stage = STAGE_BODY;
	cs_timer_start(n->timers, &req->deadline, req->ask.deadline_us - req->ask.arrived_us);
	if (!req->has_body) {
		req->body_ended = true;
		return;
	}
	if (req->content_length == UINT64_MAX)
		return;
	if (req->content_length <= BODY_WHOLE_MAX)
		ring_reserve(&req->body, (size_t)req->content_length);
	else
		req->streaming = true;
}

/* Asks the decisions and acts on the answer. */
static void request_decide(struct request *req)
{
	struct cs_steer_decision d;
	uint64_t now = cs_mono_us();

	cs_steer_decide(req->node->steer, &req->ask, now, &d);
	request_act(req, &d, now);
}

size_t request_body(struct request *req, const char *data, size_t n)
{
	struct send *s;
	size_t taken;

	if (req->stage == STAGE_ANSWER && req->winner == NULL)
		return n;
	taken = ring_put(&req->body, data, n);
	if (taken < n && !req->streaming)
		req->streaming = true;
	if (!req->streaming)
		return taken;
	if (req->stage == STAGE_BODY)
		request_decide(req);
	TAILQ_FOREACH(s, &req->sends, entry)
		cs_transfer_fed(s->transfer);
	return taken;
}

void request_body_end(struct request *req)
{
	struct send *s;

	req->body_ended = true;
	TAILQ_FOREACH(s, &req->sends, entry)
		cs_transfer_fed(s->transfer);
	if (req->stage == STAGE_BODY)
		request_decide(req);
}

static void start_send(struct request *req, const struct cs_steer_decision *d, uint64_t now)
{
	struct node *n = req->node;

	req->stage = STAGE_RUNNING;
	cs_hist_add(n->stats.wait, now - req->ask.arrived_us);
	if (req->n_sends > 0)
		cs_event(n->events, CS_EVENT_KEEP, "request.repeat",
			 "id=%s route=%s server=%s busy=%u slots=%u send=%u after_ms=%u", req->id,
			 req->route, cs_backend_id(d->u.send.backend), d->u.send.busy,
			 d->u.send.slots, req->n_sends + 1, ms_since(req->ask.arrived_us, now));
	send_start(req, d->u.send.backend, false);
	if (req->repeat == CS_REPEAT_SAFE && !req->streaming && req->n_sends == 1)
		cs_timer_start(n->timers, &req->hedge, cs_steer_hedge_delay(n->steer, &req->ask));
}

static void request_act(struct request *req, const struct cs_steer_decision *d, uint64_t now)
{
	struct node *n = req->node;

	switch (d->verdict) {
	case CS_STEER_SEND:
		start_send(req, d, now);
		break;
	case CS_STEER_WAIT:
		req->stage = STAGE_WAITING;
		if (!cs_timer_active(&n->pump))
			cs_timer_start(n->timers, &n->pump, PUMP_US);
		break;
	case CS_STEER_REFUSE:
		request_fail(req, 503, cs_steer_reason_name(d->u.refuse.reason),
			     d->u.refuse.retry_after_ms);
		break;
	}
}

void requests_kick(struct node *n)
{
	if (n->pumping || cs_steer_waiting(n->steer) == 0)
		return;
	cs_timer_start(n->timers, &n->pump, 0);
}

void requests_pump(struct node *n)
{
	struct cs_steer_decision d;
	struct cs_steer_ask *ask;
	uint64_t now = cs_mono_us();

	n->pumping = true;
	while ((ask = cs_steer_next(n->steer, now, &d)) != NULL)
		request_act(ask->arg, &d, now);
	n->pumping = false;
	if (cs_steer_waiting(n->steer) > 0)
		cs_timer_start(n->timers, &n->pump, PUMP_US);
}

void request_gone(struct request *req)
{
	struct node *n = req->node;

	if (req->stage != STAGE_ANSWER || req->winner != NULL) {
		(*n->stats.gone)++;
		cs_event(n->events, CS_EVENT_KEEP, "request.gone",
			 "id=%s route=%s after_ms=%u sends=%u", req->id, req->route,
			 ms_since(req->ask.arrived_us, cs_mono_us()), req->n_sends);
	}
	stop_timers(req);
	cs_steer_forget(n->steer, &req->ask);
	end_sends(req, NULL, CS_STEER_CANCELLED);
	req->stage = STAGE_ANSWER;
}

/* Counts and logs an answer that is passed on. */
static void note_answer(struct request *req, const struct send *s, unsigned status)
{
	struct node *n = req->node;
	uint64_t now = cs_mono_us(), took = now - req->ask.arrived_us;
	bool late = req->ask.target_ms > 0 && took > req->ask.target_ms * CS_US_PER_MS;
	const char *load = head_get(cs_transfer_head(s->transfer), PLATFORM_H_LOAD);
	bool failed = status >= 500;

	if (failed)
		(*n->stats.failed)++;
	else
		(*n->stats.ok)++;
	if (!failed && late)
		(*n->stats.late)++;
	cs_hist_add(n->stats.latency, took);
	cs_event(n->events, failed || late || req->n_sends > 1 ? CS_EVENT_KEEP : CS_EVENT_SAMPLE,
		 "request.answered",
		 "id=%s route=%s service=%s server=%s zone=%s object=%08x status=%u took_ms=%llu "
		 "send_ms=%u target_ms=%u sends=%u late=%d load=%s",
		 req->id, req->route, req->ask.service, s->server, cs_backend_zone(s->backend),
		 (unsigned)req->ask.object, status, (unsigned long long)(took / CS_US_PER_MS),
		 ms_since(s->started_us, now), req->ask.target_ms, req->n_sends, late,
		 load != NULL ? load : "-");
}

/* Makes a send's whole answer the request's answer. */
static void request_win(struct request *req, struct send *s)
{
	unsigned status = cs_transfer_status(s->transfer);

	enter_answer(req);
	cs_timer_stop(&req->deadline);
	note_answer(req, s, status);
	front_pass(req, s);
	end_sends(req, s, CS_STEER_CANCELLED);
	send_end(s, status >= 500 ? CS_STEER_ERROR : CS_STEER_OK);
}

/* The answer is larger than its buffer: it is passed on while it comes. */
static void request_win_stream(struct request *req, struct send *s)
{
	enter_answer(req);
	req->winner = s;
	end_sends(req, s, CS_STEER_CANCELLED);
	note_answer(req, s, cs_transfer_status(s->transfer));
	front_pass(req, s);
}

/* The streaming answer got further or ended. */
static void winner_progress(struct request *req)
{
	struct send *s = req->winner;

	cs_call_resume(req->call);
	if (cs_transfer_state(s->transfer) == CS_TRANSFER_WHOLE ||
	    cs_transfer_state(s->transfer) == CS_TRANSFER_BROKEN)
		cs_timer_stop(&req->deadline);
}

/* Whether a failed answer of a server is worth a second send. */
static bool wants_repeat(const struct request *req, const struct send *s)
{
	return cs_transfer_status(s->transfer) >= 500 && req->repeat == CS_REPEAT_SAFE &&
	       !req->streaming && TAILQ_FIRST(&req->sends) == TAILQ_LAST(&req->sends, send_list);
}

/* Sends again after a server's 5xx, if there is a free slot at once; else passes the answer on. */
static void request_failed_answer(struct request *req, struct send *s)
{
	struct node *n = req->node;
	struct cs_backend *b = cs_steer_hedge(n->steer, &req->ask, cs_mono_us());

	if (b == NULL) {
		request_win(req, s);
		return;
	}
	req->maybe_run = true;
	cs_event(n->events, CS_EVENT_KEEP, "request.repeat",
		 "id=%s route=%s server=%s after_status=%u of=%s send=%u", req->id, req->route,
		 cs_backend_id(b), cs_transfer_status(s->transfer), s->server, req->n_sends + 1);
	send_end(s, CS_STEER_ERROR);
	send_start(req, b, false);
}

/* A send ended without an answer to pass on. */
static void request_lost(struct request *req, struct send *s, enum cs_steer_outcome outcome,
			 const char *why)
{
	struct node *n = req->node;
	bool ran = outcome == CS_STEER_ERROR;

	cs_event(n->events, CS_EVENT_KEEP, "send.failed",
		 "id=%s route=%s server=%s outcome=%s after_ms=%u why=\"%s\"", req->id, req->route,
		 s->server, cs_steer_outcome_name(outcome), ms_since(s->started_us, cs_mono_us()),
		 why);
	if (ran)
		req->maybe_run = true;
	send_end(s, outcome);
	/* Another send of it is out. */
	if (!TAILQ_EMPTY(&req->sends))
		return;
	cs_timer_stop(&req->hedge);
	if ((req->maybe_run && req->repeat != CS_REPEAT_SAFE) ||
	    (req->streaming && !ring_rewind(&req->body))) {
		request_fail(req, ran ? 502 : 503, "lost", RETRY_DEFAULT_MS);
		return;
	}
	request_decide(req);
}

void request_progress(struct request *req, struct send *s)
{
	const char *why = "";

	if (req->winner == s) {
		winner_progress(req);
		return;
	}
	if (req->stage == STAGE_ANSWER)
		return;
	send_take_load(s);
	switch (send_look(s, &why)) {
	case SEND_RUNNING:
		break;
	case SEND_ANSWERED:
		if (wants_repeat(req, s))
			request_failed_answer(req, s);
		else
			request_win(req, s);
		break;
	case SEND_STREAMS:
		request_win_stream(req, s);
		break;
	case SEND_NOT_RUN:
		request_lost(req, s, CS_STEER_SHED, "the server did not run it");
		break;
	case SEND_MISDIRECTED:
		request_lost(req, s, CS_STEER_MISDIRECTED, "another server has the address");
		break;
	case SEND_UNSENT:
		request_lost(req, s, CS_STEER_UNSENT, why);
		break;
	case SEND_UNUSABLE:
		request_lost(req, s, CS_STEER_ERROR, why);
		break;
	}
}

/* The deadline of the caller or the route passed. */
static void on_deadline(struct cs_timer *t, void *arg)
{
	struct request *req = arg;

	if (req->stage == STAGE_ANSWER) {
		if (req->winner != NULL) {
			cs_transfer_stop(req->winner->transfer);
			cs_call_resume(req->call);
		}
		return;
	}
	if (may_have_run(req))
		req->maybe_run = true;
	end_sends(req, NULL, CS_STEER_TIMEOUT);
	request_fail(req, req->maybe_run ? 504 : 503, "deadline", RETRY_DEFAULT_MS);
}

/* The answer is later than usual: a second send, if there is room for it. */
static void on_hedge(struct cs_timer *t, void *arg)
{
	struct request *req = arg;
	struct node *n = req->node;
	struct cs_backend *b;

	if (req->stage != STAGE_RUNNING)
		return;
	b = cs_steer_hedge(n->steer, &req->ask, cs_mono_us());
	if (b == NULL)
		return;
	cs_event(n->events, CS_EVENT_KEEP, "request.hedge", "id=%s route=%s server=%s after_ms=%u",
		 req->id, req->route, cs_backend_id(b),
		 ms_since(req->ask.arrived_us, cs_mono_us()));
	send_start(req, b, true);
}
