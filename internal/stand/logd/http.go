package logd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/logsvc"
)

const (
	// maxWait bounds the wait of a long poll.
	maxWait = 30 * time.Second
	// maxLimit bounds the records of one page.
	maxLimit = 4096
)

// Handler serves the protocol of package logsvc, and the switches.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/streams/{stream}/records", s.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/streams/{stream}/records", s.serveRead).Methods(http.MethodGet)
	s.Switches.Register(r)
	return r
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, logsvc.MaxRecord+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	at, err := s.Append(r.Context(), mux.Vars(r)["stream"], data)
	if err != nil {
		s.fail(w, err)
		return
	}
	toggle.WriteJSON(w, http.StatusOK, struct {
		Offset logsvc.Offset `json:"offset"`
	}{at})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q, err := parseRead(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := s.Read(r.Context(), mux.Vars(r)["stream"], q.from, q.limit, q.wait)
	if err != nil {
		s.fail(w, err)
		return
	}
	if page.Records == nil {
		page.Records = []logsvc.Record{}
	}
	toggle.WriteJSON(w, http.StatusOK, page)
}

// fail answers with the status for an error. If the answer is lost, it closes the
// connection instead.
func (s *Store) fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, logsvc.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, logsvc.ErrRateLimited):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, logsvc.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, logsvc.ErrOutcomeUnknown), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// readQuery holds the decoded query parameters of a read.
type readQuery struct {
	from  logsvc.Offset
	limit int
	wait  time.Duration
}

func parseRead(r *http.Request) (readQuery, error) {
	from, err := number(r, "from", 1)
	if err != nil {
		return readQuery{}, err
	}
	limit, err := number(r, "limit", maxLimit)
	if err != nil {
		return readQuery{}, err
	}
	wait, err := number(r, "wait-ms", 0)
	if err != nil {
		return readQuery{}, err
	}
	return readQuery{
		from:  logsvc.Offset(from),
		limit: int(min(limit, maxLimit)),
		wait:  time.Duration(min(wait, uint64(maxWait/time.Millisecond))) * time.Millisecond,
	}, nil
}

// number returns the value of a numeric query parameter, or absent if the parameter
// is missing.
func number(r *http.Request, name string, absent uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("query parameter %q is %q, want a whole number", name, text)
	}
	return n, nil
}
