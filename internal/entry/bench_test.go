package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/health"
	"github.com/pumicestage/pumicestage/policy/model"
)

// BenchmarkDispatch compares the latency of requests through an entry VM with
// that of direct ones to the same fake target, sent one at a time on loopback.
func BenchmarkDispatch(b *testing.B) {
	s := newTestEnv(b, 4, faketarget.Options{}, nil)
	direct := "http://" + s.targets[0].Address() + "/x"
	cases := []struct {
		name, url string
		client    *http.Client
	}{
		{"direct-reused-connection", direct, &http.Client{Transport: &http.Transport{}}},
		{"direct-fresh-connection", direct, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
		{"entry", s.url + "/services/tabulation/x", &http.Client{Transport: &http.Transport{}}},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			b.ReportAllocs()
			var took []time.Duration
			for b.Loop() {
				start := time.Now()
				get(b, tc.client, tc.url)
				took = append(took, time.Since(start))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}

// get sends a request and reads the response, which must have status 200.
func get(b testing.TB, client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, err)
	}
}

// BenchmarkLeaving measures for how long a target that is leaving still starts
// requests under steady load, separately for each way in which the entry VM can
// learn of it.
func BenchmarkLeaving(b *testing.B) {
	ways := []struct {
		name  string
		leave func(*testEnv, *fakeLoads)
	}{
		{"view", func(s *testEnv, _ *fakeLoads) {
			s.publish(2, func(v *view.Snapshot) {
				vm := v.VMs["v0"]
				vm.State = model.VMLeaving
				v.VMs["v0"] = vm
			})
		}},
		{"digest", func(_ *testEnv, l *fakeLoads) { l.set("v0") }},
		{"health", func(s *testEnv, _ *fakeLoads) { s.targets[0].ReportLeaving() }},
		{"refusal", func(s *testEnv, _ *fakeLoads) { s.targets[0].Drain() }},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(lastStart(b, way.leave).Seconds(), "last-start-s")
			}
		})
	}
}

// lastStart returns the time from when the target began to leave until it last
// started a request.
func lastStart(b *testing.B, leave func(*testEnv, *fakeLoads)) time.Duration {
	loads := &fakeLoads{leavingVMs: make(map[model.VMID]bool)}
	s := newTestEnv(b, 4, faketarget.Options{ServiceTime: func(*http.Request) time.Duration { return time.Millisecond }},
		func(o *Options) { o.Loads = loads })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() {
		time.Sleep(time.Second)
		leave(s, loads)
	}()
	began := time.Now().Add(time.Second)
	for ctx.Err() == nil {
		assert.Equal(b, s.do("GET", "/services/tabulation/x", "").outcome, Ran)
	}
	return max(0, s.targets[0].Counts().LastStart.Sub(began))
}

// BenchmarkProbe measures one health probe, including the work of the fake target.
func BenchmarkProbe(b *testing.B) {
	s := buildTestEnv(b, 1, faketarget.Options{}, nil)
	ctx := context.Background()
	for b.Loop() {
		if s.server.prober.fetchHealth(ctx, s.targets[0].Address()) != health.ProbeOK {
			b.Fatal("no answer")
		}
	}
}
