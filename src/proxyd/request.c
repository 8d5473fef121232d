/* Stages of a request: body, decision, attempts, response. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/proxyd/proxyd.h"

static void on_deadline(struct cs_timer *t, void *arg);
static void on_wait_or_hedge(struct cs_timer *t, void *arg);
static void on_body_idle(struct cs_timer *t, void *arg);

struct request *request_create(struct proxyd *p, struct cs_call *call)
{
	struct request *req = cs_xcalloc(1, sizeof(*req));

	req->proxyd = p;
	req->call = call;
	req->target = cs_xstrdup(cs_call_target(call));
	if (!cs_copy(req->method, sizeof(req->method), cs_call_method(call)))
		req->method[0] = '\0';
	req->policy_request.arg = req;
	TAILQ_INIT(&req->attempts);
	ring_init(&req->body, BODY_BUFFER_MAX);
	cs_timer_init(&req->deadline, on_deadline, req);
	cs_timer_init(&req->wait_or_hedge, on_wait_or_hedge, req);
	cs_timer_init(&req->body_idle, on_body_idle, req);
	TAILQ_INSERT_TAIL(&p->requests, req, entry);
	p->n_requests++;
	return req;
}

/* Counts the result of the request in the metrics of its class. */
static void count_end(struct request *req)
{
	struct class_stats *s = req->stats;
	uint64_t took = cs_mono_us() - req->policy_request.arrived_us;

	if (s == NULL)
		return;
	switch (req->result) {
	case RESULT_OK:
		if (req->disconnected && req->winner != NULL && !req->winner->failed) {
			(*s->cancelled)++;
			break;
		}
		if (req->status >= 500 || req->disconnected) {
			(*s->failed)++;
			break;
		}
		(*s->ok)++;
		if (took <= req->latency_target_us)
			(*s->in_target)++;
		cs_hist_add(s->latency, took);
		break;
	case RESULT_FAILED:
		(*s->failed)++;
		break;
	case RESULT_REJECTED:
		(*s->rejected)++;
		break;
	case RESULT_NONE:
		(*s->cancelled)++;
		break;
	case RESULT_REFUSED:
		break;
	}
}

static void stop_timers(struct request *req)
{
	cs_timer_stop(&req->deadline);
	cs_timer_stop(&req->wait_or_hedge);
	cs_timer_stop(&req->body_idle);
}

/* Ends all attempts except keep; the policy can assign their slots again. */
static void end_attempts(struct request *req, const struct attempt *keep, enum cs_outcome outcome)
{
	struct attempt *att;

	TAILQ_FOREACH(att, &req->attempts, entry)
		if (att != keep)
			attempt_end(att, outcome);
}

void request_destroy(struct request *req)
{
	struct proxyd *p = req->proxyd;
	enum ran ran = request_ran(req);
	struct attempt *att;

	count_end(req);
	stop_timers(req);
	cs_policy_dequeue(p->policy, &req->policy_request);
	end_attempts(req, NULL, CS_OUTCOME_CANCELLED);
	dedup_end(req, ran);
	dedup_leave(req);
	while ((att = TAILQ_FIRST(&req->attempts)) != NULL)
		attempt_free(att);
	TAILQ_REMOVE(&p->requests, req, entry);
	p->n_requests--;
	ring_free(&req->body);
	free(req->lines);
	free(req->target);
	free(req);
}

enum ran request_ran(const struct request *req)
{
	const struct attempt *att;
	enum ran ran = req->ran;

	if (req->winner != NULL)
		return RAN_YES;
	/* The request that this one has joined may have run. */
	if (req->stage == STAGE_JOINED)
		return RAN_UNKNOWN;
	TAILQ_FOREACH(att, &req->attempts, entry)
		if (ran == RAN_NO && attempt_may_have_run(att))
			ran = RAN_UNKNOWN;
	return ran;
}

/* Dispatches the request unless it is a repeat. */
static void request_dispatch(struct request *req)
{
	if (dedup_begin(req))
		request_decide(req);
}

