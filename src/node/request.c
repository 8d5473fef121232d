/* State machine of a request: body, routing decision, attempts, response. */
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

/* Waiting requests are reconsidered at least this often. */
#define DISPATCH_INTERVAL_US (10 * CS_US_PER_MS)
/* Retry-After of refusals without a more specific delay. */
#define RETRY_AFTER_DEFAULT_MS 200

static void on_deadline(struct cs_timer *t, void *arg);
static void on_hedge(struct cs_timer *t, void *arg);
static void request_apply_decision(struct request *req, const struct cs_steer_decision *d,
				   uint64_t now);

struct request *request_create(struct node *n, struct cs_call *call)
{
	struct request *req = cs_xcalloc(1, sizeof(*req));

	req->node = n;
	req->call = call;
	req->full_id = "";
	TAILQ_INIT(&req->attempts);
	ring_init(&req->body, BODY_BUFFER_MAX);
	cs_timer_init(&req->deadline_timer, on_deadline, req);
	cs_timer_init(&req->hedge_timer, on_hedge, req);
	TAILQ_INSERT_TAIL(&n->requests, req, entry);
	(*n->stats.requests)++;
	return req;
}

static void stop_timers(struct request *req)
{
	cs_timer_stop(&req->deadline_timer);
	cs_timer_stop(&req->hedge_timer);
}

/* Ends all attempts except keep. */
static void end_attempts_except(struct request *req, const struct attempt *keep,
				enum cs_steer_outcome outcome)
{
	struct attempt *a, *next;

	TAILQ_FOREACH_SAFE(a, &req->attempts, entry, next)
		if (a != keep)
			node_attempt_end(a, outcome);
}

void request_destroy(struct request *req)
{
	struct node *n = req->node;

	stop_timers(req);
	workspaces_release(req, false);
	cs_steer_dequeue(n->steer, &req->steer_state);
	end_attempts_except(req, NULL, CS_STEER_CANCELLED);
	TAILQ_REMOVE(&n->requests, req, entry);
	ring_free(&req->body);
	free(req->headers);
	free(req);
}

static unsigned ms_since(uint64_t start_us, uint64_t now)
{
	return (unsigned)((now - start_us) / CS_US_PER_MS);
}

/* True if any attempt, running or finished, may have run on its server. */
static bool request_may_have_run(const struct request *req)
{
	const struct attempt *a;

	if (req->may_have_run)
		return true;
	TAILQ_FOREACH(a, &req->attempts, entry)
		if (cs_transfer_state(a->transfer) != CS_TRANSFER_UNSENT)
			return true;
	return false;
}

/* Enters the last stage, in which only sending the response remains. */
static void enter_responding(struct request *req)
{
	cs_steer_dequeue(req->node->steer, &req->steer_state);
	cs_timer_stop(&req->hedge_timer);
	req->stage = STAGE_RESPONDING;
}

/* Name of the request's workspace in log lines. */
static const char *workspace_label(const struct request *req)
{
	return *req->workspace_name != '\0' ? req->workspace_name : "-";
}

/* Statuses of responses of this process that promise the client that the request did not run. */
static bool is_refusal(unsigned status)
{
	return status == 503 || status == 429 || status == 401;
}

void request_fail(struct request *req, unsigned status, const char *reason, unsigned retry_after_ms)
{
	struct node *n = req->node;
	bool may_have_run = request_may_have_run(req);
	uint64_t now = cs_mono_us();

	if (req->stage == STAGE_RESPONDING)
		return;
	if (is_refusal(status) && may_have_run)
		status = 502;
	workspaces_release(req, !may_have_run);
	enter_responding(req);
	cs_timer_stop(&req->deadline_timer);
	if (is_refusal(status)) {
		(*n->stats.refused)++;
		if (status == 503)
			workspaces_count(req, CS_USAGE_REFUSED);
		cs_event(n->events, CS_EVENT_IMPORTANT, "request.refused",
			 "id=%s status=%u route=%s workspace=%s service=%s reason=%s waited_ms=%u "
			 "sends=%u retry_after_ms=%u left_ms=%lld",
			 req->id, status, req->route, workspace_label(req),
			 req->steer_state.service, reason,
			 ms_since(req->steer_state.arrived_us, now), req->n_attempts,
			 retry_after_ms, (long long)(req->steer_state.deadline_us - now) / 1000);
	} else {
		(*n->stats.failed)++;
		cs_event(n->events, CS_EVENT_IMPORTANT, "request.failed",
			 "id=%s route=%s service=%s reason=%s status=%u after_ms=%u sends=%u "
			 "may_have_run=%d",
			 req->id, req->route, req->steer_state.service, reason, status,
			 ms_since(req->steer_state.arrived_us, now), req->n_attempts, may_have_run);
	}
	frontend_reply_error(req, status, reason, is_refusal(status) ? retry_after_ms : 0);
}

