/*
 * Input of client connections: header sections, request bodies, and when a request begins. The
 * header section is parsed by http_parser, after a check for the forms that let two parsers
 * disagree about the end of a message.
 */
#include <ctype.h>
#include <http_parser.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/ingress-int.h"

/* Limit of a chunk size line, and of each line of a trailer section, in bytes. */
#define CHUNK_LINE_MAX 256
/* Hex digits of the largest chunk size that is accepted. */
#define CHUNK_SIZE_DIGITS_MAX 15

/* State of the parser callbacks for one header section. */
struct head_parse {
	struct cs_call *call;
	const char *name;
	size_t name_len;
};

static int on_url(http_parser *p, const char *at, size_t len);
static int on_header_field(http_parser *p, const char *at, size_t len);
static int on_header_value(http_parser *p, const char *at, size_t len);
static int on_headers_complete(http_parser *p);

static const http_parser_settings parser_settings = {.on_url = on_url,
						     .on_header_field = on_header_field,
						     .on_header_value = on_header_value,
						     .on_headers_complete = on_headers_complete};

/*
 * Converts a target in absolute form, which every server must accept, to origin form by removing
 * the scheme and host.
 */
static char *origin_form(const char *uri, size_t len)
{
	const char *path, *end = uri + len;

	if (len < 7 || strncasecmp(uri, "http://", 7) != 0)
		return cs_xasprintf("%.*s", (int)len, uri);
	for (path = uri + 7; path < end && *path != '/' && *path != '?'; path++)
		continue;
	return cs_xasprintf("%s%.*s", path < end && *path == '/' ? "" : "/", (int)(end - path),
			    path);
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct head_parse *hp = p->data;

	free(hp->call->target);
	hp->call->target = origin_form(at, len);
	return 0;
}

static int on_header_field(http_parser *p, const char *at, size_t len)
{
	struct head_parse *hp = p->data;

	hp->name = at;
	hp->name_len = len;
	return 0;
}

static int on_header_value(http_parser *p, const char *at, size_t len)
{
	struct head_parse *hp = p->data;

	while (len > 0 && (at[len - 1] == ' ' || at[len - 1] == '\t'))
		len--;
	head_add(&hp->call->headers, hp->name, hp->name_len, at, len);
	return 0;
}

/* The body is decoded here and not by the parser. */
static int on_headers_complete(http_parser *p)
{
	p->upgrade = 0;
	return 1;
}

/* True for METHOD SP TARGET SP VERSION; the parser accepts other names of the protocol. */
static bool request_line_is_strict(const char *line, size_t len)
{
	const char *target = memchr(line, ' ', len), *version;
	size_t left;

	if (target == NULL || target == line)
		return false;
	target++;
	left = len - (size_t)(target - line);
	version = memchr(target, ' ', left);
	if (version == NULL || version == target)
		return false;
	version++;
	left -= (size_t)(version - target);
	return left == 8 && memcmp(version, "HTTP/", 5) == 0 && version[6] == '.';
}

/* True if the line has a name, with no white space around it, and a colon. */
static bool header_line_is_strict(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	return colon != NULL && colon > line && line[0] != ' ' && line[0] != '\t' &&
	       colon[-1] != ' ' && colon[-1] != '\t';
}

/*
 * Checks that each line ends with CR LF, no line continues the one before, no name has white space
 * before its colon, and there are no control characters but tabs.
 */
static enum cs_call_fault check_lines(const char *text, size_t len)
{
	const char *line = text, *end = text + len, *p;

	while (line < end) {
		for (p = line; *p != '\r'; p++)
			if (((unsigned char)*p < 0x20 && *p != '\t') || *p == 0x7f)
				return line == text ? CS_CALL_BAD_TARGET : CS_CALL_BAD_HEADER;
		if (p[1] != '\n')
			return CS_CALL_BAD_HEADER;
		if (line == text && !request_line_is_strict(line, (size_t)(p - line)))
			return CS_CALL_BAD_TARGET;
		if (line > text && p > line && !header_line_is_strict(line, (size_t)(p - line)))
			return CS_CALL_BAD_HEADER;
		line = p + 2;
	}
	return CS_CALL_VALID;
}

static enum cs_call_fault fault_of_error(enum http_errno err)
{
	switch (err) {
	case HPE_OK:
		return CS_CALL_VALID;
	case HPE_INVALID_METHOD:
		return CS_CALL_BAD_METHOD;
	case HPE_INVALID_VERSION:
		return CS_CALL_BAD_VERSION;
	case HPE_INVALID_URL:
	case HPE_INVALID_HOST:
	case HPE_INVALID_PORT:
	case HPE_INVALID_PATH:
	case HPE_INVALID_QUERY_STRING:
	case HPE_INVALID_FRAGMENT:
		return CS_CALL_BAD_TARGET;
	case HPE_INVALID_HEADER_TOKEN:
		return CS_CALL_BAD_HEADER;
	case HPE_INVALID_CONTENT_LENGTH:
	case HPE_UNEXPECTED_CONTENT_LENGTH:
	case HPE_INVALID_TRANSFER_ENCODING:
		return CS_CALL_BAD_FRAMING;
	default:
		return CS_CALL_BAD_SYNTAX;
	}
}

