/* Loads the server list, opens the listeners and runs the event loop. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tests/standins/servers/servers.h"

#define HEADER_MEMORY_BYTES (8 * 1024)

struct ev_loop *loop;
struct cs_timers *timers;
struct server_list servers = TAILQ_HEAD_INITIALIZER(servers);
struct listener_set *listener_set;
struct cs_rng rng;
unsigned load_sample_index;

static struct cs_setting settings[] = {
	{.name = "list",
	 .def = NULL,
	 .unit = "",
	 .help = "JSON file: array of objects with name, service, zone, address, port and "
		 "fields of the behaviour"},
	{.name = "log", .def = "", .unit = "", .help = "request log, JSON lines; empty: none"},
	{.name = "control-address",
	 .def = "127.0.0.1",
	 .unit = "",
	 .help = "address of the control port"},
	{.name = "control-port",
	 .kind = CS_SET_INT,
	 .def = "8601",
	 .min = 0,
	 .max = 65535,
	 .unit = "",
	 .help = "control port"},
	{.name = "seed",
	 .kind = CS_SET_INT,
	 .def = "1",
	 .min = 0,
	 .max = INT32_MAX,
	 .unit = "",
	 .help = "seed of the random service times and faults"},
	{.name = NULL},
};

static const struct behaviour defaults = {
	.slots = 9,
	.straggler_factor = 20,
	.slow_factor = 1,
	.cold_factor = 1,
	.late_ms = 500,
	.answer_bytes = 64,
	.report_late_ms = 2000,
};

static bool server_add(json_t *row, struct cs_msg *msg)
{
	struct server *s = cs_xcalloc(1, sizeof(*s));
	const char *name, *service, *zone, *addr, *key;
	json_t *value;
	int port;

	if (json_unpack(row, "{s:s,s:s,s:s,s:s,s:i}", "name", &name, "service", &service, "zone",
			&zone, "address", &addr, "port", &port) != 0) {
		cs_msg_set(msg, "server entry without name, service, zone, address or port");
		free(s);
		return false;
	}
	cs_copy(s->name, sizeof(s->name), name);
	cs_copy(s->service, sizeof(s->service), service);
	cs_copy(s->zone, sizeof(s->zone), zone);
	cs_copy(s->addr, sizeof(s->addr), addr);
	s->behaviour = defaults;
	TAILQ_INIT(&s->queue);
	json_object_foreach(row, key, value)
		if (json_is_number(value) && strcmp(key, "port") != 0 &&
		    !behaviour_set(s, key, json_number_value(value)))
			cs_log(CS_WARNING, "main", "Unknown behaviour ignored. name=%s", key);
	s->mean_us = s->behaviour.service_ms * (double)CS_US_PER_MS;
	s->warm_runs = (unsigned)s->behaviour.cold_runs;
	s->listener = mhd_listener_create(listener_set, addr, (uint16_t)port, s, msg);
	if (s->listener == NULL) {
		free(s);
		return false;
	}
	s->port = mhd_listener_port(s->listener);
	TAILQ_INSERT_TAIL(&servers, s, entry);
	return true;
}

static bool load_servers(const char *path, struct cs_msg *msg)
{
	json_error_t err;
	json_t *doc = json_load_file(path, 0, &err), *row;
	bool ok = true;
	size_t i;

	if (!json_is_array(doc)) {
		cs_msg_set(msg, "%s: %s", path, doc ? "not a JSON array" : err.text);
		json_decref(doc);
		return false;
	}
	json_array_foreach(doc, i, row)
		ok = ok && server_add(row, msg);
	json_decref(doc);
	return ok;
}

/* Records the load of every server for REPORT_LATE. */
static void on_load_sample(struct cs_timer *t, void *arg)
{
	struct server *s;

	load_sample_index = (load_sample_index + 1) % LOAD_SAMPLES;
	TAILQ_FOREACH(s, &servers, entry) {
		s->load_samples[load_sample_index].in_flight = s->outstanding;
		s->load_samples[load_sample_index].service_us = (unsigned)s->mean_us;
	}
}

static void on_signal(struct ev_loop *l, ev_signal *w, int events)
{
	ev_break(l, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	struct cs_timer load_sample;
	ev_signal term, intr;
	struct cs_msg msg;

	cs_log_open("standin-servers", CS_INFO);
	switch (cs_settings_load(settings, "Simulated backend servers for tests", &argc, &argv,
				 &msg)) {
	case CS_SETTINGS_EXIT:
		return 0;
	case CS_SETTINGS_INVALID:
		fprintf(stderr, "standin-servers: %s\n", msg.text);
		return 2;
	case CS_SETTINGS_OK:
		break;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	timers = cs_timers_create(loop);
	cs_rng_seed(&rng, (uint64_t)cs_setting_int(settings, "seed"));
	listener_set = listener_set_create(loop, timers, on_access, on_completed, NULL,
					   HEADER_MEMORY_BYTES);
	if (listener_set == NULL || !log_open(cs_setting_text(settings, "log"), &msg) ||
	    !load_servers(cs_setting_text(settings, "list"), &msg) ||
	    !control_start(cs_setting_text(settings, "control-address"),
			   (uint16_t)cs_setting_int(settings, "control-port"), &msg)) {
		fprintf(stderr, "standin-servers: %s\n",
			listener_set ? msg.text : "cannot start the HTTP server");
		return 1;
	}
	cs_timer_init(&load_sample, on_load_sample, NULL);
	cs_timer_start_every(timers, &load_sample, LOAD_SAMPLE_INTERVAL_US);
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	runs_log_unfinished();
	log_close();
	return 0;
}
