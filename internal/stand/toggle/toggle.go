// Package toggle holds the failure switches of a stand-in, for use in process
// and over HTTP.
package toggle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"
)

// maxBody bounds the body of a request to /switches, in bytes.
const maxBody = 64 << 10

// Box holds the switches of one stand-in. The zero value holds the zero T, which means
// no failures. It is safe for concurrent use.
type Box[T any] struct {
	mu  sync.Mutex
	now atomic.Pointer[T]
	// changed is closed at the next change of the switches.
	changed chan struct{}
}

// Get returns the current switches.
func (b *Box[T]) Get() T {
	if p := b.now.Load(); p != nil {
		return *p
	}
	var zero T
	return zero
}

// Set replaces all switches.
func (b *Box[T]) Set(v T) { b.Update(func(p *T) { *p = v }) }

// Update calls fn to change the switches. Calls of fn do not overlap.
func (b *Box[T]) Update(fn func(*T)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeLocked(fn)
}

// Changed returns a channel that is closed at the next change of the switches.
func (b *Box[T]) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *Box[T]) storeLocked(fn func(*T)) {
	v := b.Get()
	fn(&v)
	b.now.Store(&v)
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Register serves GET and PUT /switches. The body of a PUT names the switches to
// change; the others stay as they are.
func (b *Box[T]) Register(r *mux.Router) {
	r.HandleFunc("/switches", b.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/switches", b.servePut).Methods(http.MethodPut)
}

func (b *Box[T]) serveGet(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, b.Get())
}

func (b *Box[T]) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	next := b.Get()
	err = decodeStrict(body, &next)
	if err == nil {
		b.storeLocked(func(p *T) { *p = next })
	}
	b.mu.Unlock()
	if err != nil {
		http.Error(w, fmt.Sprintf("switches are unchanged: %v", err), http.StatusBadRequest)
		return
	}
	WriteJSON(w, http.StatusOK, next)
}

// decodeStrict decodes a JSON value. It returns an error for unknown fields.
func decodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has left
}
