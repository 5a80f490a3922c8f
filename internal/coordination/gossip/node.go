package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpetwall/internal/coordination/configlog"
	"limpetwall/internal/coordination/quarantine"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/boundedqueue"
	"limpetwall/internal/transport/hostlist"
	"limpetwall/internal/transport/sleep"
)

// ErrNoConfigSource is returned by Join when neither the platform nor a peer
// provided the configuration.
const ErrNoConfigSource = errors.ConstError("no source of configuration answered")

// Peers calls other processes by address.
type Peers interface {
	Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeResponse, error)
	FetchConfig(ctx context.Context, address string, r *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error)
	FetchMembers(ctx context.Context, address string) (*wire.FetchMembersResponse, error)
	Probe(ctx context.Context, address string, r *wire.ProbeRequest) (*wire.ProbeResponse, error)
}

// Config holds the settings of a Node.
type Config struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one exchange. A member that takes longer is probed indirectly,
	// through other members.
	ProbeTimeout time.Duration
	// CallTimeout bounds any other call to a peer.
	CallTimeout time.Duration
	// Successors is the number of ring successors that are probed in turn.
	Successors int
	// Fanout is the number of members that an urgent update is pushed to at once. They
	// are drawn from a set of Contacts members that stays the same for an epoch.
	Fanout   int
	Contacts int
	// WatchersPerDomain is the number of members of each failure domain that watch the
	// platform.
	WatchersPerDomain int
	// EpochLength is how long a choice of watchers and contacts is valid.
	EpochLength time.Duration
	// WatchTimeout bounds one long poll of the platform.
	WatchTimeout time.Duration
	// HostListInterval is the time between two reads of the host list by a watcher.
	HostListInterval time.Duration
	// PlatformStaleAfter is the age of the last known platform read after which a member
	// that is not a watcher reads the platform itself.
	PlatformStaleAfter time.Duration
	// FallbackReadRate is the rate of such reads by the whole fleet, per second.
	FallbackReadRate float64
	// ReconnectInterval is the time between two attempts to reach a member thought dead.
	ReconnectInterval time.Duration
	// RowsPerExchange and ReportsPerExchange bound the member rows and load reports in
	// one message.
	RowsPerExchange    int
	ReportsPerExchange int
	// ReportInterval is the minimum time between two load reports of this process.
	ReportInterval time.Duration
	// Seeds are addresses of processes to join through besides those on the host list, so
	// that a process can also start while the host list does not answer.
	Seeds []string
}

// DefaultConfig returns the settings that processes use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 400 * time.Millisecond, CallTimeout: time.Second, Successors: 3, Fanout: 3, Contacts: 12,
		WatchersPerDomain: 2, EpochLength: 10 * time.Minute, WatchTimeout: 10 * time.Second,
		HostListInterval: time.Second, PlatformStaleAfter: 15 * time.Second, FallbackReadRate: 20,
		ReconnectInterval: 10 * time.Second, RowsPerExchange: 12, ReportsPerExchange: 3,
		ReportInterval: 500 * time.Millisecond,
	}
}

// maxChangesPerExchange bounds the configuration changes in the answer to an
// exchange; a peer that lacks more fetches them.
const maxChangesPerExchange = 16

// mismatchesBeforeFetch is the number of consecutive exchanges with a peer whose
// table digest differs after which the whole table is fetched. Fewer are treated
// as updates that are still spreading.
const mismatchesBeforeFetch = 4

// Node runs the gossip protocol for one process. Create it with New and start it
// with Run.
type Node struct {
	cfg       Config
	table     *fleet.Table
	store     *config.Store
	configLog *configlog.Log
	hosts     hostlist.List
	peers     Peers
	logger    *zap.Logger
	// quarantines holds the crash records of requests that crash endpoints; they are
	// exchanged in the same messages.
	quarantines *quarantine.Tracker
	// quarantinesDiffer is set when a peer's quarantines differ from this process's; the
	// next message then carries a sample of them.
	quarantinesDiffer atomic.Bool
	// pushSignal wakes the push loop; one pending signal is enough.
	pushSignal *boundedqueue.Queue[struct{}]
	repairs    *boundedqueue.Queue[repairJob]

	// calls counts the goroutines with a call to a peer in flight; Run waits for them.
	calls sync.WaitGroup

	mu sync.Mutex
	// platformReadAt is when the platform was last read, by this process or, as far as
	// it has learned, by any other.
	platformReadAt time.Time
	// mismatches counts consecutive exchanges with a differing table digest, by member ID.
	mismatches map[string]int
	probeIndex int
	counts     Counts
	// fence is the highest fencing token seen.
	fence      uint64
	changePush pushState
}

