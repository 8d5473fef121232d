/*
 * Plan file:
 *   {"seed":1,"duration_s":10,
 *    "callers":[{"address":"127.9.1.200","lookups":["http://127.9.1.1:8081"]}],
 *    "streams":[{"class":"lookups","rate":100,"path":"/x","method":"GET","idempotent":true,
 *      "upload_bytes":0,"answer_bytes":64,"deadline_ms":2000,"from_s":0,"to_s":10,"warm_s":1,
 *      "arrivals":"even","raw":false,"concurrency":0,"direct":["http://127.9.1.50:9000"]}]}
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/load/load.h"

static double get_number(json_t *obj, const char *name, double def)
{
	json_t *v = json_object_get(obj, name);

	return json_is_number(v) ? json_number_value(v) : def;
}

static const char *get_string(json_t *obj, const char *name, const char *def)
{
	const char *text = json_string_value(json_object_get(obj, name));

	return text ? text : def;
}

static uint64_t seconds_us(double s)
{
	return (uint64_t)(s * (double)CS_US_PER_S);
}

static bool read_stream(json_t *row, double duration, struct cs_msg *msg)
{
	struct stream *s = cs_xcalloc(1, sizeof(*s));
	json_t *urls = json_object_get(row, "direct"), *url;
	size_t i;

	cs_copy(s->class, sizeof(s->class), get_string(row, "class", ""));
	cs_copy(s->path, sizeof(s->path), get_string(row, "path", "/work"));
	s->rate = get_number(row, "rate", 0);
	s->concurrency = (unsigned)get_number(row, "concurrency", 0);
	s->upload_bytes = (uint64_t)get_number(row, "upload_bytes", 0);
	s->response_bytes = (uint64_t)get_number(row, "answer_bytes", 64);
	s->deadline_ms = (unsigned)get_number(row, "deadline_ms", 3000);
	s->idempotent = !json_is_false(json_object_get(row, "idempotent"));
	s->even_arrivals = strcmp(get_string(row, "arrivals", "poisson"), "even") == 0;
	s->raw = json_is_true(json_object_get(row, "raw"));
	cs_copy(s->method, sizeof(s->method),
		get_string(row, "method", s->upload_bytes > 0 ? "POST" : "GET"));
	s->from_us = seconds_us(get_number(row, "from_s", 0));
	s->to_us = seconds_us(get_number(row, "to_s", duration));
	s->warm_us = seconds_us(get_number(row, "warm_s", 0));
	cs_rng_seed(&s->rng, load.seed ^ cs_hash_str(s->class, json_array_size(urls)));
	s->n_direct_targets = (unsigned)json_array_size(urls);
	s->direct_targets = cs_xcalloc(s->n_direct_targets + 1, sizeof(*s->direct_targets));
	json_array_foreach(urls, i, url)
		cs_copy(s->direct_targets[i].url, sizeof(s->direct_targets[i].url),
			json_string_value(url) ? json_string_value(url) : "");
	TAILQ_INSERT_TAIL(&load.streams, s, entry);
	if (*s->class == '\0' || (s->rate <= 0 && s->concurrency == 0)) {
		cs_msg_set(msg, "plan: a stream needs a class and a rate or a concurrency");
		return false;
	}
	return true;
}

static void read_client(json_t *row, struct client *c)
{
	json_t *lookups = json_object_get(row, "lookups"), *url;
	size_t i;

	cs_copy(c->addr, sizeof(c->addr), get_string(row, "address", ""));
	TAILQ_INIT(&c->routes);
	json_array_foreach(lookups, i, url) {
		if (i >= LOAD_LOOKUPS_MAX)
			break;
		cs_copy(c->lookups[i], sizeof(c->lookups[i]),
			json_string_value(url) ? json_string_value(url) : "");
		c->n_lookups++;
	}
}

bool plan_load(const char *path, struct cs_msg *msg)
{
	json_error_t err;
	json_t *doc, *rows, *row;
	double duration;
	bool ok = true;
	size_t i;

	doc = strcmp(path, "-") == 0 ? json_loadf(stdin, 0, &err) : json_load_file(path, 0, &err);
	if (doc == NULL) {
		cs_msg_set(msg, "plan: %s, line %d", err.text, err.line);
		return false;
	}
	load.seed = (uint64_t)get_number(doc, "seed", 1);
	duration = get_number(doc, "duration_s", 10);
	rows = json_object_get(doc, "callers");
	load.n_clients = (unsigned)json_array_size(rows);
	load.clients = cs_xcalloc(load.n_clients + 1, sizeof(*load.clients));
	json_array_foreach(rows, i, row)
		read_client(row, &load.clients[i]);
	if (load.n_clients == 0) {
		TAILQ_INIT(&load.clients[0].routes);
		load.n_clients = 1;
	}
	rows = json_object_get(doc, "streams");
	json_array_foreach(rows, i, row)
		ok = ok && read_stream(row, duration, msg);
	if (json_array_size(rows) == 0) {
		cs_msg_set(msg, "plan: no streams");
		ok = false;
	}
	json_decref(doc);
	return ok;
}