void request_start(struct request *req)
{
	struct node *n = req->node;

	req->stage = STAGE_BODY;
	cs_timer_start(n->timers, &req->deadline_timer,
		       req->steer_state.deadline_us - req->steer_state.arrived_us);
	if (!req->has_body) {
		req->body_ended = true;
		return;
	}
	if (req->content_length == UINT64_MAX)
		return;
	if (req->content_length <= BODY_BUFFER_MAX)
		ring_reserve(&req->body, (size_t)req->content_length);
	else
		req->body_streaming = true;
}

static void request_decide(struct request *req)
{
	struct cs_steer_decision d;
	uint64_t now = cs_mono_us();

	if (!stop_may_send(req->node, req)) {
		request_fail(req, 503, "stopping", stop_retry_after_ms(req->node));
		return;
	}
	if (req->token == TOKEN_PENDING) {
		req->stage = STAGE_TOKEN;
		return;
	}
	if (!workspaces_check(req)) {
		workspaces_refuse(req);
		return;
	}
	cs_steer_decide(req->node->steer, &req->steer_state, now, &d);
	request_apply_decision(req, &d, now);
}

void request_token_decided(struct request *req)
{
	if (req->stage == STAGE_TOKEN)
		request_decide(req);
}

size_t request_body(struct request *req, const char *data, size_t n)
{
	struct attempt *a;
	size_t taken;

	if (req->stage == STAGE_RESPONDING && req->streaming_attempt == NULL)
		return n;
	taken = ring_write(&req->body, data, n);
	if (taken < n && !req->body_streaming)
		req->body_streaming = true;
	if (!req->body_streaming)
		return taken;
	if (req->stage == STAGE_BODY)
		request_decide(req);
	TAILQ_FOREACH(a, &req->attempts, entry)
		cs_transfer_body_added(a->transfer);
	return taken;
}

void request_body_end(struct request *req)
{
	struct attempt *a;

	req->body_ended = true;
	TAILQ_FOREACH(a, &req->attempts, entry)
		cs_transfer_body_added(a->transfer);
	if (req->stage == STAGE_BODY)
		request_decide(req);
}

static void start_attempt(struct request *req, const struct cs_steer_decision *d, uint64_t now)
{
	struct node *n = req->node;

	req->stage = STAGE_FORWARDED;
	cs_hist_add(n->stats.wait, now - req->steer_state.arrived_us);
	if (req->n_attempts > 0)
		cs_event(n->events, CS_EVENT_IMPORTANT, "request.repeat",
			 "id=%s route=%s server=%s busy=%u slots=%u send=%u after_ms=%u", req->id,
			 req->route, cs_backend_id(d->u.send.backend), d->u.send.busy,
			 d->u.send.slots, req->n_attempts + 1,
			 ms_since(req->steer_state.arrived_us, now));
	node_attempt_start(req, d->u.send.backend, false);
	if (cs_repeat_is_allowed(req->repeat) && !req->body_streaming && req->n_attempts == 1)
		cs_timer_start(n->timers, &req->hedge_timer,
			       cs_steer_hedge_delay(n->steer, &req->steer_state));
}

/* Requests wait for these checks, which are not left to the next tick. */
static void start_requested_checks(struct node *n)
{
	if (cs_steer_take_check_request(n->steer))
		probe_due(n);
}

static void request_apply_decision(struct request *req, const struct cs_steer_decision *d,
				   uint64_t now)
{
	struct node *n = req->node;

	switch (d->verdict) {
	case CS_STEER_SEND:
		start_attempt(req, d, now);
		break;
	case CS_STEER_WAIT:
		req->stage = STAGE_WAITING;
		start_requested_checks(n);
		if (!cs_timer_active(&n->dispatch_timer))
			cs_timer_start(n->timers, &n->dispatch_timer, DISPATCH_INTERVAL_US);
		break;
	case CS_STEER_REFUSE:
		request_fail(req, 503, cs_steer_reason_name(d->u.refuse.reason),
			     d->u.refuse.retry_after_ms);
		break;
	}
}

void requests_schedule_dispatch(struct node *n)
{
	if (n->dispatching || cs_steer_count_waiting(n->steer) == 0)
		return;
	cs_timer_start(n->timers, &n->dispatch_timer, 0);
}

