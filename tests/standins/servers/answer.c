/* Bodies and headers of answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/load/content.h"
#include "tests/standins/servers/servers.h"

#define STREAM_FROM (64 * 1024) /* larger answers are generated as they are sent */
#define STREAM_BLOCK (128 * 1024)

struct stream {
	uint64_t seed;
	uint64_t len;
	uint64_t cut; /* position at which the answer breaks off; len: never */
};

static const char *const state_names[] = {"ready", "starting", "draining"};

static ssize_t on_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	const struct stream *st = cls;

	if (pos >= st->cut)
		return st->cut < st->len ? MHD_CONTENT_READER_END_WITH_ERROR
					 : MHD_CONTENT_READER_END_OF_STREAM;
	if (max > st->cut - pos)
		max = (size_t)(st->cut - pos);
	content_fill(st->seed, pos, buf, max);
	return (ssize_t)max;
}

static struct MHD_Response *stream_answer(uint64_t seed, uint64_t len, bool truncate)
{
	struct stream *st = cs_xcalloc(1, sizeof(*st));

	st->seed = seed;
	st->len = len;
	st->cut = truncate ? len / 2 : len;
	return MHD_create_response_from_callback(len, STREAM_BLOCK, on_stream, st, free);
}

struct MHD_Response *answer_body(const char *id, uint64_t len, bool truncate)
{
	uint64_t seed = content_seed(id, CONTENT_RESPONSE);
	struct MHD_Response *resp;
	char text[32];
	char *body;

	if (truncate || len > STREAM_FROM) {
		resp = stream_answer(seed, len, truncate);
	} else {
		body = cs_xcalloc(1, len + 1);
		content_fill(seed, 0, body, len);
		resp = MHD_create_response_from_buffer(len, body, MHD_RESPMEM_MUST_FREE);
	}
	snprintf(text, sizeof(text), "%016llx", (unsigned long long)content_digest(seed, len));
	MHD_add_response_header(resp, "X-Answer-Digest", text);
	MHD_add_response_header(resp, "Content-Type", "application/octet-stream");
	return resp;
}

struct MHD_Response *answer_text(const char *text)
{
	return MHD_create_response_from_buffer(strlen(text), (void *)(uintptr_t)text,
					       MHD_RESPMEM_MUST_COPY);
}

struct MHD_Response *answer_health(const struct server *s)
{
	unsigned back = (unsigned)(s->b.report_late_ms * CS_US_PER_MS / SAMPLE_US);
	const struct sample *old = &s->samples[(sample_pos + SAMPLES - back % SAMPLES) % SAMPLES];
	double in_flight = s->present, ms = s->mean_us / CS_US_PER_MS;
	struct MHD_Response *resp;
	char text[256];

	if (s->b.report == REPORT_LATE) {
		in_flight = old->in_flight;
		ms = old->service_us / (double)CS_US_PER_MS;
	} else if (s->b.report == REPORT_FALSE) {
		in_flight = s->b.report_in_flight;
		ms = s->b.report_service_ms;
	}
	snprintf(text, sizeof(text),
		 "{\"state\":\"%s\",\"slots\":%.0f,\"in_flight\":%.0f,\"service_ms\":%.3f}\n",
		 state_names[(int)s->b.state], s->b.slots, in_flight, ms);
	resp = answer_text(text);
	MHD_add_response_header(resp, "Content-Type", "application/json");
	return resp;
}

void answer_state(struct MHD_Response *r, const struct server *s)
{
	if (s->b.state != STATE_READY)
		MHD_add_response_header(r, "X-Server-State", state_names[(int)s->b.state]);
}
