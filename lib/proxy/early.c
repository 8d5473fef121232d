/* Answers before the end of the request's body. */
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>
#include <string.h>
#include <sys/socket.h>

#include "proxy/early.h"

/* Largest head, and largest body, of such an answer in bytes. */
#define EARLY_MAX (8 * 1024)

/* Text of a reply's header lines. */
struct lines {
	char text[EARLY_MAX];
	size_t len;
};

static enum MHD_Result write_line(void *cls, enum MHD_ValueKind kind, const char *name,
				  const char *value)
{
	struct lines *l = cls;
	int n;

	if (strcasecmp(name, "Content-Length") == 0 || strcasecmp(name, "Connection") == 0)
		return MHD_YES;
	n = snprintf(l->text + l->len, sizeof(l->text) - l->len, "%s: %s\r\n", name, value);
	if (n < 0 || (size_t)n >= sizeof(l->text) - l->len)
		return MHD_NO;
	l->len += (size_t)n;
	return MHD_YES;
}

bool cs_early_write(int fd, struct MHD_Response *r, unsigned status, const char *body, size_t len)
{
	struct lines l = {.len = 0};
	struct iovec iov[2];
	struct msghdr msg = {.msg_iov = iov, .msg_iovlen = 2};
	char *head;
	ssize_t n;

	if (len > EARLY_MAX ||
	    MHD_get_response_headers(r, write_line, &l) != MHD_get_response_headers(r, NULL, NULL))
		return false;
	head = cs_xasprintf("HTTP/1.1 %u %s\r\n%sConnection: close\r\nContent-Length: %zu\r\n\r\n",
			    status, MHD_get_reason_phrase_for(status), l.text, len);
	iov[0] = (struct iovec){.iov_base = head, .iov_len = strlen(head)};
	iov[1] = (struct iovec){.iov_base = (void *)(uintptr_t)body, .iov_len = len};
	/*
	 * MHD has written nothing for this request but an interim answer, so that the socket takes
	 * it all; if not, the caller sees a cut answer.
	 */
	n = sendmsg(fd, &msg, MSG_DONTWAIT | MSG_NOSIGNAL);
	free(head);
	return n > 0;
}
