package edge

import (
	"time"

	"github.com/beryllanding/beryllanding/pkg/origin"
)

// renoteInterval is the time after which the origin of a stream that breaks off is noted
// again, since it may be forgotten soon.
const renoteInterval = 20 * time.Second

// bindVersion binds a request that takes up a stream to the service and version that began
// it. If that can't be known, or the route leads elsewhere now, it rejects the request and
// returns false. If the request doesn't name the stream, any stream may be meant: the version
// is known only if a single one can have begun them all.
func (x *exchange) bindVersion() bool {
	if !x.route.Stream || (x.resumes == "" && x.lastEvent <= 0) {
		return true
	}
	if x.resumes != "" {
		x.streamID = x.streamName(x.resumes)
	}
	at, ok := x.e.origins.ask(x.ctx, x.streamID, x.service)
	if !ok {
		x.reject(errUnknownOrigin.Error())
		return false
	}
	if at.Service != x.service {
		if !x.route.LeadsTo(at.Service) {
			x.reject("the route does not lead to the service that began the stream any more")
			return false
		}
		x.service = at.Service
	}
	x.pickRequest.Version = at.Version
	return true
}

// streamName returns the name under which the origin of a stream is kept. Callers choose the
// ids of their requests, so the name contains the organisation.
func (x *exchange) streamName(id string) string {
	if x.org == nil {
		return "/" + id
	}
	return x.org.Name + "/" + id
}

// noteOrigin records where the stream of the response began, when its first event is
// forwarded, and binds further attempts to that version. A stream that can't be taken up needs
// neither.
func (x *exchange) noteOrigin(a *attempt) {
	if !x.route.Resumable {
		return
	}
	if x.streamID == "" {
		x.streamID = x.streamName(string(x.id))
	}
	x.origin = origin.Origin{Service: x.service, Version: a.target.Version}
	x.pickRequest.Version = a.target.Version
	x.renoteOrigin()
}

// renoteOrigin records the stream's origin, unless it was recorded lately.
func (x *exchange) renoteOrigin() {
	if x.streamID != "" && x.events > 0 && time.Since(x.originNoted) > renoteInterval {
		x.originNoted = time.Now()
		x.e.origins.note(x.streamID, x.origin)
	}
}
