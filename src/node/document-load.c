/*
 * Puts the operators' document in force. A long one is read in slices between other work of the
 * event loop, on which requests and changes of servers wait.
 */
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

/* Timeout until the response begins; many instances read a new document at the same time. */
#define FETCH_TIMEOUT_MS 2000
/* Pause before another call, with a jitter of 50 % either way. */
#define FETCH_RETRY_US (300 * CS_US_PER_MS)

/*
 * Longest time for which slices are read in one iteration of the loop. On a busy instance, reading
 * takes as long as the other work of an iteration, so that a document is in force in time.
 */
#define TURN_MAX_US (50 * CS_US_PER_MS)

/* The text of a document that waits to be read. */
struct document_text {
	char *text; /* NULL: none */
	size_t len;
	uint64_t revision;
	uint64_t received_us;
};

struct document_load {
	struct node *node;
	struct platform_document_reader *reader; /* NULL: no document is being read */
	struct document_text reading; /* its text belongs to the reader */
	struct document_text next; /* the latest one that arrived meanwhile */
	struct cs_timer slice_timer;
	uint64_t slice_end_us; /* when the last slice was read */
	uint64_t handled_revision; /* of the last document that was read or refused */
	bool refused; /* that document was */
	uint64_t wanted_revision; /* the store has a document of this revision or a later one */
	struct platform_call *fetch;
	struct cs_timer fetch_timer;
};

static void on_slice(struct cs_timer *t, void *arg);
static void on_fetch_timer(struct cs_timer *t, void *arg);
static void on_fetched(const struct platform_response *resp, void *arg);

struct document_load *document_load_create(struct node *n)
{
	struct document_load *dl = cs_xcalloc(1, sizeof(*dl));

	dl->node = n;
	cs_timer_init(&dl->slice_timer, on_slice, dl);
	cs_timer_init(&dl->fetch_timer, on_fetch_timer, dl);
	return dl;
}

void document_load_destroy(struct document_load *dl)
{
	if (dl == NULL)
		return;
	cs_timer_stop(&dl->slice_timer);
	cs_timer_stop(&dl->fetch_timer);
	platform_cancel(dl->fetch);
	platform_document_reader_destroy(dl->reader);
	free(dl->next.text);
	free(dl);
}

/* Begins to read the document that waits, if there is one. */
static void read_next(struct document_load *dl)
{
	if (dl->next.text == NULL)
		return;
	dl->reading = dl->next;
	dl->next.text = NULL;
	dl->reader = platform_document_reader_create(dl->reading.text, dl->reading.len);
	dl->slice_end_us = cs_mono_us();
	cs_timer_start(dl->node->timers, &dl->slice_timer, 0);
}

/* Revision of the latest document that has arrived. */
static uint64_t latest_revision(const struct document_load *dl)
{
	if (dl->next.text != NULL)
		return dl->next.revision;
	return dl->reader != NULL ? dl->reading.revision : dl->handled_revision;
}

bool document_load_is_current(const struct document_load *dl)
{
	return dl->reader == NULL && dl->next.text == NULL && !dl->refused &&
	       dl->wanted_revision <= dl->handled_revision;
}

void document_load_start(struct document_load *dl, const struct platform_item *it)
{
	/* Full reads return a document again that is known. */
	if (it->revision <= latest_revision(dl))
		return;
	free(dl->next.text);
	dl->next = (struct document_text){.text = cs_xcalloc(1, it->len + 1),
					  .len = it->len,
					  .revision = it->revision,
					  .received_us = cs_mono_us()};
	memcpy(dl->next.text, it->value, it->len);
	if (dl->reader == NULL)
		read_next(dl);
}

static void document_refused(struct document_load *dl, const struct cs_msg *msg)
{
	cs_event(dl->node->events, CS_EVENT_IMPORTANT, "document.refused",
		 "revision=%llu why=\"%s\"", (unsigned long long)dl->reading.revision, msg->text);
}

