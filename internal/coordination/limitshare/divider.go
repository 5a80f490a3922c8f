package limitshare

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/lease"
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/transport/objectapi"
)

const (
	// keyPrefix is the prefix of the keys of leases; the group's name follows.
	keyPrefix = "limit."
	// stepInterval is the time between two decisions.
	stepInterval = 250 * time.Millisecond
	// leaseTerm is the time without renewal after which another process takes a group over,
	// renewInterval the time between renewals.
	leaseTerm     = 3 * time.Second
	renewInterval = time.Second
	// minRetryInterval and maxRetryInterval bound the time between attempts to acquire a lease, which
	// grows while another process holds it: processes that know of no others all try. The longest is
	// shorter than the time for which an unconfirmed limit holds.
	minRetryInterval = 500 * time.Millisecond
	maxRetryInterval = 8 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// loanTime is how long a loan is valid. A process that has just started lends and uses nothing for
	// as long, as loans of its predecessor at the same address may be in use.
	loanTime = 2 * time.Second
	// lendInterval is the time between two messages with the same loans.
	lendInterval = loanTime / 4
	// maxNoteAge is the age from which on a limit in a note says nothing.
	maxNoteAge = time.Minute
	// releaseTimeout bounds the calls that give all leases up when the process stops.
	releaseTimeout = 300 * time.Millisecond
	// announceInterval is the time between two announcements of a holder.
	announceInterval = 2 * time.Second
	// escalation is how long a process waits for the holder's announcement before it tries itself, for each
	// process that ranks before it.
	escalation = 3 * time.Second
)

// Loan lends a part of an endpoint's limit.
type Loan struct {
	Endpoint          pushback.Key
	RequestsPerSecond float64
	ValidFor          time.Duration
}

// Messenger sends to other processes. Messages may be lost.
type Messenger interface {
	// Lend sends loans to a host.
	Lend(to netip.Addr, loans []Loan)
	// Announce notifies hosts that this process uses the limits of endpoints.
	Announce(endpoints []pushback.Key, hosts []netip.Addr)
	// ReportUse asks the process that uses the limits of endpoints for loans of those that this process
	// needs, and confirms these limits and others.
	ReportUse(to netip.Addr, needed, confirmed []pushback.Key)
	// ReportSent reports requests to a host that this process sent to an endpoint before it could know
	// of its limit.
	ReportSent(to netip.Addr, endpoint pushback.Key, requests int)
}

// NoMessenger is the Messenger of a process that can't reach others.
type NoMessenger struct{}

// Lend implements Messenger.
func (NoMessenger) Lend(netip.Addr, []Loan) {}

// Announce implements Messenger.
func (NoMessenger) Announce([]pushback.Key, []netip.Addr) {}

// ReportUse implements Messenger.
func (NoMessenger) ReportUse(netip.Addr, []pushback.Key, []pushback.Key) {}

// ReportSent implements Messenger.
func (NoMessenger) ReportSent(netip.Addr, pushback.Key, int) {}

// Divider divides the limits of a process's endpoints. Its fields are set before Run.
type Divider struct {
	Registry *pushback.Registry
	// Store holds the leases.
	Store     objectapi.API
	Messenger Messenger
	// Hosts lists the other processes of a failure domain, or all if the domain is empty.
	Hosts func(domain string) []netip.Addr
	// Self is the host of this process, Domain its failure domain.
	Self   netip.Addr
	Domain string
	// Holder names this process in leases; it is the same after a restart at the same address.
	Holder string
	// LeaseNow is a clock that also advances while the host is suspended.
	LeaseNow func() time.Time
	Log      *zap.Logger

	startedAt time.Time
	calls     sync.WaitGroup
	// wake receives an item when a call to the store has ended.
	wake chan struct{}

	mu     sync.Mutex
	groups map[groupID]*group
	pauses pauseWatch
}

// group is what a process knows of one group of limited endpoints.
type group struct {
	id    groupID
	lease *lease.Lease
	// neededSince is when the first of its endpoints became limited, holderSeenAt when another process
	// last announced that it uses their limits.
	neededSince, holderSeenAt time.Time
	// holder is the process that announced that, noteHolder the one that the lease's note named at
	// noteHolderAt.
	holder, noteHolder netip.Addr
	noteHolderAt       time.Time
	// reportedAt is when this process last reported its use of the limits, askedAt when it last asked for
	// a loan of each, and askers when others did.
	reportedAt time.Time
	askedAt    map[pushback.Key]time.Time
	askers     map[pushback.Key]map[netip.Addr]time.Time
	// isCalling is set while a call to the store is in flight; calledAt is when the last began, and
	// storeFailed whether it had no answer.
	isCalling   bool
	calledAt    time.Time
	storeFailed bool
	// retryInterval is the time to the next attempt to acquire the lease.
	retryInterval time.Duration
	// announcedAt is when this process last announced itself, lentAt when it last sent its loans.
	announcedAt, lentAt time.Time
	// loans are those in force, by endpoint and host.
	loans map[pushback.Key]ledger
	// reported holds the endpoints for which this process has reported what it sent before.
	reported map[pushback.Key]time.Time
	role     role
	// ranked are hosts by rank; they change rarely.
	hosts, ranked []netip.Addr
}

