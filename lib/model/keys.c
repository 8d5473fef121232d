/* Schema of the configuration document: type, range, unit and default of each key. */
#include "model/model-local.h"

#define N_ELEMENTS(a) (sizeof(a) / sizeof((a)[0]))

static const struct cs_config_key document_keys[] = {
	{"format", CS_KEY_INT, true, 1, 1, 0, "", "Format of the document."},
	{"deployment", CS_KEY_NAME, true, 0, 0, 0, "", "Name of the deployment."},
	{"revision", CS_KEY_INT, true, 1, 999999999999999.0, 0, "", "Grows with each change."},
	{"changes", CS_KEY_LIST, false, 0, CS_CONFIG_CHANGES, 0, "", "Last changes, oldest first."},
	{"network", CS_KEY_OBJECT, true, 0, 0, 0, "", "Delays and links between zones."},
	{"regions", CS_KEY_LIST, true, 1, 1000, 0, "", "Regions."},
	{"zones", CS_KEY_LIST, true, 1, 4096, 0, "", "Availability zones."},
	{"services", CS_KEY_LIST, true, 1, 256, 0, "", "Backend services."},
	{"classes", CS_KEY_LIST, true, 1, 256, 0, "", "Classes of work."},
	{"shift", CS_KEY_OBJECT, true, 0, 0, 0, "", "Limits of traffic shifts."},
	{"drains", CS_KEY_LIST, false, 0, 1000, 0, "", "Zones and regions to be emptied."},
};

static const struct cs_config_key change_keys[] = {
	{"id", CS_KEY_NAME, true, 0, 0, 0, "", "Unique id of the change."},
	{"revision", CS_KEY_INT, true, 1, 999999999999999.0, 0, "", "Revision it made."},
	{"at", CS_KEY_TIME, true, 0, 0, 0, "", "Wall clock of the writer."},
	{"by", CS_KEY_NAME, true, 0, 0, 0, "", "Operator."},
	{"text", CS_KEY_TEXT, true, 0, 159, 0, "bytes", "What was changed."},
};

static const struct cs_config_key network_keys[] = {
	{"zone_delay_ms", CS_KEY_REAL, true, 0, 1000, 0, "ms",
	 "One-way delay between zones of a region."},
	{"region_delay_ms", CS_KEY_REAL, true, 0, 1000, 0, "ms", "One-way delay between regions."},
	{"link_mbit_s", CS_KEY_INT, true, 1, 10000000, 0, "Mbit/s",
	 "Link between two regions, each way."},
};

static const struct cs_config_key region_keys[] = {
	{"name", CS_KEY_NAME, true, 0, 0, 0, "", "Name of the region."},
};

static const struct cs_config_key zone_keys[] = {
	{"name", CS_KEY_NAME, true, 0, 0, 0, "", "Name of the zone."},
	{"region", CS_KEY_NAME, true, 0, 0, 0, "", "Region that holds the zone."},
	{"clients", CS_KEY_STRINGS, false, 0, 200000, 0, "",
	 "Prefixes of callers that are nearest to the zone."},
};

static const struct cs_config_key service_keys[] = {
	{"name", CS_KEY_NAME, true, 0, 0, 0, "", "Name in the platform's list."},
	{"slots", CS_KEY_INT, true, 1, 10000, 0, "", "Concurrent requests of one server."},
	{"connections", CS_KEY_INT, true, 1, 100000, 0, "",
	 "Connections that one server takes; at least its slots."},
};

static const struct cs_config_key class_keys[] = {
	{"name", CS_KEY_NAME, true, 0, 0, 0, "", "Name of the class."},
	{"service", CS_KEY_NAME, true, 0, 0, 0, "", "Service that runs the class."},
	{"idempotent", CS_KEY_BOOL, true, 0, 1, 0, "", "A repeated request does no harm."},
	{"bulk", CS_KEY_BOOL, false, 0, 1, 0, "", "Large bodies, kept apart from small requests."},
	{"latency_target_ms", CS_KEY_INT, true, 1, 600000, 0, "ms", "Latency target."},
	{"percentile", CS_KEY_REAL, false, 50, 99.99, 99, "%",
	 "Part of requests within the target."},
	{"availability_pct", CS_KEY_REAL, false, 50, 99.999, 99.9, "%",
	 "Part of requests that are answered."},
	{"headroom_pct", CS_KEY_REAL, false, 0, 90, 20, "%", "Part of capacity kept free."},
	{"max_body_kb", CS_KEY_INT, false, 0, 1048576, 64, "KiB", "Largest request body."},
	{"timeout_ms", CS_KEY_INT, true, 1, 600000, 0, "ms",
	 "Longest time for a request; at least the latency target."},
	{"priority", CS_KEY_INT, false, 0, 9, 1, "", "Lower is kept longer under overload."},
};

static const struct cs_config_key shift_keys[] = {
	{"cap_pct_s", CS_KEY_REAL, true, 0.01, 100, 0, "%/s",
	 "Largest part of a zone's traffic moved in one second."},
	{"lookup_ttl_ms", CS_KEY_INT, true, 100, 60000, 0, "ms", "Time to live of lookup answers."},
};

static const struct cs_config_key drain_keys[] = {
	{"id", CS_KEY_NAME, true, 0, 0, 0, "", "Unique id of the drain."},
	{"zone", CS_KEY_NAME, false, 0, 0, 0, "", "Zone to be emptied, or:"},
	{"region", CS_KEY_NAME, false, 0, 0, 0, "", "Region to be emptied."},
	{"start", CS_KEY_TIME, true, 0, 0, 0, "", "Earliest time of the ramp."},
	{"deadline", CS_KEY_TIME, true, 0, 0, 0, "", "Time by which it must be empty."},
};

static const struct cs_config_section sections[CS_SECTION_COUNT] = {
	[CS_SECTION_DOCUMENT] = {"", document_keys, N_ELEMENTS(document_keys)},
	[CS_SECTION_CHANGE] = {"changes[]", change_keys, N_ELEMENTS(change_keys)},
	[CS_SECTION_NETWORK] = {"network", network_keys, N_ELEMENTS(network_keys)},
	[CS_SECTION_REGION] = {"regions[]", region_keys, N_ELEMENTS(region_keys)},
	[CS_SECTION_ZONE] = {"zones[]", zone_keys, N_ELEMENTS(zone_keys)},
	[CS_SECTION_SERVICE] = {"services[]", service_keys, N_ELEMENTS(service_keys)},
	[CS_SECTION_CLASS] = {"classes[]", class_keys, N_ELEMENTS(class_keys)},
	[CS_SECTION_SHIFT] = {"shift", shift_keys, N_ELEMENTS(shift_keys)},
	[CS_SECTION_DRAIN] = {"drains[]", drain_keys, N_ELEMENTS(drain_keys)},
};

const struct cs_config_section *cs_config_sections(unsigned *n)
{
	*n = CS_SECTION_COUNT;
	return sections;
}
