/* Attempts of a request on backend servers, and the interpretation of their responses. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"
#include "src/node/refusal.h"

static void on_progress(struct cs_transfer *t, void *arg);
static void on_body_consumed(struct cs_transfer *t, void *arg);
static bool may_send(void *arg);

/* Headers that differ between attempts: the remaining time and the expected server. */
static void set_headers(struct attempt *a, uint64_t now)
{
	struct request *req = a->req;
	uint64_t until = req->steer_state.deadline_us;
	unsigned long long left = until > now ? (until - now) / CS_US_PER_MS : 0;

	snprintf(a->deadline_header, sizeof(a->deadline_header), PLATFORM_H_DEADLINE ": %llu",
		 left > 0 ? left : 1);
	snprintf(a->expected_header, sizeof(a->expected_header), PLATFORM_H_EXPECTED_SERVER ": %s",
		 a->server);
	a->headers[0] = (struct curl_slist){a->deadline_header, &a->headers[1]};
	a->headers[1] = (struct curl_slist){a->expected_header, req->headers};
}

struct attempt *node_attempt_start(struct request *req, struct cs_backend *b, bool hedge)
{
	struct node *n = req->node;
	struct attempt *a = cs_xcalloc(1, sizeof(*a));
	struct cs_transfer_opts opts = {
		.addr = cs_backend_addr(b),
		.port = cs_backend_port(b),
		.method = cs_call_method(req->call),
		.target = cs_call_target(req->call),
		.lines = a->headers,
		.id_name = PLATFORM_H_REQUEST_ID,
		.id = req->full_id,
		.body = req->has_body ? &req->body : NULL,
		.body_buffered = !req->body_streaming,
		.body_length = req->content_length,
		.body_ended = &req->body_ended,
		.at_most_once = !cs_repeat_is_allowed(req->repeat),
		.bulk = req->repeat == CS_REPEAT_UPLOAD,
		.buffer_max = req->repeat == CS_REPEAT_DOWNLOAD ? DOWNLOAD_BUFFER_MAX
								: RESPONSE_BUFFER_MAX,
		.may_send = may_send,
	};

	a->req = req;
	a->backend = b;
	a->started_us = cs_mono_us();
	cs_copy(a->server, sizeof(a->server), cs_backend_id(b));
	set_headers(a, a->started_us);
	TAILQ_INSERT_TAIL(&req->attempts, a, entry);
	(*n->stats.sends)++;
	if (cs_backend_is_leaving(b))
		(*n->stats.leaving_sends)++;
	if (cs_backend_is_limited(b))
		(*n->stats.limited_sends)++;
	if (req->n_attempts++ > 0)
		(*n->stats.repeats)++;
	if (hedge)
		(*n->stats.hedges)++;
	a->transfer = cs_transfer_start(n->connections, &opts, on_progress, on_body_consumed, a);
	return a;
}

static void count_outcome(struct node_stats *st, enum cs_steer_outcome outcome)
{
	switch (outcome) {
	case CS_STEER_SHED:
		(*st->sheds)++;
		break;
	case CS_STEER_MISDIRECTED:
		(*st->misdirected)++;
		break;
	case CS_STEER_UNSENT:
		(*st->unsent)++;
		break;
	case CS_STEER_WITHHELD:
		(*st->withheld)++;
		break;
	case CS_STEER_ERROR:
		(*st->broken)++;
		break;
	case CS_STEER_CANCELLED:
	case CS_STEER_TIMEOUT:
		(*st->cancelled)++;
		break;
	case CS_STEER_OK:
		break;
	}
}

void node_attempt_end(struct attempt *a, enum cs_steer_outcome outcome)
{
	struct request *req = a->req;
	struct node *n = req->node;
	uint64_t now = cs_mono_us(), sent_us = cs_transfer_sent_us(a->transfer);

	cs_transfer_stop(a->transfer);
	if (sent_us > 0)
		cs_hist_add(n->stats.send_delay, sent_us - a->started_us);
	/* A timeout before any byte was sent does not measure the latency of the server. */
	if (outcome == CS_STEER_TIMEOUT && cs_transfer_state(a->transfer) == CS_TRANSFER_UNSENT)
		outcome = CS_STEER_UNSENT;
	count_outcome(&n->stats, outcome);
	cs_steer_attempt_ended(n->steer, &req->steer_state, a->backend, outcome,
			       now - a->started_us, now);
	TAILQ_REMOVE(&req->attempts, a, entry);
	if (req->streaming_attempt == a)
		req->streaming_attempt = NULL;
	cs_transfer_destroy(a->transfer);
	free(a);
	requests_schedule_dispatch(n);
}

/* The server that the response names: a reused address may belong to another one by now. */
static enum refusal_server named_server(const struct attempt *a)
{
	const char *server = head_get(cs_transfer_head(a->transfer), PLATFORM_H_SERVER_ID);

	if (server == NULL)
		return REFUSAL_SERVER_UNNAMED;
	return strcmp(server, a->server) == 0 ? REFUSAL_SERVER_EXPECTED : REFUSAL_SERVER_OTHER;
}

/* True if the response has the id of the request, so that no other request caused it. */
static bool has_request_id(const struct attempt *a)
{
	return *a->req->full_id == '\0' ||
	       head_get(cs_transfer_head(a->transfer), PLATFORM_H_REQUEST_ID) != NULL;
}

