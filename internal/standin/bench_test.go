package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// BenchmarkStream measures the time of a streamed token, client included, with 25
// streams: as many as one engine of a deployment serves.
func BenchmarkStream(b *testing.B) {
	const streams = 25
	e := NewEngine(EngineConfig{StepTime: 100 * time.Microsecond, StepTimePerRequest: 1})
	server := httptest.NewServer(e)
	defer func() { server.Close(); e.Close() }()
	body := []byte(`{"model":"m","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"tie"}]}`)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	b.ReportAllocs()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				resp, err := client.Post(server.URL+"/v1/chat/completions", "application/json", bytes.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			})
		}
		wg.Wait()
	}
	tokens := float64(b.N) * streams * 200
	b.ReportMetric(float64(b.Elapsed().Microseconds())/tokens, "us/token")
}
