/* One attempt at a server or another proxy: its lines, its transfer, and what the answer says. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "src/proxyd/proxyd.h"

static void on_news(struct cs_transfer *t, void *arg);
static void on_want(struct cs_transfer *t, void *arg);

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

/* Lines of this attempt come first, then those of the request. */
static void set_lines(struct attempt *att)
{
	struct request *req = att->req;
	uint64_t now = att->started_us, left = 1;
	unsigned n = 0;

	if (req->ask.deadline_us > now + CS_US_PER_MS)
		left = (req->ask.deadline_us - now) / CS_US_PER_MS;
	snprintf(att->deadline_line, sizeof(att->deadline_line), "X-Cassia-Deadline-Ms: %llu",
		 (unsigned long long)left);
	att->lines[n++].data = att->deadline_line;
	/* A refusal then comes before the body, which is still whole for another attempt. */
	att->lines[n++].data = req->streaming ? "Expect: 100-continue" : "Expect:";
	if (att->kind == ATTEMPT_HOP)
		att->lines[n++].data = "X-Cassia-Hop: 1";
	att->lines[0].next = &att->lines[1];
	att->lines[1].next = n > 2 ? &att->lines[2] : req->lines;
	att->lines[2].next = req->lines;
}

/*
 * Holds the connections to one server within this instance's part of its limit. Bulk and small
 * requests have pools of their own, so that each pool gets half.
 */
static void limit_connections(struct proxyd *p, bool bulk, const struct cs_target *t)
{
	long limit = cs_target_connections(t) / 2;

	cs_transfer_pool_set_limit(p->servers, bulk, limit < 1 ? 1 : limit);
}

/* Starts the transfer; a request that is not idempotent has a connection of its own. */
static void attempt_send(struct attempt *att)
{
	struct request *req = att->req;
	struct proxyd *p = req->proxyd;
	bool once = !req->idempotent && !cs_fault("attempts");
	struct cs_transfer_opts opts = {
		.addr = att->addr,
		.port = att->port,
		.method = req->method,
		.target = req->target,
		.lines = att->lines,
		.id_name = "X-Request-Id",
		.id = req->id,
		.body = req->has_body ? &req->body : NULL,
		.body_whole = !req->streaming,
		.body_length = req->chunked ? UINT64_MAX : req->content_length,
		.body_ended = &req->body_ended,
		.once = once,
		.alone = once,
		.bulk = req->bulk,
		.buffer_max = BUFFER_MAX,
	};

	set_lines(att);
	if (att->kind == ATTEMPT_SERVER)
		limit_connections(p, req->bulk, att->target);
	att->running = true;
	att->transfer = cs_transfer_start(att->kind == ATTEMPT_HOP ? p->hops : p->servers, &opts,
					  on_news, on_want, att);
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

struct attempt *attempt_hop(struct request *req, const struct cs_decision *d)
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
		cs_policy_hop_ended(p->policy, att->zone, req->ask.class_index,
				    outcome == CS_OUTCOME_REFUSED || outcome == CS_OUTCOME_UNSENT,
				    took, now);
	else
		cs_policy_attempt_ended(p->policy, att->target, req->ask.class_index, outcome, took,
					now);
	p->pump = true;
	proxyd_wake(p);
}

void attempt_body_ready(struct attempt *att)
{
	if (att->running)
		cs_transfer_fed(att->transfer);
}

void attempt_answer_taken(struct attempt *att)
{
	if (att->running)
		cs_transfer_taken(att->transfer);
}

bool attempt_may_have_run(const struct attempt *att)
{
	if (att->state == ATTEMPT_REFUSED)
		return false;
	return att->state != ATTEMPT_NOT_SENT ||
	       cs_transfer_state(att->transfer) != CS_TRANSFER_UNSENT;
}

/* All header lines are in. */
static void take_head(struct attempt *att)
{
	const char *ran = head_get(att->head, att->kind == ATTEMPT_HOP ? "X-Cassia-Ran" : "X-Ran");

	att->head_done = true;
	att->state = ATTEMPT_ANSWERED;
	att->status = cs_transfer_status(att->transfer);
	att->no_body = cs_transfer_bodiless(att->transfer);
	att->length = cs_transfer_length(att->transfer);
	att->framing = cs_transfer_framing(att->transfer);
	if (ran != NULL && strcasecmp(ran, "no") == 0 &&
	    (att->kind == ATTEMPT_HOP || att->status == 503)) {
		att->refused = true;
		att->state = ATTEMPT_REFUSED;
	}
}

void attempt_take_state(struct attempt *att)
{
	const char *state;
	int i;

	if (!att->head_done || att->state_taken || att->kind != ATTEMPT_SERVER)
		return;
	att->state_taken = true;
	state = head_get(att->head, "X-Server-State");
	if (state == NULL)
		return;
	i = cs_server_state_parse(state);
	if (i >= 0)
		cs_policy_server_state(att->req->proxyd->policy, att->target,
				       (enum cs_server_state)i, cs_mono_us());
}

/* Takes over how far the transfer got. */
static void take_progress(struct attempt *att)
{
	struct cs_transfer *t = att->transfer;

	if (cs_transfer_has_head(t) && !att->head_done)
		take_head(att);
	switch (cs_transfer_state(t)) {
	case CS_TRANSFER_SENT:
		att->state = ATTEMPT_SENT;
		break;
	case CS_TRANSFER_HEAD:
		break;
	case CS_TRANSFER_WHOLE:
		att->running = false;
		att->whole = true;
		break;
	case CS_TRANSFER_UNSENT:
	case CS_TRANSFER_BROKEN:
		att->running = false;
		att->failed = true;
		if (cs_transfer_state(t) == CS_TRANSFER_BROKEN && att->state != ATTEMPT_REFUSED)
			att->state = ATTEMPT_LOST;
		cs_log(CS_DEBUG, "attempt", "Transfer ended early. peer=%s id=%s error=%s",
		       att->name, att->req->id, cs_transfer_error(t));
		break;
	}
}

static void on_news(struct cs_transfer *t, void *arg)
{
	struct attempt *att = arg;

	if (!att->ended || att->running)
		take_progress(att);
	request_progress(att->req);
}

/* The server took bytes of a streaming body: the caller may send more. */
static void on_want(struct cs_transfer *t, void *arg)
{
	struct attempt *att = arg;

	cs_call_resume(att->req->call);
}