/* Counts the lines of a header. */
static unsigned count_header(const struct head *h, const char *name)
{
	const char *n, *v;
	unsigned count = 0;
	size_t at = 0;

	while (head_next(h, &at, &n, &v))
		count += strcasecmp(n, name) == 0;
	return count;
}

/* Determines how the body ends; false if the header section is ambiguous about that. */
static bool set_framing(struct cs_call *call, const http_parser *p)
{
	const char *coding = head_get(&call->headers, "Transfer-Encoding");
	unsigned n_codings = count_header(&call->headers, "Transfer-Encoding");
	unsigned n_lengths = count_header(&call->headers, "Content-Length");

	if (n_codings > 0) {
		call->framing = BODY_CHUNKED;
		return n_codings == 1 && n_lengths == 0 && !call->http_1_0 &&
		       strcasecmp(coding, "chunked") == 0;
	}
	if (n_lengths == 0 || p->content_length == 0)
		return n_lengths <= 1;
	call->framing = BODY_LENGTH;
	call->body_left = p->content_length;
	return n_lengths == 1;
}

/* Parses a header section; what is wrong with it is left in call->fault. */
static void parse_head(struct cs_call *call, const char *text, size_t len)
{
	struct head_parse hp = {.call = call};
	http_parser p;

	call->fault = check_lines(text, len);
	if (call->fault != CS_CALL_VALID)
		return;
	http_parser_init(&p, HTTP_REQUEST);
	p.data = &hp;
	http_parser_execute(&p, &parser_settings, text, len);
	call->fault = fault_of_error(HTTP_PARSER_ERRNO(&p));
	if (call->fault != CS_CALL_VALID)
		return;
	cs_copy(call->method, sizeof(call->method), http_method_str((enum http_method)p.method));
	call->http_1_0 = p.http_minor == 0;
	call->close_after = call->http_1_0 || (p.flags & F_CONNECTION_CLOSE) != 0;
	if (p.http_major != 1 || p.http_minor > 1)
		call->fault = CS_CALL_BAD_VERSION;
	else if (!set_framing(call, &p))
		call->fault = CS_CALL_BAD_FRAMING;
}

static void append_call(struct conn *c, struct cs_call *call)
{
	TAILQ_INSERT_TAIL(&c->calls, call, entry);
	c->n_calls++;
	c->owner->n_calls++;
}

/* Responds to a fault that the owner of the ingress did not see, or did not respond to. */
static void respond_fault(struct cs_call *call, enum cs_call_fault fault)
{
	struct head lines = {0};
	char *body = cs_xasprintf("{\"error\":\"%s\"}\n", cs_call_fault_name(fault));

	call->conn->input_closed = true;
	call->close_after = true;
	head_add(&lines, "Content-Type", 12, "application/json", 16);
	cs_call_respond(call, cs_call_fault_status(fault), &lines, body, strlen(body));
	head_free(&lines);
	free(body);
}

static void consume(struct conn *c, size_t n)
{
	c->in_pos += n;
	c->scanned = 0;
}

/* Length of the header section at the start of the input; 0 if it is incomplete. */
static size_t find_head_end(struct conn *c)
{
	const char *start = c->in + c->in_pos;
	size_t len = c->in_len - c->in_pos, from = c->scanned > 3 ? c->scanned - 3 : 0;
	const char *end = len > from ? memmem(start + from, len - from, "\r\n\r\n", 4) : NULL;

	if (end != NULL)
		return (size_t)(end - start) + 4;
	c->scanned = len;
	return 0;
}

/* Skips the empty lines that a server should ignore before a request line. */
static void skip_empty_lines(struct conn *c)
{
	while (c->in_len - c->in_pos >= 2 && memcmp(c->in + c->in_pos, "\r\n", 2) == 0)
		consume(c, 2);
}

/* True if the input can never become a header section: it starts with a byte no method contains. */
static bool is_no_request(const struct conn *c)
{
	unsigned char first = (unsigned char)c->in[c->in_pos];

	return first <= 0x20 ? first != '\r' : first >= 0x7f;
}

/* Fault of input that will never be a header section; CS_CALL_VALID if it still may be one. */
static enum cs_call_fault check_partial(const struct conn *c)
{
	if (c->in_len - c->in_pos > c->owner->head_max)
		return CS_CALL_TOO_LARGE;
	return is_no_request(c) ? CS_CALL_BAD_SYNTAX : CS_CALL_VALID;
}

