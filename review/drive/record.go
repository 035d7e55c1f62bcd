package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// newRecorder creates the record.
func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, start: time.Now()}, err
}

// linef writes one line.
func (r *recorder) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // A failed write shows in the file.
}
