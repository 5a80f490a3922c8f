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

// platformWatchLoop watches the platform while this process is one of its domain's
// watchers. Others read it only when nobody has for long, at a rate that the
// whole fleet shares by arithmetic: an outage must not end in a stampede.
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

// fallbackWait is drawn from an interval that grows with the fleet, so that all
// members together read at most RescueRate times a second.
func (n *Node) fallbackWait() time.Duration {
	interval := time.Duration(float64(n.table.Size()) / n.cfg.FallbackReadRate * float64(time.Second))
	return time.Second + time.Duration(rand.Float64()*2*float64(interval))
}

// backoff doubles from 0.1 s to 10 s with full jitter.
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
		n.logger.Warn("configuration not read", zap.Error(err))
		return err
	}
	n.observePlatformRead(time.Now())
	if after := n.store.View().Revision; after != before {
		n.logger.Info("configuration in force", zap.Uint64("revision", after), zap.String("from", "platform"))
		n.Announce()
	}
	return nil
}

// hostListLoop reads the host list while this process is a watcher and spreads
// which hosts are leaving.
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

// contactUnknownHosts speaks to a listed process that is missing from the table: it may
// have started while nobody it could reach was listed.
func (n *Node) contactUnknownHosts(ctx context.Context, hosts []hostlist.Host) {
	const maxContacts = 3
	known := map[string]bool{"": true, n.table.Self().Address: true}
	for _, m := range n.table.Members() {
		known[m.Address] = true
	}
	contacted := 0
	for _, i := range rand.Perm(len(hosts)) {
		if contacted == maxContacts {
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

// Join finds the fleet and the configuration in force. It fails with
// ErrNoSource if neither the platform nor a peer answered; the caller is then
// not ready and tries again.
//
// Peers come first: when a whole failure domain restarts, hundreds of reads
// would otherwise meet the platform at once. The platform is read when no peer
// has heard from it lately.
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

// join introduces this process to some seeds and takes over what they know.
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

// mergeTable takes in a whole table.
func (n *Node) mergeTable(members []*wire.Member) {
	now := time.Now()
	for _, m := range members {
		n.table.Learn(fleet.MemberFromWire(m), now)
	}
}

// repairLoop fetches what a peer has and this process lacks.
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

// applyChanges applies what follows the revision in force and tells whether it moved.
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

// recentChanges are pushed along while they are news.
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

// pushState counts how often the newest change is still pushed unasked.
type pushState struct {
	revision  uint64
	remaining int
}

// maxPlatformAge is an age that tells nothing.
const maxPlatformAge = 24 * time.Hour
