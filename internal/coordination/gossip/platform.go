package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/configlog"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/hostlist"
	"limpetwall/internal/transport/sleep"
)

func (n *Node) isWatcher() bool {
	return n.table.IsWatcher(n.cfg.WatchersPerDomain, n.currentEpoch())
}

func (n *Node) countPlatformCall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts.PlatformCalls++
}

// platformWatchLoop watches the configuration on the platform while this process is
// one of the watchers of its failure domain. Other processes read it only when the
// last known read is older than PlatformStaleAfter, at random times that keep the
// whole fleet within FallbackReadRate, so that an outage does not end with a burst of
// reads.
func (n *Node) platformWatchLoop(ctx context.Context) {
	var head configlog.Head
	failures := 0
	for ctx.Err() == nil {
		if !n.isWatcher() {
			if !sleep.For(ctx, n.fallbackWait()) {
				return
			}
			if n.isWatcher() || n.platformAge() < n.cfg.PlatformStaleAfter {
				continue
			}
		}
		next, err := n.readHead(ctx, head)
		if err != nil {
			failures++
			if !sleep.For(ctx, backoff(failures)) {
				return
			}
			continue
		}
		failures = 0
		head = next
	}
}

// fallbackWait returns a random wait from an interval that grows with the fleet, so
// that all members together read at most FallbackReadRate times a second on average.
func (n *Node) fallbackWait() time.Duration {
	interval := time.Duration(float64(n.table.Size()) / n.cfg.FallbackReadRate * float64(time.Second))
	return time.Second + time.Duration(rand.Float64()*2*float64(interval))
}

// backoff returns the wait before the next attempt. Its limit doubles from 0.1 s with
// each failure, up to 10 s, and the wait is drawn with full jitter.
func backoff(failures int) time.Duration {
	limit := min(10*time.Second, 100*time.Millisecond<<min(failures, 10))
	return time.Duration(rand.Float64() * float64(limit))
}

func (n *Node) readHead(ctx context.Context, after configlog.Head) (configlog.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.WatchTimeout+5*time.Second)
	defer cancel()
	n.countPlatformCall()
	head, err := n.configLog.Watch(ctx, after, n.cfg.WatchTimeout)
	if err != nil {
		return after, err
	}
	return head, n.catchUp(ctx, head)
}

func (n *Node) catchUp(ctx context.Context, head configlog.Head) error {
	before := n.store.View().Revision
	if err := n.configLog.CatchUp(ctx, n.store, head); err != nil {
		n.logger.Warn("could not read the configuration from the platform", zap.Error(err))
		return err
	}
	n.observePlatformRead(time.Now())
	if after := n.store.View().Revision; after != before {
		n.logger.Info("configuration in force", zap.Uint64("revision", after), zap.String("from", "platform"))
		n.Announce()
	}
	return nil
}

// hostListLoop reads the host list while this process is a watcher, and announces to
// the fleet which hosts are leaving.
func (n *Node) hostListLoop(ctx context.Context) {
	for sleep.For(ctx, jitter(n.cfg.HostListInterval)) {
		if n.hosts == nil || !n.isWatcher() {
			continue
		}
		hosts, err := n.readHosts(ctx)
		if err != nil {
			continue
		}
		for _, h := range hosts {
			if h.State == hostlist.Leaving && n.table.MarkLeaving(h.ID, time.Now()) {
				n.logger.Info("host leaving", zap.String("host", h.ID))
				n.Announce()
			}
		}
		n.contactUnknownHosts(ctx, hosts)
	}
}

// contactUnknownHosts joins through up to maxJoins listed processes that are
// missing from the table. Such a process may have started while no process that it
// could reach was listed.
func (n *Node) contactUnknownHosts(ctx context.Context, hosts []hostlist.Host) {
	const maxJoins = 3
	known := map[string]bool{"": true, n.table.Self().Address: true}
	for _, m := range n.table.Members() {
		known[m.Address] = true
	}
	contacted := 0
	for _, i := range rand.Perm(len(hosts)) {
		if contacted == maxJoins {
			return
		}
		if !known[hosts[i].Address] {
			contacted++
			n.calls.Go(func() { n.joinThrough(ctx, hosts[i].Address) })
		}
	}
}

func (n *Node) readHosts(ctx context.Context) ([]hostlist.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*n.cfg.CallTimeout)
	defer cancel()
	return n.hosts.Hosts(ctx)
}

// Join contacts the fleet and obtains the configuration in force. It returns
// ErrNoConfigSource if neither the platform nor a peer answered; the caller is then
// not ready and retries.
//
// Peers are asked first: when a whole failure domain restarts, hundreds of reads
// would otherwise reach the platform at once. The platform is read only if no peer
// answered or the last read known to those that did is older than
// PlatformStaleAfter.
func (n *Node) Join(ctx context.Context) error {
	reached := n.join(ctx)
	if reached && n.platformAge() < n.cfg.PlatformStaleAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*n.cfg.CallTimeout)
	defer cancel()
	n.countPlatformCall()
	head, err := n.configLog.Read(ctx)
	if err == nil {
		err = n.catchUp(ctx, head)
	}
	if err != nil && !reached {
		return ErrNoConfigSource
	}
	return nil
}