void request_start(struct request *req)
{
	struct proxyd *p = req->proxyd;

	req->stage = STAGE_BODY;
	if (p->stop == STOP_REFUSING) {
		request_refuse(req, CS_REFUSAL_LEAVING, CS_US_PER_MS);
		return;
	}
	cs_timer_start(p->timers, &req->deadline,
		       req->policy_request.deadline_us - req->policy_request.arrived_us);
	if (!req->has_body)
		return;
	cs_timer_start(p->timers, &req->body_idle, BODY_IDLE_US);
	if (req->chunked)
		return;
	if (req->content_length <= BODY_BUFFER_MAX) {
		ring_reserve(&req->body, (size_t)req->content_length);
		return;
	}
	req->streaming = true;
	request_dispatch(req);
}

/* True while a running or future attempt can use body data. */
static bool body_needed(const struct request *req)
{
	const struct attempt *att;

	if (req->discard_body)
		return false;
	if (req->stage != STAGE_RESPONSE)
		return true;
	att = req->winner;
	return att != NULL && att->running;
}

size_t request_body(struct request *req, const char *data, size_t size)
{
	struct proxyd *p = req->proxyd;
	struct attempt *att;
	size_t n;

	if (!body_needed(req)) {
		req->discard_body = true;
		return size;
	}
	if (req->body.written + size > req->max_body) {
		request_error(req, 413, "too_large", request_ran(req),
			      "the body is over the class's limit");
		req->discard_body = true;
		return size;
	}
	n = ring_write(&req->body, data, size);
	*req->stats->body_in += n;
	/* While the buffer is full, the client is not responsible for the delay. */
	if (n == size)
		cs_timer_start(p->timers, &req->body_idle, BODY_IDLE_US);
	else
		cs_timer_stop(&req->body_idle);
	if (n < size && !req->streaming) {
		req->streaming = true;
		request_dispatch(req);
	}
	if (req->streaming)
		TAILQ_FOREACH(att, &req->attempts, entry)
			attempt_body_added(att);
	return n;
}

void request_body_end(struct request *req)
{
	struct attempt *att;

	req->body_ended = true;
	cs_timer_stop(&req->body_idle);
	if (req->streaming) {
		TAILQ_FOREACH(att, &req->attempts, entry)
			attempt_body_added(att);
		return;
	}
	if (req->stage == STAGE_BODY)
		request_dispatch(req);
}

/* Starts the hedge timer if this request may be hedged. */
static void schedule_hedge(struct request *req)
{
	struct proxyd *p = req->proxyd;
	uint64_t delay;

	if (!req->idempotent || req->streaming || req->n_attempts > 1)
		return;
	delay = cs_policy_hedge_delay(p->policy, req->policy_request.class_index);
	if (delay > 0)
		cs_timer_start(p->timers, &req->wait_or_hedge, delay);
}

static void add_tried_target(struct request *req, struct cs_target *t)
{
	struct cs_policy_request *policy_request = &req->policy_request;

	if (policy_request->n_tried < CS_TRIED_MAX)
		policy_request->tried[policy_request->n_tried++] = t;
}

void request_decide(struct request *req)
{
	struct proxyd *p = req->proxyd;
	uint64_t now = cs_mono_us();
	struct cs_decision d;

	/* The timer of an earlier wait must not start a hedge. */
	cs_timer_stop(&req->wait_or_hedge);
	cs_policy_decide(p->policy, &req->policy_request, now, &d);
	switch (d.verdict) {
	case CS_VERDICT_SEND:
		req->stage = STAGE_RUNNING;
		req->n_attempts++;
		add_tried_target(req, d.u.send.target);
		attempt_start(req, d.u.send.target);
		schedule_hedge(req);
		break;
	case CS_VERDICT_HOP:
		req->stage = STAGE_RUNNING;
		req->n_attempts++;
		(*req->stats->hops)++;
		attempt_start_hop(req, &d);
		break;
	case CS_VERDICT_WAIT:
		req->stage = STAGE_WAITING;
		cs_timer_start(p->timers, &req->wait_or_hedge,
			       d.u.wait.until_us > now ? d.u.wait.until_us - now : 0);
		break;
	case CS_VERDICT_REFUSE:
		request_refuse(req, d.u.refuse.reason, d.u.refuse.retry_after_ms);
		break;
	}
}

/* Enters the last stage, in which only sending the response remains. */
static void enter_response_stage(struct request *req)
{
	cs_policy_dequeue(req->proxyd->policy, &req->policy_request);
	cs_timer_stop(&req->wait_or_hedge);
	cs_timer_stop(&req->body_idle);
	req->stage = STAGE_RESPONSE;
}

