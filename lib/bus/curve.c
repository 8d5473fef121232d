/* CURVE keys of the deployment, and the ZAP handler that accepts only peers with its public key. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus-int.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "cassia"
#define ZAP_FRAMES 7 /* version, request id, domain, address, identity, mechanism, key */
#define ZAP_FRAME_MAX 256

struct zap_request {
	struct {
		uint8_t data[ZAP_FRAME_MAX];
		size_t len;
	} frames[ZAP_FRAMES];
	unsigned n;
};

static void zap_read(struct cs_sock *s);

bool bus_set_keys(struct cs_bus *b, const char *key_public, const char *key_secret,
		  struct cs_msg *msg)
{
	char derived[CS_BUS_KEY_LEN + 1];
	uint8_t raw[KEY_RAW_LEN];

	if ((key_public == NULL || *key_public == '\0') &&
	    (key_secret == NULL || *key_secret == '\0'))
		return true;
	if (key_public == NULL || key_secret == NULL || strlen(key_public) != CS_BUS_KEY_LEN ||
	    strlen(key_secret) != CS_BUS_KEY_LEN ||
	    zmq_z85_decode(b->key_public_raw, key_public) == NULL ||
	    zmq_z85_decode(raw, key_secret) == NULL) {
		cs_msg_set(msg, "curve-public, curve-secret: use two Z85 keys of %d characters",
			   CS_BUS_KEY_LEN);
		return false;
	}
	if (zmq_curve_public(derived, key_secret) != 0 || strcmp(derived, key_public) != 0) {
		cs_msg_set(msg, "curve-public: the key does not belong to curve-secret");
		return false;
	}
	cs_copy(b->key_public, sizeof(b->key_public), key_public);
	cs_copy(b->key_secret, sizeof(b->key_secret), key_secret);
	b->secure = true;
	return true;
}

void bus_set_curve_server(struct cs_bus *b, void *zmq)
{
	int one = 1;

	zmq_setsockopt(zmq, ZMQ_CURVE_SERVER, &one, sizeof(one));
	zmq_setsockopt(zmq, ZMQ_CURVE_SECRETKEY, b->key_secret, CS_BUS_KEY_LEN + 1);
	zmq_setsockopt(zmq, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, sizeof(ZAP_DOMAIN) - 1);
}

void bus_set_curve_client(struct cs_bus *b, void *zmq)
{
	zmq_setsockopt(zmq, ZMQ_CURVE_SERVERKEY, b->key_public, CS_BUS_KEY_LEN + 1);
	zmq_setsockopt(zmq, ZMQ_CURVE_PUBLICKEY, b->key_public, CS_BUS_KEY_LEN + 1);
	zmq_setsockopt(zmq, ZMQ_CURVE_SECRETKEY, b->key_secret, CS_BUS_KEY_LEN + 1);
}

/* Binds the ZAP endpoint, to which libzmq sends a request for each CURVE handshake. */
bool bus_zap_start(struct cs_bus *b, struct cs_msg *msg)
{
	struct cs_sock *s = cs_xcalloc(1, sizeof(*s));

	s->bus = b;
	s->kind = SOCK_ZAP;
	s->read = zap_read;
	s->zmq = zmq_socket(b->ctx, ZMQ_REP);
	if (s->zmq == NULL || zmq_bind(s->zmq, ZAP_ENDPOINT) != 0) {
		cs_msg_set(msg, "cannot bind %s: %s", ZAP_ENDPOINT, zmq_strerror(errno));
		if (s->zmq != NULL)
			zmq_close(s->zmq);
		free(s);
		return false;
	}
	bus_sock_register(s);
	return true;
}

/* Receives a request; sets n to 0 if it has too many frames or a frame is too long. */
static bool zap_receive(struct cs_sock *s, struct zap_request *r)
{
	bool more = true, valid = true;
	int rc, flag;
	size_t size = sizeof(flag);
	uint8_t buf[ZAP_FRAME_MAX];

	r->n = 0;
	while (more) {
		rc = zmq_recv(s->zmq, buf, sizeof(buf), ZMQ_DONTWAIT);
		if (rc < 0)
			return false;
		if (r->n >= ZAP_FRAMES || (size_t)rc > sizeof(buf)) {
			valid = false;
		} else {
			memcpy(r->frames[r->n].data, buf, (size_t)rc);
			r->frames[r->n++].len = (size_t)rc;
		}
		flag = 0;
		zmq_getsockopt(s->zmq, ZMQ_RCVMORE, &flag, &size);
		more = flag != 0;
	}
	if (!valid)
		r->n = 0;
	return true;
}

static bool frame_is(const struct zap_request *r, unsigned i, const void *data, size_t len)
{
	return r->frames[i].len == len && memcmp(r->frames[i].data, data, len) == 0;
}

static void zap_read(struct cs_sock *s)
{
	struct zap_request r;
	bool allow;

	if (!zap_receive(s, &r))
		return;
	allow = r.n == ZAP_FRAMES && frame_is(&r, 5, "CURVE", 5) &&
		frame_is(&r, 6, s->bus->key_public_raw, sizeof(s->bus->key_public_raw));
	if (!allow) {
		s->bus->stats.denied++;
		cs_log(CS_WARNING, "bus", "Peer without the deployment's key refused. from=%.*s",
		       r.n > 3 ? (int)r.frames[3].len : 0, (const char *)r.frames[3].data);
	}
	zmq_send(s->zmq, "1.0", 3, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(s->zmq, r.frames[1].data, r.n > 1 ? r.frames[1].len : 0,
		 ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(s->zmq, allow ? "200" : "400", 3, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(s->zmq, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(s->zmq, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(s->zmq, "", 0, ZMQ_DONTWAIT);
	bus_sock_set_pending(s);
}