/* Reads the next header section into c->held; false if there is none. */
static bool read_head(struct conn *c)
{
	enum cs_call_fault fault = CS_CALL_VALID;
	struct cs_call *call;
	size_t len;

	skip_empty_lines(c);
	if (c->in_pos == c->in_len)
		return false;
	len = find_head_end(c);
	if (len == 0)
		fault = check_partial(c);
	else if (len > c->owner->head_max)
		fault = CS_CALL_TOO_LARGE;
	if (len == 0 && fault == CS_CALL_VALID)
		return false;
	call = call_create(c);
	call->fault = fault;
	if (fault == CS_CALL_VALID)
		parse_head(call, c->in + c->in_pos, len);
	consume(c, len);
	if (call->fault != CS_CALL_VALID) {
		call->framing = BODY_NONE;
		call->close_after = true;
	}
	call->body_ended = call->framing == BODY_NONE;
	c->held = call;
	return true;
}

/* Bytes of complete responses that wait for earlier ones. */
static size_t waiting_response_bytes(const struct conn *c)
{
	const struct cs_call *call;
	size_t sum = 0;

	TAILQ_FOREACH(call, &c->calls, entry)
		if (call->body != NULL)
			sum += (size_t)call->size;
	return sum;
}

/* Asks what the held request allows: its route may have changed since it was read. */
static void update_ahead(struct conn *c)
{
	const struct cs_ingress *g = c->owner;
	struct cs_call *call = c->held;

	if (g->ops->ahead != NULL && call->framing == BODY_NONE && call->fault == CS_CALL_VALID)
		call->ahead = g->ops->ahead(call, g->arg);
}

/* True if the held request may begin while earlier ones are in progress. */
static bool may_begin_ahead(const struct conn *c)
{
	const struct cs_call *before;

	if ((c->held->ahead & CS_AHEAD_BEGIN) == 0 || c->owner->keep_alive_disabled ||
	    c->n_calls >= AHEAD_CALLS_MAX || waiting_response_bytes(c) > AHEAD_RESPONSE_BYTES_MAX)
		return false;
	TAILQ_FOREACH(before, &c->calls, entry)
		if ((before->ahead & CS_AHEAD_FOLLOW) == 0 || before->close_after)
			return false;
	return true;
}

/* True if the client has closed the connection, also while input before the end is unread. */
static bool peer_closed(const struct conn *c)
{
	struct pollfd p = {.fd = c->fd, .events = POLLRDHUP};

	return c->input_ended || poll(&p, 1, 0) > 0;
}

/* Sends the interim response that a client may wait for before it sends a body. */
static void send_continue(struct conn *c, const struct cs_call *call)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = head_get(&call->headers, "Expect");

	if (expect == NULL || strcasecmp(expect, "100-continue") != 0 || call->responded ||
	    c->in_pos < c->in_len)
		return;
	c->out = cs_xrealloc(c->out, sizeof(text), 1);
	c->out_size = sizeof(text);
	memcpy(c->out, text, sizeof(text) - 1);
	c->out_pos = 0;
	c->out_len = sizeof(text) - 1;
	conn_schedule(c);
}

static void begin_call(struct conn *c)
{
	struct cs_ingress *g = c->owner;
	struct cs_call *call = c->held;

	c->held = NULL;
	append_call(c, call);
	if (call->close_after)
		c->input_closed = true;
	if (call->framing != BODY_NONE)
		c->reading = call;
	call->closed_unread = peer_closed(c);
	call->begun = true;
	g->ops->begin(call, g->arg);
	if (call->closed_unread) {
		c->input_ended = c->input_closed = true;
		c->reading = NULL;
		conn_schedule(c);
		return;
	}
	if (call->close_after)
		c->input_closed = true;
	if (call->fault != CS_CALL_VALID && !call->responded)
		respond_fault(call, call->fault);
	else if (call->framing != BODY_NONE)
		send_continue(c, call);
	else if (!call->responded)
		g->ops->body_end(call, g->arg);
}

/* Passes body data on; returns the number of bytes that were consumed. */
static size_t pass_body(struct conn *c, struct cs_call *call, const char *data, size_t n)
{
	struct cs_ingress *g = c->owner;
	size_t taken = n;

	if (n == 0)
		return 0;
	if (!call->responded)
		taken = g->ops->body(call, data, n, g->arg);
	if (taken < n && !call->responded)
		c->body_blocked = true;
	return taken;
}

static void finish_body(struct conn *c)
{
	struct cs_ingress *g = c->owner;
	struct cs_call *call = c->reading;

	c->reading = NULL;
	call->body_ended = true;
	if (call->responded)
		return;
	if (peer_closed(c)) {
		c->input_ended = c->input_closed = true;
		conn_schedule(c);
		return;
	}
	g->ops->body_end(call, g->arg);
}

