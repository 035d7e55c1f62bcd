package boot

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"
)

// debugHeaderTimeout bounds the time that a client takes to send its headers.
const debugHeaderTimeout = 5 * time.Second

// debugServer serves the process's metrics and profiles. Its variables are not
// published in the expvar package, so that several instances can run in one
// process.
type debugServer struct {
	vars   *expvar.Map
	server *http.Server
}

// newDebugServer returns a server that publishes vars and the profiles.
func newDebugServer(vars *expvar.Map) *debugServer {
	d := &debugServer{vars: vars}
	r := mux.NewRouter()
	r.HandleFunc("/debug/vars", d.serveVars)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	d.server = &http.Server{Handler: r, ReadHeaderTimeout: debugHeaderTimeout}
	return d
}

func (d *debugServer) serve(l net.Listener) { _ = d.server.Serve(l) }

func (d *debugServer) stop(ctx context.Context) { _ = d.server.Shutdown(ctx) }

// serveVars writes the variables and the memory statistics of the Go runtime as
// JSON.
func (d *debugServer) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	all := new(expvar.Map)
	all.Set("beryl", d.vars)
	if mem := expvar.Get("memstats"); mem != nil {
		all.Set("memstats", mem)
	}
	_, _ = w.Write([]byte(all.String()))
}
