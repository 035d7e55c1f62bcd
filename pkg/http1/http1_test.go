package http1_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/beryllanding/beryllanding/pkg/http1"
)

const headLimit = 1 << 12

func request(text string) (*http1.Head, *bufio.Reader, error) {
	r := bufio.NewReader(strings.NewReader(text))
	h := &http1.Head{}
	return h, r, h.ReadRequest(r, headLimit)
}

// TestRequest checks that the head is parsed, that fields of the connection are not
// forwarded, and that the reader stops at the end of the body. At any other position,
// the next request would be read from the wrong byte.
func TestRequest(t *testing.T) {
	h, r, err := request("POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-One:  two \r\nConnection: x-hop, close\r\nX-Hop: 1\r\nContent-Length: 3\r\n\r\nabcGET")
	if err != nil {
		t.Fatal(err)
	}
	if string(h.Method) != "POST" || string(h.Path) != "/a/b?c=1" || string(h.Get("x-one")) != "two" || !h.Close {
		t.Errorf("head is %+v, want POST, path /a/b?c=1, x-one \"two\" and Close", h)
	}
	if h.EndToEnd([]byte("X-Hop")) || h.EndToEnd([]byte("connection")) || !h.EndToEnd([]byte("X-One")) {
		t.Error("EndToEnd is wrong for X-Hop (want false), connection (want false) or X-One (want true)")
	}
	body, err := http1.NewBody(r, h).ReadAll(nil, 10)
	if string(body) != "abc" || err != nil {
		t.Errorf("body is %q, error %v; want \"abc\", no error", body, err)
	}
	if rest, _ := r.Peek(3); string(rest) != "GET" {
		t.Errorf("the bytes after the body are %q, want \"GET\"", rest)
	}
}

// TestRequestRejected checks that heads with ambiguous framing or invalid syntax
// are rejected. Another HTTP implementation on the path could read them
// differently, which allows request smuggling.
func TestRequestRejected(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"equal lengths":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
		"length and chunks":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks twice":            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"other coding":            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"signed length":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n",
		"length list":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\n",
		"space before the colon":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\n",
		"folded line":             "GET / HTTP/1.1\r\nHost: h\r\nX: 1\r\n 2\r\n\r\n",
		"bare line feed":          "GET / HTTP/1.1\nHost: h\r\n\r\n",
		"bare carriage return":    "GET / HTTP/1.1\r\nHost: h\rX: 1\r\n\r\n",
		"zero byte":               "GET / HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n",
		"no host":                 "GET / HTTP/1.1\r\n\r\n",
		"two hosts":               "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"old version":             "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
		"absolute form":           "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"space in the path":       "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"method is no token":      "GE(T / HTTP/1.1\r\nHost: h\r\n\r\n",
		"empty line first":        "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"field without a name":    "GET / HTTP/1.1\r\nHost: h\r\n: 1\r\n\r\n",
		"field without any colon": "GET / HTTP/1.1\r\nHost: h\r\nabc\r\n\r\n",
	} {
		if _, _, err := request(text); !errors.Is(err, http1.ErrMalformed) {
			t.Errorf("%s: error is %v, want ErrMalformed", name, err)
		}
	}
	if _, _, err := request("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", headLimit) + "\r\n\r\n"); !errors.Is(err, http1.ErrHeadTooLarge) {
		t.Errorf("head over the limit: error is %v, want ErrHeadTooLarge", err)
	}
}

func chunked(body string) (*http1.Body, error) {
	r := bufio.NewReader(iotest.OneByteReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body)))
	h := &http1.Head{}
	err := h.ReadResponse(r, headLimit, []byte("GET"))
	return http1.NewBody(r, h), err
}

