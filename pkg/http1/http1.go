// Package http1 reads and writes HTTP/1.1 messages. It is strict: a message with
// ambiguous framing is rejected, because the two sides could disagree on where
// the next message on the connection begins (request smuggling).
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors from reading messages. Test for them with errors.Is.
var (
	// ErrMalformed reports bytes that are not a valid HTTP/1.1 message.
	ErrMalformed = errors.New("malformed message")
	// ErrHeadTooLarge reports a head over its limit.
	ErrHeadTooLarge = errors.New("message head is too large")
	// ErrBodyTooLarge reports a body over its limit.
	ErrBodyTooLarge = errors.New("message body is too large")
	// ErrTruncated reports a connection that closed before the end of the body.
	ErrTruncated = errors.New("message body is truncated")
)

// Field is one header field. The slices point into the buffer of the Head and are valid
// until the next read into the Head.
type Field struct {
	Name  []byte
	Value []byte
}

// Framing is how the end of a body is found.
type Framing int

// The framings of bodies.
const (
	// FramingNone is a message without a body.
	FramingNone Framing = iota
	// FramingLength is a body of Head.Length bytes.
	FramingLength
	// FramingChunked is a body in the chunked transfer coding.
	FramingChunked
	// FramingClose is a body that ends when the peer closes the connection.
	FramingClose
)

// Head is the head of a request or a response: the first line and the header
// fields. Reading into a Head again reuses its buffers.
type Head struct {
	// Method and Path are set for requests. Path starts with a slash and
	// includes the query.
	Method []byte
	Path   []byte
	// Status is set for responses.
	Status int
	Fields []Field
	// Framing and Length agree with all header fields: a head with contradicting
	// fields is rejected. Length is in bytes.
	Framing Framing
	Length  int64
	// Close is set if the sender closes the connection after this message.
	Close bool

	buf []byte
}

// Get returns the value of the first field with the name, or nil if there is
// none. Names are compared without regard to case.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if EqualName(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// Count returns the number of fields with the name, without regard to case.
func (h *Head) Count(name string) (n int) {
	for i := range h.Fields {
		if EqualName(h.Fields[i].Name, name) {
			n++
		}
	}
	return n
}

