/* What ended sends and stated loads teach about servers. */
#include "steer/steer-int.h"

/* Weight of one answer in the smoothed figures. */
#define WORK_WEIGHT 0.02
#define SLOW_WEIGHT 0.15
#define ERROR_WEIGHT 0.1
/* A ratio beyond this says only that the answer was very late: one straggler proves nothing. */
#define SLOW_RATIO_MAX 4.0
/* Rest of a server after a refusal, doubled up to the longest. */
#define BACKOFF_FIRST_US (100 * CS_US_PER_MS)
#define BACKOFF_STEPS 4
/* Rest of a server that cannot be reached. */
#define BACKOFF_UNSENT_US (300 * CS_US_PER_MS)

static const char *const outcome_names[] = {"ok",   "error",	   "cancelled", "timeout",
					    "shed", "misdirected", "unsent"};

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

static struct route_state *route_of(struct cs_steer *s, const struct cs_steer_ask *ask)
{
	if (s->doc == NULL || ask->version != s->doc->version)
		return NULL;
	return &s->routes[ask->route];
}

/* A whole answer: its time is a sample of the route, the service and the server. */
static void take_time(struct cs_steer *s, struct cs_steer_ask *ask, struct cs_backend *b,
		      uint64_t took_us)
{
	struct route_state *r = route_of(s, ask);
	double usual = steer_work(s, ask), ratio = (double)took_us / usual;

	if (ratio > SLOW_RATIO_MAX)
		ratio = SLOW_RATIO_MAX;
	steer_smooth(&b->slow, ratio, SLOW_WEIGHT);
	steer_smooth(&b->service->work_us, (double)took_us, WORK_WEIGHT);
	if (r == NULL)
		return;
	if (r->work_us <= 0)
		r->work_us = (double)took_us;
	else
		steer_smooth(&r->work_us, (double)took_us, WORK_WEIGHT);
}

void cs_steer_ended(struct cs_steer *s, struct cs_steer_ask *ask, struct cs_backend *b,
		    enum cs_steer_outcome outcome, uint64_t took_us, uint64_t now_us)
{
	b->in_flight--;
	switch (outcome) {
	case CS_STEER_OK:
		b->backoff_step = 0;
		steer_smooth(&b->errors, 0, ERROR_WEIGHT);
		take_time(s, ask, b, took_us);
		break;
	case CS_STEER_ERROR:
		steer_smooth(&b->errors, 1, ERROR_WEIGHT);
		break;
	case CS_STEER_TIMEOUT:
		steer_smooth(&b->slow, SLOW_RATIO_MAX, SLOW_WEIGHT);
		break;
	case CS_STEER_CANCELLED:
		if ((double)took_us > 2 * steer_work(s, ask))
			steer_smooth(&b->slow, 2, SLOW_WEIGHT);
		break;
	case CS_STEER_SHED:
		backoff(b, BACKOFF_FIRST_US, now_us);
		break;
	case CS_STEER_MISDIRECTED:
		/* Its address belongs to another server now; its own entry will say more. */
		backend_doubt(b, now_us);
		break;
	case CS_STEER_UNSENT:
		ask->n_sent--;
		backoff(b, BACKOFF_UNSENT_US, now_us);
		backend_doubt(b, now_us);
		break;
	}
}

void cs_steer_load(struct cs_steer *s, struct cs_backend *b, const struct cs_server_load *l,
		   uint64_t now_us)
{
	b->load = *l;
	b->load_us = now_us;
}
