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

// BenchmarkDispatch compares a request through an entry VM with a direct one
// to the same fake target, one after the other, all on loopback.
func BenchmarkDispatch(b *testing.B) {
	s := newStage(b, 4, faketarget.Options{}, nil)
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

// BenchmarkLeaving measures how long after a target begins to leave it still
// starts work, by each way alone, under steady load.
func BenchmarkLeaving(b *testing.B) {
	ways := []struct {
		name  string
		leave func(*stage, *fakeLoads)
	}{
		{"view", func(s *stage, _ *fakeLoads) {
			s.publish(2, func(v *view.Snapshot) {
				vm := v.VMs["v0"]
				vm.State = model.VMLeaving
				v.VMs["v0"] = vm
			})
		}},
		{"digest", func(_ *stage, l *fakeLoads) { l.set("v0") }},
		{"health", func(s *stage, _ *fakeLoads) { s.targets[0].SayLeaving() }},
		{"refusal", func(s *stage, _ *fakeLoads) { s.targets[0].Drain() }},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(lastStart(b, way.leave).Seconds(), "last-start-s")
			}
		})
	}
}

// lastStart returns when the leaving target last started a request, counted
// from when it began to leave.
func lastStart(b *testing.B, leave func(*stage, *fakeLoads)) time.Duration {
	loads := &fakeLoads{leaving: make(map[model.VMID]bool)}
	s := newStage(b, 4, faketarget.Options{ServiceTime: func(*http.Request) time.Duration { return time.Millisecond }},
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

// BenchmarkProbe measures one health probe, the fake target's side included.
func BenchmarkProbe(b *testing.B) {
	s := buildStage(b, 1, faketarget.Options{}, nil)
	ctx := context.Background()
	for b.Loop() {
		if s.server.prober.ask(ctx, s.targets[0].Address()) != health.ProbeOK {
			b.Fatal("no answer")
		}
	}
}
