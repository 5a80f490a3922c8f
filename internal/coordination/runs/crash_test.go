package runs

import (
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/objectapi/standin"
)

// crashed is an agent's word of an endpoint's crash.
func crashed(crash uint64) *wire.RunEvent {
	e := refused("endpoint_stream_broke", wire.Ran_RAN_UNKNOWN)
	e.GetRefused().Crashed = crash
	return e
}

func guarded(r *Runner) *Runner {
	r.Guard = quarantine.NewGuard(quarantine.NewBook(), standin.New(), zap.NewNop(), metrics.NewRegistry(), time.Now)
	return r
}

// TestRunThatCrashesEndpoints guards against a request whose attempts go on crashing endpoints, and against another being
// refused for it.
func TestRunThatCrashesEndpoints(t *testing.T) {
	r, fake := runner(t, 5, func(n int, r *wire.RunRequest) []*wire.RunEvent {
		if r.GetPrompt().GetText() == "poison" {
			return []*wire.RunEvent{event(r, crashed(uint64(n)))}
		}
		return []*wire.RunEvent{event(r, started()), event(r, tokens(0, "a")), event(r, finished(1))}
	})
	guarded(r)
	poison := promptJob()
	poison.Prompt.Text, poison.Digest = "poison", []byte("poison")
	if _, err := r.Run(t.Context(), poison, &collect{}); err == nil || err.Ran != apierror.RanUnknown {
		t.Errorf("%+v", err)
	}
	if got := fake.count(); got != 3 {
		t.Errorf("%d endpoints crashed", got)
	}
	_, err := r.Run(t.Context(), poison, &collect{})
	if err == nil || err.Code != apierror.CodeQuarantined || err.Status != http.StatusServiceUnavailable || err.Ran != apierror.RanNo || err.Retry.AfterMS <= 0 {
		t.Errorf("%+v", err)
	}
	poison.IdempotencyKey = "key"
	if _, err := r.Run(t.Context(), poison, &collect{}); err == nil || err.Ran != apierror.RanUnknown || err.Retry.Advice != apierror.AdviceSameKey {
		t.Errorf("with a key, under which it may have run: %+v", err)
	}
	if got := fake.count(); got != 3 {
		t.Errorf("%d endpoints reached", got)
	}
	other := promptJob()
	other.Digest = []byte("other")
	if _, err := r.Run(t.Context(), other, &collect{}); err != nil {
		t.Errorf("another request: %+v", err)
	}
}

// TestLostStreamIsNoCrash guards against a request being refused whose streams broke while its endpoints lived.
func TestLostStreamIsNoCrash(t *testing.T) {
	r, _ := runner(t, 5, func(_ int, r *wire.RunRequest) []*wire.RunEvent {
		return []*wire.RunEvent{event(r, refused("endpoint_stream_broke", wire.Ran_RAN_UNKNOWN))}
	})
	guarded(r)
	r.Run(t.Context(), promptJob(), &collect{})
	if !r.Guard.IsIdle() {
		t.Error("it is blamed for a crash")
	}
}

// TestSuspectIsNotHedged guards against a second attempt beside one that is late because it is crashing its endpoint.
func TestSuspectIsNotHedged(t *testing.T) {
	r, _ := runner(t, 3, nil)
	guarded(r)
	job := promptJob()
	in := &round{job: job, request: r.routingRequest(job, nil), number: 1, p: &progress{sink: &collect{}}}
	in.request.Now = time.Now()
	first := in.p.newAttempt(r, job, r.Directory.Choose("s", nil, in.request), 1, nil)
	if r.hedge(in, first) == nil {
		t.Fatal("no hedge without suspicion")
	}
	r.Guard.Blame(quarantine.Run{Key: job.fingerprint(), Sent: time.Now().Add(-time.Second)}, 1, time.Now())
	if r.hedge(in, first) != nil {
		t.Error("a suspect is hedged")
	}
}
