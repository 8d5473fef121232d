/* ROUTER and DEALER sockets: options, sending and receiving. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus-int.h"

/*
 * A connection is closed if data sent on it is not acknowledged for this long. The heartbeats of
 * ZeroMQ would detect the same fault, but add two messages per second to each connection, and the
 * agents send heartbeats of their own.
 */
#define UNACKED_TIMEOUT_MS 4000
#define KEEPALIVE_S 10
#define KEEPALIVE_PROBES 3
#define CONNECT_TIMEOUT_MS 1000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 1000
/*
 * If a message larger than this arrives, libzmq closes the connection and the message is not
 * counted. Messages between CS_BUS_MESSAGE_MAX and this size are received, counted and dropped.
 */
#define TRANSPORT_MESSAGE_MAX ((int64_t)2 * CS_BUS_MESSAGE_MAX)

static void sock_read(struct cs_sock *s);

static void set_int_option(void *zmq, int option, int value)
{
	zmq_setsockopt(zmq, option, &value, sizeof(value));
}

static struct cs_sock *sock_create(struct cs_bus *b, enum sock_kind kind, int type, cs_sock_cb cb,
				   void *arg, struct cs_msg *msg)
{
	struct cs_sock *s = cs_xcalloc(1, sizeof(*s));
	int64_t max = TRANSPORT_MESSAGE_MAX;

	s->bus = b;
	s->kind = kind;
	s->cb = cb;
	s->arg = arg;
	s->read = sock_read;
	s->zmq = zmq_socket(b->ctx, type);
	if (s->zmq == NULL) {
		cs_msg_set(msg, "cannot create a ZeroMQ socket: %s", zmq_strerror(errno));
		free(s);
		return NULL;
	}
	set_int_option(s->zmq, ZMQ_LINGER, 0);
	set_int_option(s->zmq, ZMQ_SNDHWM, CS_BUS_QUEUE_MAX);
	set_int_option(s->zmq, ZMQ_RCVHWM, CS_BUS_QUEUE_MAX);
	set_int_option(s->zmq, ZMQ_TCP_MAXRT, UNACKED_TIMEOUT_MS);
	set_int_option(s->zmq, ZMQ_TCP_KEEPALIVE, 1);
	set_int_option(s->zmq, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_S);
	set_int_option(s->zmq, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_S);
	set_int_option(s->zmq, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES);
	zmq_setsockopt(s->zmq, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	return s;
}

static void sock_free(struct cs_sock *s)
{
	zmq_close(s->zmq);
	free(s);
}

struct cs_sock *cs_sock_listen(struct cs_bus *b, const char *addr, uint16_t port, bool secure,
			       cs_sock_cb cb, void *arg, struct cs_msg *msg)
{
	struct cs_sock *s = sock_create(b, SOCK_ROUTER, ZMQ_ROUTER, cb, arg, msg);
	char endpoint[128];
	size_t size = sizeof(endpoint);

	if (s == NULL)
		return NULL;
	set_int_option(s->zmq, ZMQ_ROUTER_MANDATORY, 1);
	if (secure && b->secure)
		bus_set_curve_server(b, s->zmq);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", addr, port);
	if (port == 0)
		snprintf(endpoint, sizeof(endpoint), "tcp://%s:*", addr);
	if (zmq_bind(s->zmq, endpoint) != 0) {
		cs_msg_set(msg, "cannot listen on %s: %s", endpoint, zmq_strerror(errno));
		sock_free(s);
		return NULL;
	}
	zmq_getsockopt(s->zmq, ZMQ_LAST_ENDPOINT, endpoint, &size);
	s->port = (uint16_t)strtoul(strrchr(endpoint, ':') + 1, NULL, 10);
	bus_sock_register(s);
	return s;
}

struct cs_sock *cs_sock_connect(struct cs_bus *b, const char *source, const char *addr,
				uint16_t port, bool secure, cs_sock_cb cb, void *arg,
				struct cs_msg *msg)
{
	struct cs_sock *s = sock_create(b, SOCK_DEALER, ZMQ_DEALER, cb, arg, msg);
	char endpoint[160];

	if (s == NULL)
		return NULL;
	/* Without a connection, messages are dropped instead of being delivered late. */
	set_int_option(s->zmq, ZMQ_IMMEDIATE, 1);
	set_int_option(s->zmq, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int_option(s->zmq, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int_option(s->zmq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	if (secure && b->secure)
		bus_set_curve_client(b, s->zmq);
	if (source != NULL && *source != '\0')
		snprintf(endpoint, sizeof(endpoint), "tcp://%s:0;%s:%u", source, addr, port);
	else
		snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", addr, port);
	if (zmq_connect(s->zmq, endpoint) != 0) {
		cs_msg_set(msg, "cannot connect to %s: %s", endpoint, zmq_strerror(errno));
		sock_free(s);
		return NULL;
	}
	s->port = port;
	bus_sock_register(s);
	return s;
}

uint16_t cs_sock_port(const struct cs_sock *s)
{
	return s->port;
}

bool cs_sock_send(struct cs_sock *s, const struct cs_bus_routing_id *to, const void *data,
		  size_t len)
{
	struct cs_bus_stats *st = &s->bus->stats;
	int rc;

	if (s->closed || len > CS_BUS_MESSAGE_MAX)
		goto drop;
	bus_sock_set_pending(s);
	if (s->kind == SOCK_ROUTER &&
	    zmq_send(s->zmq, to->data, to->len, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		goto drop;
	rc = zmq_send(s->zmq, data, len, ZMQ_DONTWAIT);
	if (rc < 0)
		goto drop;
	st->sent++;
	st->sent_bytes += len;
	return true;
drop:
	st->dropped++;
	return false;
}

/* Receives one message: on a ROUTER the routing id, then exactly one frame of payload. */
static void sock_read(struct cs_sock *s)
{
	struct cs_bus_stats *st = &s->bus->stats;
	struct cs_bus_routing_id id = {0};
	zmq_msg_t frame;
	bool valid = true;
	size_t len;

	zmq_msg_init(&frame);
	if (s->kind == SOCK_ROUTER) {
		if (zmq_msg_recv(&frame, s->zmq, ZMQ_DONTWAIT) < 0)
			goto out;
		len = zmq_msg_size(&frame);
		valid = len <= sizeof(id.data) && zmq_msg_more(&frame);
		if (valid) {
			memcpy(id.data, zmq_msg_data(&frame), len);
			id.len = (uint8_t)len;
		}
		if (!zmq_msg_more(&frame))
			goto malformed;
	}
	if (zmq_msg_recv(&frame, s->zmq, ZMQ_DONTWAIT) < 0)
		goto out;
	len = zmq_msg_size(&frame);
	st->received++;
	st->received_bytes += len;
	if (zmq_msg_more(&frame)) {
		valid = false;
		while (zmq_msg_more(&frame))
			if (zmq_msg_recv(&frame, s->zmq, ZMQ_DONTWAIT) < 0)
				break;
	}
	if (len > CS_BUS_MESSAGE_MAX) {
		st->oversized++;
		goto out;
	}
	if (!valid)
		goto malformed;
	s->cb(s, s->kind == SOCK_ROUTER ? &id : NULL, zmq_msg_data(&frame), len, s->arg);
	goto out;
malformed:
	st->malformed++;
out:
	zmq_msg_close(&frame);
}

void cs_sock_close(struct cs_sock *s)
{
	if (s == NULL)
		return;
	s->closed = true;
	if (s->reading)
		return;
	bus_sock_clear_pending(s);
	ev_io_stop(s->bus->loop, &s->io);
	TAILQ_REMOVE(&s->bus->socks, s, entry);
	sock_free(s);
}
