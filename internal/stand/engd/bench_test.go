package engd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkStream measures streams of 100 tokens over loopback without token times. One
// operation is one request.
func BenchmarkStream(b *testing.B) {
	server := httptest.NewServer(New(Switches{Slots: 256, AnswerTokens: 100}).Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	body := chatBody("brake block for bogie 7", 100, true)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Post(server.URL+chatPath, "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || !strings.HasSuffix(string(raw), "[DONE]\n\n") {
				b.Errorf("got a truncated response, error %v, want it to end with [DONE]", err)
				return
			}
		}
	})
}