void requests_dispatch(struct node *n)
{
	struct cs_steer_decision d;
	struct cs_steer_request *next;
	uint64_t now = cs_mono_us();

	n->dispatching = true;
	while ((next = cs_steer_next_waiting(n->steer, now, &d)) != NULL)
		request_apply_decision(next->arg, &d, now);
	n->dispatching = false;
	start_requested_checks(n);
	if (cs_steer_count_waiting(n->steer) > 0)
		cs_timer_start(n->timers, &n->dispatch_timer, DISPATCH_INTERVAL_US);
}

/* Restarts the deadline timer after the deadline was moved. */
static void update_deadline_timer(struct request *req, uint64_t now)
{
	uint64_t until = req->steer_state.deadline_us;

	if (cs_timer_active(&req->deadline_timer))
		cs_timer_start(req->node->timers, &req->deadline_timer,
			       until > now ? until - now : 0);
}

void requests_limit_to_stop(struct node *n)
{
	struct request *req, *next;
	uint64_t now = cs_mono_us();

	TAILQ_FOREACH_SAFE(req, &n->requests, entry, next) {
		if (!stop_limit_request(n, req))
			continue;
		update_deadline_timer(req, now);
		if ((req->stage == STAGE_BODY || req->stage == STAGE_TOKEN ||
		     req->stage == STAGE_WAITING) &&
		    !stop_may_send(n, req))
			request_fail(req, 503, "stopping", stop_retry_after_ms(n));
	}
}

/* Logs a request whose connection this instance ends before its response. */
static void log_cut(const struct request *req, const char *why)
{
	static const char *const stages[] = {"body", "token", "waiting", "forwarded", "responding"};
	const struct node *n = req->node;

	cs_event(n->events, CS_EVENT_IMPORTANT, "request.cut",
		 "id=%s route=%s why=%s stage=%s after_ms=%u sends=%u may_have_run=%d", req->id,
		 req->route, why, stages[req->stage],
		 ms_since(req->steer_state.arrived_us, cs_mono_us()), req->n_attempts,
		 request_may_have_run(req));
}

void requests_log_cut(struct node *n)
{
	const struct request *req;

	TAILQ_FOREACH(req, &n->requests, entry)
		log_cut(req, "stop");
}

/* Counts and logs a request whose connection ended before its response. */
static void record_disconnect(struct request *req, enum cs_call_end end)
{
	struct node *n = req->node;

	switch (end) {
	case CS_CALL_CLIENT_CLOSED:
		/* The response may be on its way already. */
		if (req->stage == STAGE_RESPONDING && req->streaming_attempt == NULL)
			return;
		(*n->stats.disconnected)++;
		cs_event(n->events, CS_EVENT_IMPORTANT, "request.gone",
			 "id=%s route=%s after_ms=%u sends=%u", req->id, req->route,
			 ms_since(req->steer_state.arrived_us, cs_mono_us()), req->n_attempts);
		return;
	case CS_CALL_IDLE:
	case CS_CALL_BAD_BODY:
		break;
	case CS_CALL_BROKEN:
		/* The response that broke off is counted and logged as such. */
		if (req->streaming_attempt != NULL)
			return;
		break;
	}
	(*n->stats.cut_requests)++;
	log_cut(req, cs_call_end_name(end));
}

void request_disconnected(struct request *req, enum cs_call_end end)
{
	struct node *n = req->node;

	record_disconnect(req, end);
	workspaces_release(req, !request_may_have_run(req));
	stop_timers(req);
	cs_steer_dequeue(n->steer, &req->steer_state);
	end_attempts_except(req, NULL, CS_STEER_CANCELLED);
	req->stage = STAGE_RESPONDING;
}

