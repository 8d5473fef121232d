/*
 * Maps four-tuples to descriptors of open connections to servers. libcurl does not check an idle
 * connection for input before it reuses it. That check needs the descriptor, but the callback that
 * libcurl calls before it sends a request identifies the connection only by addresses and ports.
 *
 * Each entry also has the ids of the requests that were sent on its connection. A server may send a
 * response twice, the second one late. The id tells the copy from the response to another request,
 * so no id may be sent on one connection twice.
 */
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/sockets.h"

/*
 * Requests that one connection carries at most, so that the ids of all of them can be remembered. A
 * busy connection is then replaced.
 */
#define SENDS_MAX 64

struct entry {
	RB_ENTRY(entry) by_key;
	LIST_ENTRY(entry) by_fd;
	uint64_t key;
	uint64_t last_used_us;
	uint64_t serial;
	unsigned sends;
	uint32_t ids[SENDS_MAX]; /* hashes of the ids */
	int fd;
};

RB_HEAD(entry_tree, entry);

#define FD_BUCKETS 1024

struct sockets {
	struct entry_tree tree;
	LIST_HEAD(entry_list, entry) by_fd[FD_BUCKETS];
	uint64_t serial;
};

static int entry_compare(struct entry *a, struct entry *b);

CS_RB_GENERATE(entry_tree, entry, by_key, entry_compare)

static int entry_compare(struct entry *a, struct entry *b)
{
	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return 0;
}

struct sockets *sockets_create(void)
{
	struct sockets *s = cs_xcalloc(1, sizeof(*s));
	unsigned i;

	RB_INIT(&s->tree);
	for (i = 0; i < FD_BUCKETS; i++)
		LIST_INIT(&s->by_fd[i]);
	return s;
}

static void entry_remove(struct sockets *s, struct entry *e)
{
	RB_REMOVE(entry_tree, &s->tree, e);
	LIST_REMOVE(e, by_fd);
	free(e);
}

void sockets_destroy(struct sockets *s)
{
	struct entry *e, *next;

	if (s == NULL)
		return;
	RB_FOREACH_SAFE(e, entry_tree, &s->tree, next)
		entry_remove(s, e);
	free(s);
}

uint64_t sockets_key(const char *dst, int dst_port, const char *src, int src_port)
{
	uint64_t ports = (uint64_t)(unsigned)dst_port << 32 | (unsigned)src_port;

	return cs_hash_str(dst, cs_hash_str(src, ports));
}

void sockets_add(struct sockets *s, uint64_t key, int fd)
{
	struct entry *e = cs_xcalloc(1, sizeof(*e)), *old;

	e->key = key;
	e->fd = fd;
	e->serial = ++s->serial;
	e->last_used_us = cs_mono_us();
	old = RB_FIND(entry_tree, &s->tree, e);
	if (old != NULL)
		entry_remove(s, old);
	RB_INSERT(entry_tree, &s->tree, e);
	LIST_INSERT_HEAD(&s->by_fd[fd % FD_BUCKETS], e, by_fd);
}

static struct entry *entry_find(struct sockets *s, uint64_t key)
{
	struct entry probe = {.key = key};

	return RB_FIND(entry_tree, &s->tree, &probe);
}

static uint32_t id_hash(const char *id)
{
	return (uint32_t)cs_hash_str(id, 0);
}

static bool id_used(const struct entry *e, uint32_t hash)
{
	unsigned i;

	for (i = 0; i < e->sends; i++)
		if (e->ids[i] == hash)
			return true;
	return e->sends == SENDS_MAX;
}

bool sockets_find(struct sockets *s, uint64_t key, const char *id, struct sockets_use *use)
{
	const struct entry *e = entry_find(s, key);

	if (e == NULL)
		return false;
	*use = (struct sockets_use){.fd = e->fd,
				    .serial = e->serial,
				    .sends = e->sends,
				    .idle_us = cs_mono_us() - e->last_used_us,
				    .id_used = id_used(e, id_hash(id))};
	return true;
}

void sockets_record_send(struct sockets *s, uint64_t key, const char *id)
{
	struct entry *e = entry_find(s, key);

	if (e != NULL && e->sends < SENDS_MAX)
		e->ids[e->sends++] = id_hash(id);
}

void sockets_retire(struct sockets *s, uint64_t key)
{
	struct entry *e = entry_find(s, key);

	if (e != NULL)
		e->sends = SENDS_MAX;
}

void sockets_touch(struct sockets *s, uint64_t key)
{
	struct entry *e = entry_find(s, key);

	if (e != NULL)
		e->last_used_us = cs_mono_us();
}

void sockets_remove(struct sockets *s, int fd)
{
	struct entry *e, *next;

	LIST_FOREACH_SAFE(e, &s->by_fd[fd % FD_BUCKETS], by_fd, next)
		if (e->fd == fd)
			entry_remove(s, e);
}

bool sockets_has_input(int fd)
{
	char c;

	return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}