// Counts holds a node's counts of exchange messages, with their exact encoded sizes, and
// of its reads of the configuration from the platform. The process metrics and the
// capacity benchmark use them.
type Counts struct {
	Sent, Received           int64
	SentBytes, ReceivedBytes int64
	PlatformCalls            int64
}

// repairJob is a fetch of state that a peer has and this process lacks.
type repairJob struct {
	address string
	// members requests the whole table in addition to the configuration.
	members bool
}

// New returns a node that is not running yet.
func New(cfg Config, table *fleet.Table, store *config.Store, log *configlog.Log, hosts hostlist.List, peers Peers, logger *zap.Logger) *Node {
	return &Node{
		cfg: cfg, table: table, store: store, configLog: log, hosts: hosts, peers: peers, logger: logger, quarantines: quarantine.NewTracker(),
		pushSignal: boundedqueue.New[struct{}](1), repairs: boundedqueue.New[repairJob](16), mismatches: map[string]int{},
	}
}

// Table returns the node's view of the fleet.
func (n *Node) Table() *fleet.Table { return n.table }

// Quarantines returns the crash records and quarantines of requests that this
// process knows.
func (n *Node) Quarantines() *quarantine.Tracker { return n.quarantines }

// Counts returns the message counts so far.
func (n *Node) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Run starts all loops and returns after ctx has ended and they and all calls in
// flight have stopped.
func (n *Node) Run(ctx context.Context) {
	loops := []func(context.Context){
		n.probeLoop, n.pushLoop, n.platformWatchLoop, n.hostListLoop, n.expiryLoop, n.reconnectLoop, n.joinLoop, n.repairLoop,
		n.quarantineLoop,
	}
	var group sync.WaitGroup
	for _, loop := range loops {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	n.calls.Wait()
}

// Announce wakes the push loop, for an update that should not wait for the next
// probe.
func (n *Node) Announce() { n.pushSignal.TryPush(struct{}{}) }

// jitter randomizes an interval by ±20%, so that processes started together do not
// stay synchronized.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func (n *Node) probeLoop(ctx context.Context) {
	for sleep.For(ctx, jitter(n.cfg.ProbeInterval)) {
		if target, ok := n.nextProbeTarget(); ok {
			// Runs concurrently because a slow answer must not delay the next probe:
			// otherwise one dead successor would delay the detection of another.
			n.calls.Go(func() { n.probe(ctx, target) })
		}
	}
}

