/* Writes the history of requests as JSON lines, and the summary. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/load/load.h"

#define HISTORY_BUFFER_BYTES (1 << 20)

/* Number of finished requests of a stream, by the instance that responded. */
struct instance_count {
	TAILQ_ENTRY(instance_count) entry;
	const struct stream *stream;
	char instance[LOAD_NAME_MAX];
	uint64_t responses;
};

static FILE *history_file;
static TAILQ_HEAD(, instance_count) instance_counts = TAILQ_HEAD_INITIALIZER(instance_counts);

static const char *const outcome_names[OUTCOME_KINDS] = {"ok", "refused", "failed", "unknown",
							 "bad"};

bool record_open(const char *path, struct cs_msg *msg)
{
	if (*path == '\0')
		return true;
	history_file = fopen(path, "w");
	if (history_file == NULL) {
		cs_msg_set(msg, "%s: %s", path, strerror(errno));
		return false;
	}
	setvbuf(history_file, NULL, _IOFBF, HISTORY_BUFFER_BYTES);
	return true;
}

static void add_latency(struct stream *s, uint64_t us)
{
	if (s->n_latency == s->cap_latency) {
		s->cap_latency = s->cap_latency ? s->cap_latency * 2 : 4096;
		s->latency_us = cs_xrealloc(s->latency_us, s->cap_latency, sizeof(uint32_t));
	}
	s->latency_us[s->n_latency++] = us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;
}

static void count_response(const struct stream *s, const char *instance)
{
	struct instance_count *ic;

	TAILQ_FOREACH(ic, &instance_counts, entry)
		if (ic->stream == s && strcmp(ic->instance, instance) == 0)
			break;
	if (ic == NULL) {
		ic = cs_xcalloc(1, sizeof(*ic));
		ic->stream = s;
		cs_copy(ic->instance, sizeof(ic->instance), instance);
		TAILQ_INSERT_TAIL(&instance_counts, ic, entry);
	}
	ic->responses++;
}

/* Returns the value of "body" in the history: how the body compares with the expected content. */
static const char *body_status(const struct request *r)
{
	if (r->status < 200 || r->status >= 300)
		return "none";
	if (r->body_mismatch)
		return "wrong";
	if (r->response_pos != r->stream->response_bytes && !r->stream->raw)
		return r->code == CURLE_OK ? "short" : "cut";
	return "ok";
}

static void write_history_line(const struct request *r, enum outcome out, uint64_t end_us)
{
	const struct stream *s = r->stream;
	unsigned long long digest =
		s->upload_bytes > 0 ? content_digest(r->upload_seed, s->upload_bytes) : 0;

	fprintf(history_file,
		"{\"id\":\"%s\",\"class\":\"%s\",\"idempotent\":%s,\"caller\":\"%s\","
		"\"planned_us\":%llu,\"sent_us\":%llu,\"end_us\":%llu,\"deadline_ms\":%u,"
		"\"outcome\":\"%s\",\"status\":%ld,\"ran\":\"%s\",\"tries\":%u,\"entry\":\"%s\","
		"\"instance\":\"%s\",\"server\":\"%s\",\"body\":\"%s\",\"answer_len\":%llu,"
		"\"expect_len\":%llu,\"upload_len\":%llu,\"upload_digest\":\"%016llx\","
		"\"port\":%ld,\"curl\":%d}\n",
		r->id, s->class, s->idempotent ? "true" : "false", r->client->addr,
		(unsigned long long)r->planned_us, (unsigned long long)r->sent_us,
		(unsigned long long)end_us, s->deadline_ms, outcome_names[out], r->status, r->ran,
		r->tries, r->n_targets ? r->targets[r->target].instance : "", r->instance,
		r->server, body_status(r), (unsigned long long)r->response_pos,
		(unsigned long long)s->response_bytes, (unsigned long long)s->upload_bytes, digest,
		r->port, (int)r->code);
}

void record_request(const struct request *r, enum outcome out, uint64_t end_us)
{
	struct stream *s = r->stream;

	s->counts[out]++;
	s->tries += r->tries;
	if (out == OUTCOME_OK) {
		s->response_total += s->response_bytes;
		s->upload_total += s->upload_bytes;
		if (r->planned_us >= load.start_us + s->warm_us)
			add_latency(s, end_us - r->planned_us);
	}
	count_response(s, *r->instance ? r->instance : "-");
	if (history_file != NULL)
		write_history_line(r, out, end_us);
}

void record_close(void)
{
	if (history_file != NULL)
		fclose(history_file);
	history_file = NULL;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static json_int_t quantile(const struct stream *s, double q)
{
	size_t i;

	if (s->n_latency == 0)
		return 0;
	i = (size_t)(q * (double)s->n_latency);
	return s->latency_us[i < s->n_latency ? i : s->n_latency - 1];
}

static json_t *stream_json(struct stream *s, double seconds)
{
	json_t *doc = json_object(), *instances = json_object();
	double span = (double)(s->to_us - s->from_us) / CS_US_PER_S, sum = 0;
	struct instance_count *ic;
	size_t i;

	qsort(s->latency_us, s->n_latency, sizeof(*s->latency_us), compare_u32);
	for (i = 0; i < s->n_latency; i++)
		sum += s->latency_us[i];
	json_object_set_new(doc, "class", json_string(s->class));
	json_object_set_new(doc, "requests", json_integer((json_int_t)s->sequence));
	for (i = 0; i < OUTCOME_KINDS; i++)
		json_object_set_new(doc, outcome_names[i], json_integer((json_int_t)s->counts[i]));
	json_object_set_new(doc, "tries", json_integer((json_int_t)s->tries));
	json_object_set_new(doc, "ok_per_s",
			    json_real((double)s->counts[OUTCOME_OK] / (span > 0 ? span : 1)));
	json_object_set_new(doc, "mb_s",
			    json_real((double)(s->response_total + s->upload_total) / 1e6 /
				      (span > 0 ? span : seconds)));
	json_object_set_new(doc, "mean_us",
			    json_real(s->n_latency ? sum / (double)s->n_latency : 0));
	json_object_set_new(doc, "p50_us", json_integer(quantile(s, 0.5)));
	json_object_set_new(doc, "p90_us", json_integer(quantile(s, 0.9)));
	json_object_set_new(doc, "p99_us", json_integer(quantile(s, 0.99)));
	json_object_set_new(doc, "p999_us", json_integer(quantile(s, 0.999)));
	json_object_set_new(doc, "max_us", json_integer(quantile(s, 1)));
	TAILQ_FOREACH(ic, &instance_counts, entry)
		if (ic->stream == s)
			json_object_set_new(instances, ic->instance,
					    json_integer((json_int_t)ic->responses));
	json_object_set_new(doc, "instances", instances);
	return doc;
}

char *record_summary(double seconds)
{
	json_t *doc = json_object(), *rows = json_array();
	struct stream *s;
	char *text;

	TAILQ_FOREACH(s, &load.streams, entry)
		json_array_append_new(rows, stream_json(s, seconds));
	json_object_set_new(doc, "seconds", json_real(seconds));
	json_object_set_new(doc, "lookups", json_integer((json_int_t)load.lookups));
	json_object_set_new(doc, "lookup_errors", json_integer((json_int_t)load.lookup_errors));
	json_object_set_new(doc, "unanswered", json_integer(load.running));
	json_object_set_new(doc, "streams", rows);
	text = json_dumps(doc, JSON_COMPACT | JSON_REAL_PRECISION(9));
	json_decref(doc);
	return text;
}
