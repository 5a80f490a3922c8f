package limitshare

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/transport/objectapi"
)

// fault is what happens to a call to the store.
type fault int

const (
	noFault fault = iota
	refused
	lostWrite
	lostAnswer
)

// faultyStore holds one record a key.
type faultyStore struct {
	objectapi.API
	eras    objectapi.Eras
	records map[string]objectapi.Object
	version int64
	// next is what happens to the calls of the current step.
	next fault
}

// Eras implements objectapi.API: the store never comes back older.
func (s *faultyStore) Eras() *objectapi.Eras { return &s.eras }

func (s *faultyStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	if s.next != noFault {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, exists := s.records[key]
	if !exists {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

// write carries out a change unless its fault prevents that.
func (s *faultyStore) write(key string, version int64, change func()) error {
	if s.next == refused {
		return objectapi.ErrUnavailable
	}
	if s.next != lostWrite {
		if s.records[key].Version != version {
			return objectapi.ErrConflict
		}
		s.version++
		change()
	}
	if s.next != noFault {
		return objectapi.ErrOutcomeUnknown
	}
	return nil
}

func (s *faultyStore) Put(_ context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	err := s.write(key, version, func() {
		s.records[key] = objectapi.Object{Key: key, Version: s.version, Value: value}
	})
	return s.records[key], err
}

func (s *faultyStore) Delete(_ context.Context, key string, version int64) error {
	return s.write(key, version, func() { delete(s.records, key) })
}

// fakeFleet is a number of processes with any views of each other, before one limited endpoint.
type fakeFleet struct {
	store     *faultyStore
	processes []*fakeProcess
	byHost    map[netip.Addr]*fakeProcess
	now       time.Time
}

type fakeProcess struct {
	fleet    *fakeFleet
	divider  *Divider
	endpoint *pushback.Endpoint
	view     []netip.Addr
	// losesMessages is set while nothing that the process sends arrives, isCutOff while nothing arrives
	// at it.
	losesMessages, isCutOff bool
	// isPaused is set while the process does not run; loans that arrive meanwhile wait in its socket.
	isPaused bool
	waiting  [][]Loan
	// lender is the process of whose loan the share is, nil if it is its own, and lentByFallback whether
	// that process did not reach the store then.
	lender         *fakeProcess
	lentByFallback bool
	// isStopped is set from a graceful stop to the restart.
	isStopped bool
}

const domain = "a"

func newFakeFleet(size int) *fakeFleet {
	f := &fakeFleet{
		store:  &faultyStore{records: map[string]objectapi.Object{}},
		byHost: map[netip.Addr]*fakeProcess{}, now: time.Unix(1_800_000_000, 0),
	}
	for i := range size {
		p := &fakeProcess{fleet: f}
		host := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		p.restart(host)
		f.processes = append(f.processes, p)
		f.byHost[host] = p
	}
	return f
}

// advance lets time pass, in which the processes run that are not paused.
func (f *fakeFleet) advance(d time.Duration) {
	for end := f.now.Add(d); ; {
		f.now = f.now.Add(min(stepInterval, end.Sub(f.now)))
		for _, p := range f.processes {
			if !p.isPaused {
				p.divider.pauses.tick(f.now)
			}
		}
		if !f.now.Before(end) {
			return
		}
	}
}

// restart starts the process's next life, which knows nothing.
func (p *fakeProcess) restart(host netip.Addr) {
	registry := pushback.NewRegistry()
	p.isStopped = false
	p.endpoint = registry.Endpoint("e", 1, domain)
	p.divider = &Divider{
		Registry: registry, Store: p.fleet.store, Messenger: p, Hosts: func(string) []netip.Addr { return append([]netip.Addr(nil), p.view...) },
		Self: host, Domain: domain, Holder: host.String(), LeaseNow: func() time.Time { return p.fleet.now }, Log: zap.NewNop(),
		groups: map[groupID]*group{}, startedAt: p.fleet.now, wake: make(chan struct{}, 1),
	}
}

// observe lets an answer name the limit.
func (p *fakeProcess) observe(perSecond float64) {
	p.endpoint.Observe(pushback.Signal{RequestsPerSecond: perSecond}, p.fleet.now, p.fleet.now)
}

func (p *fakeProcess) step() {
	if p.isStopped {
		return
	}
	for range 2 {
		p.divider.step(context.Background(), p.fleet.now)
		p.divider.calls.Wait()
	}
	for _, g := range p.divider.groups {
		if g.role != roleNone {
			p.lender = nil
		}
	}
}

// stop gives up what the process holds. Requests that it still has may use its shares.
func (p *fakeProcess) stop() {
	p.isStopped = true
	p.divider.releaseAll(context.Background(), p.fleet.now)
}

// Lend implements Messenger.
func (p *fakeProcess) Lend(to netip.Addr, loans []Loan) {
	peer := p.fleet.byHost[to]
	if peer != nil && peer.isPaused {
		peer.waiting = append(peer.waiting, loans)
		return
	}
	if peer != nil && !p.losesMessages && !peer.isCutOff {
		peer.lender, peer.lentByFallback = p, p.isFallback()
		peer.divider.Borrow(loans, p.fleet.now)
	}
}

// Announce implements Messenger.
func (p *fakeProcess) Announce(endpoints []pushback.Key, hosts []netip.Addr) {
	for _, host := range hosts {
		if peer := p.fleet.byHost[host]; peer != nil && !p.losesMessages && !peer.isCutOff {
			peer.divider.RecordHolder(p.divider.Self, endpoints, p.fleet.now)
		}
	}
}

// ReportUse implements Messenger.
func (p *fakeProcess) ReportUse(to netip.Addr, needed, _ []pushback.Key) {
	if peer := p.fleet.byHost[to]; peer != nil && !p.losesMessages && !peer.isCutOff {
		peer.divider.RecordAsk(p.divider.Self, needed, p.fleet.now)
	}
}

// ReportSent implements Messenger.
func (p *fakeProcess) ReportSent(netip.Addr, pushback.Key, int) {}

// isFallback reports whether the process uses a part of the limit without the store.
func (p *fakeProcess) isFallback() bool {
	for _, g := range p.divider.groups {
		if g.role == roleFallback {
			return true
		}
	}
	return false
}

// used sums what all processes may send now: under leases, with their loans, and by the process without the
// store that uses or lent most.
func (f *fakeFleet) used() (leased, fallback float64, holders int) {
	fallbacks := map[*fakeProcess]float64{}
	for _, p := range f.processes {
		for _, g := range p.divider.groups {
			if g.lease.HeldFor(f.now) > 0 {
				holders++
			}
		}
		share := p.endpoint.Share(f.now)
		switch {
		case p.endpoint.Limit().RequestsPerSecond == 0:
			// To its knowledge there is no limit to share.
		case p.lender == nil && p.isFallback():
			fallbacks[p] += share
		case p.lender != nil && p.lentByFallback:
			fallbacks[p.lender] += share
		default:
			leased += share
		}
	}
	for _, share := range fallbacks {
		fallback = max(fallback, share)
	}
	return leased, fallback, holders
}

// TestSharesNeverExceedLimit guards against a limit that holds only while processes agree on who there is.
// The holder of the lease and its borrowers may send the limit at most, whatever anyone believes, and each
// process that does not reach the store adds fallbackPart, while the store fails, messages are lost, limits
// end and begin again, and processes stop and restart.
func TestSharesNeverExceedLimit(t *testing.T) {
	for _, size := range []int{3, 29, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkShares(t, size) })
		})
	}
}

