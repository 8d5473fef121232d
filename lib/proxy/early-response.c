/* Sends responses directly on the socket before the request body has ended. */
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>
#include <string.h>
#include <sys/socket.h>

#include "proxy/early-response.h"

/* Limit for the header lines and for the body of an early response, in bytes each. */
#define EARLY_PART_MAX (8 * 1024)

/* Response header lines in wire format. */
struct header_text {
	char text[EARLY_PART_MAX];
	size_t len;
};

static enum MHD_Result append_header(void *cls, enum MHD_ValueKind kind, const char *name,
				     const char *value)
{
	struct header_text *h = cls;
	int n;

	if (strcasecmp(name, "Content-Length") == 0 || strcasecmp(name, "Connection") == 0)
		return MHD_YES;
	n = snprintf(h->text + h->len, sizeof(h->text) - h->len, "%s: %s\r\n", name, value);
	if (n < 0 || (size_t)n >= sizeof(h->text) - h->len)
		return MHD_NO;
	h->len += (size_t)n;
	return MHD_YES;
}

bool cs_early_response_send(int fd, struct MHD_Response *r, unsigned status, const char *body,
			    size_t len)
{
	struct header_text h = {.len = 0};
	struct iovec iov[2];
	struct msghdr msg = {.msg_iov = iov, .msg_iovlen = 2};
	char *head;
	ssize_t n;

	if (len > EARLY_PART_MAX || MHD_get_response_headers(r, append_header, &h) !=
					    MHD_get_response_headers(r, NULL, NULL))
		return false;
	head = cs_xasprintf("HTTP/1.1 %u %s\r\n%sConnection: close\r\nContent-Length: %zu\r\n\r\n",
			    status, MHD_get_reason_phrase_for(status), h.text, len);
	iov[0] = (struct iovec){.iov_base = head, .iov_len = strlen(head)};
	iov[1] = (struct iovec){.iov_base = (void *)(uintptr_t)body, .iov_len = len};
	/*
	 * MHD has sent at most an interim response for this request, so the send buffer normally
	 * has room for everything. A short write leaves the client with a truncated response.
	 */
	n = sendmsg(fd, &msg, MSG_DONTWAIT | MSG_NOSIGNAL);
	free(head);
	return n > 0;
}
