// Command drive plays the cases of the review. It starts beryl-edge as separate processes and
// plays the store, the replicas and the clients itself, on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// world is what a case runs in.
type world struct {
	*recorder
	dir   string
	store *store
	// storeAddress is where the store listens.
	storeAddress string
	// trouble is set unless the disruption is to be left out.
	trouble bool
	edges   []*edge
}

func main() {
	err := play(os.Args)
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	default:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

// play runs the case that the arguments name, with the path of its record.
func play(args []string) error {
	cases := map[string]func(*world) error{"restore": playRestore, "takeup": playTakeUp, "stop": playStop, "blind": playBlind, "history": playHistory}
	if len(args) != 3 || cases[args[1]] == nil {
		return errors.New("usage: drive CASE RECORD")
	}
	rec, err := newRecorder(args[2])
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	w := &world{recorder: rec, dir: dir, store: &store{}, trouble: os.Getenv("TROUBLE") != "0"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddress = l.Addr().String()
	go w.store.serve(l)
	w.store.put(name("operator"), "config", configText)
	defer w.close()
	w.linef("case %s, disruption: %v", args[1], w.trouble)
	err = cases[args[1]](w)
	if err != nil {
		w.linef("result: %v", err)
	} else {
		w.linef("result: the rule held")
	}
	return err
}

// close ends the processes and removes the folder.
func (w *world) close() {
	for _, e := range w.edges {
		if e.cmd != nil {
			e.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir) // Only logs and settings are in it.
	} else {
		fmt.Println(w.dir)
	}
}

// addEdge starts an edge machine.
func (w *world) addEdge(machine, ip, zone string) (*edge, error) {
	e, err := newEdge(w.recorder, w.dir, machine, ip, zone, w.storeAddress)
	if err != nil {
		return nil, err
	}
	w.edges = append(w.edges, e)
	return e, e.start()
}

// addReplica starts a replica.
func (w *world) addReplica(id, service, zone, version string) (*replica, error) {
	p := &replica{id: id, service: service, zone: zone, version: version, rec: w.recorder}
	return p, p.start(w.store)
}
