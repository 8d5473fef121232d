/* Loads the list of listeners and runs the event loop. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/links/links.h"

struct ev_loop *loop;
struct cs_timers *timers;
struct listener_list listeners = TAILQ_HEAD_INITIALIZER(listeners);

static struct cs_setting settings[] = {
	{.name = "list",
	 .def = NULL,
	 .unit = "",
	 .help = "JSON file with listeners (address, port, to_address, to_port, zone), sources "
		 "(prefix, zone) and links (from, to, ms, mbit, link)"},
	{.name = "control-address",
	 .def = "127.0.0.1",
	 .unit = "",
	 .help = "address of the control port"},
	{.name = "control-port",
	 .kind = CS_SET_INT,
	 .def = "8701",
	 .min = 0,
	 .max = 65535,
	 .unit = "",
	 .help = "control port"},
	{.name = "log",
	 .def = "",
	 .unit = "",
	 .help = "log of refused connections, JSON lines; empty: none"},
	{.name = NULL},
};

static bool load_listeners(json_t *doc, struct cs_msg *msg)
{
	const char *addr, *to, *zone;
	struct listener *l;
	int port, to_port;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(doc, "listeners"), i, row) {
		if (json_unpack(row, "{s:s,s:i,s:s,s:i,s:s}", "address", &addr, "port", &port,
				"to_address", &to, "to_port", &to_port, "zone", &zone) != 0) {
			cs_msg_set(msg, "listeners[%zu]: missing or malformed field", i);
			return false;
		}
		l = cs_xcalloc(1, sizeof(*l));
		cs_copy(l->addr, sizeof(l->addr), addr);
		cs_copy(l->upstream_addr, sizeof(l->upstream_addr), to);
		l->port = (uint16_t)port;
		l->upstream_port = (uint16_t)to_port;
		l->zone = zone_index(zone);
		TAILQ_INSERT_TAIL(&listeners, l, entry);
	}
	return true;
}

static bool load_file(const char *path, struct cs_msg *msg)
{
	json_error_t err;
	json_t *doc = json_load_file(path, 0, &err);
	bool ok;

	if (doc == NULL) {
		cs_msg_set(msg, "%s: %s", path, err.text);
		return false;
	}
	ok = zones_load(doc, msg) && load_listeners(doc, msg);
	json_decref(doc);
	return ok;
}

static void on_signal(struct ev_loop *l, ev_signal *w, int events)
{
	ev_break(l, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	ev_signal term, intr;
	struct cs_msg msg;

	cs_log_open("standin-links", CS_INFO);
	switch (cs_settings_load(settings, "Simulated network between zones for tests", &argc,
				 &argv, &msg)) {
	case CS_SETTINGS_EXIT:
		return 0;
	case CS_SETTINGS_INVALID:
		fprintf(stderr, "standin-links: %s\n", msg.text);
		return 2;
	case CS_SETTINGS_OK:
		break;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	timers = cs_timers_create(loop);
	if (!load_file(cs_setting_text(settings, "list"), &msg) ||
	    !relay_log_open(cs_setting_text(settings, "log"), &msg) || !relay_start(&msg) ||
	    !control_start(cs_setting_text(settings, "control-address"),
			   (uint16_t)cs_setting_int(settings, "control-port"), &msg)) {
		fprintf(stderr, "standin-links: %s\n", msg.text);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	return 0;
}
