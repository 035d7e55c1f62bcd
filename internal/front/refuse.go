package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// statusOf is the HTTP status for each refusal code.
var statusOf = map[refuse.Code]int{
	refuse.CodeBadRequest:        http.StatusBadRequest,
	refuse.CodeTooLarge:          http.StatusRequestEntityTooLarge,
	refuse.CodeNoKey:             http.StatusUnauthorized,
	refuse.CodeUnknownService:    http.StatusNotFound,
	refuse.CodeForbidden:         http.StatusForbidden,
	refuse.CodeBudgetSpent:       http.StatusPaymentRequired,
	refuse.CodeBudgetUnreachable: http.StatusTooManyRequests,
	refuse.CodeBusy:              http.StatusTooManyRequests,
	refuse.CodeDraining:          http.StatusServiceUnavailable,
	refuse.CodeNoTarget:          http.StatusServiceUnavailable,
	refuse.CodeLogUnavailable:    http.StatusServiceUnavailable,
	refuse.CodeHolderClosed:      http.StatusServiceUnavailable,
	refuse.CodeInterrupted:       http.StatusBadGateway,
	refuse.CodeInProgress:        http.StatusConflict,
	refuse.CodeKeyReused:         http.StatusConflict,
}

// refuse sends a refusal. If no response has started, the refusal is the response. In a
// started stream, it is the last event. Any other started response is cut off, so that
// the caller does not treat it as complete.
func (x *exchange) refuse(err error) {
	if errors.Is(err, entry.ErrCallerGone) {
		x.s.Counts.CallerGone.Add(1)
		x.abort()
		return
	}
	refusal := refusalOf(err)
	x.s.Counts.refused(refusal)
	switch {
	case !x.sink.started:
		x.sendRefusal(statusFor(err, refusal), refusal)
	case x.sink.stream:
		x.sink.sendError(refusal)
	default:
		x.abort()
	}
}

// abort makes the handler close the connection if the response has started.
func (x *exchange) abort() {
	if x.sink.started {
		x.sink.aborted = true
	}
}

// sendRefusal writes a refusal as the whole response.
func (x *exchange) sendRefusal(status int, r refuse.Refusal) {
	sendRefusal(x.w, status, r)
}

func sendRefusal(w http.ResponseWriter, status int, r refuse.Refusal) {
	h := w.Header()
	h.Set(headerOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, refusalBody(r))
}

// refusalBody returns the JSON body of a refusal.
func refusalBody(r refuse.Refusal) any {
	type inner struct {
		Code       refuse.Code    `json:"code"`
		Outcome    refuse.Outcome `json:"outcome"`
		Message    string         `json:"message"`
		RetryAfter int64          `json:"retry-after-ms"`
	}
	return struct {
		Error inner `json:"error"`
	}{inner{Code: r.Code, Outcome: r.Outcome, Message: r.Message, RetryAfter: r.RetryAfter.Milliseconds()}}
}

// refusalOf returns the refusal in an error. For an error without one, the outcome is
// unknown.
func refusalOf(err error) refuse.Refusal {
	if r, ok := refuse.As(err); ok {
		return *r
	}
	return refuse.Refusal{Code: refuse.CodeInterrupted, Outcome: refuse.Unknown, RetryAfter: time.Second, Message: "the request was interrupted"}
}

// statusFor returns the HTTP status of a refusal.
func statusFor(err error, r refuse.Refusal) int {
	var f *httpRefusal
	if errors.As(err, &f) {
		return f.status
	}
	if r.Code == refuse.CodeInterrupted && errors.Is(err, entry.ErrSilent) {
		return http.StatusGatewayTimeout
	}
	if status := statusOf[r.Code]; status != 0 {
		return status
	}
	return http.StatusBadGateway
}

// ceilSeconds rounds up to whole seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// notFound refuses a path that does not exist.
func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuseUnrouted(w, reject(http.StatusNotFound, refuse.CodeUnknownService, "path %q does not exist", r.URL.Path))
}

// notAllowed refuses a method that the path does not support.
func (s *Server) notAllowed(w http.ResponseWriter, r *http.Request) {
	s.refuseUnrouted(w, reject(http.StatusMethodNotAllowed, refuse.CodeBadRequest,
		"method %q is not supported at path %q", r.Method, r.URL.Path))
}

// refuseUnrouted counts and sends the refusal of a request that no route handles.
func (s *Server) refuseUnrouted(w http.ResponseWriter, f *httpRefusal) {
	s.Counts.Requests.Add(1)
	s.Counts.refused(f.Refusal)
	sendRefusal(w, f.status, f.Refusal)
}