func (n *Node) nextProbeTarget() (fleet.Member, bool) {
	successors := n.table.Successors(n.cfg.Successors)
	if len(successors) == 0 {
		return fleet.Member{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probeIndex++
	return successors[n.probeIndex%len(successors)], true
}

func (n *Node) probe(ctx context.Context, target fleet.Member) {
	if n.exchange(ctx, target.ID, target.Address) == nil || ctx.Err() != nil {
		return
	}
	if n.indirectProbe(ctx, target) || ctx.Err() != nil {
		return
	}
	if n.table.Suspect(target.ID, target.Incarnation, time.Now()) {
		n.logger.Info("member suspected", zap.String("member", target.ID), zap.String("address", target.Address))
		n.Announce()
	}
}

// indirectProbe asks two other members to probe the target and reports whether one
// of them reached it. Without this, a broken link between just two processes would
// get a healthy endpoint declared dead.
func (n *Node) indirectProbe(ctx context.Context, target fleet.Member) bool {
	const helpers = 2
	answers := make(chan bool, helpers)
	asked := 0
	for _, helper := range n.randomMembers(helpers + 1) {
		if helper.ID == target.ID || asked == helpers {
			continue
		}
		asked++
		n.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, n.cfg.ProbeTimeout+n.cfg.ProbeTimeout/2)
			defer cancel()
			r, err := n.peers.Probe(ctx, helper.Address, &wire.ProbeRequest{Address: target.Address})
			answers <- err == nil && r.GetAlive()
		})
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// randomMembers returns up to count random contacts of this process.
func (n *Node) randomMembers(count int) []fleet.Member {
	contacts := n.table.Contacts(n.cfg.Contacts, n.currentEpoch())
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	return contacts[:min(count, len(contacts))]
}

func (n *Node) currentEpoch() uint64 {
	return uint64(time.Now().UnixNano() / int64(n.cfg.EpochLength))
}

func (n *Node) pushLoop(ctx context.Context) {
	for {
		if _, err := n.pushSignal.Pop(ctx); err != nil {
			return
		}
		for _, m := range n.randomMembers(n.cfg.Fanout) {
			n.calls.Go(func() { n.exchange(ctx, m.ID, m.Address) })
		}
		// Updates that arrive in a burst are sent together.
		if !sleep.For(ctx, 50*time.Millisecond) {
			return
		}
	}
}

// RunReports publishes this process's load and the configuration revision that it
// has in force to the fleet, until ctx ends.
func (n *Node) RunReports(ctx context.Context, load func() fleet.Load) {
	for version := uint64(1); ; version++ {
		self := n.table.Self()
		n.table.SetReport(fleet.Report{
			Incarnation: self.Incarnation, Version: version,
			Load: load(), Revision: n.store.View().Revision, At: time.Now(),
		})
		if !sleep.For(ctx, jitter(n.reportInterval())) {
			return
		}
	}
}

// reportInterval returns the time between two reports of this process, long enough
// that the exchanges can carry the reports of the whole fleet. Each process sends
// two messages per probe interval (its own exchange and the answer to another's)
// with up to ReportsPerExchange reports, and forwards every report several times. In
// a large fleet the reports that come with answers to requests are fresher.
func (n *Node) reportInterval() time.Duration {
	const messagesPerProbe = 2
	perSecond := float64(messagesPerProbe*n.cfg.ReportsPerExchange) / n.cfg.ProbeInterval.Seconds()
	sends := float64(n.table.Size() * n.table.ReportSends())
	return max(n.cfg.ReportInterval, time.Duration(sends/perSecond*float64(time.Second)))
}

// exchange performs one gossip exchange with a peer.
func (n *Node) exchange(ctx context.Context, id, address string) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ProbeTimeout)
	defer cancel()
	req := n.newExchangeRequest()
	resp, err := n.peers.Exchange(ctx, address, req)
	if err != nil {
		n.countExchange(proto.Size(req), 0)
		return err
	}
	n.countExchange(proto.Size(req), proto.Size(resp))
	n.RaiseFence(resp.GetFence())
	n.mergeUpdates(address, resp.GetMembers(), resp.GetLoads(), resp.GetChanges(), resp.GetPlatformAgeMs())
	n.mergeQuarantines(address, resp.GetQuarantine(), resp.GetQuarantineDigest())
	n.compareState(id, address, resp.GetRevision(), resp.GetMemberDigest())
	return nil
}

func (n *Node) countExchange(sent, received int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts.Sent++
	n.counts.SentBytes += int64(sent)
	if received > 0 {
		n.counts.Received++
		n.counts.ReceivedBytes += int64(received)
	}
}

// IsChosen reports whether this process is among the count live members of its role
// that rendezvous hashing selects for the current epoch.
func (n *Node) IsChosen(count int) bool { return n.table.IsChosen(count, n.currentEpoch()) }

// Fence returns the highest fencing token of orders that this process has seen.
func (n *Node) Fence() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fence
}

// RaiseFence records a fencing token if it is higher than the highest seen. Every
// exchange carries that token, so that an agent that has just started already
// refuses orders of a previous lease holder.
func (n *Node) RaiseFence(fence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fence = max(n.fence, fence)
}

func (n *Node) newExchangeRequest() *wire.ExchangeRequest {
	members, loads := n.popUpdates()
	return &wire.ExchangeRequest{
		From: n.table.Self().ID, Revision: n.store.View().Revision, MemberDigest: n.table.Digest(),
		Members: members, Loads: loads, Changes: n.recentChanges(), PlatformAgeMs: n.platformAge().Milliseconds(),
		Fence: n.Fence(), QuarantineDigest: n.quarantines.Digest(), Quarantine: n.quarantineUpdates(),
	}
}