/* Counts and logs a response that is forwarded to the client. */
static void record_response(struct request *req, const struct attempt *a, unsigned status)
{
	struct node *n = req->node;
	uint64_t now = cs_mono_us(), took = now - req->steer_state.arrived_us;
	bool late = req->steer_state.target_ms > 0 &&
		    took > req->steer_state.target_ms * CS_US_PER_MS;
	const char *load = head_get(cs_transfer_head(a->transfer), PLATFORM_H_LOAD);
	bool failed = status >= 500;

	if (failed)
		(*n->stats.failed)++;
	else
		(*n->stats.ok)++;
	if (!failed && late)
		(*n->stats.late)++;
	if (!failed)
		workspaces_count(req, CS_USAGE_ANSWERED);
	if (!failed && late)
		workspaces_count(req, CS_USAGE_LATE);
	cs_hist_add(n->stats.latency, took);
	cs_event(n->events,
		 failed || late || req->n_attempts > 1 ? CS_EVENT_IMPORTANT : CS_EVENT_SAMPLED,
		 "request.answered",
		 "id=%s route=%s workspace=%s service=%s server=%s zone=%s object=%08x status=%u "
		 "took_ms=%llu "
		 "send_ms=%u unsent_ms=%u target_ms=%u sends=%u late=%d load=%s",
		 req->id, req->route, workspace_label(req), req->steer_state.service, a->server,
		 cs_backend_zone(a->backend), (unsigned)req->steer_state.object, status,
		 (unsigned long long)(took / CS_US_PER_MS), ms_since(a->started_us, now),
		 ms_since(a->started_us, cs_transfer_sent_us(a->transfer)),
		 req->steer_state.target_ms, req->n_attempts, late, load != NULL ? load : "-");
}

/* Forwards the complete response of an attempt and ends the others. */
static void request_complete(struct request *req, struct attempt *a)
{
	unsigned status = cs_transfer_status(a->transfer);

	enter_responding(req);
	workspaces_release(req, false);
	cs_timer_stop(&req->deadline_timer);
	record_response(req, a, status);
	frontend_forward_response(req, a);
	end_attempts_except(req, a, CS_STEER_CANCELLED);
	node_attempt_end(a, status >= 500 ? CS_STEER_ERROR : CS_STEER_OK);
}

/* Starts streaming a response that exceeds the buffer. */
static void request_stream(struct request *req, struct attempt *a)
{
	enter_responding(req);
	workspaces_release(req, false);
	req->streaming_attempt = a;
	end_attempts_except(req, a, CS_STEER_CANCELLED);
	record_response(req, a, cs_transfer_status(a->transfer));
	frontend_forward_response(req, a);
}

/* Counts and logs a streamed response that ends early, which the client sees. */
static void record_cut(struct request *req, const struct attempt *a, const char *why)
{
	struct node *n = req->node;

	(*n->stats.cut_responses)++;
	cs_event(n->events, CS_EVENT_IMPORTANT, "response.cut",
		 "id=%s route=%s server=%s after_ms=%u why=\"%s\"", req->id, req->route, a->server,
		 ms_since(req->steer_state.arrived_us, cs_mono_us()), why);
}

/* The transfer of the streamed response received data or ended. */
static void streaming_progress(struct request *req)
{
	struct attempt *a = req->streaming_attempt;

	cs_call_resume(req->call);
	if (cs_transfer_state(a->transfer) == CS_TRANSFER_COMPLETE) {
		cs_timer_stop(&req->deadline_timer);
	} else if (cs_transfer_state(a->transfer) == CS_TRANSFER_FAILED) {
		cs_timer_stop(&req->deadline_timer);
		record_cut(req, a, cs_transfer_error(a->transfer));
	}
}

/* True for a 5xx response to a request that may be repeated and has no other attempt running. */
static bool wants_retry(const struct request *req, const struct attempt *a)
{
	return cs_transfer_status(a->transfer) >= 500 && cs_repeat_is_allowed(req->repeat) &&
	       !req->body_streaming &&
	       TAILQ_FIRST(&req->attempts) == TAILQ_LAST(&req->attempts, attempt_list);
}

/* Retries after a 5xx if another server has a free slot; otherwise forwards the response. */
static void request_retry_5xx(struct request *req, struct attempt *a)
{
	struct node *n = req->node;
	struct cs_backend *b = cs_steer_hedge(n->steer, &req->steer_state, cs_mono_us());

	if (b == NULL) {
		request_complete(req, a);
		return;
	}
	req->may_have_run = true;
	cs_event(n->events, CS_EVENT_IMPORTANT, "request.repeat",
		 "id=%s route=%s server=%s after_status=%u of=%s send=%u", req->id, req->route,
		 cs_backend_id(b), cs_transfer_status(a->transfer), a->server, req->n_attempts + 1);
	node_attempt_end(a, CS_STEER_ERROR);
	node_attempt_start(req, b, false);
}