static void document_apply(struct document_load *dl, struct cs_document *doc)
{
	const struct document_text *from = &dl->reading;
	struct node *n = dl->node;
	uint64_t now = cs_mono_us();
	unsigned i;

	if (!cs_steer_set_document(n->steer, doc, now))
		return;
	workspaces_document_changed(n);
	*n->stats.document = (int64_t)doc->version;
	*n->stats.document_problems = doc->n_problems;
	if (doc->idle_timeout_ms > 0)
		cs_ingress_set_idle_timeout(n->ingress,
					    doc->idle_timeout_ms / 1000 + CS_IDLE_MARGIN_S);
	cs_event(n->events, CS_EVENT_IMPORTANT, "document.in_force",
		 "version=%llu revision=%llu problems=%u routes=%u bytes=%zu install_ms=%llu "
		 "idle_timeout_ms=%u",
		 (unsigned long long)doc->version, (unsigned long long)from->revision,
		 doc->n_problems, doc->n_routes, from->len,
		 (unsigned long long)(now - from->received_us) / CS_US_PER_MS,
		 doc->idle_timeout_ms);
	for (i = 0; i < doc->n_problems && i < CS_DOCUMENT_PROBLEMS_MAX; i++)
		cs_event(n->events, CS_EVENT_IMPORTANT, "document.problem",
			 "version=%llu why=\"%s\"", (unsigned long long)doc->version,
			 doc->problems[i].text);
}

static void on_slice(struct cs_timer *t, void *arg)
{
	struct document_load *dl = arg;
	uint64_t begin = cs_mono_us(), other_us = begin - dl->slice_end_us;
	struct cs_document *doc = NULL;
	enum platform_reading reading;
	struct cs_msg msg;

	if (other_us > TURN_MAX_US)
		other_us = TURN_MAX_US;
	do {
		reading = platform_document_reader_next(dl->reader, &doc, &msg);
		dl->slice_end_us = cs_mono_us();
	} while (reading == PLATFORM_READING_MORE && dl->slice_end_us - begin < other_us);
	switch (reading) {
	case PLATFORM_READING_MORE:
		cs_timer_start(dl->node->timers, t, 0);
		return;
	case PLATFORM_READING_DONE:
		document_apply(dl, doc);
		dl->refused = false;
		break;
	case PLATFORM_READING_INVALID:
		document_refused(dl, &msg);
		dl->refused = true;
		break;
	}
	platform_document_reader_destroy(dl->reader);
	dl->reader = NULL;
	dl->handled_revision = dl->reading.revision;
	store_sync_confirm_document(dl->node->store_sync);
	read_next(dl);
}

void document_load_fetch(struct document_load *dl, uint64_t revision)
{
	if (revision > dl->wanted_revision)
		dl->wanted_revision = revision;
	if (dl->fetch == NULL && !cs_timer_active(&dl->fetch_timer))
		on_fetch_timer(&dl->fetch_timer, dl);
}

static void on_fetch_timer(struct cs_timer *t, void *arg)
{
	struct document_load *dl = arg;

	if (dl->fetch == NULL && dl->wanted_revision > latest_revision(dl))
		dl->fetch = platform_get(dl->node->store, PLATFORM_DOCUMENT_KEY, FETCH_TIMEOUT_MS,
					 on_fetched, dl);
}

static void on_fetched(const struct platform_response *resp, void *arg)
{
	struct document_load *dl = arg;
	uint64_t jitter = cs_random_u64() % FETCH_RETRY_US;

	dl->fetch = NULL;
	if (resp->status == PLATFORM_OK && resp->items[0].value != NULL)
		document_load_start(dl, &resp->items[0]);
	else if (resp->status == PLATFORM_ABSENT)
		dl->wanted_revision = 0;
	if (dl->wanted_revision <= latest_revision(dl))
		return;
	cs_timer_start(dl->node->timers, &dl->fetch_timer, FETCH_RETRY_US / 2 + jitter);
}
