package publisher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"filbertturn.example/filbertturn/internal/config/publisher"
	"filbertturn.example/filbertturn/internal/config/sample"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
	standin "filbertturn.example/filbertturn/internal/standin/store"
)

// countingHandler counts the bytes of request bodies.
type countingHandler struct {
	handler http.Handler
	bytes   atomic.Int64
}

func (c *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.bytes.Add(r.ContentLength)
	c.handler.ServeHTTP(w, r)
}

// BenchmarkPublisher_Publish publishes sets that differ in one key over
// loopback, and reports the calls to the store and the bytes sent per publish.
func BenchmarkPublisher_Publish(b *testing.B) {
	for _, customers := range []int{250, 2_500, 25_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := &standin.Store{}
			h := &countingHandler{handler: s.Handler()}
			server := httptest.NewServer(h)
			defer server.Close()
			p := &publisher.Publisher{
				Store: &store.Client{Endpoints: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}}, Next: nextHead,
			}
			r := request(0, "first")
			r.Set = sample.Sized(customers, 1_700)
			keys := r.Set.Keys
			publish := func() string {
				got, err := p.Publish(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				return got.Head.Manifest
			}
			publish()
			first := s.Counts()
			written := h.bytes.Load()
			for b.Loop() {
				r.Base++
				r.PublishID = fmt.Sprint(r.Base)
				r.Set.Keys = keys[r.Base%2:]
				publish()
			}
			last := s.Counts()
			n := float64(r.Base)
			b.ReportMetric(float64(first.Range), "firstreads")
			b.ReportMetric(float64(first.Txn), "firstwrites")
			b.ReportMetric(float64(last.Range-first.Range)/n, "reads/op")
			b.ReportMetric(float64(last.Txn-first.Txn)/n, "writes/op")
			b.ReportMetric(float64(h.bytes.Load()-written)/n, "sent-B/op")
		})
	}
}

// BenchmarkReader_Set reads the whole set, as a process does on startup.
func BenchmarkReader_Set(b *testing.B) {
	s := &standin.Store{}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := &store.Client{Endpoints: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}}
	p := &publisher.Publisher{Store: c, Next: nextHead}
	r := request(0, "first")
	r.Set = sample.Sized(25_000, 1_700)
	got, err := p.Publish(context.Background(), r)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := (reader.Reader{Store: c}).Set(context.Background(), got.Head.Manifest); err != nil {
			b.Fatal(err)
		}
	}
}