func checkShares(t *rapid.T, size int) {
	f := newFakeFleet(size)
	perSecond := rapid.SampledFrom([]float64{0.5, 1.7, 4, 12, 60}).Draw(t, "limit")
	// Most steps are those of a few processes: the same one must often act twice to be the holder.
	active := rapid.SliceOfN(rapid.IntRange(0, size-1), 1, 4).Draw(t, "active")
	known := rapid.SliceOfN(rapid.IntRange(0, size-1), 1, 12).Draw(t, "known")
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		f.advance(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
		p := f.processes[rapid.SampledFrom(active).Draw(t, "process")]
		f.store.next = fault(rapid.IntRange(0, 3).Draw(t, "fault"))
		if rapid.Bool().Draw(t, "store is well") {
			f.store.next = noFault
		}
		switch rapid.IntRange(0, 29).Draw(t, "step") {
		case 0:
			p.restart(p.divider.Self)
		case 10:
			p.stop()
		case 11:
			p := f.processes[rapid.SampledFrom(known).Draw(t, "cut off")]
			p.isCutOff = !p.isCutOff
		case 12, 13:
			p.observe(perSecond)
			p.endpoint.RecordUnserved(f.now)
			p.step()
		case 14:
			p.endpoint.Observe(pushback.Signal{}, f.now, f.now)
			p.step()
		case 1:
			p.losesMessages = !p.losesMessages
		case 2, 3:
			p.view = p.view[:0]
			for range rapid.IntRange(0, 9).Draw(t, "peers") {
				p.view = append(p.view, f.processes[rapid.SampledFrom(known).Draw(t, "peer")].divider.Self)
			}
			if rapid.Bool().Draw(t, "alone") {
				p.view = p.view[:0]
			}
		case 4:
			for _, i := range append(known, active...) {
				f.processes[i].observe(perSecond)
			}
		default:
			p.observe(perSecond)
			p.step()
		}
		leased, fallback, holders := f.used()
		if holders > 1 || leased > perSecond*1.001 || fallback > fallbackPart*perSecond*1.001 {
			t.Fatalf("%d holders, shares of %g a second and %g of a process without the store; want 1 and at most %g and %g",
				holders, leased, fallback, perSecond, fallbackPart*perSecond)
		}
	}
}

