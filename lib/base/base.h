/*
 * base: logging, error messages, memory, clocks, timers, random numbers, metrics and settings.
 * Durations are in microseconds (us) of the monotonic clock unless the name has another unit.
 */
#ifndef CS_BASE_H
#define CS_BASE_H

#include <sys/types.h>
#include <bsd/sys/cdefs.h>
#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CS_UNUSED __attribute__((unused))

/* Generates red-black tree functions with internal linkage; unused ones cause no warning. */
#define CS_RB_GENERATE(name, type, field, cmp)                                                     \
	RB_GENERATE_INTERNAL(name, type, field, cmp, CS_UNUSED static)

#define CS_US_PER_MS 1000ULL
#define CS_US_PER_S 1000000ULL

/* Log levels, numbered as syslog severities. */
enum cs_log_level { CS_ERR = 3, CS_WARNING = 4, CS_NOTICE = 5, CS_INFO = 6, CS_DEBUG = 7 };

/* Rate limit of one log call site: at most CS_LOG_BURST lines per second. */
struct cs_log_site {
	uint64_t window_us;
	unsigned count;
	unsigned suppressed;
};

#define CS_LOG_BURST 10

/* Sets the program name and the most verbose level that is written. */
void cs_log_open(const char *ident, enum cs_log_level max);
/* Returns the level of that name, or -1. */
int cs_log_level_parse(const char *name);
void cs_log_write(struct cs_log_site *site, enum cs_log_level level, const char *component,
		  const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * Writes one line "<severity>ident[level]: component: text"; text is a short sentence followed by
 * key=value pairs.
 */
#define cs_log(level, component, ...)                                                              \
	do {                                                                                       \
		static struct cs_log_site cs_log_site_;                                            \
		cs_log_write(&cs_log_site_, level, component, __VA_ARGS__);                        \
	} while (0)

/* Buffer for an error message or another short text; longer text is truncated. */
#define CS_MSG_MAX 256
struct cs_msg {
	char text[CS_MSG_MAX];
};
void cs_msg_set(struct cs_msg *msg, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* Allocation functions that abort the process if memory runs out; sizes in bytes. */
void *cs_xcalloc(size_t n, size_t size);
void *cs_xrealloc(void *p, size_t n, size_t size);
char *cs_xstrdup(const char *s);
char *cs_xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Copies a string, truncated to size and always terminated; returns true if it was not truncated. */
bool cs_copy(char *dst, size_t size, const char *src);

uint64_t cs_mono_us(void);
/* Like cs_mono_us, but also counts while the machine is suspended. */
uint64_t cs_boottime_us(void);
/* Wall clock in ms since 1970; only for deadlines set by operators and for records. */
int64_t cs_wall_ms(void);

uint64_t cs_hash(const void *data, size_t len, uint64_t seed);
uint64_t cs_hash_str(const char *s, uint64_t seed);
/* Writes prefix and 16 random hex digits; size must be at least strlen(prefix) + 17. */
void cs_random_id(char *out, size_t size, const char *prefix);
uint64_t cs_random_u64(void);

/* Fast seeded pseudo-random generator; not for cryptographic use. */
struct cs_rng {
	uint64_t state;
};
void cs_rng_seed(struct cs_rng *rng, uint64_t seed);
uint64_t cs_rng_next(struct cs_rng *rng);
/* Uniform in [0, n); n > 0. */
uint32_t cs_rng_below(struct cs_rng *rng, uint32_t n);
/* Uniform in [0, 1). */
double cs_rng_unit(struct cs_rng *rng);

/* Timers of an event loop, ordered by due time and driven by a single libev timer. */
struct cs_timers;
struct cs_timer;
typedef void (*cs_timer_cb)(struct cs_timer *timer, void *arg);

struct cs_timer {
	RB_ENTRY(cs_timer) entry;
	uint64_t due_us;
	uint64_t period_us; /* 0: one-shot */
	uint64_t seq; /* start order, to break ties */
	cs_timer_cb cb;
	void *arg;
	struct cs_timers *owner; /* NULL while stopped */
};

struct cs_timers *cs_timers_create(struct ev_loop *loop);
void cs_timers_destroy(struct cs_timers *ts);
/* Monotonic time in us at the start of the current loop iteration. */
uint64_t cs_timers_now(const struct cs_timers *ts);
/*
 * Calls cb if the loop wakes up more than limit_us late, for example because the process was
 * stopped by SIGSTOP; delay_us is how late it is.
 */
typedef void (*cs_suspend_cb)(uint64_t delay_us, void *arg);
void cs_timers_on_suspend(struct cs_timers *ts, uint64_t limit_us, cs_suspend_cb cb, void *arg);
/* Calls cb at the end of each iteration of the loop with the time since its wake-up. */
typedef void (*cs_turn_cb)(uint64_t duration_us, void *arg);
void cs_timers_on_turn(struct cs_timers *ts, cs_turn_cb cb, void *arg);
void cs_timer_init(struct cs_timer *t, cs_timer_cb cb, void *arg);
/* Starts or restarts the timer to fire once after delay_us. */
void cs_timer_start(struct cs_timers *ts, struct cs_timer *t, uint64_t delay_us);
/* Starts or restarts the timer to fire every period_us. */
void cs_timer_start_every(struct cs_timers *ts, struct cs_timer *t, uint64_t period_us);
void cs_timer_stop(struct cs_timer *t);
static inline bool cs_timer_active(const struct cs_timer *t)
{
	return t->owner != NULL;
}

/*
 * Log-linear histogram of durations in us, of fixed size: 16 linear buckets for each power of two,
 * so that a quantile is at most 1/16 above the true value.
 */
#define CS_HIST_STEPS 16
#define CS_HIST_POWERS 32
struct cs_hist {
	uint64_t count;
	uint64_t sum_us;
	uint32_t bucket[CS_HIST_POWERS * CS_HIST_STEPS];
};
void cs_hist_add(struct cs_hist *h, uint64_t us);
/* Upper bound of the bucket that contains quantile q (0..1); 0 if empty. */
uint64_t cs_hist_quantile(const struct cs_hist *h, double q);
/* Number of samples in buckets whose upper bound is at most us. */
uint64_t cs_hist_count_at_most(const struct cs_hist *h, uint64_t us);
void cs_hist_merge(struct cs_hist *to, const struct cs_hist *from);
/* Halves every bucket, so that older samples count less. */
void cs_hist_decay(struct cs_hist *h);
void cs_hist_clear(struct cs_hist *h);

/* Registry of counters, gauges and histograms, printed in the Prometheus text format. */
struct cs_metrics;
struct cs_metrics *cs_metrics_create(void);
void cs_metrics_destroy(struct cs_metrics *m);
/*
 * These return the address of the value, valid until the registry is destroyed; calls with the same
 * name and labels return the same address. labels is "" or, for example, `class="lookups"`. Names
 * of counters end in _total, names of durations in their unit.
 */
uint64_t *cs_metrics_counter(struct cs_metrics *m, const char *name, const char *labels,
			     const char *help);
int64_t *cs_metrics_gauge(struct cs_metrics *m, const char *name, const char *labels,
			  const char *help);
struct cs_hist *cs_metrics_hist(struct cs_metrics *m, const char *name, const char *labels,
				const char *help);
/* Returns all metrics as text; the caller frees it with free(). */
char *cs_metrics_text(const struct cs_metrics *m);

/* Row of the settings table, from which flags, environment, --help and documentation are derived. */
enum cs_setting_kind { CS_SET_STRING, CS_SET_INT, CS_SET_BOOL, CS_SET_CHOICE };
struct cs_setting {
	const char *name; /* flag without dashes; the environment variable is CASSIA_NAME */
	enum cs_setting_kind kind;
	const char *def; /* default as text; NULL: the setting is required */
	int64_t min, max; /* CS_SET_INT */
	const char *choices; /* CS_SET_CHOICE: "a|b|c" */
	const char *unit; /* "ms", "port", "" */
	const char *help;
	/* Set by cs_settings_load. */
	char *text;
	int64_t num; /* integer, boolean, or index of the choice */
};

enum cs_settings_status { CS_SETTINGS_OK, CS_SETTINGS_EXIT, CS_SETTINGS_INVALID };
/*
 * Fills the table, which ends with a row whose name is NULL. Flags override environment variables,
 * which override defaults. --version prints the version and returns CS_SETTINGS_EXIT; --help prints
 * the settings and exits the process. If a value is invalid, the message contains the setting, the
 * value and what is allowed; if an argument is not a flag, it contains the argument.
 */
enum cs_settings_status cs_settings_load(struct cs_setting *table, const char *summary, int *argc,
					 char ***argv, struct cs_msg *msg);
void cs_settings_free(struct cs_setting *table);
/* These abort the process if the table has no setting of that name. */
const struct cs_setting *cs_setting_get(const struct cs_setting *table, const char *name);
const char *cs_setting_text(const struct cs_setting *table, const char *name);
int64_t cs_setting_int(const struct cs_setting *table, const char *name);

/*
 * Fault injection. In a build with FAULTS=1, returns true if the comma-separated environment
 * variable CASSIA_FAULT contains the name. The caller then disables one mechanism, so that a test
 * can show which failure the mechanism prevents.
 */
#if CS_FAULTS
bool cs_fault_enabled(const char *name);
#else
#define cs_fault_enabled(name) false
#endif

/* Returns the name with the smallest edit distance to word, or NULL if none is similar. */
const char *cs_closest_name(const char *word, const char *const *names, size_t n);

#endif
