/* Repeated requests, detected by request id: they join the running request or get its outcome. */
#include <string.h>
#include <strings.h>

#include "src/proxyd/proxyd.h"

/* Hash of the request, by which reuse of an id for a different request is detected. */
static uint64_t request_fingerprint(const struct request *req)
{
	uint64_t h = cs_hash_str(req->method, 1);

	h = cs_hash_str(req->target, h);
	if (!req->streaming && req->body.written > 0)
		return cs_hash(req->body.data, (size_t)req->body.written, h);
	return h ^ req->content_length;
}

bool dedup_begin(struct request *req)
{
	struct proxyd *p = req->proxyd;
	uint64_t now = cs_mono_us(), fingerprint;
	struct outcome *o;

	/* A client learns a generated id only from the response, so a repeat cannot carry it. */
	if (req->idempotent || !req->id_given || cs_fault_enabled("attempts"))
		return true;
	fingerprint = request_fingerprint(req);
	o = outcomes_find(p->outcomes, req->class_name, req->id, now);
	if (o == NULL) {
		req->outcome =
			outcomes_begin(p->outcomes, req->class_name, req->id, fingerprint, now);
		if (req->outcome == NULL)
			request_refuse(req, CS_REFUSAL_OVERLOAD, CS_US_PER_MS);
		return req->outcome != NULL;
	}
	if (o->fingerprint != fingerprint) {
		request_error(req, 409, "request_id_reused", RAN_NO,
			      "the id was used for another request within 60 s");
		return false;
	}
	(*p->stats.joined)++;
	if (o->kind == OUTCOME_RUNNING) {
		req->stage = STAGE_JOINED;
		req->join.arg = o;
		TAILQ_INSERT_TAIL(&o->joins, &req->join, entry);
		return false;
	}
	req->stage = STAGE_RESPONSE;
	req->result = RESULT_OK;
	cs_timer_stop(&req->deadline);
	reply_outcome(req, o);
	return false;
}

static struct request *join_request(struct outcome_join *j)
{
	return (struct request *)(void *)((char *)j - offsetof(struct request, join));
}

/* Sends the outcome to all requests that joined. */
static void complete_joined(struct outcome *o)
{
	struct outcome_join *j;
	struct request *req;

	while ((j = TAILQ_FIRST(&o->joins)) != NULL) {
		TAILQ_REMOVE(&o->joins, j, entry);
		j->arg = NULL;
		req = join_request(j);
		req->stage = STAGE_RESPONSE;
		req->result = o->kind == OUTCOME_UNKNOWN ? RESULT_FAILED : RESULT_OK;
		cs_timer_stop(&req->deadline);
		reply_outcome(req, o);
	}
}

/* The first request did not run, so the requests that joined it start again on their own. */
static void restart_joined(struct proxyd *p, struct outcome *o)
{
	struct outcome_joins joins = TAILQ_HEAD_INITIALIZER(joins);
	struct outcome_join *j;
	struct request *req;

	TAILQ_CONCAT(&joins, &o->joins, entry);
	outcomes_remove(p->outcomes, o);
	while ((j = TAILQ_FIRST(&joins)) != NULL) {
		TAILQ_REMOVE(&joins, j, entry);
		j->arg = NULL;
		req = join_request(j);
		req->stage = STAGE_BODY;
		if (dedup_begin(req))
			request_decide(req);
	}
}

/* Builds the stored headers, with the identity headers that the first client received. */
static void build_stored_head(const struct request *req, struct head *out)
{
	const struct attempt *att = req->winner;
	const char *name, *value;
	size_t at = 0;

	if (att->kind == ATTEMPT_HOP) {
		head_copy(out, att->head);
		return;
	}
	while (head_next(att->head, &at, &name, &value))
		if (strncasecmp(name, "X-Cassia-", 9) != 0)
			head_add(out, name, strlen(name), value, strlen(value));
	value = req->proxyd->instance;
	head_add(out, "X-Cassia-Instance", 17, value, strlen(value));
	head_add(out, "X-Cassia-Server", 15, att->name, strlen(att->name));
	head_add(out, "X-Cassia-Ran", 12, "yes", 3);
}

void dedup_end(struct request *req, enum ran ran)
{
	struct proxyd *p = req->proxyd;
	struct outcome *o = req->outcome;
	const struct attempt *att = req->winner;
	uint64_t now = cs_mono_us();
	struct head head = {0};

	if (o == NULL)
		return;
	req->outcome = NULL;
	switch (ran) {
	case RAN_NO:
		restart_joined(p, o);
		return;
	case RAN_UNKNOWN:
		outcomes_set_unknown(p->outcomes, o, now);
		break;
	case RAN_YES:
		if (att != NULL && att->complete && att->data->written <= OUTCOME_BODY_MAX) {
			build_stored_head(req, &head);
			outcomes_complete(p->outcomes, o, att->status, &head, att->data->data,
					  (size_t)att->data->written, now);
			head_free(&head);
		} else {
			outcomes_complete(p->outcomes, o, req->status, NULL, NULL, 0, now);
		}
		break;
	}
	complete_joined(o);
}

void dedup_leave(struct request *req)
{
	struct outcome *o = req->join.arg;

	if (o == NULL)
		return;
	TAILQ_REMOVE(&o->joins, &req->join, entry);
	req->join.arg = NULL;
}
