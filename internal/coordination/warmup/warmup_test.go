package warmup

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

// TestWindow guards against more requests in some second than the window allows, whenever they come.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 12).Draw(t, "per second")
		w := NewWindow(perSecond)
		now := time.Unix(1_800_000_000, 0)
		var sent []time.Time
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if !w.HasRoom(now) {
				continue
			}
			w.Record(now)
			sent = append(sent, now)
			inSecond := 0
			for _, at := range sent {
				if now.Sub(at) < time.Second {
					inSecond++
				}
			}
			if limit := max(1, int(perSecond)); inSecond > limit {
				t.Fatalf("%d requests in a second, want at most %d", inSecond, limit)
			}
		}
	})
	if (*Window)(nil).HasRoom(time.Now()) || new(Window).HasRoom(time.Now()) {
		t.Error("a window that allows nothing has room")
	}
}

// faultyStore is a store with one record a key, whose answers may be lost and whose writes may be
// lost or carried out.
type faultyStore struct {
	objectapi.API
	eras    objectapi.Eras
	records map[string]objectapi.Object
	version int64
	// next is what happens to the next call.
	next fault
}

// Eras implements objectapi.API: the store never comes back older.
func (s *faultyStore) Eras() *objectapi.Eras { return &s.eras }

type fault int

const (
	noFault fault = iota
	refused
	lostWrite
	lostAnswer
)

func (s *faultyStore) fail() (fault, error) {
	f := s.next
	s.next = noFault
	switch f {
	case refused:
		return f, objectapi.ErrUnavailable
	case lostWrite, lostAnswer:
		return f, objectapi.ErrOutcomeUnknown
	}
	return f, nil
}

func (s *faultyStore) Put(_ context.Context, key string, value []byte, _ int64) (objectapi.Object, error) {
	f, err := s.fail()
	if f == refused || f == lostWrite {
		return objectapi.Object{}, err
	}
	if _, exists := s.records[key]; exists && f == noFault {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	if _, exists := s.records[key]; !exists {
		s.version++
		s.records[key] = objectapi.Object{Key: key, Version: s.version, Value: value}
	}
	return s.records[key], err
}

func (s *faultyStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	if _, err := s.fail(); err != nil {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, exists := s.records[key]
	if !exists {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *faultyStore) Delete(_ context.Context, key string, version int64) error {
	f, err := s.fail()
	if f == refused || f == lostWrite {
		return err
	}
	if o, exists := s.records[key]; !exists || o.Version != version {
		return objectapi.ErrNotFound
	}
	delete(s.records, key)
	return err
}

// fakeProcess is one process with its own view of the endpoint and of the other processes.
type fakeProcess struct {
	claims  *Claims
	peers   []string
	window  *Window
	until   time.Time
	started int
}

func (p *fakeProcess) ColdEndpoints(now time.Time) []Endpoint {
	if !now.Before(p.until) {
		return nil
	}
	return []Endpoint{{ID: "e", Incarnation: 1, Until: p.until, PerSecond: 8}}
}

func (p *fakeProcess) AllowCold(_ string, _ uint64, w *Window) { p.window = w }

func (p *fakeProcess) restart(store objectapi.API, name string) {
	p.started++
	p.window = nil
	p.claims = &Claims{
		Store: store, Directory: p, Log: zap.NewNop(), Holder: fmt.Sprint(name, ".", p.started), Self: name,
		Peers: func() []string { return p.peers }, held: map[string]*claim{},
	}
}

// TestOneProcessSendsWhileCold lets processes of a fleet of 3, 29 and 370 claim an endpoint with any
// views of each other and of how long it is cold, while calls to the store fail in all ways and
// processes restart.
//
// It guards against a limit that holds only while processes agree: at any moment at most one of those
// that believe the endpoint cold may send to it, so that all together send at most what one may.
func TestOneProcessSendsWhileCold(t *testing.T) {
	for _, size := range []int{3, 29, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkOneSender(t, size) })
		})
	}
}

func checkOneSender(t *rapid.T, size int) {
	store := &faultyStore{records: map[string]objectapi.Object{}}
	processes := make([]*fakeProcess, size)
	now := time.Unix(1_800_000_000, 0)
	for i := range processes {
		processes[i] = &fakeProcess{}
		processes[i].restart(store, fmt.Sprint("p", i))
	}
	ctx := context.Background()
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		p := processes[rapid.IntRange(0, size-1).Draw(t, "process")]
		store.next = fault(rapid.IntRange(0, 3).Draw(t, "fault"))
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0:
			p.restart(store, p.claims.Self)
		case 1:
			p.until = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "cold ms")) * time.Millisecond)
		case 2:
			p.peers = p.peers[:0]
			for range rapid.IntRange(0, 5).Draw(t, "peers") {
				p.peers = append(p.peers, fmt.Sprint("p", rapid.IntRange(0, size-1).Draw(t, "peer")))
			}
		default:
			p.claims.claimCold(ctx, now)
			p.claims.releaseWarm(ctx, now)
		}
		senders := 0
		for _, p := range processes {
			if now.Before(p.until) && p.window.HasRoom(now) {
				senders++
			}
		}
		if senders > 1 {
			t.Fatalf("%d processes may send to the cold endpoint, want at most 1", senders)
		}
	}
}