// TestLoansEndWithLease guards against a peer that uses a loan when another process already holds the
// lease and divides the whole limit: the holder lent it just before its own right ended.
func TestLoansEndWithLease(t *testing.T) {
	f := newFakeFleet(2)
	holder, peer := f.processes[0], f.processes[1]
	holder.view, peer.view = []netip.Addr{peer.divider.Self}, []netip.Addr{holder.divider.Self}
	f.advance(loanTime)
	holder.observe(12)
	peer.observe(12)
	f.until(t, 5*escalation, func() bool {
		holder.step()
		return holder.endpoint.Share(f.now) > 0 && peer.endpoint.Share(f.now) > 0
	})
	f.store.next = refused
	f.until(t, leaseTerm, func() bool {
		holder.observe(12)
		holder.step()
		_, _, holders := f.used()
		return holders == 0
	})
	if share := peer.endpoint.Share(f.now); share > 0 {
		t.Errorf("the borrower may send %g a second when the lease has ended, want 0", share)
	}
}

// TestStopWithLoansKeepsLease guards against a holder that gives its lease up while a peer may still use
// what it lent: the next holder divides the whole limit beside that.
func TestStopWithLoansKeepsLease(t *testing.T) {
	f := newFakeFleet(3)
	holder, borrower, next := f.processes[0], f.processes[1], f.processes[2]
	holder.view = []netip.Addr{borrower.divider.Self}
	f.advance(loanTime)
	for _, p := range f.processes {
		p.observe(4)
	}
	f.until(t, 5*escalation, func() bool {
		holder.step()
		return holder.endpoint.Share(f.now) > 0 && borrower.endpoint.Share(f.now) > 0
	})
	holder.stop()
	f.until(t, 2*leaseTerm, func() bool {
		next.observe(4)
		next.step()
		if leased, _, _ := f.used(); leased > 4 {
			t.Fatalf("shares of %g a second, want at most 4", leased)
		}
		return next.endpoint.Share(f.now) > 0
	})
}

