/*
 * State machine of a change feed: when to read all items of a store with revisions and a bounded
 * history, when to watch it, and how long a server whose entry is missing stays usable. Performs no
 * I/O: takes results and a clock, returns the next step.
 */
#ifndef CS_STEER_FEED_H
#define CS_STEER_FEED_H

#include "base/base.h"

/* Live servers rewrite their entries within this time after the store recovers. */
#define CS_FEED_REWRITE_US (2000 * CS_US_PER_MS)

enum cs_feed_kind {
	CS_FEED_PAUSE, /* do nothing until until_us */
	CS_FEED_READ, /* read the next page of all items */
	CS_FEED_WATCH /* wait for changes after a revision */
};

enum cs_feed_role {
	CS_FEED_STANDALONE, /* watches the store for itself */
	CS_FEED_ROOT, /* watches the store for its zone */
	CS_FEED_FOLLOWER /* gets changes from the roots of its zone */
};

struct cs_feed_step {
	enum cs_feed_kind kind;
	uint64_t until_us; /* PAUSE */
	bool first; /* READ: first page */
	uint64_t after; /* WATCH: revision */
	unsigned wait_ms; /* WATCH: longest time without a change */
	unsigned timeout_ms; /* READ, WATCH: the call has failed after this time */
};

struct cs_feed {
	bool reading; /* a full read is due or in progress */
	bool more_pages; /* the first page was read, more follow */
	uint64_t page_revision; /* revision of the first page; the pages are not a consistent
				   snapshot */
	bool known; /* at least one full read was completed */
	uint64_t revision;
	/* Changes of servers' entries are known up to this revision, if it is higher. */
	uint64_t entries_revision;
	uint64_t pause_until_us;
	unsigned failures; /* number of consecutive failed calls */
	uint64_t last_response_us;
	uint64_t stable_since_us; /* every call since then succeeded */
	uint64_t grace_until_us; /* entries that expired during an outage may return until then */
	uint64_t last_call_us; /* time of the last step other than PAUSE */
	bool calling; /* the call of that step has not ended */
	uint64_t call_wait_us; /* time that the store may wait before it responds to that call */
	uint64_t response_delay_us; /* of the last watch without changes, beyond its wait */
	enum cs_feed_role role;
	bool following; /* another instance watches and relays changes */
	uint64_t behind_since_us; /* following: when this instance fell behind; 0: it is not */
	struct cs_rng rng;
};

void cs_feed_init(struct cs_feed *f, uint64_t seed, uint64_t now_us);
void cs_feed_next(struct cs_feed *f, uint64_t now_us, struct cs_feed_step *out);
/* A page was read. Returns true if the full read is complete. */
bool cs_feed_page_read(struct cs_feed *f, uint64_t revision, bool more, uint64_t now_us);
/* A watch completed, with or without events. */
void cs_feed_watch_completed(struct cs_feed *f, uint64_t revision, unsigned n_events,
			     uint64_t now_us);
/* The store no longer has the changes after the revision: a full read follows. */
void cs_feed_history_lost(struct cs_feed *f, uint64_t now_us);
/*
 * The store was restored from a copy: a full read follows, and what was written since the copy was
 * made is written again within CS_FEED_REWRITE_US.
 */
void cs_feed_restored(struct cs_feed *f, uint64_t now_us);
/* A call failed or timed out. */
void cs_feed_call_failed(struct cs_feed *f, uint64_t now_us);
/*
 * Sets the role of this instance in its zone and the revision of an instance that watches the store
 * (0: none watches). A follower makes no calls unless it falls behind or no instance watches.
 */
void cs_feed_set_role(struct cs_feed *f, enum cs_feed_role role, uint64_t revision,
		      uint64_t now_us);
/*
 * Changes after revision from up to revision to were relayed. Returns true if they are to be
 * applied.
 */
bool cs_feed_apply_relayed(struct cs_feed *f, uint64_t from, uint64_t to, uint64_t now_us);
/*
 * A response of the store to another call shows, while a long response is being received, that the
 * store is reached.
 */
void cs_feed_contact(struct cs_feed *f, uint64_t now_us);
/*
 * Changes of servers' entries alone, after revision from up to revision to, have arrived ahead of
 * others. Returns true if they are to be applied.
 */
bool cs_feed_apply_entries(struct cs_feed *f, uint64_t from, uint64_t to);
/* Up to this revision, changes of servers' entries are known. */
uint64_t cs_feed_entries_revision(const struct cs_feed *f);
/* How long a server whose entry is found missing now stays usable, in us. */
uint64_t cs_feed_grace_us(const struct cs_feed *f, uint64_t now_us);
/* True if the store responded recently to a call of this instance. */
bool cs_feed_is_fresh(const struct cs_feed *f, uint64_t now_us);
/* True if all calls have succeeded for so long that no entry can have expired unnoticed. */
bool cs_feed_is_stable(const struct cs_feed *f, uint64_t now_us);
/* True while calls to the store fail. */
static inline bool cs_feed_is_unavailable(const struct cs_feed *f)
{
	return f->failures > 0;
}

#endif