// TestClaimsWhenStoreComesBackOlder guards against two processes that send to one cold endpoint, after the store has
// lost the claim of the first.
func TestClaimsWhenStoreComesBackOlder(t *testing.T) {
	for _, row := range []struct {
		name         string
		claimedFirst bool
		after        time.Duration
		want         [2]bool
	}{
		{"the holder claims again first", true, returnDelay, [2]bool{true, false}},
		{"another tries before the holder knows", false, returnDelay / 2, [2]bool{true, false}},
		{"another has claimed meanwhile", false, returnDelay, [2]bool{false, true}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				older := store.Copy()
				var holder, other fakeProcess
				for i, p := range []*fakeProcess{&holder, &other} {
					p.restart(store, fmt.Sprint("p", i))
					p.until = time.Now().Add(time.Minute)
				}
				holder.claims.claimCold(t.Context(), time.Now())
				store.Restore(older)
				if row.claimedFirst {
					holder.claims.reclaim(t.Context())
				}
				time.Sleep(row.after)
				other.claims.claimCold(t.Context(), time.Now())
				holder.claims.reclaim(t.Context())
				got := [2]bool{holder.window.HasRoom(time.Now()), other.window.HasRoom(time.Now())}
				if got != row.want {
					t.Errorf("got %v may send, want %v", got, row.want)
				}
			})
		})
	}
}

// TestClaimWhileStoreComesBack guards against a claim that is created in an older copy of the store, which may have lost
// another's.
func TestClaimWhileStoreComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		older := store.Copy()
		var p fakeProcess
		p.restart(&returningStore{Store: store, beforePut: func() { store.Restore(older) }}, "p")
		p.until = time.Now().Add(time.Minute)
		p.claims.claimCold(t.Context(), time.Now())
		if p.window.HasRoom(time.Now()) {
			t.Error("the process sends to the cold endpoint")
		}
		p.claims.releaseWarm(t.Context(), p.until)
		if _, err := store.Get(t.Context(), keyPrefix+"e"); !errors.Is(err, objectapi.ErrNotFound) {
			t.Errorf("got %v, want no record of a claim that does not count", err)
		}
	})
}

// TestClaimThatIsNotRestoredIsReleased guards against a record in the older copy that keeps others from an endpoint, although
// its process has given the claim up.
func TestClaimThatIsNotRestoredIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		var p fakeProcess
		faulty := &returningStore{Store: store, beforePut: func() {}}
		p.restart(faulty, "p")
		p.until = time.Now().Add(time.Minute)
		p.claims.claimCold(t.Context(), time.Now())
		store.Restore(store.Copy())
		faulty.isAway = true
		p.claims.reclaim(t.Context())
		faulty.isAway = false
		p.claims.releaseWarm(t.Context(), p.until)
		if _, err := store.Get(t.Context(), keyPrefix+"e"); !errors.Is(err, objectapi.ErrNotFound) {
			t.Errorf("got %v, want the record deleted", err)
		}
	})
}

// returningStore is a store to which something happens before a write, and whose writes can fail.
type returningStore struct {
	*standin.Store
	beforePut func()
	isAway    bool
}

func (s *returningStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if s.isAway {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	s.beforePut()
	return s.Store.Put(ctx, key, value, version)
}

// TestClaimWithoutProcessIsSwept guards against records that pile up in the store after their
// processes have ended, and against the deletion of one whose endpoint is only missing for a moment.
func TestClaimWithoutProcessIsSwept(t *testing.T) {
	store := &listingStore{faultyStore{records: map[string]objectapi.Object{}}}
	store.Put(t.Context(), keyPrefix+"gone", nil, 0)
	store.Put(t.Context(), keyPrefix+"back", nil, 0)
	known := map[string]bool{}
	c := &Claims{Store: store, Log: zap.NewNop(), Exists: func(id string) bool { return known[id] }}
	c.sweep(t.Context())
	known["back"] = true
	c.sweep(t.Context())
	if _, exists := store.records[keyPrefix+"gone"]; exists {
		t.Error("the record of an endpoint that is gone was kept")
	}
	if _, exists := store.records[keyPrefix+"back"]; !exists {
		t.Error("the record of an endpoint that came back was deleted")
	}
}

type listingStore struct{ faultyStore }

func (s *listingStore) List(context.Context, string) ([]objectapi.Object, error) {
	var out []objectapi.Object
	for _, o := range s.records {
		out = append(out, o)
	}
	return out, nil
}

// TestWindowOfLargeRate guards against a rate of the configuration that takes the process down with its memory.
func TestWindowOfLargeRate(t *testing.T) {
	for _, perSecond := range []float64{1e300, math.Inf(1), 1e18, 1e10, -1e300, math.NaN()} {
		w := NewWindow(perSecond)
		if now := time.Now(); !w.HasRoom(now) || len(w.sent) > maxPerSecond {
			t.Errorf("%g: got room %v and %d times, want room and at most %d", perSecond, w.HasRoom(now), len(w.sent), maxPerSecond)
		}
	}
}
