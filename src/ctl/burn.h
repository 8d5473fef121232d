/*
 * Service-level burn: the part of the error budget that a window used, as a multiple of what it may
 * use. A rate of 1 uses the budget exactly.
 */
#ifndef CS_CTL_BURN_H
#define CS_CTL_BURN_H

#include "src/ctl/counters.h"

#define BURN_WINDOWS_MAX 6

struct burn_samples {
	struct sample *list; /* oldest first */
	unsigned n;
};

struct burn_window {
	char name[24];
	double seconds; /* 0: since the processes started */
	const struct sample *from; /* NULL: since the processes started */
};

/* Figures of one class in one window. */
struct burn_rate {
	struct counters n;
	double within_pct; /* of answered requests, within the latency target */
	double answered_pct; /* of all requests, neither refused nor failed */
	double latency; /* burn rate */
	double answers; /* burn rate */
};

struct burn_report {
	const struct cs_config *cfg;
	const struct burn_samples *samples;
	struct burn_window windows[BURN_WINDOWS_MAX]; /* shortest first */
	unsigned n_windows;
};

/* Chooses the windows that the samples reach; window_s 0: all usual ones. */
void burn_report_init(struct burn_report *r, const struct cs_config *cfg,
		      const struct burn_samples *s, double window_s);
/* Rates of a class, of all zones or of one. */
struct burn_rate burn_rate_of(const struct burn_report *r, const struct cs_class *class,
			      const struct sample *from, const char *zone);
/* Rates between two samples. */
struct burn_rate burn_rate_between(const struct cs_class *class, const struct sample *later,
				   const struct sample *earlier, const char *zone);
/* Requests of a window that missed the latency target, were refused or failed. */
uint64_t burn_bad(const struct burn_rate *r);
/* Zone with the most bad requests of a class in a window, and its part; NULL without any. */
const char *burn_worst_zone(const struct burn_report *r, const struct cs_class *class,
			    const struct sample *from, double *part);

json_t *burn_json(const struct burn_report *r);
/* Self-contained page; free() it. */
char *burn_html(const struct burn_report *r);

/* Adds the samples of a record file in front; a missing file has none. */
bool burn_record_read(struct burn_samples *s, const char *path, struct cs_msg *msg);
bool burn_record_write(const struct burn_samples *s, const char *path, struct cs_msg *msg);
void burn_samples_add(struct burn_samples *s, struct sample one);
void burn_samples_free(struct burn_samples *s);

#endif
