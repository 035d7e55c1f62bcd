package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the command of the role edge in deploy/system.toml.
const program = "target/beryl-edge"

// edge is an edge machine with its process.
type edge struct {
	name            string
	frontend, ready string
	// settings is the path of the settings file.
	settings string
	cmd      *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	rec  *recorder
}

// newEdge prepares a machine: free ports, and a settings file in the folder.
func newEdge(rec *recorder, dir, machine, ip, zone, storeAddress string) (*edge, error) {
	var ports []int
	for range 3 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}
	e := &edge{name: machine, rec: rec, settings: filepath.Join(dir, machine+".toml")}
	e.frontend, e.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	// Only the first two ports of the range are used.
	text := fmt.Sprintf(settingsText, machine, ip, zone, ports[2], ports[2]+15, ports[0], ports[1], storeAddress)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the process.
func (e *edge) start() error {
	out, err := os.OpenFile(e.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	e.cmd = exec.Command(program)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLLANDING_BOOT=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.rec.linef("machine %s: process %d started", e.name, e.cmd.Process.Pid)
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // The record says why it ended.
		e.rec.linef("machine %s: process %d ended: %s", e.name, cmd.Process.Pid, cmd.ProcessState)
		close(done)
	}(e.cmd, e.done)
	return nil
}

// signal sends a signal to the process.
func (e *edge) signal(sig syscall.Signal) {
	e.rec.linef("machine %s: signal: %s", e.name, sig)
	_ = e.cmd.Process.Signal(sig) // A process that has ended needs none.
}

// kill ends the process at once.
func (e *edge) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

// isReady asks the readiness address.
func (e *edge) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the machine is ready.
func (e *edge) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready after %v", e.name, limit)
}