void request_error(struct request *req, unsigned status, const char *error, enum ran ran,
		   const char *message)
{
	if (req->stage == STAGE_RESPONSE)
		return;
	enter_response_stage(req);
	cs_timer_stop(&req->deadline);
	end_attempts(req, NULL, CS_OUTCOME_CANCELLED);
	req->result = status >= 500 ? RESULT_FAILED : RESULT_REJECTED;
	reply_error(req, status, error, ran, message, 0);
	dedup_end(req, ran);
}

void request_refuse(struct request *req, enum cs_refusal reason, unsigned retry_after_ms)
{
	enum ran ran = cs_fault_enabled("attempts") ? RAN_NO : request_ran(req);
	char message[96];

	if (req->stage == STAGE_RESPONSE)
		return;
	if (ran != RAN_NO) {
		request_error(req, 502, "lost", ran, "an earlier attempt was lost after sending");
		return;
	}
	enter_response_stage(req);
	cs_timer_stop(&req->deadline);
	if (req->stats != NULL)
		(*req->stats->refused[reason])++;
	req->result = RESULT_REFUSED;
	snprintf(message, sizeof(message), "refused before running: %s", cs_refusal_name(reason));
	reply_error(req, 503, cs_refusal_name(reason), RAN_NO, message,
		    (retry_after_ms + 999) / 1000);
	dedup_end(req, RAN_NO);
}

void request_disconnected(struct request *req)
{
	enum ran ran = request_ran(req);

	if (req->disconnected)
		return;
	req->disconnected = true;
	stop_timers(req);
	cs_policy_dequeue(req->proxyd->policy, &req->policy_request);
	end_attempts(req, NULL, CS_OUTCOME_CANCELLED);
	dedup_end(req, ran);
	dedup_leave(req);
}

/* Selects an attempt whose response is sent to the client. */
static void select_winner(struct request *req, struct attempt *att)
{
	enter_response_stage(req);
	req->winner = att;
	end_attempts(req, att, CS_OUTCOME_CANCELLED);
	if (att->complete) {
		cs_timer_stop(&req->deadline);
		attempt_end(att, att->status >= 500 ? CS_OUTCOME_ERROR : CS_OUTCOME_OK);
	}
	req->result = RESULT_OK;
	req->status = att->status;
	reply_attempt(req);
	dedup_end(req, RAN_YES);
}

/* True if another attempt may follow one that ended in this state. */
static bool may_retry(struct request *req, const struct attempt *att)
{
	bool not_run = att->state == ATTEMPT_NOT_SENT || att->state == ATTEMPT_REFUSED;

	if (!not_run && !req->idempotent && !cs_fault_enabled("attempts"))
		return false;
	if (req->n_attempts >= CS_TRIED_MAX || cs_mono_us() >= req->policy_request.deadline_us)
		return false;
	if (req->streaming && !ring_rewind(&req->body))
		return false;
	/* After a refused hop this zone decides again; no server was tried, so it is not a retry. */
	if (att->kind == ATTEMPT_HOP && not_run)
		return true;
	return cs_policy_take_retry(req->proxyd->policy, req->policy_request.class_index);
}

/* An attempt ended without a usable response. */
static void attempt_failed(struct request *req, struct attempt *att)
{
	enum cs_outcome outcome = CS_OUTCOME_ERROR;
	bool retry, hop = att->kind == ATTEMPT_HOP, others = false;
	const struct attempt *a;

	if (att->state == ATTEMPT_NOT_SENT)
		outcome = CS_OUTCOME_UNSENT;
	else if (att->refused)
		outcome = CS_OUTCOME_REFUSED;
	if (attempt_may_have_run(att))
		req->ran = RAN_UNKNOWN;
	attempt_end(att, outcome);
	TAILQ_FOREACH(a, &req->attempts, entry)
		others = others || a->running;
	retry = !others && may_retry(req, att);
	attempt_free(att);
	if (others)
		return;
	cs_timer_stop(&req->wait_or_hedge);
	if (hop)
		req->policy_request.hop_refused = true;
	if (retry) {
		if (!hop)
			(*req->stats->retries)++;
		request_decide(req);
		return;
	}
	if (request_ran(req) == RAN_NO || cs_fault_enabled("attempts"))
		request_refuse(req, CS_REFUSAL_NO_SERVER, CS_US_PER_MS);
	else
		request_error(req, 502, "lost", RAN_UNKNOWN,
			      "the attempt was lost after sending; the outcome is unknown");
}

