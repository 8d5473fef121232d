/* Ring buffer that grows up to its limit before it wraps. */
#include <stdlib.h>
#include <string.h>

#include "base/base.h"
#include "proxy/ring.h"

#define INITIAL_SIZE 4096

void ring_init(struct ring *r, size_t max)
{
	*r = (struct ring){.max = max};
}

void ring_free(struct ring *r)
{
	free(r->data);
	*r = (struct ring){0};
}

void ring_reset(struct ring *r, size_t max, size_t keep)
{
	if (r->size > keep) {
		free(r->data);
		r->data = NULL;
		r->size = 0;
	}
	r->max = max > r->size ? max : r->size;
	r->written = r->consumed = 0;
}

void ring_reserve(struct ring *r, size_t size)
{
	if (size > r->max)
		size = r->max;
	if (size <= r->size || r->written > r->size)
		return;
	r->data = cs_xrealloc(r->data, size, 1);
	r->size = size;
}

size_t ring_space(const struct ring *r)
{
	return r->max - ring_used(r);
}

size_t ring_used(const struct ring *r)
{
	return (size_t)(r->written - r->consumed);
}

/* Doubles the allocation as needed, as long as the buffer has not wrapped. */
static void ring_grow(struct ring *r, size_t n)
{
	size_t size = r->size ? r->size : INITIAL_SIZE;

	if (r->size >= r->max || r->written + n <= r->size)
		return;
	while (size < r->max && size < r->written + n)
		size *= 2;
	ring_reserve(r, size);
}

size_t ring_write(struct ring *r, const char *data, size_t n)
{
	size_t space = ring_space(r), at, part;

	if (n > space)
		n = space;
	if (n == 0)
		return 0;
	ring_grow(r, n);
	at = (size_t)(r->written % r->size);
	part = r->size - at < n ? r->size - at : n;
	memcpy(r->data + at, data, part);
	memcpy(r->data, data + part, n - part);
	r->written += n;
	return n;
}

size_t ring_read(struct ring *r, char *out, size_t n)
{
	size_t used = ring_used(r), at, part;

	if (n > used)
		n = used;
	if (n == 0)
		return 0;
	at = (size_t)(r->consumed % r->size);
	part = r->size - at < n ? r->size - at : n;
	memcpy(out, r->data + at, part);
	memcpy(out + part, r->data, n - part);
	r->consumed += n;
	return n;
}

bool ring_is_intact(const struct ring *r)
{
	return r->written <= r->size;
}

bool ring_rewind(struct ring *r)
{
	if (!ring_is_intact(r))
		return false;
	r->consumed = 0;
	return true;
}