// EqualName reports whether two ASCII names are equal without regard to case.
func EqualName(name []byte, want string) bool {
	if len(name) != len(want) {
		return false
	}
	for i := range name {
		if toLower(name[i]) != toLower(want[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// ReadRequest reads the head of a request, of at most limit bytes. The errors are
// ErrMalformed, ErrHeadTooLarge and those of the reader.
func (h *Head) ReadRequest(r *bufio.Reader, limit int) error {
	line, err := h.readLines(r, limit)
	if err != nil {
		return err
	}
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || !ValidName(parts[0]) || string(parts[2]) != "HTTP/1.1" {
		return fmt.Errorf("%w: invalid request line", ErrMalformed)
	}
	if len(parts[1]) == 0 || parts[1][0] != '/' || hasControl(parts[1]) {
		return fmt.Errorf("%w: invalid request path", ErrMalformed)
	}
	h.Method, h.Path = parts[0], parts[1]
	if h.Count("Host") != 1 {
		return fmt.Errorf("%w: request must have exactly one Host field", ErrMalformed)
	}
	return h.frameRequest()
}

// MaxInterim is the maximum number of interim responses before the final one.
const MaxInterim = 16

// ValidStatus reports whether a status code belongs to a final response to a request that asked
// for no upgrade of the protocol.
func ValidStatus(status int) bool { return 200 <= status && status <= maxStatus }

// maxStatus is the highest valid status code (RFC 9110, section 15).
const maxStatus = 599

// statusSwitching is the status by which a peer switches to another protocol.
const statusSwitching = 101

// ReadResponse reads the head of a response, of at most limit bytes. It skips
// up to MaxInterim interim responses (1xx). method is the method of the request. The errors are
// those of ReadRequest.
func (h *Head) ReadResponse(r *bufio.Reader, limit int, method []byte) error {
	for range MaxInterim + 1 {
		line, err := h.readLines(r, limit)
		if err != nil {
			return err
		}
		if len(line) < 12 || string(line[:9]) != "HTTP/1.1 " || (len(line) > 12 && line[12] != ' ') {
			return fmt.Errorf("%w: invalid status line", ErrMalformed)
		}
		status, err := strconv.Atoi(string(line[9:12]))
		if err != nil || status < 100 || status > maxStatus {
			return fmt.Errorf("%w: invalid status code", ErrMalformed)
		}
		if status == statusSwitching {
			return fmt.Errorf("%w: switch of protocols that was not asked for", ErrMalformed)
		}
		h.Status = status
		if ValidStatus(status) {
			return h.frameResponse(method)
		}
	}
	return fmt.Errorf("%w: more than %d interim responses", ErrMalformed, MaxInterim)
}

// readLines reads the lines of a head up to the empty one. It returns the first
// line and sets the fields.
func (h *Head) readLines(r *bufio.Reader, limit int) ([]byte, error) {
	buf, fields := h.buf[:0], h.Fields[:0]
	*h = Head{buf: buf, Fields: fields}
	for {
		start := len(h.buf)
		for {
			part, err := r.ReadSlice('\n')
			h.buf = append(h.buf, part...)
			if len(h.buf) > limit {
				return nil, fmt.Errorf("%w: the limit is %d bytes", ErrHeadTooLarge, limit)
			}
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return nil, err
			}
		}
		line := h.buf[start:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return nil, fmt.Errorf("%w: a line of the head does not end with CRLF", ErrMalformed)
		}
		if len(line) == 2 {
			break
		}
	}
	return h.parse()
}

// parse splits the head into lines. The fields point into the buffer, so parse must be
// called after the last line was read, when the buffer no longer grows.
func (h *Head) parse() ([]byte, error) {
	var first []byte
	rest := h.buf
	for len(rest) > 2 {
		end := bytes.Index(rest, []byte("\r\n"))
		line := rest[:end]
		rest = rest[end+2:]
		if hasControl(line) {
			return nil, fmt.Errorf("%w: control character in the head", ErrMalformed)
		}
		if first == nil {
			first = line
			continue
		}
		colon := bytes.IndexByte(line, ':')
		if colon < 1 || !ValidName(line[:colon]) {
			return nil, fmt.Errorf("%w: invalid header field", ErrMalformed)
		}
		h.Fields = append(h.Fields, Field{Name: line[:colon], Value: bytes.Trim(line[colon+1:], " \t")})
	}
	if first == nil {
		return nil, fmt.Errorf("%w: empty head", ErrMalformed)
	}
	return first, nil
}

// frameRequest sets the framing of a request. A request with neither a length nor the
// chunked coding has no body.
func (h *Head) frameRequest() error {
	if err := h.frame(); err != nil {
		return err
	}
	if h.Framing == FramingClose {
		h.Framing = FramingNone
	}
	return nil
}

func (h *Head) frameResponse(method []byte) error {
	if err := h.frame(); err != nil {
		return err
	}
	if string(method) == "HEAD" || h.Status == 204 || h.Status == 304 {
		h.Framing, h.Length = FramingNone, 0
	}
	if h.Framing == FramingClose {
		h.Close = true
	}
	return nil
}

// frame sets the framing from the fields Content-Length, Transfer-Encoding and
// Connection. It rejects a message with two lengths, or with both a length and the
// chunked coding: such messages are used for request smuggling.
func (h *Head) frame() error {
	h.Framing = FramingClose
	lengths, codings := 0, 0
	for i := range h.Fields {
		f := &h.Fields[i]
		switch {
		case EqualName(f.Name, "Content-Length"):
			lengths++
			n, err := parseLength(f.Value)
			if err != nil {
				return err
			}
			h.Framing, h.Length = FramingLength, n
		case EqualName(f.Name, "Transfer-Encoding"):
			codings++
			if !EqualName(f.Value, "chunked") {
				return fmt.Errorf("%w: Transfer-Encoding is not chunked", ErrMalformed)
			}
		case EqualName(f.Name, "Connection"):
			if HasToken(f.Value, "close") {
				h.Close = true
			}
		}
	}
	if lengths+codings > 1 {
		return fmt.Errorf("%w: more than one Content-Length or Transfer-Encoding field", ErrMalformed)
	}
	if codings == 1 {
		h.Framing = FramingChunked
	}
	return nil
}

func parseLength(v []byte) (int64, error) {
	if len(v) == 0 || len(v) > 18 {
		return 0, fmt.Errorf("%w: invalid Content-Length", ErrMalformed)
	}
	var n int64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: invalid Content-Length", ErrMalformed)
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

// HasToken reports whether a comma-separated list contains the token, without
// regard to case.
func HasToken(list []byte, token string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if EqualName(bytes.Trim(part, " \t"), token) {
			return true
		}
	}
	return false
}

// hopByHop are the fields that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndToEnd reports whether the field is to be forwarded: it is neither hop-by-hop
// nor listed in the head's Connection field.
func (h *Head) EndToEnd(name []byte) bool {
	for _, hop := range hopByHop {
		if EqualName(name, hop) {
			return false
		}
	}
	for i := range h.Fields {
		if EqualName(h.Fields[i].Name, "Connection") && HasToken(h.Fields[i].Value, string(name)) {
			return false
		}
	}
	return true
}

func hasControl(b []byte) bool {
	for _, c := range b {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return true
		}
	}
	return false
}

// ValidName reports whether a header field may have the name: whether it is a token.
func ValidName[T string | []byte](name T) bool {
	for i := range len(name) {
		if !tokenChars[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// tokenChars are the characters allowed in a token (RFC 9110, section 5.6.2).
var tokenChars = func() (t [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		t[c] = true
	}
	return t
}()