// role is what a process may do with the limits of a group.
type role string

const (
	roleNone     role = "none"
	roleHolder   role = "holder"
	roleFallback role = "fallback"
)

// Run divides limits until ctx ends, and then gives its leases up.
func (d *Divider) Run(ctx context.Context) {
	d.mu.Lock()
	d.groups, d.startedAt, d.wake = map[groupID]*group{}, time.Now(), make(chan struct{}, 1)
	d.mu.Unlock()
	for ctx.Err() == nil {
		// Without limited endpoints there is nothing to decide, and the process is left asleep.
		var next <-chan time.Time
		if d.step(ctx, time.Now()) {
			next = time.After(stepInterval)
		}
		select {
		case <-next:
		case <-d.Registry.Changed():
		case <-d.wake:
		case <-ctx.Done():
		}
	}
	d.calls.Wait()
	d.releaseAll(context.WithoutCancel(ctx), time.Now())
}

// step decides what this process may send to each limited endpoint. It returns whether there are any.
func (d *Divider) step(ctx context.Context, now time.Time) bool {
	d.Registry.DropUnknown(now)
	members := map[groupID][]pushback.Limited{}
	for _, e := range d.Registry.Limited(now) {
		members[groupOf(e)] = append(members[groupOf(e)], e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pauses.tick(now)
	for id, g := range d.groups {
		if members[id] == nil && !g.isCalling && !g.hasLoans(now) {
			delete(d.groups, id)
			d.calls.Go(func() { d.release(context.WithoutCancel(ctx), g) })
		}
	}
	for id, endpoints := range members {
		g := d.groups[id]
		if g == nil {
			g = d.newGroup(id, now)
			d.groups[id] = g
		}
		d.stepGroup(ctx, g, endpoints, now)
	}
	return len(d.groups) > 0 || d.Registry.IsAnyAsking()
}

func (d *Divider) newGroup(id groupID, now time.Time) *group {
	return &group{
		id: id, neededSince: now, role: roleNone, retryInterval: minRetryInterval, loans: map[pushback.Key]ledger{}, reported: map[pushback.Key]time.Time{},
		askedAt: map[pushback.Key]time.Time{}, askers: map[pushback.Key]map[netip.Addr]time.Time{},
		lease: lease.New(lease.Config{
			Key: keyPrefix + id.String(), Holder: d.Holder, Term: leaseTerm, CallTimeout: callTimeout, StepInterval: minRetryInterval, Now: d.LeaseNow,
		}, d.Store),
	}
}

// stepGroup decides for one group; d.mu is held.
func (d *Divider) stepGroup(ctx context.Context, g *group, endpoints []pushback.Limited, now time.Time) {
	ranked := d.candidates(g)
	canTry := g.canTry(slices.Index(ranked, d.Self), now)
	if canTry && d.isCallDue(g, now) {
		g.lease.SetNote(encodeNote(d.Self, endpoints, now))
		d.call(ctx, g, now)
	}
	d.reportSent(g, endpoints, ranked[0], now)
	if now.Sub(d.startedAt) < loanTime {
		return
	}
	heldFor := g.lease.HeldFor(d.leaseNow())
	switch {
	case heldFor > 0:
		d.setRole(g, roleHolder)
		d.useLimits(g, endpoints, 1, ranked, heldFor, now)
	case canTry && g.storeFailed && now.Sub(g.holderSeenAt) >= escalation:
		d.setRole(g, roleFallback)
		d.useLimits(g, endpoints, fallbackPart, ranked, loanTime, now)
	default:
		if g.role != roleNone {
			for _, e := range endpoints {
				e.SetShare(pushback.Share{}, now)
			}
		}
		d.setRole(g, roleNone)
		d.reportUse(g, endpoints, ranked[0], now)
		return
	}
	if now.Sub(g.announcedAt) >= announceInterval {
		g.announcedAt = now
		d.Messenger.Announce(keysOf(endpoints), without(ranked, d.Self))
	}
}

// candidates lists the processes that may use the limits of a group, this one among them, by rank:
// those of its failure domain or, if there is none, all. d.mu is held.
func (d *Divider) candidates(g *group) []netip.Addr {
	hosts := d.Hosts(g.id.domain)
	if g.id.domain == d.Domain {
		hosts = append(hosts, d.Self)
	}
	if len(hosts) == 0 {
		hosts = append(d.Hosts(""), d.Self)
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	if !slices.Equal(hosts, g.hosts) {
		g.hosts, g.ranked = hosts, rank(hosts, g.id)
	}
	return g.ranked
}

// canTry reports whether a process should try to use the limits of the group: the one that ranks
// first, or a later one once no other has announced to use them for some time. position is -1 for a
// process that is no candidate.
func (g *group) canTry(position int, now time.Time) bool {
	if position <= 0 {
		return position == 0
	}
	silentSince := g.neededSince
	if g.holderSeenAt.After(silentSince) {
		silentSince = g.holderSeenAt
	}
	return now.Sub(silentSince) >= time.Duration(position)*escalation
}

// isCallDue reports whether the lease is to be renewed or tried.
func (d *Divider) isCallDue(g *group, now time.Time) bool {
	interval := g.retryInterval
	if g.lease.HeldFor(d.leaseNow()) > 0 {
		interval = renewInterval
	}
	return !g.isCalling && now.Sub(g.calledAt) >= interval
}

// call renews or tries the lease in the background; d.mu is held.
func (d *Divider) call(ctx context.Context, g *group, now time.Time) {
	g.isCalling, g.calledAt = true, now
	interval := g.retryInterval
	d.calls.Go(func() {
		err := g.lease.Step(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		g.isCalling = false
		g.retryInterval = minRetryInterval
		if errors.Is(err, lease.ErrNotHeld) {
			g.retryInterval = min(2*interval, maxRetryInterval)
			d.applyNote(g, now)
		}
		g.storeFailed = err != nil && !errors.Is(err, lease.ErrNotHeld) && !errors.Is(err, objectapi.ErrConflict)
		select {
		case d.wake <- struct{}{}:
		default:
		}
	})
}

// note is what the holder of a lease publishes with it: its address and the limits that it uses.
type note struct {
	Host   netip.Addr                 `json:"host"`
	Limits map[pushback.Key]noteLimit `json:"limits"`
}

// noteLimit is a limit with its age when the note was written.
type noteLimit struct {
	PerSecond float64 `json:"per_second"`
	AgeMS     int64   `json:"age_ms"`
}

func encodeNote(self netip.Addr, endpoints []pushback.Limited, now time.Time) []byte {
	n := note{Host: self, Limits: map[pushback.Key]noteLimit{}}
	for _, e := range endpoints {
		n.Limits[e.Key] = noteLimit{e.RequestsPerSecond, now.Sub(e.AsOf).Milliseconds()}
	}
	// Addresses, numbers and maps of numbers always encode.
	data, _ := json.Marshal(n)
	return data
}

// applyNote confirms the limits that the holder of a lease uses, as of the time up to which it is certain
// that they were named, and remembers its address. A process that no peer knows learns of them in no other
// way, and would return to the endpoints when its own knowledge expires. d.mu is held.
func (d *Divider) applyNote(g *group, now time.Time) {
	data, writtenAfter := g.lease.HolderNote(), g.lease.HolderNoteWrittenAfter()
	var n note
	if len(data) == 0 || writtenAfter.IsZero() || json.Unmarshal(data, &n) != nil {
		return
	}
	age := d.leaseNow().Sub(writtenAfter)
	if age < maxRetryInterval+leaseTerm {
		g.noteHolder, g.noteHolderAt = n.Host, now
	}
	for key, limit := range n.Limits {
		if limit.PerSecond > 0 && limit.PerSecond < pushback.MaxRate && limit.AgeMS >= 0 && limit.AgeMS < maxNoteAge.Milliseconds() {
			asOf := now.Add(-age - time.Duration(limit.AgeMS)*time.Millisecond)
			d.Registry.Merge(pushback.News{Endpoint: key, RequestsPerSecond: limit.PerSecond, AsOf: asOf}, "the lease", now)
		}
	}
}

func (d *Divider) leaseNow() time.Time {
	if d.LeaseNow == nil {
		return time.Now()
	}
	return d.LeaseNow()
}

// useLimits divides a part of each limit of a group for some time; d.mu is held.
func (d *Divider) useLimits(g *group, endpoints []pushback.Limited, part float64, ranked []netip.Addr, validFor time.Duration, now time.Time) {
	peers := without(ranked, d.Self)
	isLendDue := now.Sub(g.lentAt) >= lendInterval
	lent := map[netip.Addr][]Loan{}
	for _, e := range endpoints {
		perSecond := part * e.RequestsPerSecond
		senders, inTurns := g.senders(e, perSecond, d.Self, peers, now)
		// A turn is short, so its loan is sent with each step in case messages are lost.
		lendNow := isLendDue || inTurns
		loans := g.loans[e.Key]
		if loans == nil {
			loans = ledger{}
			g.loans[e.Key] = loans
		}
		rate := divide(perSecond, senders, loans, now)
		loanFor := min(loanTime, validFor)
		if inTurns {
			loanFor = min(loanFor, untilNextTurn(now, perSecond))
		}
		own := pushback.Share{Until: now.Add(validFor)}
		for _, host := range senders {
			switch {
			case host == d.Self:
				own.RequestsPerSecond = rate
			case lendNow:
				loans.add(host, loan{rate, now.Add(loanFor)}, now)
				lent[host] = append(lent[host], Loan{e.Key, rate, loanFor})
			}
		}
		e.SetShare(own, now)
	}
	if isLendDue {
		g.lentAt = now
	}
	for host, loans := range lent {
		d.Messenger.Lend(host, loans)
	}
}

// reportSent counts what this process sent to newly limited endpoints before it could know: against
// its own share if it ranks first, or else it reports them to the process that does. d.mu is held.
func (d *Divider) reportSent(g *group, endpoints []pushback.Limited, first netip.Addr, now time.Time) {
	for _, e := range endpoints {
		if g.reported[e.Key].Equal(e.Since) {
			continue
		}
		g.reported[e.Key] = e.Since
		switch sent := e.SentUnaware(now); {
		case sent == 0:
		case first == d.Self:
			e.Debit(sent, now)
		default:
			d.Messenger.ReportSent(first, e.Key, sent)
		}
	}
}

// setRole logs a change of what this process does for a group; d.mu is held.
func (d *Divider) setRole(g *group, next role) {
	if g.role == next {
		return
	}
	d.Log.Info("use of endpoints' limits", zap.Stringer("group", g.id), zap.String("role", string(next)), zap.String("before", string(g.role)),
		zap.Bool("store_failed", g.storeFailed))
	g.role = next
}

// hasLoans reports whether peers may still use loans of this process.
func (g *group) hasLoans(now time.Time) bool {
	for _, l := range g.loans {
		if l.isAnyInForce(now) {
			return true
		}
	}
	return false
}

// releaseAll gives up the leases under which nothing is lent, and the shares that they give. The next
// holder divides the whole limit, so a lease with loans is left to end by itself, after them.
func (d *Divider) releaseAll(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	limited := d.Registry.Limited(now)
	d.mu.Lock()
	for _, g := range d.groups {
		if g.hasLoans(now) {
			continue
		}
		for _, e := range limited {
			if groupOf(e) == g.id {
				e.SetShare(pushback.Share{}, now)
			}
		}
		d.calls.Go(func() { d.release(ctx, g) })
	}
	d.mu.Unlock()
	d.calls.Wait()
}

// release gives up the lease of a group without limited endpoints.
func (d *Divider) release(ctx context.Context, g *group) {
	if err := g.lease.Release(ctx); err != nil {
		d.Log.Info("lease of endpoints' limits not released", zap.Stringer("group", g.id), zap.Error(err))
	}
}

// Borrow applies loans of a holder, unless they may have waited for this process: a loan's time counts
// from when it was sent. The holder repeats loans that still hold.
func (d *Divider) Borrow(loans []Loan, now time.Time) {
	d.mu.Lock()
	canBeLate := d.pauses.canBeLate(now)
	d.mu.Unlock()
	if canBeLate {
		d.Log.Info("loans of endpoints' limits dropped, as they may be old", zap.Int("loans", len(loans)))
		return
	}
	for _, l := range loans {
		if e := d.Registry.Find(l.Endpoint); e != nil {
			e.SetShare(pushback.Share{RequestsPerSecond: l.RequestsPerSecond, Until: now.Add(min(l.ValidFor, loanTime))}, now)
		}
	}
}

// RecordHolder records that another process uses the limits of endpoints.
func (d *Divider) RecordHolder(holder netip.Addr, endpoints []pushback.Key, now time.Time) {
	for _, limited := range d.Registry.Limited(now) {
		if !slices.Contains(endpoints, limited.Key) {
			continue
		}
		d.mu.Lock()
		if g := d.groups[groupOf(limited)]; g != nil {
			g.holder, g.holderSeenAt = holder, now
		}
		d.mu.Unlock()
	}
}

// RecordSent counts requests against the share of this process that a peer sent before it could know
// of the limit.
func (d *Divider) RecordSent(endpoint pushback.Key, requests int, now time.Time) {
	if e := d.Registry.Find(endpoint); e != nil {
		e.Debit(requests, now)
	}
}

func keysOf(endpoints []pushback.Limited) []pushback.Key {
	out := make([]pushback.Key, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, e.Key)
	}
	return out
}

// without returns the hosts other than one.
func without(hosts []netip.Addr, one netip.Addr) []netip.Addr {
	out := make([]netip.Addr, 0, len(hosts))
	for _, h := range hosts {
		if h != one {
			out = append(out, h)
		}
	}
	return out
}