// join joins the fleet through up to maxSeeds processes and reports whether at least one
// was reached.
func (n *Node) join(ctx context.Context) bool {
	const maxSeeds = 3
	reached := 0
	for _, address := range n.seedAddresses(ctx) {
		if reached == maxSeeds || ctx.Err() != nil {
			break
		}
		if n.joinThrough(ctx, address) {
			reached++
		}
	}
	return reached > 0
}

// seedAddresses returns the other addresses on the host list and the configured seeds, in
// random order.
func (n *Node) seedAddresses(ctx context.Context) []string {
	own := n.table.Self().Address
	var addresses []string
	if n.hosts != nil {
		hosts, _ := n.readHosts(ctx)
		for _, h := range hosts {
			if h.Address != own && h.Address != "" {
				addresses = append(addresses, h.Address)
			}
		}
	}
	for _, seed := range n.cfg.Seeds {
		if seed != own {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// joinThrough fetches the member table and the configuration of the process at address
// and announces this process to it. It reports whether all of this succeeded.
func (n *Node) joinThrough(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	members, err := n.peers.FetchMembers(ctx, address)
	if err != nil {
		return false
	}
	n.mergeTable(members.GetMembers())
	if !n.fetchConfig(ctx, address) {
		return false
	}
	req := n.newExchangeRequest()
	req.Members = append(req.Members, n.table.Self().ToWire())
	_, err = n.peers.Exchange(ctx, address, req)
	return err == nil
}

// mergeTable merges the whole member table of a peer.
func (n *Node) mergeTable(members []*wire.Member) {
	now := time.Now()
	for _, m := range members {
		n.table.Learn(fleet.MemberFromWire(m), now)
	}
}

// repairLoop fetches state that a peer has and this process lacks.
func (n *Node) repairLoop(ctx context.Context) {
	for {
		job, err := n.repairs.Pop(ctx)
		if err != nil {
			return
		}
		n.repairFrom(ctx, job)
		if !sleep.For(ctx, jitter(200*time.Millisecond)) {
			return
		}
	}
}

func (n *Node) repairFrom(ctx context.Context, job repairJob) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	n.fetchConfig(ctx, job.address)
	if !job.members {
		return
	}
	members, err := n.peers.FetchMembers(ctx, job.address)
	if err == nil {
		n.mergeTable(members.GetMembers())
	}
}

// fetchConfig fetches and applies the configuration that a peer has beyond the revision
// in force, and reports whether the peer answered, and with a valid snapshot if it
// sent one.
func (n *Node) fetchConfig(ctx context.Context, address string) bool {
	resp, err := n.peers.FetchConfig(ctx, address, &wire.FetchConfigRequest{HaveRevision: n.store.View().Revision})
	if err != nil {
		return false
	}
	if len(resp.GetSnapshot()) > 0 {
		view, err := config.DecodeView(resp.GetSnapshot())
		if err != nil {
			n.logger.Error("peer sent a malformed snapshot", zap.String("peer", address), zap.Error(err))
			return false
		}
		n.store.Load(view)
	}
	n.RaiseFence(resp.GetFence())
	n.observePlatformRead(time.Now().Add(-time.Duration(resp.GetPlatformAgeMs()) * time.Millisecond))
	if n.applyChanges(resp.GetChanges()) || len(resp.GetSnapshot()) > 0 {
		n.logger.Info("configuration in force", zap.Uint64("revision", n.store.View().Revision), zap.String("from", address))
		n.Announce()
	}
	return true
}

// applyChanges applies the changes that follow the revision in force and reports
// whether that revision has advanced.
func (n *Node) applyChanges(changes []*wire.Change) bool {
	before := n.store.View().Revision
	for _, w := range changes {
		c, err := config.DecodeChange(w.GetDocument())
		if err != nil {
			n.logger.Error("peer sent a malformed change", zap.Uint64("revision", w.GetRevision()), zap.Error(err))
			break
		}
		if n.store.Apply(c) != nil {
			break
		}
	}
	return n.store.View().Revision != before
}

// recentChanges returns the newest configuration change for the next request to a peer.
// It does so 2*Fanout times for each new revision, and then returns nil.
func (n *Node) recentChanges() []*wire.Change {
	n.mu.Lock()
	defer n.mu.Unlock()
	revision := n.store.View().Revision
	if revision != n.changePush.revision {
		n.changePush = pushState{revision: revision, remaining: n.cfg.Fanout * 2}
	}
	if n.changePush.remaining == 0 || revision == 0 {
		return nil
	}
	n.changePush.remaining--
	changes, ok := n.store.Since(revision - 1)
	if !ok {
		return nil
	}
	return changesToWire(changes)
}

// pushState counts how many more requests will carry the change of a revision.
type pushState struct {
	revision  uint64
	remaining int
}

// maxPlatformAge caps the age of the last platform read. It is also the value for an
// unknown age.
const maxPlatformAge = 24 * time.Hour