// TestLostLoanCounts guards against a holder that divides among more processes and counts a peer at its new,
// lower rate, while that peer has missed the message and still uses the former one.
func TestLostLoanCounts(t *testing.T) {
	f := newFakeFleet(3)
	holder := f.processes[0]
	holder.view = []netip.Addr{f.processes[1].divider.Self}
	f.advance(loanTime)
	for _, p := range f.processes {
		p.observe(12)
	}
	f.until(t, 5*escalation, func() bool {
		holder.step()
		return f.processes[1].endpoint.Share(f.now) > 0
	})
	f.processes[1].isCutOff = true
	holder.view = append(holder.view, f.processes[2].divider.Self)
	f.until(t, 2*loanTime, func() bool {
		holder.step()
		if leased, _, _ := f.used(); leased > 12 {
			t.Fatalf("shares of %g a second, want at most 12", leased)
		}
		return f.processes[1].endpoint.Share(f.now) == 0
	})
}

// TestLoansOfPausedBorrowerEnd guards against a borrower that was paused and takes loans that waited in its socket for new ones,
// while the holder uses the whole limit again.
func TestLoansOfPausedBorrowerEnd(t *testing.T) {
	f := newFakeFleet(2)
	holder, borrower := f.processes[0], f.processes[1]
	holder.view = []netip.Addr{borrower.divider.Self}
	f.advance(loanTime)
	for _, p := range f.processes {
		p.observe(4)
	}
	f.until(t, 5*escalation, func() bool {
		holder.step()
		return borrower.endpoint.Share(f.now) > 0
	})
	borrower.isPaused = true
	for end := f.now.Add(loanTime); f.now.Before(end); f.advance(stepInterval) {
		holder.step()
	}
	holder.view = nil
	f.until(t, 2*loanTime, func() bool {
		holder.observe(4)
		holder.step()
		return holder.endpoint.Share(f.now) == 4
	})
	borrower.isPaused = false
	for _, loans := range borrower.waiting {
		borrower.divider.Borrow(loans, f.now)
	}
	if leased, _, _ := f.used(); leased > 4 {
		t.Errorf("got shares of %g a second after the pause, want at most 4", leased)
	}
}

// TestNoteOfEndedHolderSaysNothing guards against limits that ended long ago and come back into force because
// the record of a holder that crashed still names them.
func TestNoteOfEndedHolderSaysNothing(t *testing.T) {
	f := newFakeFleet(2)
	holder, later := f.processes[0], f.processes[1]
	f.advance(loanTime)
	holder.observe(4)
	f.until(t, 5*escalation, func() bool {
		holder.step()
		return holder.endpoint.Share(f.now) > 0
	})
	f.advance(time.Hour)
	other := later.divider.Registry.Endpoint(f.sameGroup("e"), 1, domain)
	f.until(t, 2*leaseTerm, func() bool {
		other.Observe(pushback.Signal{RequestsPerSecond: 4}, f.now, f.now)
		later.step()
		if l := later.endpoint.Limit(); l.RequestsPerSecond > 0 {
			t.Fatalf("the limit of an hour ago is in force again: %+v", l)
		}
		return other.Share(f.now) > 0
	})
}

// TestUnusedLimitEnds guards against a limit that processes confirm to each other through the lease for good,
// although none of them sends the endpoint a request.
func TestUnusedLimitEnds(t *testing.T) {
	f := newFakeFleet(29)
	for _, p := range f.processes {
		p.view = nil
		p.observe(4)
	}
	f.until(t, 40*time.Second, func() bool {
		limited := 0
		for _, p := range f.processes {
			p.step()
			if p.endpoint.Limit().RequestsPerSecond > 0 {
				limited++
			}
		}
		return limited == 0
	})
}

// sameGroup returns the ID of another endpoint whose limit the same lease covers.
func (f *fakeFleet) sameGroup(id string) string {
	group := pushback.KeyOf(id, 1) % groupCount
	for i := 0; ; i++ {
		if other := fmt.Sprint("other", i); pushback.KeyOf(other, 1)%groupCount == group {
			return other
		}
	}
}

// until advances the time in small steps until a condition holds.
func (f *fakeFleet) until(t *testing.T, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := f.now.Add(limit); !holds(); f.advance(50 * time.Millisecond) {
		if f.now.After(end) {
			t.Fatalf("nothing happened within %v", limit)
		}
	}
}