void node_attempt_record_head(struct attempt *a)
{
	const struct head *h = cs_transfer_head(a->transfer);
	struct cs_server_load load;
	const char *text;

	if (a->head_recorded || !cs_transfer_has_head(a->transfer))
		return;
	a->head_recorded = true;
	/*
	 * The copy of an earlier response states what was true then, and the response to this
	 * request follows on the connection.
	 */
	if (!cs_transfer_is_own_response(a->transfer)) {
		cs_transfer_retire_connection(a->transfer);
		return;
	}
	if (named_server(a) == REFUSAL_SERVER_OTHER)
		return;
	if (cs_transfer_status(a->transfer) != 421)
		notice_record(a->req->node, a->backend, a->transfer, a->started_us, a->req->id,
			      has_request_id(a) && (head_get(h, PLATFORM_H_SIGNATURE) != NULL ||
						    head_get(h, PLATFORM_H_NOT_EXECUTED) != NULL));
	text = head_get(h, PLATFORM_H_LOAD);
	if (text != NULL && platform_load_parse(text, &load))
		cs_steer_update_load(a->backend, &load, a->started_us, cs_mono_us());
}

/* Statuses that tell a client that its request did not run. */
static bool is_not_executed_status(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Classifies a response whose header section has arrived if it is a refusal. */
static enum refusal classify_refusal(const struct attempt *a)
{
	const struct cs_transfer *t = a->transfer;
	const struct head *h = cs_transfer_head(t);
	struct refusal_marks marks = {.status = cs_transfer_status(t),
				      .not_executed = head_get(h, PLATFORM_H_NOT_EXECUTED) != NULL,
				      .signature = head_get(h, PLATFORM_H_SIGNATURE) != NULL,
				      .own = cs_transfer_is_own_response(t),
				      .request_has_id = *a->req->full_id != '\0',
				      .server = named_server(a)};

	return refusal_of(&marks);
}

/* Classifies a response that is no refusal. */
static enum attempt_result classify_answer(struct attempt *a, const char **why)
{
	*why = "answer_without_signature";
	if (head_get(cs_transfer_head(a->transfer), PLATFORM_H_SIGNATURE) == NULL)
		return ATTEMPT_UNUSABLE;
	*why = "answer_without_request_id";
	if (!has_request_id(a))
		return ATTEMPT_UNUSABLE;
	/* Forwarding such a status would tell the client that the request did not run. */
	*why = "status_promises_not_run";
	if (is_not_executed_status(cs_transfer_status(a->transfer)))
		return ATTEMPT_UNUSABLE;
	if (cs_transfer_state(a->transfer) == CS_TRANSFER_COMPLETE)
		return ATTEMPT_COMPLETE;
	return cs_transfer_overflows(a->transfer) ? ATTEMPT_STREAMING : ATTEMPT_PENDING;
}

/* Classifies a response whose header section has arrived. */
static enum attempt_result classify_head(struct attempt *a, const char **why)
{
	switch (classify_refusal(a)) {
	case REFUSAL_NONE:
		break;
	case REFUSAL_NOT_EXECUTED:
		*why = "the server did not run it";
		return ATTEMPT_NOT_EXECUTED;
	case REFUSAL_MISDIRECTED:
		*why = "another server uses the address";
		return ATTEMPT_MISDIRECTED;
	case REFUSAL_OF_ANOTHER_REQUEST:
		*why = "refusal_of_another_request";
		return ATTEMPT_UNUSABLE;
	case REFUSAL_CONTRADICTORY:
		*why = "contradictory_refusal";
		return ATTEMPT_UNUSABLE;
	case REFUSAL_UNSURE_ADDRESS:
		*why = "contradictory_refusal";
		return ATTEMPT_UNSURE_ADDRESS;
	}
	/* Without its end, only a refusal is conclusive. */
	if (cs_transfer_state(a->transfer) == CS_TRANSFER_FAILED)
		return ATTEMPT_UNUSABLE;
	return classify_answer(a, why);
}

enum attempt_result node_attempt_classify(struct attempt *a, const char **why)
{
	struct cs_transfer *t = a->transfer;

	*why = cs_transfer_error(t);
	switch (cs_transfer_state(t)) {
	case CS_TRANSFER_UNSENT:
		/* An unsent transfer calls back only when it has ended. */
		return cs_transfer_is_withheld(t) ? ATTEMPT_WITHHELD : ATTEMPT_UNSENT;
	case CS_TRANSFER_SENT:
		return ATTEMPT_PENDING;
	case CS_TRANSFER_HEAD:
	case CS_TRANSFER_COMPLETE:
	case CS_TRANSFER_FAILED:
		break;
	}
	return cs_transfer_has_head(t) ? classify_head(a, why) : ATTEMPT_UNUSABLE;
}

static void on_progress(struct cs_transfer *t, void *arg)
{
	struct attempt *a = arg;

	request_progress(a->req, a);
}

/* The server accepted bytes of a streamed body: resume reading from the client. */
static void on_body_consumed(struct cs_transfer *t, void *arg)
{
	struct attempt *a = arg;

	cs_call_resume(a->req->call);
}

static bool may_send(void *arg)
{
	struct attempt *a = arg;

	return workspaces_check(a->req) &&
	       cs_steer_may_send(a->req->node->steer, a->backend, a->started_us, cs_mono_us());
}