/* An attempt ended without a response that can be forwarded. */
static void request_attempt_failed(struct request *req, struct attempt *a,
				   enum cs_steer_outcome outcome, bool may_have_run,
				   const char *why)
{
	struct node *n = req->node;
	const struct head *h = cs_transfer_head(a->transfer);
	struct cs_transfer_connection conn;

	cs_transfer_connection(a->transfer, &conn);
	cs_event(n->events, CS_EVENT_IMPORTANT, "send.failed",
		 "id=%s route=%s server=%s outcome=%s after_ms=%u why=\"%s\" connection=%llu "
		 "earlier_sends=%u idle_ms=%llu status=%u has_id=%d not_executed=%d signature=%d",
		 req->id, req->route, a->server, cs_steer_outcome_name(outcome),
		 ms_since(a->started_us, cs_mono_us()), why, (unsigned long long)conn.serial,
		 conn.earlier_sends, (unsigned long long)(conn.idle_us / CS_US_PER_MS),
		 cs_transfer_status(a->transfer), conn.has_id,
		 head_get(h, PLATFORM_H_NOT_EXECUTED) != NULL,
		 head_get(h, PLATFORM_H_SIGNATURE) != NULL);
	if (may_have_run)
		req->may_have_run = true;
	node_attempt_end(a, outcome);
	/* Another attempt is still running. */
	if (!TAILQ_EMPTY(&req->attempts))
		return;
	cs_timer_stop(&req->hedge_timer);
	if ((req->may_have_run && !cs_repeat_is_allowed(req->repeat)) ||
	    (req->body_streaming && !ring_rewind(&req->body))) {
		request_fail(req, may_have_run ? 502 : 503, "lost", RETRY_AFTER_DEFAULT_MS);
		return;
	}
	request_decide(req);
}

void request_progress(struct request *req, struct attempt *a)
{
	const char *why = "";

	if (req->streaming_attempt == a) {
		streaming_progress(req);
		return;
	}
	if (req->stage == STAGE_RESPONDING)
		return;
	node_attempt_record_head(a);
	switch (node_attempt_classify(a, &why)) {
	case ATTEMPT_PENDING:
		break;
	case ATTEMPT_COMPLETE:
		if (wants_retry(req, a))
			request_retry_5xx(req, a);
		else
			request_complete(req, a);
		break;
	case ATTEMPT_STREAMING:
		request_stream(req, a);
		break;
	case ATTEMPT_NOT_EXECUTED:
		request_attempt_failed(req, a, CS_STEER_SHED, false, why);
		break;
	case ATTEMPT_MISDIRECTED:
		request_attempt_failed(req, a, CS_STEER_MISDIRECTED, false, why);
		break;
	case ATTEMPT_UNSENT:
		request_attempt_failed(req, a, CS_STEER_UNSENT, false, why);
		break;
	case ATTEMPT_WITHHELD:
		request_attempt_failed(req, a, CS_STEER_WITHHELD, false, why);
		break;
	case ATTEMPT_UNSURE_ADDRESS:
		request_attempt_failed(req, a, CS_STEER_MISDIRECTED, true, why);
		break;
	case ATTEMPT_UNUSABLE:
		request_attempt_failed(req, a, CS_STEER_ERROR, true, why);
		break;
	}
}

static void on_deadline(struct cs_timer *t, void *arg)
{
	struct request *req = arg;

	if (req->stage == STAGE_RESPONDING) {
		if (req->streaming_attempt != NULL) {
			cs_transfer_stop(req->streaming_attempt->transfer);
			record_cut(req, req->streaming_attempt,
				   req->outlasts_process ? "stopping" : "deadline");
			cs_call_resume(req->call);
		}
		return;
	}
	if (request_may_have_run(req))
		req->may_have_run = true;
	end_attempts_except(req, NULL, CS_STEER_TIMEOUT);
	if (req->outlasts_process)
		request_fail(req, req->may_have_run ? 504 : 503, "stopping",
			     stop_retry_after_ms(req->node));
	else
		request_fail(req, req->may_have_run ? 504 : 503, "deadline",
			     RETRY_AFTER_DEFAULT_MS);
}

/* The response is slower than usual: starts a hedged attempt if a slot is free. */
static void on_hedge(struct cs_timer *t, void *arg)
{
	struct request *req = arg;
	struct node *n = req->node;
	struct cs_backend *b;

	if (req->stage != STAGE_FORWARDED)
		return;
	b = cs_steer_hedge(n->steer, &req->steer_state, cs_mono_us());
	if (b == NULL)
		return;
	cs_event(n->events, CS_EVENT_IMPORTANT, "request.hedge",
		 "id=%s route=%s server=%s after_ms=%u", req->id, req->route, cs_backend_id(b),
		 ms_since(req->steer_state.arrived_us, cs_mono_us()));
	node_attempt_start(req, b, true);
}
