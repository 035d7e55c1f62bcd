// Package strict rejects responses that net/http accepts although they are not valid HTTP.
package strict

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/beryllanding/beryllanding/pkg/http1"
)

// Transport is an http.RoundTripper that returns http1.ErrMalformed for a response with an invalid
// status or field name. net/http takes a name with a blank for a name of its own, so that a
// "Content-Length :" doesn't frame the body. Base must be set.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	interim := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		// With this function, net/http bounds each interim response but not their number.
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			if interim++; interim > http1.MaxInterim {
				return fmt.Errorf("%w: more than %d interim responses", http1.ErrMalformed, http1.MaxInterim)
			}
			return checkNames(fields)
		},
	})
	resp, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if !http1.ValidStatus(resp.StatusCode) {
		err = fmt.Errorf("%w: invalid status code %d", http1.ErrMalformed, resp.StatusCode)
	} else {
		err = checkNames(textproto.MIMEHeader(resp.Header))
	}
	if err != nil {
		_ = resp.Body.Close() // The response is dropped whether or not this fails.
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base. http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func checkNames(fields textproto.MIMEHeader) error {
	for name := range fields {
		if !http1.ValidName(name) {
			return fmt.Errorf("%w: invalid field name %q", http1.ErrMalformed, name)
		}
	}
	return nil
}
