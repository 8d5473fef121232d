/* Core: which configuration document is in force, and pulling a newer one. */
#include <string.h>

#include "core-int.h"

/* Time after which an unanswered pull is repeated. */
#define PULL_AGAIN_US (300 * CS_US_PER_MS)
#define HASH_SEED 7

static const char *const accept_names[] = {"accepted", "same", "older", "differs", "bad"};

const char *core_accept_name(enum core_accept a)
{
	return accept_names[a];
}

/* Compares with the document in force; ACCEPTED means that it may replace it. */
static enum core_accept compare(const struct core *c, const struct cs_config *cfg)
{
	if (c->cfg == NULL || cs_fault("revision"))
		return CORE_ACCEPTED;
	if (cfg->revision > c->cfg->revision)
		return CORE_ACCEPTED;
	if (cfg->revision < c->cfg->revision)
		return CORE_OLDER;
	if (cfg->text_len == c->cfg->text_len &&
	    memcmp(cfg->text, c->cfg->text, cfg->text_len) == 0)
		return CORE_SAME;
	return CORE_DIFFERS;
}

enum core_accept core_config(struct core *c, const char *text, size_t len, uint64_t now_us,
			     struct cs_msg *msg)
{
	struct cs_config *cfg = cs_config_parse(text, len, msg);
	enum core_accept a;

	if (cfg == NULL) {
		c->stats.bad++;
		cs_log(CS_ERR, "config", "Document refused: %s.", msg->text);
		return CORE_BAD;
	}
	a = compare(c, cfg);
	switch (a) {
	case CORE_ACCEPTED:
		cs_config_unref(c->cfg);
		c->cfg = cfg;
		c->cfg_hash = cs_hash(cfg->text, cfg->text_len, HASH_SEED);
		c->config_seq = ++c->view_seq;
		c->stats.accepted++;
		c->self->revision = cfg->revision;
		/* Peers that are behind learn of it at once and pull. */
		members_send_heartbeats(c, now_us);
		c->digest_now = true;
		digest_tick(c, now_us);
		cs_log(CS_INFO, "config", "Document in force. revision=%llu",
		       (unsigned long long)cfg->revision);
		return a;
	case CORE_OLDER:
		c->stats.older++;
		cs_msg_set(msg, "revision %llu is older than %llu",
			   (unsigned long long)cfg->revision, (unsigned long long)c->cfg->revision);
		break;
	case CORE_DIFFERS:
		c->stats.differs++;
		cs_msg_set(msg, "revision %llu has other content than the one in force",
			   (unsigned long long)cfg->revision);
		cs_log(CS_ERR, "config", "Document refused: %s.", msg->text);
		break;
	case CORE_SAME:
	case CORE_BAD:
		break;
	}
	cs_config_unref(cfg);
	return a;
}

void config_seen(struct core *c, const struct core_origin *from, uint64_t revision, uint64_t now_us)
{
	struct cs_wire_msg m = {.type = CS_WIRE_CONFIG_GET};
	uint64_t held = c->cfg ? c->cfg->revision : 0;

	if (revision <= held)
		return;
	/* One pull at a time for a revision, so that many heartbeats cost one document. */
	if (revision <= c->asked_revision && now_us - c->pull_us < PULL_AGAIN_US)
		return;
	c->asked_revision = revision;
	c->pull_us = now_us;
	m.u.config_get.instance = c->opts.instance;
	m.u.config_get.revision = held;
	core_post(c, from, &m);
}
