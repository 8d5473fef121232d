/* Server statistics from the outcome of attempts and from reported load. */
#include "steer/steer-int.h"

/* Weight of one sample in the moving averages. */
#define SERVICE_TIME_WEIGHT 0.02
#define LATENCY_RATIO_WEIGHT 0.15
#define ERROR_WEIGHT 0.1
/* Bounds the effect of a single very late response on the average. */
#define LATENCY_RATIO_MAX 4.0
/* Back-off after a rejected request, doubled at each step. */
#define BACKOFF_FIRST_US (100 * CS_US_PER_MS)
#define BACKOFF_STEPS 4
/* Back-off after a failed connection. */
#define BACKOFF_UNSENT_US (300 * CS_US_PER_MS)

static const char *const outcome_names[] = {"ok",   "error",	   "cancelled", "timeout",
					    "shed", "misdirected", "unsent",	"withheld"};

const char *cs_steer_outcome_name(enum cs_steer_outcome o)
{
	return outcome_names[o];
}

static void backoff(struct cs_backend *b, uint64_t first_us, uint64_t now_us)
{
	b->backoff_until_us = now_us + (first_us << b->backoff_step);
	if (b->backoff_step < BACKOFF_STEPS)
		b->backoff_step++;
}

static struct route_state *route_state_of(struct cs_steer *s, const struct cs_steer_request *req)
{
	if (s->doc == NULL || req->version != s->doc->version)
		return NULL;
	return &s->routes[req->route];
}

/*
 * Updates the service times of the route and the service and the latency ratio of the server after
 * a complete response.
 */
static void record_response_time(struct cs_steer *s, struct cs_steer_request *req,
				 struct cs_backend *b, uint64_t took_us)
{
	struct route_state *r = route_state_of(s, req);
	double expected = steer_service_time(s, req), ratio = (double)took_us / expected;

	if (ratio > LATENCY_RATIO_MAX)
		ratio = LATENCY_RATIO_MAX;
	steer_update_average(&b->latency_ratio, ratio, LATENCY_RATIO_WEIGHT);
	steer_update_average(&b->service->service_time_us, (double)took_us, SERVICE_TIME_WEIGHT);
	if (r == NULL)
		return;
	if (r->service_time_us <= 0)
		r->service_time_us = (double)took_us;
	else
		steer_update_average(&r->service_time_us, (double)took_us, SERVICE_TIME_WEIGHT);
}

void cs_steer_attempt_ended(struct cs_steer *s, struct cs_steer_request *req, struct cs_backend *b,
			    enum cs_steer_outcome outcome, uint64_t took_us, uint64_t now_us)
{
	b->in_flight--;
	switch (outcome) {
	case CS_STEER_OK:
		b->backoff_step = 0;
		steer_update_average(&b->error_rate, 0, ERROR_WEIGHT);
		record_response_time(s, req, b, took_us);
		break;
	case CS_STEER_ERROR:
		steer_update_average(&b->error_rate, 1, ERROR_WEIGHT);
		break;
	case CS_STEER_TIMEOUT:
		steer_update_average(&b->latency_ratio, LATENCY_RATIO_MAX, LATENCY_RATIO_WEIGHT);
		break;
	case CS_STEER_CANCELLED:
		if ((double)took_us > 2 * steer_service_time(s, req))
			steer_update_average(&b->latency_ratio, 2, LATENCY_RATIO_WEIGHT);
		break;
	case CS_STEER_SHED:
		backoff(b, BACKOFF_FIRST_US, now_us);
		break;
	case CS_STEER_MISDIRECTED:
		/*
		 * Another server has the address now. This server is used again after a new entry
		 * or a successful health check.
		 */
		backend_require_probe(b, now_us);
		break;
	case CS_STEER_WITHHELD:
		req->n_sent--;
		break;
	case CS_STEER_UNSENT:
		req->n_sent--;
		b->unreachable_us = now_us;
		backoff(b, BACKOFF_UNSENT_US, now_us);
		backend_require_probe(b, now_us);
		break;
	}
}

void cs_steer_update_load(struct cs_backend *b, const struct cs_server_load *l, uint64_t sent_us,
			  uint64_t now_us)
{
	if (sent_us < b->process_since_us)
		return;
	b->load = *l;
	b->load_us = now_us;
}
