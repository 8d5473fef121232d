/* Core: validates configuration documents, keeps the active one and pulls newer ones from peers. */
#include <string.h>

#include "core-internal.h"

#define PULL_RETRY_US (300 * CS_US_PER_MS)
#define CONFIG_HASH_SEED 7

static const char *const config_result_names[] = {"accepted", "same", "older", "differs", "bad"};

const char *core_config_result_name(enum core_config_result result)
{
	return config_result_names[result];
}

/* Compares with the active document; CORE_CONFIG_ACCEPTED if it may replace the active one. */
static enum core_config_result compare_with_active(const struct core *c,
						   const struct cs_config *cfg)
{
	if (c->cfg == NULL || cs_fault_enabled("revision"))
		return CORE_CONFIG_ACCEPTED;
	if (cfg->revision > c->cfg->revision)
		return CORE_CONFIG_ACCEPTED;
	if (cfg->revision < c->cfg->revision)
		return CORE_CONFIG_OLDER;
	if (cfg->text_len == c->cfg->text_len &&
	    memcmp(cfg->text, c->cfg->text, cfg->text_len) == 0)
		return CORE_CONFIG_UNCHANGED;
	return CORE_CONFIG_CONFLICT;
}

enum core_config_result core_set_config(struct core *c, const char *text, size_t len,
					uint64_t now_us, struct cs_msg *msg)
{
	struct cs_config *cfg = cs_config_parse(text, len, msg);
	enum core_config_result result;

	if (cfg == NULL) {
		c->stats.invalid++;
		cs_log(CS_ERR, "config", "Configuration refused: %s.", msg->text);
		return CORE_CONFIG_INVALID;
	}
	result = compare_with_active(c, cfg);
	switch (result) {
	case CORE_CONFIG_ACCEPTED:
		cs_config_unref(c->cfg);
		c->cfg = cfg;
		c->cfg_hash = cs_hash(cfg->text, cfg->text_len, CONFIG_HASH_SEED);
		c->config_seq = ++c->view_seq;
		c->stats.accepted++;
		c->self->revision = cfg->revision;
		/* Announces the new revision, so that peers with an older one pull it. */
		members_send_heartbeats(c, now_us);
		c->digest_pending = true;
		digest_tick(c, now_us);
		cs_log(CS_INFO, "config", "Configuration in force. revision=%llu",
		       (unsigned long long)cfg->revision);
		return result;
	case CORE_CONFIG_OLDER:
		c->stats.older++;
		cs_msg_set(msg, "revision %llu is older than the active revision %llu",
			   (unsigned long long)cfg->revision, (unsigned long long)c->cfg->revision);
		break;
	case CORE_CONFIG_CONFLICT:
		c->stats.conflicts++;
		cs_msg_set(msg,
			   "revision %llu differs in content from the active document of this "
			   "revision",
			   (unsigned long long)cfg->revision);
		cs_log(CS_ERR, "config", "Configuration refused: %s.", msg->text);
		break;
	case CORE_CONFIG_UNCHANGED:
	case CORE_CONFIG_INVALID:
		break;
	}
	cs_config_unref(cfg);
	return result;
}

void config_pull_if_newer(struct core *c, const struct core_endpoint *from, uint64_t revision,
			  uint64_t now_us)
{
	struct cs_wire_msg m = {.type = CS_WIRE_CONFIG_GET};
	uint64_t held = c->cfg ? c->cfg->revision : 0;

	if (revision <= held)
		return;
	/* Heartbeats of many peers announce the same revision; one request is enough. */
	if (revision <= c->requested_revision && now_us - c->config_pull_us < PULL_RETRY_US)
		return;
	c->requested_revision = revision;
	c->config_pull_us = now_us;
	m.u.config_get.instance = c->opts.instance;
	m.u.config_get.revision = held;
	core_enqueue(c, from, &m);
}
