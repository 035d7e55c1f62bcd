package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// reserved is what depot-a may use, as the configuration says.
	reserved = 300000
	// Each request of depot-a uses this many tokens.
	restorePrompt, restoreOutput = 1500, 80
)

// playRestore plays a drill of the store, from which it comes back as it was six seconds
// before, while one of three edge processes is killed and starts again.
func playRestore(w *world) error {
	for i, zone := range []string{"chc-a", "chc-b", "dud-a"} {
		if _, err := w.addReplica(fmt.Sprintf("i-%d", i+1), "assist", zone, "v1"); err != nil {
			return err
		}
		if _, err := w.addEdge(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), zone); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// Another tenant's clients use all machines, all the time.
	stop := make(chan struct{})
	var others sync.WaitGroup
	defer others.Wait()
	defer close(stop)
	for _, e := range w.edges {
		others.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				ask(w.recorder, e.frontend, request{path: "/chat/b", key: "key-b", prompt: 300, output: 40, deadline: 5 * time.Second})
			}
		})
	}
	time.Sleep(2 * time.Second)
	old := w.store.copy()
	w.linef("store: a copy is made")

	var mu sync.Mutex
	used, served := 0, 0
	at := w.edges[0]
	depot := func(length time.Duration) {
		every(30*time.Millisecond, length, func() {
			a := ask(w.recorder, at.frontend, request{path: "/chat/a", key: "key-a", prompt: restorePrompt, output: restoreOutput, deadline: 5 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
				used += restorePrompt + eventTokens*len(a.events)
			}
		})
	}
	depot(4 * time.Second)
	w.linef("depot-a: %d requests served, %d tokens of %d", served, used, reserved)
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		if err := w.drill(old); err != nil {
			return err
		}
		if os.Getenv("ONLY") == "dead" {
			at = w.edges[1]
		}
	}
	time.Sleep(3 * time.Second)
	depot(9 * time.Second)
	w.linef("depot-a: %d requests served, %d tokens of %d", served, used, reserved)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	if used > reserved {
		return fmt.Errorf("%w: depot-a got %d tokens of %d", errBroken, used, reserved)
	}
	return nil
}

// drill lets the store go away and come back from a copy, while the first machine's process
// ends and starts again. ONLY in the environment leaves a part out: with "drill" the process
// goes on, with "kill" the store stays. With "term" the process is stopped with SIGTERM, as in
// planned work, and the store goes away before the process ends. With "dead" it does not start
// again, and depot-a's clients go to the second machine. With "all" the processes of all machines
// are killed.
func (w *world) drill(old image) error {
	only, e := os.Getenv("ONLY"), w.edges[0]
	if only == "term" {
		e.signal(syscall.SIGTERM)
		time.Sleep(2300 * time.Millisecond)
	}
	if only != "kill" {
		w.linef("store: away")
		w.store.setAway()
	}
	switch only {
	case "drill":
	case "term":
		<-e.done
	case "all":
		for _, e := range w.edges {
			e.kill()
		}
	default:
		e.kill()
	}
	time.Sleep(time.Second)
	switch only {
	case "drill", "dead":
	case "all":
		for _, e := range w.edges {
			if err := e.start(); err != nil {
				return err
			}
		}
	default:
		if err := e.start(); err != nil {
			return err
		}
	}
	if only != "kill" {
		w.store.restore(old)
		w.linef("store: back, as it was when the copy was made")
	}
	if only == "dead" {
		return nil
	}
	return e.awaitReady(10 * time.Second)
}
