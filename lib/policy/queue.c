/* Queues of requests that wait for a slot: one per class, ordered by deadline. */
#include "policy/internal.h"

#define QUEUE_SCAN_MAX 8 /* requests checked per class */

/* Inserts by deadline, from the tail: with equal timeouts the new request is mostly the last. */
void queue_push(struct cs_policy *p, struct cls *c, struct cs_policy_request *req)
{
	struct cs_policy_request *a = TAILQ_LAST(&c->queue, request_list);

	while (a != NULL && a->deadline_us > req->deadline_us)
		a = TAILQ_PREV(a, request_list, entry);
	if (a != NULL)
		TAILQ_INSERT_AFTER(&c->queue, a, req, entry);
	else
		TAILQ_INSERT_HEAD(&c->queue, req, entry);
	req->waiting = true;
	req->queue = c;
	c->n_queue++;
	c->svc->waiting[c->pool]++;
	p->n_waiting++;
}

static void queue_remove(struct cs_policy *p, struct cls *c, struct cs_policy_request *req)
{
	TAILQ_REMOVE(&c->queue, req, entry);
	req->waiting = false;
	c->n_queue--;
	c->svc->waiting[c->pool]--;
	p->n_waiting--;
}

uint64_t queue_wait_us(const struct cs_policy *p, const struct cls *c)
{
	const struct cls *o;
	unsigned ahead = 0, slots = c->svc->capacity[c->pool];
	double each = c->svc->service_us[c->pool];

	TAILQ_FOREACH(o, &p->classes, entry)
		if (o->svc == c->svc && o->pool == c->pool && o->conf.priority <= c->conf.priority)
			ahead += o->n_queue;
	if (slots == 0)
		return 0;
	return (uint64_t)((ahead + 1) * each / slots);
}

static bool can_leave_queue(struct cs_policy *p, struct cls *c, const struct cs_policy_request *req,
			    uint64_t now_us)
{
	unsigned i;

	if (now_us >= req->until_us)
		return true;
	for (i = 0; i < c->svc->n_available[c->pool]; i++) {
		struct cs_target *t = c->svc->available[c->pool][i];

		if (!choice_tried(req, t) &&
		    share_has_free_slot(p, t, c->pool, req->deadline_us, now_us))
			return true;
	}
	return false;
}

struct cs_policy_request *cs_policy_next_waiting(struct cs_policy *p, uint64_t now_us)
{
	struct cs_policy_request *req, *found = NULL;
	struct cls *c, *from = NULL;
	unsigned scanned;

	if (p->n_waiting == 0)
		return NULL;
	policy_tick(p, now_us);
	TAILQ_FOREACH(c, &p->classes, entry) {
		if (found != NULL && from->conf.priority <= c->conf.priority)
			continue;
		scanned = 0;
		TAILQ_FOREACH(req, &c->queue, entry) {
			if (scanned++ == QUEUE_SCAN_MAX)
				break;
			if (c->index < 0 || can_leave_queue(p, c, req, now_us)) {
				found = req;
				from = c;
				break;
			}
		}
	}
	if (found != NULL)
		queue_remove(p, from, found);
	return found;
}

void cs_policy_dequeue(struct cs_policy *p, struct cs_policy_request *req)
{
	if (req->waiting)
		queue_remove(p, req->queue, req);
}
