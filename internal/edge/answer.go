package edge

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/beryllanding/beryllanding/pkg/http1"
)

// Status codes of responses that the instance generates itself.
const (
	statusNoContent       = 204
	statusBadRequest      = 400
	statusUnauthorized    = 401
	statusPaymentRequired = 402
	statusNotFound        = 404
	statusRequestTimeout  = 408
	statusContentTooLarge = 413
	statusMisdirected     = 421
	statusHeadTooLarge    = 431
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusGatewayTimeout  = 504
)

var reasonPhrases = map[int]string{
	200:                   "OK",
	statusBadRequest:      "Bad Request",
	statusUnauthorized:    "Unauthorized",
	statusPaymentRequired: "Payment Required",
	statusNotFound:        "Not Found",
	statusRequestTimeout:  "Request Timeout",
	statusContentTooLarge: "Content Too Large",
	statusHeadTooLarge:    "Request Header Fields Too Large",
	500:                   "Internal Server Error",
	statusBadGateway:      "Bad Gateway",
	statusUnavailable:     "Service Unavailable",
	statusGatewayTimeout:  "Gateway Timeout",
}

// response is a complete response of a target.
type response struct {
	status int
	// fields are the encoded header fields to forward.
	fields []byte
	body   []byte
}

// writeTimeout bounds each write to a caller. A caller that reads nothing for that long
// is treated as disconnected.
const writeTimeout = 10 * time.Second

// responseWriter writes responses to a caller's connection.
type responseWriter struct {
	nc net.Conn
	// close adds "Connection: close" to the next response.
	close bool
	// started is set before the first byte of the response is written.
	started bool
	// err is the first error of a write; later writes return it.
	err error
	buf []byte
}

func (w *responseWriter) flush() error {
	if w.err != nil {
		return w.err
	}
	w.started = true
	if err := w.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		w.err = err
		return err
	}
	if _, err := w.nc.Write(w.buf); err != nil {
		w.err = err
	}
	w.buf = w.buf[:0]
	return w.err
}

// startHead buffers the status line and the header fields. The caller adds the framing
// fields and the blank line.
func (w *responseWriter) startHead(status int, fields []byte) {
	w.buf = append(w.buf[:0], "HTTP/1.1 "...)
	w.buf = strconv.AppendInt(w.buf, int64(status), 10)
	w.buf = append(w.buf, ' ')
	w.buf = append(w.buf, reasonPhrases[status]...)
	w.buf = append(w.buf, "\r\n"...)
	w.buf = append(w.buf, fields...)
	if w.close {
		w.buf = append(w.buf, "Connection: close\r\n"...)
	}
}

// errResponseStarted reports an attempt to write a second response before the first one
// has ended.
var errResponseStarted = errors.New("another response has already started on the connection")

// writeResponse writes a complete response. If another response has started,
// writeResponse writes nothing and marks the connection as failed, since the caller
// could not tell the two responses apart.
func (w *responseWriter) writeResponse(r *response, withBody bool) error {
	if w.started && w.err == nil {
		w.err = errResponseStarted
	}
	if w.err != nil {
		return w.err
	}
	w.startHead(r.status, r.fields)
	if r.status != statusNoContent {
		w.buf = append(w.buf, "Content-Length: "...)
		w.buf = strconv.AppendInt(w.buf, int64(len(r.body)), 10)
		w.buf = append(w.buf, "\r\n"...)
	}
	w.buf = append(w.buf, "\r\n"...)
	if withBody {
		w.buf = append(w.buf, r.body...)
	}
	return w.flush()
}

// startChunked buffers the header of a chunked response. The header is sent with the
// first chunk.
func (w *responseWriter) startChunked(status int, fields []byte) {
	w.startHead(status, fields)
	w.buf = append(w.buf, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// writeChunk writes data as one chunk.
func (w *responseWriter) writeChunk(data []byte) error {
	w.buf = http1.AppendChunk(w.buf, data)
	return w.flush()
}

// finishChunked writes data, which may be empty, and the last chunk.
func (w *responseWriter) finishChunked(data []byte) error {
	if len(data) > 0 {
		w.buf = http1.AppendChunk(w.buf, data)
	}
	w.buf = append(w.buf, http1.LastChunk...)
	return w.flush()
}

// writeError writes an error response of the instance itself. The JSON body contains
// the reason. If retryAfter is 0, the response has no Retry-After field.
func (w *responseWriter) writeError(status int, requestID []byte, header string, retryAfter time.Duration, reason string) error {
	var fields []byte
	if len(requestID) > 0 {
		fields = http1.AppendField(fields, header, requestID)
	}
	if retryAfter > 0 {
		fields = append(fields, "Retry-After: "...)
		fields = strconv.AppendFloat(fields, retryAfter.Seconds(), 'f', 3, 64)
		fields = append(fields, "\r\n"...)
	}
	fields = append(fields, "Content-Type: application/json\r\n"...)
	body := append(strconv.AppendQuote([]byte(`{"error":`), reason), '}')
	return w.writeResponse(&response{status: status, fields: fields, body: body}, true)
}