/* True if the response is sent only after it was received completely. */
static bool response_is_buffered(const struct attempt *att)
{
	return att->no_body ||
	       (att->framing == CS_FRAMING_LENGTH && att->length <= BODY_BUFFER_MAX);
}

/* The winner's transfer ended while its response is being streamed. */
static void winner_ended(struct request *req)
{
	struct attempt *att = req->winner;

	cs_timer_stop(&req->deadline);
	attempt_end(att, att->failed || att->status >= 500 ? CS_OUTCOME_ERROR : CS_OUTCOME_OK);
	if (att->failed)
		(*req->proxyd->stats.truncated)++;
	cs_call_resume(req->call);
}

void request_progress(struct request *req)
{
	struct attempt *att, *next;

	if (req->disconnected)
		return;
	TAILQ_FOREACH(att, &req->attempts, entry)
		attempt_report_server_state(att);
	TAILQ_FOREACH_SAFE(att, &req->attempts, entry, next) {
		if (req->winner != NULL)
			break;
		if (!att->running && !att->ended) {
			if (att->complete && !att->refused)
				select_winner(req, att);
			else
				attempt_failed(req, att);
			/* The list may have changed: start again. */
			next = TAILQ_FIRST(&req->attempts);
		} else if (att->running && att->has_head && !att->refused &&
			   !response_is_buffered(att)) {
			select_winner(req, att);
		}
		if (req->stage == STAGE_RESPONSE)
			break;
	}
	att = req->winner;
	if (att == NULL)
		return;
	if (!att->running && !att->ended)
		winner_ended(req);
	else if (ring_used(att->data) > 0)
		cs_call_resume(req->call);
}

/* The deadline has passed: cancels running attempts. */
static void on_deadline(struct cs_timer *t, void *arg)
{
	struct request *req = arg;
	enum ran ran = cs_fault_enabled("attempts") ? RAN_NO : request_ran(req);

	if (req->stage == STAGE_RESPONSE) {
		if (req->winner != NULL && req->winner->running) {
			req->winner->failed = true;
			(*req->proxyd->stats.truncated)++;
			attempt_end(req->winner, CS_OUTCOME_TIMEOUT);
			cs_call_resume(req->call);
		}
		return;
	}
	end_attempts(req, NULL, CS_OUTCOME_TIMEOUT);
	if (ran == RAN_NO && req->has_body && !req->body_ended && req->stage == STAGE_BODY)
		request_error(req, 408, "slow_body", RAN_NO, "the body did not arrive in time");
	else
		request_error(req, 504, "deadline", ran, "the deadline passed");
}

/* Starts a second attempt if the hedge budget allows it. */
static void start_hedge(struct request *req)
{
	struct proxyd *p = req->proxyd;
	struct cs_target *t;
	struct attempt *att;

	if (!req->idempotent || req->streaming)
		return;
	t = cs_policy_take_hedge(p->policy, &req->policy_request, cs_mono_us());
	if (t == NULL)
		return;
	add_tried_target(req, t);
	(*req->stats->hedges)++;
	att = attempt_start(req, t);
	att->hedge = true;
}

static void on_wait_or_hedge(struct cs_timer *t, void *arg)
{
	struct request *req = arg;

	if (req->stage == STAGE_RUNNING) {
		start_hedge(req);
	} else if (req->stage == STAGE_WAITING) {
		cs_policy_dequeue(req->proxyd->policy, &req->policy_request);
		request_refuse(req, CS_REFUSAL_OVERLOAD, CS_US_PER_MS);
	}
}

/* No body data was received within BODY_IDLE_US. */
static void on_body_idle(struct cs_timer *t, void *arg)
{
	struct request *req = arg;
	enum ran ran = request_ran(req);

	/* Status 408 tells the client that the request did not run. */
	if (ran == RAN_NO)
		request_error(req, 408, "slow_body", ran, "no byte of the body came for 5 s");
	else
		request_error(req, 502, "lost", ran,
			      "no byte of the body came for 5 s; a server received a part of it");
}
