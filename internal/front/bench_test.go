package front_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkToken streams responses of 1000 chunks through front, entry and gRPC in
// memory. One operation is one chunk, including the work of the fake side process.
func BenchmarkToken(b *testing.B) {
	const chunks = 1000
	f := newTestStack(b, &fakeSide{chunks: chunks})
	b.ReportAllocs()
	for n := 0; n < b.N; n += chunks {
		f.budgets.mu.Lock()
		f.budgets.free = 100000
		f.budgets.mu.Unlock()
		drainResponse(b, f, streamRequest)
	}
}

// BenchmarkRequest sends unstreamed chats, one after another, through the same layers.
func BenchmarkRequest(b *testing.B) {
	f := newTestStack(b, &fakeSide{})
	b.ReportAllocs()
	for b.Loop() {
		drainResponse(b, f, chatRequest)
		f.budgets.mu.Lock()
		f.budgets.free = 100000
		f.budgets.mu.Unlock()
	}
}

func drainResponse(b *testing.B, f *testStack, body string) {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, f.url+chatPath, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer good")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Fatal(res.StatusCode, err)
	}
}
