/* Attempts at a server or another proxy: header lines, transfer and evaluation of the response. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "src/proxyd/proxyd.h"

static void on_transfer_event(struct cs_transfer *t, void *arg);
static void on_body_consumed(struct cs_transfer *t, void *arg);

static struct attempt *attempt_create(struct request *req)
{
	struct attempt *att = cs_xcalloc(1, sizeof(*att));

	att->req = req;
	att->length = UINT64_MAX;
	att->started_us = cs_mono_us();
	TAILQ_INSERT_TAIL(&req->attempts, att, entry);
	(*req->stats->attempts)++;
	return att;
}

void attempt_free(struct attempt *att)
{
	TAILQ_REMOVE(&att->req->attempts, att, entry);
	cs_transfer_destroy(att->transfer);
	free(att);
}

/* Sets the header lines of this attempt and links them in front of those of the request. */
static void set_header_lines(struct attempt *att)
{
	struct request *req = att->req;
	uint64_t now = att->started_us, left = 1;
	unsigned n = 0;

	if (req->policy_request.deadline_us > now + CS_US_PER_MS)
		left = (req->policy_request.deadline_us - now) / CS_US_PER_MS;
	snprintf(att->deadline_header, sizeof(att->deadline_header), "X-Cassia-Deadline-Ms: %llu",
		 (unsigned long long)left);
	att->lines[n++].data = att->deadline_header;
	/*
	 * With Expect, a server can refuse before a streamed body is sent, and the buffered start
	 * of the body remains available for another attempt.
	 */
	att->lines[n++].data = req->streaming ? "Expect: 100-continue" : "Expect:";
	if (att->kind == ATTEMPT_HOP)
		att->lines[n++].data = "X-Cassia-Hop: 1";
	att->lines[0].next = &att->lines[1];
	att->lines[1].next = n > 2 ? &att->lines[2] : req->lines;
	att->lines[2].next = req->lines;
}

/*
 * Limits the connections to one server to this instance's part of the server's limit. Bulk and
 * other requests use separate connection pools, and each pool gets half.
 */
static void limit_connections(struct proxyd *p, bool bulk, const struct cs_target *t)
{
	long limit = cs_target_connections(t) / 2;

	cs_transfer_pool_set_limit(p->server_pool, bulk, limit < 1 ? 1 : limit);
}

/* Starts the transfer. A non-idempotent request uses its own connection. */
static void attempt_send(struct attempt *att)
{
	struct request *req = att->req;
	struct proxyd *p = req->proxyd;
	bool once = !req->idempotent && !cs_fault_enabled("attempts");
	struct cs_transfer_opts opts = {
		.addr = att->addr,
		.port = att->port,
		.method = req->method,
		.target = req->target,
		.lines = att->lines,
		.id_name = "X-Request-Id",
		.id = req->id,
		.body = req->has_body ? &req->body : NULL,
		.body_buffered = !req->streaming,
		.body_length = req->chunked ? UINT64_MAX : req->content_length,
		.body_ended = &req->body_ended,
		.at_most_once = once,
		.own_connection = once,
		.bulk = req->bulk,
		.buffer_max = BODY_BUFFER_MAX,
	};

	set_header_lines(att);
	if (att->kind == ATTEMPT_SERVER)
		limit_connections(p, req->bulk, att->target);
	att->running = true;
	att->transfer = cs_transfer_start(att->kind == ATTEMPT_HOP ? p->hop_pool : p->server_pool,
					  &opts, on_transfer_event, on_body_consumed, att);
	att->head = cs_transfer_head(att->transfer);
	att->data = cs_transfer_data(att->transfer);
}

struct attempt *attempt_start(struct request *req, struct cs_target *target)
{
	struct attempt *att = attempt_create(req);

	att->kind = ATTEMPT_SERVER;
	att->target = target;
	cs_copy(att->name, sizeof(att->name), cs_target_name(target));
	cs_copy(att->addr, sizeof(att->addr), cs_target_addr(target));
	att->port = cs_target_port(target);
	attempt_send(att);
	return att;
}

struct attempt *attempt_start_hop(struct request *req, const struct cs_decision *d)
{
	struct attempt *att = attempt_create(req);

	att->kind = ATTEMPT_HOP;
	cs_copy(att->name, sizeof(att->name), d->u.hop.instance);
	cs_copy(att->zone, sizeof(att->zone), d->u.hop.zone);
	cs_copy(att->addr, sizeof(att->addr), d->u.hop.addr);
	att->port = d->u.hop.port;
	attempt_send(att);
	return att;
}

