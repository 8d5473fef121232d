/* Response bodies and headers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/load/content.h"
#include "tests/standins/servers/servers.h"

#define STREAM_THRESHOLD_BYTES (64 * 1024) /* larger bodies are generated while they are sent */
#define STREAM_BLOCK_BYTES (128 * 1024)

struct body_stream {
	uint64_t seed;
	uint64_t len;
	uint64_t end; /* position at which the body ends; less than len: truncated */
};

static const char *const state_names[] = {"ready", "starting", "draining"};

static ssize_t on_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	const struct body_stream *st = cls;

	if (pos >= st->end)
		return st->end < st->len ? MHD_CONTENT_READER_END_WITH_ERROR
					 : MHD_CONTENT_READER_END_OF_STREAM;
	if (max > st->end - pos)
		max = (size_t)(st->end - pos);
	content_fill(st->seed, pos, buf, max);
	return (ssize_t)max;
}

static struct MHD_Response *response_stream(uint64_t seed, uint64_t len, bool truncate)
{
	struct body_stream *st = cs_xcalloc(1, sizeof(*st));

	st->seed = seed;
	st->len = len;
	st->end = truncate ? len / 2 : len;
	return MHD_create_response_from_callback(len, STREAM_BLOCK_BYTES, on_stream, st, free);
}

struct MHD_Response *response_body(const char *id, uint64_t len, bool truncate)
{
	uint64_t seed = content_seed(id, CONTENT_RESPONSE);
	struct MHD_Response *resp;
	char text[32];
	char *body;

	if (truncate || len > STREAM_THRESHOLD_BYTES) {
		resp = response_stream(seed, len, truncate);
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

struct MHD_Response *response_text(const char *text)
{
	return MHD_create_response_from_buffer(strlen(text), (void *)(uintptr_t)text,
					       MHD_RESPMEM_MUST_COPY);
}

struct MHD_Response *response_health(const struct server *s)
{
	unsigned samples_back =
		(unsigned)(s->behaviour.report_late_ms * CS_US_PER_MS / LOAD_SAMPLE_INTERVAL_US);
	const struct load_sample *delayed =
		&s->load_samples[(load_sample_index + LOAD_SAMPLES - samples_back % LOAD_SAMPLES) %
				 LOAD_SAMPLES];
	double in_flight = s->outstanding, ms = s->mean_us / CS_US_PER_MS;
	struct MHD_Response *resp;
	char text[256];

	if (s->behaviour.report == REPORT_LATE) {
		in_flight = delayed->in_flight;
		ms = delayed->service_us / (double)CS_US_PER_MS;
	} else if (s->behaviour.report == REPORT_FALSE) {
		in_flight = s->behaviour.report_in_flight;
		ms = s->behaviour.report_service_ms;
	}
	snprintf(text, sizeof(text),
		 "{\"state\":\"%s\",\"slots\":%.0f,\"in_flight\":%.0f,\"service_ms\":%.3f}\n",
		 state_names[(int)s->behaviour.state], s->behaviour.slots, in_flight, ms);
	resp = response_text(text);
	MHD_add_response_header(resp, "Content-Type", "application/json");
	return resp;
}

void response_add_state(struct MHD_Response *r, const struct server *s)
{
	if (s->behaviour.state != STATE_READY)
		MHD_add_response_header(r, "X-Server-State", state_names[(int)s->behaviour.state]);
}
