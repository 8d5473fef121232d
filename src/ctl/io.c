/* Blocking store calls, parallel HTTP requests, and sleep, on top of the event loop. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

#define FETCH_PARALLEL 32 /* concurrent requests to instances */
#define RESPONSE_BYTES_MAX ((size_t)8 * 1024 * 1024) /* a state with 1,700 members is about 1 MB */

/* A pending store call or sleep. */
struct waiter {
	struct ctl *ctl;
	struct ctl_store_result *out;
	struct cs_store_op *op;
	enum cs_store_status timeout_status; /* result if the call times out */
	bool done;
};

void ctl_store_result_free(struct ctl_store_result *v)
{
	free(v->text);
	json_decref(v->entries);
	memset(v, 0, sizeof(*v));
}

static void copy_entries(const struct cs_store_result *res, struct ctl_store_result *out)
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
	struct waiter *w = arg;
	struct ctl_store_result *out = w->out;

	out->status = res->status;
	out->index = res->index;
	if (res->status == CS_STORE_OK && res->value != NULL) {
		out->text = cs_xcalloc(1, res->len + 1);
		memcpy(out->text, res->value, res->len);
		out->len = res->len;
	}
	if (res->status == CS_STORE_OK)
		copy_entries(res, out);
	else
		cs_msg_set(&out->msg, "%s",
			   res->message ? res->message : cs_store_status_name(res->status));
	w->done = true;
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	struct waiter *w = arg;

	cs_store_cancel(w->op);
	w->out->status = w->timeout_status;
	cs_msg_set(&w->out->msg, "no answer within %u ms", w->ctl->timeout_ms);
	w->done = true;
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

/* Waits for a call; cancels it after --timeout-ms with the status timeout_status. */
static void wait_for_call(struct waiter *w, struct cs_store_op *op,
			  enum cs_store_status timeout_status)
{
	struct cs_timer t;

	memset(&t, 0, sizeof(t));
	w->op = op;
	w->timeout_status = timeout_status;
	cs_timer_init(&t, on_timeout, w);
	cs_timer_start(w->ctl->timers, &t, w->ctl->timeout_ms * CS_US_PER_MS);
	while (!w->done)
		ev_run(w->ctl->loop, 0);
	cs_timer_stop(&t);
}

void ctl_store_get(struct ctl *ctl, const char *key, struct ctl_store_result *out)
{
	struct waiter w = {.ctl = ctl, .out = out};

	memset(out, 0, sizeof(*out));
	wait_for_call(&w, cs_store_get(ctl->store, key, on_store, &w), CS_STORE_UNAVAILABLE);
}

void ctl_store_put(struct ctl *ctl, const char *key, const char *text, uint64_t index,
		   struct ctl_store_result *out)
{
	struct waiter w = {.ctl = ctl, .out = out};

	memset(out, 0, sizeof(*out));
	wait_for_call(&w, cs_store_put(ctl->store, key, text, strlen(text), index, on_store, &w),
		      CS_STORE_UNKNOWN);
}

void ctl_store_list(struct ctl *ctl, const char *service, struct ctl_store_result *out)
{
	struct waiter w = {.ctl = ctl, .out = out};

	memset(out, 0, sizeof(*out));
	wait_for_call(&w, cs_store_list(ctl->store, service, 0, 0, on_store, &w),
		      CS_STORE_UNAVAILABLE);
}

/* A list of requests and how many of them are started and running. */
struct fetch_batch {
	struct ctl *ctl;
	struct ctl_fetch *list;
	unsigned n, next, running;
};

struct fetch_item {
	struct fetch_batch *batch;
	struct ctl_fetch *fetch;
};

static void start_fetches(struct fetch_batch *b);

static void on_fetch(const struct cs_fetch_result *res, void *arg)
{
	struct fetch_item *item = arg;
	struct fetch_batch *b = item->batch;

	item->fetch->status = res->code == CURLE_OK ? res->status : 0;
	item->fetch->body = cs_xstrdup(res->code == CURLE_OK ? res->body : res->error);
	free(item);
	b->running--;
	start_fetches(b);
	if (b->running == 0)
		ev_break(b->ctl->loop, EVBREAK_ALL);
}

static void start_fetches(struct fetch_batch *b)
{
	while (b->next < b->n && b->running < FETCH_PARALLEL) {
		struct fetch_item *item = cs_xcalloc(1, sizeof(*item));
		struct cs_fetch_opts opts = {.interface = b->ctl->source,
					     .timeout_ms = b->ctl->timeout_ms,
					     .max_response = RESPONSE_BYTES_MAX};

		item->batch = b;
		item->fetch = &b->list[b->next++];
		opts.url = item->fetch->url;
		b->running++;
		cs_fetch_start(b->ctl->curl, &opts, on_fetch, item);
	}
}

void ctl_fetch_all(struct ctl *ctl, struct ctl_fetch *list, unsigned n)
{
	struct fetch_batch b = {.ctl = ctl, .list = list, .n = n};

	start_fetches(&b);
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
	struct waiter *w = arg;

	w->done = true;
	ev_break(w->ctl->loop, EVBREAK_ALL);
}

void ctl_sleep(struct ctl *ctl, uint64_t us)
{
	struct waiter w = {.ctl = ctl};
	struct cs_timer t;

	memset(&t, 0, sizeof(t));
	cs_timer_init(&t, on_sleep, &w);
	cs_timer_start(ctl->timers, &t, us);
	while (!w.done)
		ev_run(ctl->loop, 0);
}
