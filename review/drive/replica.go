package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventTokens is the number of tokens in an event, and eventTime the time between two.
	eventTokens = 4
	eventTime   = 4 * time.Millisecond
	// workTime is how long a request without a stream takes.
	workTime = 30 * time.Millisecond
	// Streams under shortPath end after shortOutput tokens, whatever their bound.
	shortPath   = "/chat/short"
	shortOutput = 80
	// heartbeat is the time between two entries of a replica.
	heartbeat = 1200 * time.Millisecond
)

// replica is a stand-in of a replica. It serves streams under /chat/ and plain requests under
// other paths.
type replica struct {
	id, service, zone, version string
	rec                        *recorder
	address                    string

	mu      sync.Mutex
	running int
	// ran, if it is not nil, is called for each request that the replica runs.
	ran func(attempt string)
}

// start starts a replica and registers it in the store.
func (p *replica) start(s *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address = l.Addr().String()
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second}
	go func() { _ = server.Serve(l) }() // It ends with the program.
	born := time.Now().UnixMilli()
	write := func(n int) {
		s.put(name("servers"), p.id, fmt.Sprintf(serverText, p.service, p.address, p.zone, p.version, born, n))
	}
	write(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			write(n)
		}
	}()
	return nil
}

// ServeHTTP runs one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(name("replica-id"), p.id)
	if r.URL.Path == "/healthz" {
		return
	}
	attempt := r.Header.Get(name("attempt"))
	w.Header().Set(name("attempt"), attempt)
	if r.Header.Get(name("expect")) != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.running++
	w.Header().Set(name("load"), fmt.Sprintf("%d,0,64", p.running))
	ran := p.ran
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if ran != nil {
		ran(attempt)
	}
	w.Header().Set(name("signature"), p.id+".signed")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // An absent field stands for 0.
	p.rec.linef("replica %s (%s) runs %s of %s, %d bytes, after event %d", p.id, p.version, attempt, r.Header.Get(name("tenant")), body, after)
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		time.Sleep(workTime)
		_, _ = io.WriteString(w, "done "+attempt+"\n") // The caller may have left.
		return
	}
	p.stream(w, r, after)
}

// stream sends the events of a stream after the one with a number.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, after int) {
	_, output := parseTokens(r.Header.Get(name("tokens")))
	if r.URL.Path == shortPath {
		output = min(output, shortOutput)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := after + 1; n <= (output+eventTokens-1)/eventTokens; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, p.version, n); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}

// parseTokens parses the prompt's and the output's tokens.
func parseTokens(field string) (prompt, output int) {
	a, b, _ := strings.Cut(field, ",")
	prompt, _ = strconv.Atoi(a) // The field is this program's own.
	output, _ = strconv.Atoi(b)
	return prompt, output
}

// setRan sets what is called for each request that the replica runs.
func (p *replica) setRan(fn func(attempt string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ran = fn
}
