package quarantine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/fingerprint"
	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

// unreliableStore is an object API that can be away, and can lose the answers of writes.
type unreliableStore struct {
	*standin.Store
	down, losesAnswers atomic.Bool
	calls              atomic.Int64
}

func (s *unreliableStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *unreliableStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, err := s.Store.Put(ctx, key, value, version)
	if s.losesAnswers.Load() {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return o, err
}

// process is a guard that runs in the test's bubble.
type process struct {
	*Guard
	stop func()
}

func startGuard(t *testing.T, s *unreliableStore) *process {
	g := NewGuard(NewTracker(), s, zap.NewNop(), metrics.NewRegistry(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	return &process{g, func() {
		cancel()
		<-done
	}}
}

// recordCrashes lets a request be at three crashes.
func (p *process) recordCrashes(key fingerprint.Key) {
	for incarnation := range uint64(minBlamedCrashes) {
		about := RequestInfo{Service: "s", Customer: "club", Method: "GET", Target: "/x"}
		p.RecordCrash(Attempt{Key: key, About: about, Sent: time.Now().Add(-time.Second)}, incarnation+1, time.Now())
	}
}

// exchange passes on what the processes know, as they do among themselves.
func exchange(all ...*process) {
	for _, from := range all {
		for _, r := range from.Quarantines.DurableRecords() {
			for _, to := range all {
				to.Quarantines.Merge(r, time.Now())
			}
		}
	}
}

// admitCode is what a request's caller is told, empty if it runs.
func (p *process) admitCode(t *testing.T, key fingerprint.Key) string {
	if refused := p.Admit(t.Context(), key); refused != nil {
		if refused.Ran != apierror.RanNo || refused.Retry.AfterMS <= 0 {
			t.Errorf("%+v", refused)
		}
		return refused.Code
	}
	return ""
}

// TestQuarantineOutlivesProcesses guards against a request that crashes as many endpoints again once all processes that knew it have
// been restarted: also where the store was away when it was put into quarantine.
func TestQuarantineOutlivesProcesses(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &unreliableStore{Store: standin.New()}
			s.down.Store(down)
			first := startGuard(t, s)
			first.recordCrashes(keyOf("a"))
			time.Sleep(5 * time.Second)
			s.down.Store(false)
			time.Sleep(2 * syncRetryDelay)
			first.stop()
			second := startGuard(t, s)
			time.Sleep(time.Second)
			if got := second.admitCode(t, keyOf("a")); got != apierror.CodeQuarantined {
				t.Errorf("store down %v: %q", down, got)
			}
			if got := second.admitCode(t, keyOf("b")); got != "" {
				t.Errorf("another request: %q", got)
			}
			entries, err := ReadEntries(t.Context(), s)
			if err != nil || len(entries) != 1 || entries[0].Target != "/x" || entries[0].Crashes != minBlamedCrashes {
				t.Errorf("%+v %v", entries, err)
			}
			second.stop()
		})
	}
}

// TestReceivedQuarantineIsStored guards against a quarantine that no process writes down, as each heard of it from another before its
// own verdict stood.
func TestReceivedQuarantineIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &unreliableStore{Store: standin.New()}
		p := startGuard(t, s)
		p.RecordCrash(Attempt{Key: keyOf("a"), About: RequestInfo{Target: "/x"}, Sent: time.Now().Add(-time.Second)}, 1, time.Now())
		p.Quarantines.Merge(Record{Key: keyOf("a"), Level: 1, Crashes: crashesAt(time.Now(), 1, 2, 3), Until: time.Now().Add(initialQuarantine)}, time.Now())
		p.Quarantines.Merge(Record{Key: keyOf("unseen"), Level: 1, Crashes: crashesAt(time.Now(), 4, 5, 6), Until: time.Now().Add(initialQuarantine)}, time.Now())
		time.Sleep(time.Second)
		entries, err := ReadEntries(t.Context(), s)
		if err != nil || len(entries) != 2 {
			t.Errorf("%+v %v", entries, err)
		}
		p.stop()
	})
}

// TestOperatorLiftsQuarantine guards against a request that stays refused though an operator has found it harmless.
func TestOperatorLiftsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inForce = 10 * time.Second
		s := &unreliableStore{Store: standin.New()}
		p, other := startGuard(t, s), startGuard(t, s)
		p.recordCrashes(keyOf("a"))
		time.Sleep(inForce)
		exchange(p, other)
		if err := LiftEntry(t.Context(), s, keyOf("b")); !errors.Is(err, ErrNotQuarantined) {
			t.Errorf("another request: %v", err)
		}
		if err := LiftEntry(t.Context(), s, keyOf("a")); err != nil {
			t.Error(err)
		}
		time.Sleep(inForce)
		exchange(p, other)
		for _, g := range []*process{p, other} {
			if got := g.admitCode(t, keyOf("a")); got != "" {
				t.Errorf("after it was lifted: %q", got)
			}
		}
		if entries, err := ReadEntries(t.Context(), s); err != nil || len(entries) != 0 {
			t.Errorf("%+v %v", entries, err)
		}
		// What is lifted at a process goes the same way.
		p.recordCrashes(keyOf("c"))
		time.Sleep(inForce)
		exchange(p, other)
		if other.Lift(keyOf("d"), "ana") || !other.Lift(keyOf("c"), "ana") {
			t.Error("lifted the wrong one")
		}
		exchange(p, other)
		if got := p.admitCode(t, keyOf("c")); got != "" {
			t.Errorf("after it was lifted elsewhere: %q", got)
		}
		p.stop()
		other.stop()
	})
}