/*
 * Takes a line that ends with CR LF from the input. Returns its length without the end, SIZE_MAX if
 * it is incomplete; sets bad if it is too long or has another line end.
 */
static size_t take_line(struct conn *c, const char **line, bool *bad)
{
	const char *start = c->in + c->in_pos;
	size_t len = c->in_len - c->in_pos;
	const char *lf = memchr(start, '\n', len);

	*line = start;
	if (lf == NULL) {
		*bad = len > CHUNK_LINE_MAX;
		return SIZE_MAX;
	}
	*bad = lf == start || lf[-1] != '\r' || lf - start > CHUNK_LINE_MAX ||
	       memchr(start, '\r', (size_t)(lf - start)) != lf - 1;
	consume(c, (size_t)(lf - start) + 1);
	return *bad ? SIZE_MAX : (size_t)(lf - start) - 1;
}

/* Parses the size of a chunk, which extensions may follow. */
static bool parse_chunk_size(const char *line, size_t len, uint64_t *out)
{
	size_t i;
	int digit;

	*out = 0;
	for (i = 0; i < len && isxdigit((unsigned char)line[i]); i++) {
		digit = isdigit((unsigned char)line[i]) ? line[i] - '0'
							: (line[i] | 0x20) - 'a' + 10;
		*out = *out * 16 + (uint64_t)digit;
	}
	return i > 0 && i <= CHUNK_SIZE_DIGITS_MAX && (i == len || line[i] == ';');
}

/* Passes on what has arrived of the body, or of the current chunk; true when all of it has. */
static bool pass_body_left(struct conn *c, struct cs_call *call)
{
	size_t n = c->in_len - c->in_pos;

	if (n > call->body_left)
		n = (size_t)call->body_left;
	n = pass_body(c, call, c->in + c->in_pos, n);
	consume(c, n);
	call->body_left -= n;
	return call->body_left == 0;
}

/* Decodes a chunked body; false if its coding is invalid. */
static bool read_chunks(struct conn *c)
{
	struct cs_call *call = c->reading;
	const char *line;
	bool bad = false;
	size_t n;

	while (c->reading == call && !c->body_blocked && c->in_pos < c->in_len) {
		if (call->chunk == CHUNK_DATA) {
			if (pass_body_left(c, call))
				call->chunk = CHUNK_DATA_END;
			continue;
		}
		n = take_line(c, &line, &bad);
		if (n == SIZE_MAX)
			return !bad;
		switch (call->chunk) {
		case CHUNK_SIZE:
			if (!parse_chunk_size(line, n, &call->body_left))
				return false;
			call->chunk = call->body_left > 0 ? CHUNK_DATA : CHUNK_TRAILER;
			break;
		case CHUNK_DATA_END:
			if (n > 0)
				return false;
			call->chunk = CHUNK_SIZE;
			break;
		case CHUNK_TRAILER:
			if (n == 0)
				finish_body(c);
			break;
		case CHUNK_DATA:
			break;
		}
	}
	return true;
}

static void read_body(struct conn *c)
{
	struct cs_call *call = c->reading;

	if (c->body_blocked)
		return;
	if (call->framing == BODY_LENGTH) {
		if (pass_body_left(c, call))
			finish_body(c);
		return;
	}
	if (read_chunks(c))
		return;
	/* The rest of the connection cannot be interpreted: the request never becomes complete. */
	c->reading = NULL;
	c->in_pos = c->in_len;
	if (!call->responded)
		c->owner->ops->disconnected(call, CS_CALL_BAD_BODY, c->owner->arg);
	respond_fault(call, CS_CALL_BAD_FRAMING);
}

/* Starts the next request if it is complete and may begin; false if nothing was done. */
static bool next_request(struct conn *c)
{
	if (c->input_closed)
		return false;
	if (c->held == NULL && !read_head(c))
		return false;
	update_ahead(c);
	if (c->n_calls > 0 && !may_begin_ahead(c))
		return false;
	begin_call(c);
	return true;
}

void conn_parse(struct conn *c)
{
	size_t before;

	for (;;) {
		if (c->reading == NULL) {
			if (!next_request(c))
				break;
			continue;
		}
		before = c->in_pos;
		if (c->in_pos < c->in_len)
			read_body(c);
		if (c->reading != NULL && (c->in_pos == before || c->body_blocked))
			break;
	}
	if (c->in_pos == c->in_len) {
		c->in_pos = c->in_len = 0;
	} else if (c->in_pos > 0) {
		memmove(c->in, c->in + c->in_pos, c->in_len - c->in_pos);
		c->in_len -= c->in_pos;
		c->in_pos = 0;
	}
}
