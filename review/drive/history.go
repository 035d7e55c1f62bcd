package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// historyReserved is what depot-a may use in this case.
	historyReserved = 24000
	// historyCut is how long the first machine is cut off from the store.
	historyCut = 5 * time.Second
)

// line is the path of one machine to the store. It can hold the next write of an account until
// something has happened, lose its answer, and be cut.
type line struct {
	store *store

	mu  sync.Mutex
	cut bool
	// held, if it is not nil, is closed when the next write of an account arrives. That write
	// goes on when release is closed. written is closed when it was carried out.
	held, release, written chan struct{}
	// cutAfter cuts the line before that write is answered.
	cutAfter bool
	// read, if it is not nil, is closed when the newest accounts were read.
	read chan struct{}
}

// listen starts to serve the line, and returns its address.
func (l *line) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // It ends with the program.
	return listener.Addr().String(), nil
}

// hold holds the next write of an account until release is closed.
func (l *line) hold(release chan struct{}, cutAfter bool) (held, written chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.release, l.written, l.cutAfter = make(chan struct{}), release, make(chan struct{}), cutAfter
	return l.held, l.written
}

func (l *line) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// heal ends the cut, and returns a channel that closes when the newest accounts were read.
func (l *line) heal() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.read = false, make(chan struct{})
	return l.read
}

// ServeHTTP passes one call on.
func (l *line) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.isCut() {
		<-r.Context().Done()
		return
	}
	accounts := strings.Contains(r.URL.RawQuery, name("budgets"))
	l.mu.Lock()
	held, release, written, cutAfter, read := l.held, l.release, l.written, l.cutAfter, l.read
	write := held != nil && accounts && r.URL.Path == name("append")
	if write {
		l.held = nil
	}
	l.mu.Unlock()
	if write {
		close(held)
		<-release
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, r)
	if write {
		l.mu.Lock()
		l.cut = cutAfter
		l.mu.Unlock()
		close(written)
	}
	if l.isCut() {
		<-r.Context().Done()
		return
	}
	for field, values := range answer.Header() {
		w.Header()[field] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // The caller may have left.
	if read != nil && accounts && r.URL.Path == name("newest") {
		l.mu.Lock()
		if l.read != nil {
			close(l.read)
			l.read = nil
		}
		l.mu.Unlock()
	}
}

// playHistory cuts a machine off from the store while its account is being written, and drops
// the store's history before the machine is back.
func playHistory(w *world) error {
	w.store.put(name("operator"), "config", strings.Replace(strings.Replace(configText, fmt.Sprint(reserved), fmt.Sprint(historyReserved), 1), `"version":7`, `"version":9`, 1))
	var lines []*line
	for i, zone := range []string{"chc-a", "chc-b", "dud-a"} {
		if _, err := w.addReplica(fmt.Sprintf("i-%d", i+1), "assist", zone, "v1"); err != nil {
			return err
		}
		l := &line{store: w.store}
		var err error
		if w.storeAddress, err = l.listen(); err != nil {
			return err
		}
		lines = append(lines, l)
		if _, err := w.addEdge(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), zone); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	used := 0
	depot := func(i, prompt, output int) int {
		a := ask(w.recorder, w.edges[i].frontend, request{path: shortPath, key: "key-a", prompt: prompt, output: output, deadline: 5 * time.Second})
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 {
			used += prompt + eventTokens*len(a.events)
		}
		return a.status
	}
	// The third machine serves small requests all the time.
	stop := make(chan struct{})
	var small sync.WaitGroup
	small.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			depot(2, 10, 8)
		}
	})
	time.Sleep(2 * time.Second)

	// Two large requests come at the same time. The budget covers one of them.
	first, second := make(chan struct{}), make(chan struct{})
	var large sync.WaitGroup
	heldB, writtenB := lines[1].hold(first, false)
	heldA, writtenA := lines[0].hold(second, w.trouble)
	large.Go(func() { depot(0, 14000, 1000) })
	large.Go(func() { depot(1, 1000, 14000) })
	<-heldA
	<-heldB
	close(first)
	<-writtenB
	close(second)
	<-writtenA
	w.linef("store: the second machine's account is written, then the first one's")
	if w.trouble {
		w.linef("machine edge-1: cut off from the store")
	}
	cut := time.Now()
	large.Wait()
	// The second machine is stopped, as planned work, and returns its tokens.
	w.edges[1].signal(syscall.SIGTERM)
	<-w.edges[1].done
	time.Sleep(time.Until(cut.Add(historyCut)))
	if w.trouble {
		if os.Getenv("ONLY") != "cut" {
			w.store.forget()
			w.linef("store: its history is dropped")
		}
		read := lines[0].heal()
		w.linef("machine edge-1: reaches the store again")
		select {
		case <-read:
		case <-time.After(3 * time.Second):
		}
	}
	var last sync.WaitGroup
	last.Go(func() { w.linef("edge-1: status %d", depot(0, 14000, 100)) })
	last.Go(func() { w.linef("edge-3: status %d", depot(2, 12800, 100)) })
	last.Wait()
	close(stop)
	small.Wait()
	w.linef("depot-a: %d tokens of %d", used, historyReserved)
	if used > historyReserved {
		return fmt.Errorf("%w: depot-a got %d tokens of %d", errBroken, used, historyReserved)
	}
	return nil
}
