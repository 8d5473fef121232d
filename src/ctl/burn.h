/*
 * Burn rates of the error budgets of service-level objectives: the error ratio in a window, as a
 * multiple of the allowed error ratio. A constant rate of 1 uses up the budget exactly.
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

/* Counts and rates of one class in one window. */
struct burn_rate {
	struct counters counts;
	double within_pct; /* share of successful requests within the latency target */
	double answered_pct; /* share of all requests neither refused nor failed */
	double latency_burn; /* burn rate of the latency budget */
	double answer_burn; /* burn rate of the availability budget */
};

struct burn_report {
	const struct cs_config *cfg;
	const struct burn_samples *samples;
	struct burn_window windows[BURN_WINDOWS_MAX]; /* shortest first */
	unsigned n_windows;
};

/*
 * Selects the windows that the samples cover: window_s and a twelfth of it, or the default windows
 * if window_s is 0.
 */
void burn_report_init(struct burn_report *r, const struct cs_config *cfg,
		      const struct burn_samples *s, double window_s);
/* Rates of a class from a sample to the last one, over all zones (NULL) or one. */
struct burn_rate burn_rate_of(const struct burn_report *r, const struct cs_class *class,
			      const struct sample *from, const char *zone);
/* Rates between two samples. */
struct burn_rate burn_rate_between(const struct cs_class *class, const struct sample *later,
				   const struct sample *earlier, const char *zone);
/* Number of requests that missed the latency target, were refused or failed. */
uint64_t burn_bad_requests(const struct burn_rate *r);
/* Zone with the most bad requests of a class and its share, 0..1; NULL if there are none. */
const char *burn_worst_zone(const struct burn_report *r, const struct cs_class *class,
			    const struct sample *from, double *share);

json_t *burn_json(const struct burn_report *r);
/* Self-contained HTML page; the caller frees it. */
char *burn_html(const struct burn_report *r);

/* Appends the samples of a record file, before newer ones; a missing file is treated as empty. */
bool burn_record_read(struct burn_samples *s, const char *path, struct cs_msg *msg);
bool burn_record_write(const struct burn_samples *s, const char *path, struct cs_msg *msg);
void burn_samples_add(struct burn_samples *s, struct sample one);
void burn_samples_free(struct burn_samples *s);

#endif
