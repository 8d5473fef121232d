/*
 * Servers that leave, by what they state in their responses. The store's entry may say so later, or
 * never while the store is unreachable. The statement of a process is final: an entry that is read
 * late, or written again after an outage, does not undo it. Instances report the statements that
 * they received to each other, so that a server gets no first request from each of them.
 */
#include "steer/steer-int.h"

/*
 * How long the server is remembered without an entry. Its entry may expire in a store outage while
 * it still responds to its last requests, and be written again afterwards.
 */
#define RETENTION_US (600 * CS_US_PER_S)
/* How long an instance reports a statement, which covers the loss of several reports. */
#define REPORT_US (5 * CS_US_PER_S)

bool cs_backend_is_leaving(const struct cs_backend *b)
{
	return b->leaving && b->leaving_started_ms == b->info.started_ms;
}

static void mark(struct cs_backend *b, uint64_t now_us)
{
	b->leaving = true;
	b->leaving_started_ms = b->info.started_ms;
	b->leaving_us = now_us;
	b->leaving_response_us = 0;
}

bool cs_steer_server_leaving(struct cs_backend *b, uint64_t sent_us, uint64_t now_us)
{
	bool known = cs_backend_is_leaving(b);

	if (sent_us < b->process_since_us)
		return false;
	if (!known)
		mark(b, now_us);
	if (b->leaving_response_us == 0)
		b->leaving_response_us = now_us;
	b->leaving_logged = true;
	return !known;
}

struct cs_backend *cs_steer_next_reported_leaving(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;

	if (s->n_leaving_unlogged == 0)
		return NULL;
	FOREACH_BACKEND(s, svc, b) {
		if (!b->leaving || b->leaving_logged)
			continue;
		b->leaving_logged = true;
		s->n_leaving_unlogged--;
		return b;
	}
	s->n_leaving_unlogged = 0;
	return NULL;
}

bool leaving_is_retained(const struct cs_backend *b, uint64_t now_us)
{
	return cs_backend_is_leaving(b) && now_us - b->leaving_us < RETENTION_US;
}

static void report_add(struct cs_steer_report *r, const struct cs_report_leaving *server)
{
	unsigned i;

	for (i = 0; i < r->n_leaving_servers; i++)
		if (r->leaving_servers[i].server == server->server &&
		    r->leaving_servers[i].started == server->started)
			return;
	if (r->n_leaving_servers < CS_REPORT_LEAVING_MAX)
		r->leaving_servers[r->n_leaving_servers++] = *server;
}

static bool is_reported(const struct cs_backend *b, uint64_t now_us)
{
	return cs_backend_is_leaving(b) && b->leaving_response_us > 0 &&
	       now_us - b->leaving_response_us < REPORT_US;
}

void leaving_report(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us)
{
	unsigned n = 0, i = 0, first;
	struct cs_steer_service *svc;
	struct cs_backend *b;

	r->n_leaving_servers = 0;
	FOREACH_BACKEND(s, svc, b)
		n += is_reported(b, now_us);
	first = rotation_next(&s->leaving_reported, n, CS_REPORT_LEAVING_MAX);
	if (n == 0)
		return;
	FOREACH_BACKEND(s, svc, b)
		if (is_reported(b, now_us) && (i++ + n - first) % n < CS_REPORT_LEAVING_MAX)
			report_add(r,
				   &(struct cs_report_leaving){b->id_hash, backend_started_low(b)});
}

void leaving_merge(struct cs_steer_report *to, const struct cs_steer_report *from)
{
	unsigned i;

	for (i = 0; i < from->n_leaving_servers; i++)
		report_add(to, &from->leaving_servers[i]);
}

void leaving_apply(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us)
{
	struct cs_backend *b;
	unsigned i;

	for (i = 0; i < r->n_leaving_servers; i++) {
		b = servers_by_id_hash(s, r->leaving_servers[i].server);
		if (b == NULL || cs_backend_is_leaving(b) ||
		    r->leaving_servers[i].started != backend_started_low(b))
			continue;
		mark(b, now_us);
		b->leaving_logged = false;
		s->n_leaving_unlogged++;
	}
}
