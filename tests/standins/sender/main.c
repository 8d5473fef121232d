/*
 * standin-sender: sends invalid or unauthorised messages of one kind to an agent's port for peers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/base.h"
#include "bus/bus.h"
#include "wire/wire.h"

#define LINGER_MS 500

static struct cs_setting settings[] = {
	{.name = "target", .unit = "", .help = "tcp://IP:PORT of the agent's port for peers"},
	{.name = "kind",
	 .kind = CS_SET_CHOICE,
	 .choices = "garbage|oversized|frames|document|heartbeat",
	 .unit = "",
	 .help = "kind of message: "},
	{.name = "count",
	 .kind = CS_SET_INT,
	 .def = "1",
	 .min = 1,
	 .max = 10000,
	 .unit = "",
	 .help = "number of messages"},
	{.name = "server-key", .def = "", .unit = "", .help = "public key of the agent"},
	{.name = "public", .def = "", .unit = "", .help = "public key of the sender"},
	{.name = "secret", .def = "", .unit = "", .help = "secret key of the sender"},
	{.name = "document", .def = "", .unit = "", .help = "file with the document to send"},
	{.name = "instance", .def = "x-1", .unit = "", .help = "instance name in the heartbeat"},
	{.name = "zone", .def = "x", .unit = "", .help = "zone in the heartbeat"},
	{.name = NULL}};

/* Reads a whole file; the caller frees it. */
static char *read_file(const char *path, size_t *len)
{
	char *text = cs_xcalloc(1, CS_CONFIG_MAX + 1);
	FILE *f = fopen(path, "r");

	*len = 0;
	if (f == NULL)
		return text;
	*len = fread(text, 1, CS_CONFIG_MAX, f);
	fclose(f);
	return text;
}

static void set_key_option(void *sock, int option, const char *name)
{
	const char *v = cs_setting_text(settings, name);

	if (*v != '\0')
		zmq_setsockopt(sock, option, v, strlen(v) + 1);
}

static void send_message(void *sock, const struct cs_wire_msg *m)
{
	struct cs_wire_buf b = {0};

	cs_wire_pack(&b, m);
	zmq_send(sock, b.data, b.len, 0);
	cs_wire_buf_free(&b);
}

static void send_document(void *sock)
{
	struct cs_wire_msg m = {.type = CS_WIRE_CONFIG_DOC};
	char *text = read_file(cs_setting_text(settings, "document"), &m.u.config_doc.len);

	m.u.config_doc.text = text;
	m.u.config_doc.revision = 1;
	send_message(sock, &m);
	free(text);
}

static void send_heartbeat(void *sock)
{
	struct cs_wire_msg m = {.type = CS_WIRE_HEARTBEAT};

	m.u.heartbeat.instance = cs_setting_text(settings, "instance");
	m.u.heartbeat.zone = cs_setting_text(settings, "zone");
	m.u.heartbeat.stamp.incarnation = UINT64_MAX;
	m.u.heartbeat.stamp.sequence = 1;
	m.u.heartbeat.leaving = true;
	send_message(sock, &m);
}

static void send_oversized(void *sock)
{
	size_t len = CS_BUS_MESSAGE_MAX + 1;
	char *data = cs_xcalloc(1, len);

	zmq_send(sock, data, len, 0);
	free(data);
}

static void send_kind(void *sock, int64_t kind)
{
	switch (kind) {
	case 0:
		zmq_send(sock, "no message at all", 17, 0);
		break;
	case 1:
		send_oversized(sock);
		break;
	case 2:
		zmq_send(sock, "two", 3, ZMQ_SNDMORE);
		zmq_send(sock, "frames", 6, 0);
		break;
	case 3:
		send_document(sock);
		break;
	default:
		send_heartbeat(sock);
		break;
	}
}

int main(int argc, char **argv)
{
	int linger = LINGER_MS, rc = 1;
	struct cs_msg msg = {0};
	int64_t i, n;
	void *ctx, *sock;

	cs_log_open("standin-sender", CS_INFO);
	if (cs_settings_load(settings, "Sends invalid or unauthorised messages to an agent", &argc,
			     &argv, &msg) != CS_SETTINGS_OK) {
		fprintf(stderr, "%s\n", msg.text);
		goto out;
	}
	ctx = zmq_ctx_new();
	sock = zmq_socket(ctx, ZMQ_DEALER);
	zmq_setsockopt(sock, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(sock, ZMQ_SNDTIMEO, &linger, sizeof(linger));
	set_key_option(sock, ZMQ_CURVE_SERVERKEY, "server-key");
	set_key_option(sock, ZMQ_CURVE_PUBLICKEY, "public");
	set_key_option(sock, ZMQ_CURVE_SECRETKEY, "secret");
	if (zmq_connect(sock, cs_setting_text(settings, "target")) == 0) {
		n = cs_setting_int(settings, "count");
		for (i = 0; i < n; i++)
			send_kind(sock, cs_setting_int(settings, "kind"));
		rc = 0;
	}
	zmq_close(sock);
	zmq_ctx_term(ctx);
out:
	cs_settings_free(settings);
	return rc;
}