func (n *Node) popUpdates() ([]*wire.Member, []*wire.LoadReport) {
	rows, reports := n.table.TakeFresh(n.cfg.RowsPerExchange, n.cfg.ReportsPerExchange)
	members := make([]*wire.Member, 0, len(rows))
	for _, m := range rows {
		members = append(members, m.ToWire())
	}
	loads := make([]*wire.LoadReport, 0, len(reports))
	for _, r := range reports {
		loads = append(loads, r.ToWire())
	}
	return members, loads
}

// mergeUpdates merges the updates in a message from a peer, and announces those that
// are urgent. ageMS is the age of the last platform read known to the peer.
func (n *Node) mergeUpdates(address string, members []*wire.Member, loads []*wire.LoadReport, changes []*wire.Change, ageMS int64) {
	now := time.Now()
	urgent := false
	for _, m := range members {
		member := fleet.MemberFromWire(m)
		if n.table.Merge(member, now) {
			// Suspected, dead and leaving members are urgent: requests are still sent there.
			urgent = urgent || member.State != fleet.Alive
		}
	}
	for _, r := range loads {
		n.table.SetReport(fleet.ReportFromWire(r, now))
	}
	if n.applyChanges(changes) {
		urgent = true
	}
	n.observePlatformRead(now.Add(-time.Duration(ageMS) * time.Millisecond))
	if urgent {
		n.Announce()
	}
}

// compareState schedules a repair if a peer has a newer configuration or if its table
// digest keeps differing.
func (n *Node) compareState(id, address string, revision, digest uint64) {
	if revision > n.store.View().Revision {
		n.repairs.TryPush(repairJob{address: address})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if digest == n.table.Digest() {
		delete(n.mismatches, id)
		return
	}
	n.mismatches[id]++
	if n.mismatches[id] >= mismatchesBeforeFetch {
		delete(n.mismatches, id)
		n.repairs.TryPush(repairJob{address: address, members: true})
	}
}

func (n *Node) platformAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.platformReadAt.IsZero() {
		return maxPlatformAge
	}
	return min(maxPlatformAge, time.Since(n.platformReadAt))
}

func (n *Node) observePlatformRead(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.platformReadAt) {
		n.platformReadAt = at
	}
}

func (n *Node) expiryLoop(ctx context.Context) {
	for sleep.For(ctx, n.cfg.ProbeInterval/2) {
		for _, m := range n.table.Expire(time.Now()) {
			n.logger.Info("member dead", zap.String("member", m.ID), zap.String("host", m.Host))
			n.Announce()
		}
	}
}

// reconnectLoop contacts members thought dead. After a partition both sides consider
// the other dead and would never contact each other again. One exchange lets the
// member refute its death, and gossip spreads the refutation.
func (n *Node) reconnectLoop(ctx context.Context) {
	for sleep.For(ctx, jitter(n.cfg.ReconnectInterval)) {
		dead := n.table.DeadMembers()
		if len(dead) > 0 {
			m := dead[rand.IntN(len(dead))]
			n.reconnect(ctx, m)
		}
	}
}

// joinLoop tries to join the fleet while this process knows no other member: when it
// started, the host list may have been out of date or have named only hosts that are
// gone.
func (n *Node) joinLoop(ctx context.Context) {
	const interval = time.Second
	for sleep.For(ctx, jitter(interval)) {
		if n.table.Size() == 1 && n.join(ctx) {
			n.Announce()
		}
	}
}

// reconnect sends a member the row that says it is dead; its answer refutes that.
func (n *Node) reconnect(ctx context.Context, m fleet.Member) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	req := n.newExchangeRequest()
	req.Members = append(req.Members, m.ToWire())
	resp, err := n.peers.Exchange(ctx, m.Address, req)
	if err != nil {
		return
	}
	n.RaiseFence(resp.GetFence())
	n.mergeUpdates(m.Address, resp.GetMembers(), resp.GetLoads(), resp.GetChanges(), resp.GetPlatformAgeMs())
	n.mergeQuarantines(m.Address, resp.GetQuarantine(), resp.GetQuarantineDigest())
	n.repairs.TryPush(repairJob{address: m.Address, members: true})
	n.Announce()
}
