/* Store calls and HTTP exchanges that are waited for. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

/* Requests to instances that run at the same time. */
#define FETCH_PARALLEL 32
#define ANSWER_MAX ((size_t)8 * 1024 * 1024) /* bytes; a state with 1,700 members is about 1 MB */

struct wait {
	struct ctl *ctl;
	struct ctl_value *out;
	struct cs_store_op *op;
	enum cs_store_status late; /* of a call without an answer */
	bool done;
};

void ctl_value_free(struct ctl_value *v)
{
	free(v->text);
	json_decref(v->entries);
	memset(v, 0, sizeof(*v));
}

static void take_entries(const struct cs_store_result *res, struct ctl_value *out)
{
	unsigned i;

	out->entries = json_array();
	for (i = 0; i < res->n_entries; i++) {
		const struct cs_store_entry *e = &res->entries[i];
		json_t *meta = e->meta != NULL ? json_deep_copy(e->meta) : json_object();

		json_array_append_new(out->entries,
				      json_pack("{s:s, s:s, s:i, s:o}", "id", e->id, "address",
						e->addr, "port", (int)e->port, "meta", meta));
	}
}

static void on_store(const struct cs_store_result *res, void *arg)
{
	struct wait *w = arg;
	struct ctl_value *out = w->out;

	out->status = res->status;
	out->index = res->index;
	if (res->status == CS_STORE_OK && res->value != NULL) {
		out->text = cs_xcalloc(1, res->len + 1);
		memcpy(out->text, res->value, res->len);
		out->len = res->len;
	}
	if (res->status == CS_STORE_OK)
		take_entries(res, out);
	else
		cs_msg_set(&out->msg, "%s",
			   res->message ? res->message : cs_store_status_name(res->status));
	w->done = true;
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

static void on_late(struct cs_timer *t, void *arg)
{
	struct wait *w = arg;

	cs_store_cancel(w->op);
	w->out->status = w->late;
	cs_msg_set(&w->out->msg, "no answer within %u ms", w->ctl->timeout_ms);
	w->done = true;
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

/* Waits for a call; past the time of --timeout-ms it is cancelled and has the status late. */
static void wait_op(struct wait *w, struct cs_store_op *op, enum cs_store_status late)
{
	struct cs_timer t;

	memset(&t, 0, sizeof(t));
	w->op = op;
	w->late = late;
	cs_timer_init(&t, on_late, w);
	cs_timer_start(w->ctl->timers, &t, w->ctl->timeout_ms * CS_US_PER_MS);
	while (!w->done)
		ev_run(w->ctl->loop, 0);
	cs_timer_stop(&t);
}

void ctl_get(struct ctl *ctl, const char *key, struct ctl_value *out)
{
	struct wait w = {.ctl = ctl, .out = out};

	memset(out, 0, sizeof(*out));
	wait_op(&w, cs_store_get(ctl->store, key, on_store, &w), CS_STORE_UNAVAILABLE);
}

void ctl_put(struct ctl *ctl, const char *key, const char *text, uint64_t index,
	     struct ctl_value *out)
{
	struct wait w = {.ctl = ctl, .out = out};

	memset(out, 0, sizeof(*out));
	wait_op(&w, cs_store_put(ctl->store, key, text, strlen(text), index, on_store, &w),
		CS_STORE_UNKNOWN);
}

void ctl_list(struct ctl *ctl, const char *service, struct ctl_value *out)
{
	struct wait w = {.ctl = ctl, .out = out};

	memset(out, 0, sizeof(*out));
	wait_op(&w, cs_store_list(ctl->store, service, 0, 0, on_store, &w), CS_STORE_UNAVAILABLE);
}

struct batch {
	struct ctl *ctl;
	struct ctl_fetch *list;
	unsigned n, next, running;
};

struct one {
	struct batch *batch;
	struct ctl_fetch *fetch;
};

static void start_next(struct batch *b);

static void on_fetch(const struct cs_fetch_result *res, void *arg)
{
	struct one *one = arg;
	struct batch *b = one->batch;

	one->fetch->status = res->code == CURLE_OK ? res->status : 0;
	one->fetch->body = cs_xstrdup(res->code == CURLE_OK ? res->body : res->error);
	free(one);
	b->running--;
	start_next(b);
	if (b->running == 0)
		ev_break(b->ctl->loop, EVBREAK_ALL);
}

static void start_next(struct batch *b)
{
	while (b->next < b->n && b->running < FETCH_PARALLEL) {
		struct one *one = cs_xcalloc(1, sizeof(*one));
		struct cs_fetch_opts opts = {.interface = b->ctl->source,
					     .timeout_ms = b->ctl->timeout_ms,
					     .max_response = ANSWER_MAX};

		one->batch = b;
		one->fetch = &b->list[b->next++];
		opts.url = one->fetch->url;
		b->running++;
		cs_fetch_start(b->ctl->curl, &opts, on_fetch, one);
	}
}

void ctl_fetch_all(struct ctl *ctl, struct ctl_fetch *list, unsigned n)
{
	struct batch b = {.ctl = ctl, .list = list, .n = n};

	start_next(&b);
	while (b.running > 0)
		ev_run(ctl->loop, 0);
}

void ctl_fetch_free(struct ctl_fetch *list, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		free(list[i].url);
		free(list[i].body);
	}
	free(list);
}

static void on_sleep(struct cs_timer *t, void *arg)
{
	struct wait *w = arg;

	w->done = true;
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

void ctl_sleep(struct ctl *ctl, uint64_t us)
{
	struct wait w = {.ctl = ctl};
	struct cs_timer t;

	memset(&t, 0, sizeof(t));
	cs_timer_init(&t, on_sleep, &w);
	cs_timer_start(ctl->timers, &t, us);
	while (!w.done)
		ev_run(ctl->loop, 0);
}