// TestOneTrialAcrossProcesses guards against each process trying a request whose quarantine is over: together they would
// crash as many endpoints as there are processes.
func TestOneTrialAcrossProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &unreliableStore{Store: standin.New()}
		var all []*process
		for range 5 {
			all = append(all, startGuard(t, s))
		}
		all[0].recordCrashes(keyOf("a"))
		time.Sleep(time.Second)
		exchange(all...)
		time.Sleep(initialQuarantine + activeSyncInterval)
		s.down.Store(true)
		if got := all[0].admitCode(t, keyOf("a")); got != apierror.CodeQuarantined {
			t.Errorf("a trial without the store: %q", got)
		}
		s.down.Store(false)
		for round, want := range []int{1, 1} {
			var trials atomic.Int64
			for _, p := range all {
				go func() {
					if p.admitCode(t, keyOf("a")) == "" {
						trials.Add(1)
					}
				}()
			}
			synctest.Wait()
			if trials.Load() != int64(want) {
				t.Errorf("round %d: %d trials", round, trials.Load())
			}
			// The trial ends without a word: its process may have been killed.
			time.Sleep(2*initialQuarantine<<round + idleSyncInterval)
		}
		all[2].RecordCompletion(keyOf("a"))
		exchange(all...)
		for i, p := range all {
			if got := p.admitCode(t, keyOf("a")); got != "" {
				t.Errorf("process %d after the trial: %q", i, got)
			}
			p.stop()
		}
	})
}

// TestUnknownWriteOutcomeGivesNoTrial guards against two trials where the write that takes one has an unknown outcome.
func TestUnknownWriteOutcomeGivesNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &unreliableStore{Store: standin.New()}
		p, other := startGuard(t, s), startGuard(t, s)
		p.recordCrashes(keyOf("a"))
		time.Sleep(time.Second)
		exchange(p, other)
		time.Sleep(initialQuarantine + activeSyncInterval)
		s.losesAnswers.Store(true)
		if got := p.admitCode(t, keyOf("a")); got != apierror.CodeQuarantined {
			t.Errorf("a trial on an unknown outcome: %q", got)
		}
		s.losesAnswers.Store(false)
		if got := other.admitCode(t, keyOf("a")); got != apierror.CodeQuarantined {
			t.Errorf("a trial that another may have taken: %q", got)
		}
		p.stop()
		other.stop()
	})
}

// TestMalformedListIsReplaced guards against bytes of another writer ending quarantines for good.
func TestMalformedListIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &unreliableStore{Store: standin.New()}
		if _, err := s.Store.Put(t.Context(), objectKey, []byte(`{"entries":[{"fingerprint":"short"}]}`), 0); err != nil {
			t.Fatal(err)
		}
		p := startGuard(t, s)
		p.recordCrashes(keyOf("a"))
		time.Sleep(5 * time.Second)
		if entries, err := ReadEntries(t.Context(), s); err != nil || len(entries) != 1 {
			t.Errorf("%+v %v", entries, err)
		}
		p.stop()
	})
}

// TestIdleFleetMakesFewStoreCalls guards against calls that the platform charges while no request is in quarantine.
func TestIdleFleetMakesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &unreliableStore{Store: standin.New()}
		p := startGuard(t, s)
		time.Sleep(time.Hour)
		if calls := s.calls.Load(); calls > 2*int64(time.Hour/idleSyncInterval) {
			t.Errorf("%d calls in an hour", calls)
		}
		p.stop()
	})
}

// TestRecordCrashSkipsUnrelatedAttempts guards against blame for a crash that a run can't have caused: it had run well for long, or was sent to an
// endpoint that had crashed already.
func TestRecordCrashSkipsUnrelatedAttempts(t *testing.T) {
	crashed := time.Now()
	rows := map[string]struct {
		run    Attempt
		blamed bool
	}{
		"had not begun":        {Attempt{Sent: crashed.Add(-time.Minute)}, true},
		"had just begun":       {Attempt{Sent: crashed.Add(-time.Minute), Output: crashed.Add(-blameWindow)}, true},
		"had run well":         {Attempt{Sent: crashed.Add(-time.Minute), Output: crashed.Add(-blameWindow - 1)}, false},
		"sent after the crash": {Attempt{Sent: crashed.Add(1)}, false},
	}
	for name, row := range rows {
		g := NewGuard(NewTracker(), standin.New(), zap.NewNop(), metrics.NewRegistry(), time.Now)
		row.run.Key = keyOf(name)
		if g.RecordCrash(row.run, 1, crashed); g.IsIdle() == row.blamed {
			t.Errorf("%s: blamed %v", name, !g.IsIdle())
		}
	}
}