func TestChunks(t *testing.T) {
	b, err := chunked("3;x=y\r\nabc\r\n0a\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	data, err := b.ReadAll(nil, 100)
	if string(data) != "abc0123456789" || err != nil || !b.Complete() {
		t.Errorf("body is %q, error %v, complete %v; want \"abc0123456789\", no error, complete", data, err, b.Complete())
	}
}

// TestBrokenChunks checks that a truncated or malformed chunked body gives an
// error and does not count as complete.
func TestBrokenChunks(t *testing.T) {
	for name, body := range map[string]string{
		"end within a chunk":  "5\r\nab",
		"end before the last": "2\r\nab\r\n",
		"end in the trailer":  "2\r\nab\r\n0\r\n",
		"size too small":      "1\r\nab\r\n0\r\n\r\n",
		"no size":             "\r\nab\r\n0\r\n\r\n",
		"negative size":       "-2\r\nab\r\n0\r\n\r\n",
		"signed size":         "+2\r\nab\r\n0\r\n\r\n",
		"huge size":           "fffffffffffffffff\r\nab\r\n0\r\n\r\n",
		"bare line feed":      "2\nab\r\n0\r\n\r\n",
	} {
		b, err := chunked(body)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.ReadAll(nil, 100); err == nil || b.Complete() {
			t.Errorf("%s: error %v, complete %v; want an error, complete false", name, err, b.Complete())
		}
	}
}

// TestResponseFramings checks for each framing of a response what its body is and
// whether it is complete. A body cut off by a closed or reset connection must not
// count as complete.
func TestResponseFramings(t *testing.T) {
	read := func(text, method string, end error) (string, bool, error) {
		r := bufio.NewReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(end)))
		h := &http1.Head{}
		if err := h.ReadResponse(r, headLimit, []byte(method)); err != nil {
			return "", false, err
		}
		b := http1.NewBody(r, h)
		data, err := b.ReadAll(nil, 100)
		return string(data), b.Complete(), err
	}
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name, text, method string
		end                error
		body               string
		complete           bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX", "GET", io.EOF, "ab", true},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "GET", io.EOF, "ab", false},
		{"closed", "HTTP/1.1 200 OK\r\n\r\nab", "GET", io.EOF, "ab", true},
		{"reset", "HTTP/1.1 200 OK\r\n\r\nab", "GET", reset, "ab", false},
		{"head", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD", io.EOF, "", true},
		{"no content", "HTTP/1.1 204 No\r\n\r\n", "GET", io.EOF, "", true},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "GET", io.EOF, "a", true},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", io.EOF, "", true},
	} {
		body, complete, err := read(c.text, c.method, c.end)
		if body != c.body || complete != c.complete || (err == nil) != c.complete {
			t.Errorf("%s: body %q, complete %v, error %v; want body %q, complete %v", c.name, body, complete, err, c.body, c.complete)
		}
	}
	for _, text := range []string{"garbage\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000\r\n\r\n"} {
		if _, _, err := read(text, "GET", io.EOF); !errors.Is(err, http1.ErrMalformed) {
			t.Errorf("%q: error is %v, want ErrMalformed", text, err)
		}
	}
}

// TestBodyLimit checks that a body over the limit is rejected, whether its length
// is announced or not.
func TestBodyLimit(t *testing.T) {
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n0123456789a",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n0123456789a\r\n0\r\n\r\n",
	} {
		h, r, err := request(text)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := http1.NewBody(r, h).ReadAll(nil, 10); !errors.Is(err, http1.ErrBodyTooLarge) {
			t.Errorf("body of 11 bytes with a limit of 10: error is %v, want ErrBodyTooLarge", err)
		}
	}
}

// FuzzRequest compares the parser with net/http. A message that both accept must
// have the same method and body, or a request could be smuggled past one of them.
func FuzzRequest(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		h, r, err := request(text)
		if err != nil {
			return
		}
		data, err := http1.NewBody(r, h).ReadAll(nil, 1<<16)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return // net/http is stricter in places, such as the escapes of the path.
		}
		theirs, err := io.ReadAll(req.Body)
		if err != nil || req.Method != string(h.Method) || !bytes.Equal(theirs, data) {
			t.Errorf("%q: method %q, net/http has %q; body %q, net/http has %q, error %v", text, h.Method, req.Method, data, theirs, err)
		}
	})
}

// TestEndlessParts: interim responses and trailers without end are rejected after a fixed
// number; a few of them are skipped.
func TestEndlessParts(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for n, want := range map[int]error{0: nil, 16: nil, 17: http1.ErrMalformed, 5000: http1.ErrMalformed} {
		var head http1.Head
		r := bufio.NewReader(strings.NewReader(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", n) + final))
		if err := head.ReadResponse(r, 1<<10, []byte("GET")); !errors.Is(err, want) {
			t.Errorf("%d interim responses: got error %v, want %v", n, err, want)
		}
	}
	for n, want := range map[int]error{0: nil, 64: nil, 65: http1.ErrMalformed, 5000: http1.ErrMalformed} {
		r := bufio.NewReader(strings.NewReader("0\r\n" + strings.Repeat("A: b\r\n", n) + "\r\n"))
		if _, err := http1.NewBody(r, &http1.Head{Framing: http1.FramingChunked}).ReadAll(nil, 1<<10); !errors.Is(err, want) {
			t.Errorf("%d trailers: got error %v, want %v", n, err, want)
		}
	}
}

// TestDiscard: a body is read to its end without being kept, up to a limit.
func TestDiscard(t *testing.T) {
	for limit, want := range map[int64]error{10: nil, 9: http1.ErrBodyTooLarge} {
		for name, c := range map[string]struct {
			head http1.Head
			text string
		}{
			"length": {http1.Head{Framing: http1.FramingLength, Length: 10}, "0123456789rest"},
			"chunks": {http1.Head{Framing: http1.FramingChunked}, "a\r\n0123456789\r\n0\r\n\r\nrest"},
			"close":  {http1.Head{Framing: http1.FramingClose}, "0123456789"},
		} {
			b := http1.NewBody(bufio.NewReader(strings.NewReader(c.text)), &c.head)
			if err := b.Discard(limit); !errors.Is(err, want) || (want == nil && !b.Complete()) {
				t.Errorf("%s, limit %d: got error %v, complete %v; want error %v", name, limit, err, b.Complete(), want)
			}
		}
	}
}
