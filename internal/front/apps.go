package front

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/wire"
	"github.com/beryllanding/beryllanding/pkg/refuse"
)

// callMethods are the methods that application services accept.
var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete,
}

// hopHeaders apply to one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// call prepares a call of an application service.
func (s *Server) call(x *exchange) (*entry.Request, error) {
	name := mux.Vars(x.r)["service"]
	service, ok := s.Catalogue.Service(name)
	if !ok || service.Kind != entry.KindApp {
		return nil, reject(http.StatusNotFound, refuse.CodeUnknownService, "application service %q does not exist", clip(name))
	}
	path := callPath(x.r, name)
	if hasDotSegment(path) {
		return nil, reject(http.StatusBadRequest, refuse.CodeBadRequest, "path %q has a dot segment", clip(path))
	}
	once := service.RunsOnce(x.r.Method, path)
	if once && !x.keyed && !service.AllowUnkeyed {
		return nil, reject(http.StatusBadRequest, refuse.CodeBadRequest,
			"%s %s runs at most once and needs the header %s", x.r.Method, clip(path), headerKey)
	}
	x.sink.flushEach = x.r.Header.Get("Accept") == "text/event-stream"
	return &entry.Request{Service: service, Once: once, Work: entry.Call{
		Method:     x.r.Method,
		Path:       withQuery(path, x.r.URL.RawQuery),
		Headers:    callHeaders(x.r.Header),
		Body:       x.body,
		Idempotent: !once,
	}}, nil
}

// isCall reports whether the request is for an application.
func isCall(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/apps/") }

// callPath returns the path below /apps/{service}, still escaped.
func callPath(r *http.Request, service string) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/apps/"+service)
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

// hasDotSegment reports whether the path has a dot segment, plain or escaped. A target
// could resolve such a path to another one than the path that was checked against the
// catalogue's rules.
func hasDotSegment(path string) bool {
	decoded := strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", "%5c", "/", "%5C", "/", `\`, "/").Replace(path)
	return slices.ContainsFunc(strings.Split(decoded, "/"), func(seg string) bool {
		return seg == "." || seg == ".."
	})
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// callHeaders returns the headers that are passed on. The caller's credentials and
// hop-by-hop headers are left out.
func callHeaders(h http.Header) []*wire.Header {
	var list []*wire.Header
	hopByHop := connectionHeaders(h)
	for name, values := range h {
		if dropRequestHeader(name) || slices.Contains(hopByHop, name) {
			continue
		}
		for _, v := range values {
			list = append(list, &wire.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(list, func(a, b *wire.Header) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

// connectionHeaders returns the hop-by-hop headers that Connection names.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

func dropRequestHeader(name string) bool {
	switch name {
	case "Authorization", "Content-Length", "Cookie", "Expect", headerKey, headerRequestID:
		return true
	case "X-Http-Method", "X-Http-Method-Override", "X-Method-Override":
		return true // would change the method that was checked against the catalogue's rules
	}
	return slices.Contains(hopHeaders, name)
}

// dropResponseHeader reports whether a target's header is withheld from the caller.
func dropResponseHeader(name string) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	switch name {
	case headerRequestID, headerOutcome:
		return true
	}
	return slices.Contains(hopHeaders, name)
}
