package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// chatPrompt and chatOutput are the tokens of a stream of 20 events.
	chatPrompt, chatOutput = 600, 80
	// brokenAfter is the number of events after which a client's connection breaks.
	brokenAfter = 5
	// takeUps is the number of streams that are taken up while two versions serve.
	takeUps = 8
)

// playTakeUp lets connections of clients break while two software versions of a service serve.
// The clients take their streams up with the id of the last event. FIRST=0 in the environment
// leaves out the take-up before the release, and RESUMES=1 adds the field that no page names.
func playTakeUp(w *world) error {
	for i, zone := range []string{"chc-a", "chc-b"} {
		if _, err := w.addReplica(fmt.Sprintf("i-old-%d", i+1), "assist", zone, "v1"); err != nil {
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
	for range 65 {
		ask(w.recorder, w.edges[0].frontend, w.chat(0, 0))
		time.Sleep(500 * time.Millisecond)
	}
	if os.Getenv("FIRST") != "0" {
		if _, err := w.takeUp("v1"); err != nil {
			return err
		}
	}
	w.linef("release: replicas of v2 start; those of v1 still serve")
	for i, zone := range []string{"chc-a", "chc-b"} {
		if _, err := w.addReplica(fmt.Sprintf("i-new-%d", i+1), "assist", zone, "v2"); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	joined := 0
	for range takeUps {
		versions, err := w.takeUp("v2")
		if err != nil {
			return err
		}
		if len(versions) > 1 {
			joined++
		}
	}
	w.linef("%d of %d streams were joined from two versions", joined, takeUps)
	if joined > 0 {
		return fmt.Errorf("%w: %d of %d streams were joined from two versions", errBroken, joined, takeUps)
	}
	return nil
}

// chat is a stream that goes on after an event, or breaks after some.
func (w *world) chat(after, leaveAfter int) request {
	return request{path: "/chat/c", key: "key-b", prompt: chatPrompt, output: chatOutput, after: after, leaveAfter: leaveAfter, deadline: 5 * time.Second}
}

// takeUp begins streams until one begins at a version, breaks its connection and takes it up at
// the other machine. It returns the versions of the text that the client has in the end.
func (w *world) takeUp(version string) (versions []string, err error) {
	leave := brokenAfter
	if !w.trouble {
		leave = 0
	}
	for range 50 {
		first := ask(w.recorder, w.edges[0].frontend, w.chat(0, leave))
		if first.status != 200 || len(first.events) == 0 {
			return nil, fmt.Errorf("a stream got status %d", first.status)
		}
		if !strings.HasPrefix(first.events[0], version+" ") {
			continue
		}
		events := first.events
		if w.trouble {
			q := w.chat(brokenAfter, 0)
			if os.Getenv("RESUMES") == "1" {
				q.resumes = first.attempt
			}
			second := ask(w.recorder, w.edges[1].frontend, q)
			if second.status != 200 {
				w.linef("the stream %s is not taken up", first.attempt)
				return nil, nil
			}
			events = append(events, second.events...)
		}
		for _, e := range events {
			if v, _, _ := strings.Cut(e, " "); !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		w.linef("stream %s: %d events, text from %v", first.attempt, len(events), versions)
		return versions, nil
	}
	return nil, errors.New("no stream began at " + version)
}
