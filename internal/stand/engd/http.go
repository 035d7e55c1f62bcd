package engd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
	"github.com/beryllanding/beryllanding/pkg/ident"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 8 << 20

// Handler serves chat completions, cancels, status, events, orders, counts and
// the switches.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	e.Switches.Register(r)
	r.HandleFunc("/counts", e.serveCounts).Methods(http.MethodGet)
	api := r.NewRoute().Subrouter()
	api.Use(e.injectFailures)
	api.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	api.HandleFunc("/v1/cancel", e.serveCancel).Methods(http.MethodPost)
	api.HandleFunc("/status", e.serveStatus).Methods(http.MethodGet)
	api.HandleFunc("/events", e.serveEvents).Methods(http.MethodGet)
	api.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	return r
}

// injectFailures applies the switches Die and Silent to every call.
func (e *Engine) injectFailures(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sw := e.Switches.Get()
		if sw.Die {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		if sw.Silent {
			_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	req, err := decodeChat(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	h, err := parseHeaders(r.Header)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	run, err := e.submit(req, h.id, h.priority, h.fence)
	if err != nil {
		writeError(w, submitStatus(err), err)
		return
	}
	if req.Stream {
		e.respondStream(w, r, req, run)
		return
	}
	e.respondWhole(w, r, req, run)
}

// headers holds the request headers that the engine uses.
type headers struct {
	id       string
	priority int
	fence    uint64
}

func parseHeaders(h http.Header) (headers, error) {
	p := headers{id: h.Get("X-Request-Id")}
	if p.id == "" {
		p.id = ident.NewRequestID()
	}
	var err error
	if text := h.Get("X-Priority"); text != "" {
		if p.priority, err = strconv.Atoi(text); err != nil {
			return p, fmt.Errorf("X-Priority is %q, want a whole number", text)
		}
	}
	if text := h.Get("X-Fence"); text != "" {
		if p.fence, err = strconv.ParseUint(text, 10, 64); err != nil {
			return p, fmt.Errorf("X-Fence is %q, want a whole number", text)
		}
	}
	return p, nil
}

func submitStatus(err error) int {
	switch {
	case errors.Is(err, errFenced):
		return http.StatusConflict
	case errors.Is(err, errFull):
		return http.StatusTooManyRequests
	default:
		return http.StatusNotFound
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request-id"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	runs, tokens := e.cancel(func(r *run) bool { return r.id == body.RequestID })
	toggle.WriteJSON(w, http.StatusOK, struct {
		Cancelled int `json:"cancelled"`
		Tokens    int `json:"tokens"`
	}{runs, tokens})
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	toggle.WriteJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from := uint64(1)
	if text := r.URL.Query().Get("from"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, fmt.Errorf("query parameter \"from\" is %q, want a whole number", text))
			return
		}
		from = n
	}
	toggle.WriteJSON(w, http.StatusOK, struct {
		Events []Event `json:"events"`
	}{e.Events(from)})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	err := e.Execute(o)
	switch {
	case errors.Is(err, errFenced):
		writeError(w, http.StatusConflict, err)
	case err != nil:
		writeError(w, http.StatusBadRequest, err)
	default:
		toggle.WriteJSON(w, http.StatusOK, e.Status())
	}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	toggle.WriteJSON(w, http.StatusOK, e.Counts())
}

// writeError responds with an error in the format of chat-completion services.
func writeError(w http.ResponseWriter, status int, err error) {
	toggle.WriteJSON(w, status, struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}{struct {
		Message string `json:"message"`
	}{err.Error()}})
}
