/* Sends of a request to servers, and what their answers say. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

static void on_news(struct cs_transfer *t, void *arg);
static void on_want(struct cs_transfer *t, void *arg);

/* Header lines that differ from send to send: the time left and the server meant. */
static void set_lines(struct send *s, uint64_t now)
{
	struct request *req = s->req;
	uint64_t until = req->ask.deadline_us;
	unsigned long long left = until > now ? (until - now) / CS_US_PER_MS : 0;

	snprintf(s->deadline_line, sizeof(s->deadline_line), PLATFORM_H_DEADLINE ": %llu",
		 left > 0 ? left : 1);
	snprintf(s->expected_line, sizeof(s->expected_line), PLATFORM_H_EXPECTED_SERVER ": %s",
		 s->server);
	s->lines[0] = (struct curl_slist){s->deadline_line, &s->lines[1]};
	s->lines[1] = (struct curl_slist){s->expected_line, req->lines};
}

struct send *send_start(struct request *req, struct cs_backend *b, bool hedge)
{
	struct node *n = req->node;
	struct send *s = cs_xcalloc(1, sizeof(*s));
	struct cs_transfer_opts opts = {
		.addr = cs_backend_addr(b),
		.port = cs_backend_port(b),
		.method = cs_call_method(req->call),
		.target = cs_call_target(req->call),
		.lines = s->lines,
		.id_name = *req->id != '\0' ? PLATFORM_H_REQUEST_ID : NULL,
		.id = req->id,
		.body = req->has_body ? &req->body : NULL,
		.body_whole = !req->streaming,
		.body_length = req->content_length,
		.body_ended = &req->body_ended,
		.once = req->repeat != CS_REPEAT_SAFE,
		.bulk = req->repeat == CS_REPEAT_UPLOAD,
		.buffer_max = ANSWER_WHOLE_MAX,
	};

	s->req = req;
	s->backend = b;
	s->started_us = cs_mono_us();
	cs_copy(s->server, sizeof(s->server), cs_backend_id(b));
	set_lines(s, s->started_us);
	TAILQ_INSERT_TAIL(&req->sends, s, entry);
	(*n->stats.sends)++;
	if (req->n_sends++ > 0)
		(*n->stats.repeats)++;
	if (hedge)
		(*n->stats.hedges)++;
	s->transfer = cs_transfer_start(n->lanes, &opts, on_news, on_want, s);
	return s;
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

void send_end(struct send *s, enum cs_steer_outcome outcome)
{
	struct request *req = s->req;
	struct node *n = req->node;
	uint64_t now = cs_mono_us();

	cs_transfer_stop(s->transfer);
	/* A timeout before any byte left says nothing of the server's speed. */
	if (outcome == CS_STEER_TIMEOUT && cs_transfer_state(s->transfer) == CS_TRANSFER_UNSENT)
		outcome = CS_STEER_UNSENT;
	count_outcome(&n->stats, outcome);
	cs_steer_ended(n->steer, &req->ask, s->backend, outcome, now - s->started_us, now);
	TAILQ_REMOVE(&req->sends, s, entry);
	if (req->winner == s)
		req->winner = NULL;
	cs_transfer_destroy(s->transfer);
	free(s);
	requests_kick(n);
}

void send_take_load(struct send *s)
{
	const struct head *h = cs_transfer_head(s->transfer);
	const char *text, *server;
	struct cs_server_load load;

	if (s->load_taken || !cs_transfer_has_head(s->transfer))
		return;
	s->load_taken = true;
	server = head_get(h, PLATFORM_H_SERVER_ID);
	/* Another server may answer at an address that was used again. */
	if (server != NULL && strcmp(server, s->server) != 0)
		return;
	text = head_get(h, PLATFORM_H_LOAD);
	if (text != NULL && platform_load(text, &load))
		cs_steer_load(s->req->node->steer, s->backend, &load, cs_mono_us());
}

/* Statuses by which this system tells callers that a request did not run. */
static bool promises_not_run(unsigned status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Reads an answer whose head is in. */
static enum send_result look_head(struct send *s, const char **why)
{
	const struct head *h = cs_transfer_head(s->transfer);
	unsigned status = cs_transfer_status(s->transfer);

	if (status == 421)
		return SEND_MISDIRECTED;
	if (head_get(h, PLATFORM_H_NOT_RUN) != NULL)
		return SEND_NOT_RUN;
	*why = "answer_without_signature";
	if (head_get(h, PLATFORM_H_SIGNATURE) == NULL)
		return SEND_UNUSABLE;
	*why = "answer_without_request_id";
	if (*s->req->id != '\0' && head_get(h, PLATFORM_H_REQUEST_ID) == NULL)
		return SEND_UNUSABLE;
	/* Passed on, it would say that the request did not run. */
	*why = "status_promises_not_run";
	if (promises_not_run(status))
		return SEND_UNUSABLE;
	if (cs_transfer_state(s->transfer) == CS_TRANSFER_WHOLE)
		return SEND_ANSWERED;
	return cs_transfer_overflows(s->transfer) ? SEND_STREAMS : SEND_RUNNING;
}

enum send_result send_look(struct send *s, const char **why)
{
	struct cs_transfer *t = s->transfer;

	*why = cs_transfer_error(t);
	switch (cs_transfer_state(t)) {
	case CS_TRANSFER_UNSENT:
		/* News without a byte sent is the end of the transfer. */
		return SEND_UNSENT;
	case CS_TRANSFER_SENT:
		return SEND_RUNNING;
	case CS_TRANSFER_HEAD:
	case CS_TRANSFER_WHOLE:
		return look_head(s, why);
	case CS_TRANSFER_BROKEN:
		break;
	}
	/* A head that says "not run" is enough, also when the rest was lost. */
	if (cs_transfer_has_head(t) && (cs_transfer_status(t) == 421 ||
					head_get(cs_transfer_head(t), PLATFORM_H_NOT_RUN) != NULL))
		return look_head(s, why);
	return SEND_UNUSABLE;
}

static void on_news(struct cs_transfer *t, void *arg)
{
	struct send *s = arg;

	request_progress(s->req, s);
}

/* The server took bytes of a streaming body: the caller may send more. */
static void on_want(struct cs_transfer *t, void *arg)
{
	struct send *s = arg;

	cs_call_resume(s->req->call);
}