void attempt_end(struct attempt *att, enum cs_outcome outcome)
{
	struct request *req = att->req;
	struct proxyd *p = req->proxyd;
	uint64_t now = cs_mono_us(), took = now - att->started_us;

	if (att->ended)
		return;
	att->ended = true;
	if (att->running) {
		att->running = false;
		if (att->state == ATTEMPT_NOT_SENT &&
		    cs_transfer_state(att->transfer) != CS_TRANSFER_UNSENT)
			att->state = ATTEMPT_SENT;
		cs_transfer_stop(att->transfer);
		if (att->state != ATTEMPT_NOT_SENT && att->state != ATTEMPT_REFUSED)
			att->state = ATTEMPT_LOST;
	}
	if (outcome == CS_OUTCOME_TIMEOUT && att->state == ATTEMPT_NOT_SENT)
		outcome = CS_OUTCOME_UNSENT;
	if (att->kind == ATTEMPT_HOP)
		cs_policy_hop_ended(p->policy, att->zone, req->policy_request.class_index,
				    outcome == CS_OUTCOME_REFUSED || outcome == CS_OUTCOME_UNSENT,
				    took, now);
	else
		cs_policy_attempt_ended(p->policy, att->target, req->policy_request.class_index,
					outcome, took, now);
	p->dispatch_waiting = true;
	proxyd_wake(p);
}

void attempt_body_added(struct attempt *att)
{
	if (att->running)
		cs_transfer_body_added(att->transfer);
}

void attempt_response_consumed(struct attempt *att)
{
	if (att->running)
		cs_transfer_data_consumed(att->transfer);
}

bool attempt_may_have_run(const struct attempt *att)
{
	if (att->state == ATTEMPT_REFUSED)
		return false;
	return att->state != ATTEMPT_NOT_SENT ||
	       cs_transfer_state(att->transfer) != CS_TRANSFER_UNSENT;
}

/*
 * Without the request's id, a refusal on a connection that was used before may be that of an
 * earlier request, and this one may have run. Nothing further is sent on a connection on which such
 * a refusal was received: a copy of it, or the response to this request, may follow.
 */
static void process_refusal(struct attempt *att)
{
	struct cs_transfer_connection conn;

	att->refused = true;
	if (cs_transfer_is_own_response(att->transfer))
		att->state = ATTEMPT_REFUSED;
	cs_transfer_connection(att->transfer, &conn);
	if (!conn.has_id)
		cs_transfer_retire_connection(att->transfer);
}

/* Evaluates the complete response headers. */
static void process_head(struct attempt *att)
{
	const char *ran = head_get(att->head, att->kind == ATTEMPT_HOP ? "X-Cassia-Ran" : "X-Ran");

	att->has_head = true;
	att->state = ATTEMPT_RESPONDED;
	att->status = cs_transfer_status(att->transfer);
	att->no_body = cs_transfer_bodiless(att->transfer);
	att->length = cs_transfer_length(att->transfer);
	att->framing = cs_transfer_framing(att->transfer);
	if (ran != NULL && strcasecmp(ran, "no") == 0 &&
	    (att->kind == ATTEMPT_HOP || att->status == 503))
		process_refusal(att);
}

void attempt_report_server_state(struct attempt *att)
{
	const char *state;
	int i;

	if (!att->has_head || att->state_reported || att->kind != ATTEMPT_SERVER)
		return;
	att->state_reported = true;
	state = head_get(att->head, "X-Server-State");
	if (state == NULL)
		return;
	i = cs_server_state_parse(state);
	if (i >= 0)
		cs_policy_server_state(att->req->proxyd->policy, att->target,
				       (enum cs_server_state)i, cs_mono_us());
}

/* Updates the attempt from the state of its transfer. */
static void update_attempt(struct attempt *att)
{
	struct cs_transfer *t = att->transfer;

	if (cs_transfer_has_head(t) && !att->has_head)
		process_head(att);
	switch (cs_transfer_state(t)) {
	case CS_TRANSFER_SENT:
		att->state = ATTEMPT_SENT;
		break;
	case CS_TRANSFER_HEAD:
		break;
	case CS_TRANSFER_COMPLETE:
		att->running = false;
		att->complete = true;
		break;
	case CS_TRANSFER_UNSENT:
	case CS_TRANSFER_FAILED:
		att->running = false;
		att->failed = true;
		if (cs_transfer_state(t) == CS_TRANSFER_FAILED && att->state != ATTEMPT_REFUSED)
			att->state = ATTEMPT_LOST;
		cs_log(CS_DEBUG, "attempt", "Transfer ended early. peer=%s id=%s error=%s",
		       att->name, att->req->id, cs_transfer_error(t));
		break;
	}
}

static void on_transfer_event(struct cs_transfer *t, void *arg)
{
	struct attempt *att = arg;

	if (!att->ended || att->running)
		update_attempt(att);
	request_progress(att->req);
}

/* Data of a streamed body was sent to the server: resumes reading from the client. */
static void on_body_consumed(struct cs_transfer *t, void *arg)
{
	struct attempt *att = arg;

	cs_call_resume(att->req->call);
}
