package command

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/contentreport"
	"limpetwall/internal/coordination/contextcache"
	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/coordination/leasenotice"
	"limpetwall/internal/coordination/limitshare"
	"limpetwall/internal/coordination/loadreport"
	"limpetwall/internal/coordination/origingossip"
	"limpetwall/internal/coordination/originstore"
	"limpetwall/internal/coordination/pushbackgossip"
	"limpetwall/internal/coordination/quarantinegossip"
	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/coordination/softwarerecord"
	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/coordination/versiongossip"
	"limpetwall/internal/coordination/warmup"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/bootclock"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/sharedread"
	"limpetwall/platform"
)

// startSharing starts the exchange of information with the other gateways.
func (p *gatewayProcess) startSharing(self fleet.Member, store *platform.Store, watcher *discovery.Watcher, director *rollout.Director, keeper *contextcache.Tracker) {
	sharer := p.shareLoad(self, store)
	p.recordSoftware(sharer, store, watcher)
	if sharer == nil {
		p.shareLimits(self, nil, store)
		return
	}
	watcher.Processes, director.Fleet = sharer.Processes, sharer.Processes
	metrics.NewRegisteredFunctionalGauge("gateway.processes_known", p.gateway.Metrics, func() int64 { return int64(sharer.Processes()) })
	p.shareNotices(sharer, director)
	p.shareVersionAges(sharer)
	p.shareContents(sharer, keeper)
	p.shareQuarantines(sharer)
	p.claimColdEndpoints(self, sharer, store, director)
	p.shareLimits(self, sharer, store)
	p.shareOrigins(sharer, store, director)
}

// recordSoftware keeps in the store which software versions endpoints have had: gateways may all end at once.
func (p *gatewayProcess) recordSoftware(sharer *loadreport.Exchanger, store *platform.Store, watcher *discovery.Watcher) {
	recorder := &softwarerecord.Recorder{
		Store: store, Origins: p.gateway.Origins, IsFirstStart: p.settings.Platform.FirstStart, Log: p.log, Metrics: p.gateway.Metrics,
		Rank: func() int { return 0 }, StreamTargets: p.streamTargets,
	}
	processes := func() int { return 1 }
	if sharer != nil {
		recorder.Rank, processes = sharer.Rank, sharer.Processes
	}
	p.gateway.RequiresRecord = true
	p.confirmStreams(store, watcher, processes)
	metrics.NewRegisteredFunctionalGauge("gateway.streams.all_versions_known", p.gateway.Metrics, func() int64 {
		if p.gateway.Origins.KnowsAllVersions(time.Now()) {
			return 1
		}
		return 0
	})
	p.run(recorder.Run)
}

const (
	// confirmCallTimeout bounds a call that asks the store to confirm what is known.
	confirmCallTimeout = 700 * time.Millisecond
	// minConfirmInterval is the least time between two such calls of a kind, and confirmIntervalUnit what each process adds: all
	// processes together ask each of the three questions 667 times a second at most.
	minConfirmInterval  = 20 * time.Millisecond
	confirmIntervalUnit = 1500 * time.Microsecond
)

// confirmStreams has the gateway ask the store what it must know for certain of a stream that a caller takes up.
func (p *gatewayProcess) confirmStreams(store *platform.Store, watcher *discovery.Watcher, processes func() int) {
	interval := func() time.Duration {
		return max(minConfirmInterval, time.Duration(processes())*confirmIntervalUnit)
	}
	versions := &sharedread.Reader[streamorigin.Recorded]{
		Read:    func(ctx context.Context) (streamorigin.Recorded, error) { return softwarerecord.ReadAll(ctx, store) },
		Timeout: confirmCallTimeout, Interval: interval,
	}
	p.gateway.ReadVersions = versions.Get
	confirm := func(kind string) func(context.Context) error {
		reader := &sharedread.Reader[struct{}]{
			Read:    func(ctx context.Context) (struct{}, error) { return struct{}{}, watcher.Confirm(ctx, kind) },
			Timeout: confirmCallTimeout, Interval: interval,
		}
		return func(ctx context.Context) error {
			_, err := reader.Get(ctx)
			return err
		}
	}
	p.gateway.ConfirmEndpoints, p.gateway.ConfirmRoutes = confirm(platform.Kinds.Instances), confirm(platform.Kinds.Config)
}

// streamTargets returns where the routes in force lead resumable streams.
func (p *gatewayProcess) streamTargets() softwarerecord.StreamTargets {
	since, t := p.gateway.State.StreamTargetsSince(), p.gateway.State.Routes()
	if t == nil {
		return softwarerecord.StreamTargets{}
	}
	return softwarerecord.StreamTargets{Fingerprint: t.StreamTargets(), ConfigVersion: t.Version, Since: since}
}

// shareLoad exchanges reports of the runs in flight with the other gateways. If that is not possible, it
// returns nil, and this gateway relies on the endpoints' own reports.
func (p *gatewayProcess) shareLoad(self fleet.Member, store *platform.Store) *loadreport.Exchanger {
	if p.settings.Platform.Peers == "" {
		return nil
	}
	address := netip.MustParseAddrPort(p.settings.Platform.Peers)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		p.log.Error("work is not shared with other gateways", zap.Error(err))
		return nil
	}
	sharer := &loadreport.Exchanger{
		Conn: conn, Address: address, Domain: self.Domain, Incarnation: self.Incarnation,
		Directory: p.gateway.Directory, Registry: store, Log: p.log,
	}
	p.run(sharer.Run)
	return sharer
}

// shareNotices broadcasts what this gateway writes to the rollout lease and receives what others write.
// Without it, each gateway reads the lease itself.
func (p *gatewayProcess) shareNotices(sharer *loadreport.Exchanger, director *rollout.Director) {
	if p.settings.Platform.Notices == "" {
		return
	}
	group, err := datagram.Listen(netip.MustParseAddrPort(p.settings.Platform.Notices))
	if err != nil {
		p.log.Error("the rollout lease is not told to other gateways", zap.Error(err))
		return
	}
	caster := &leasenotice.Broadcaster{Group: group, Hosts: sharer.Hosts, OnNotice: director.Lease.ObserveRenewal, Log: p.log}
	director.Notices = caster
	p.run(caster.Run)
}

// shareVersionAges exchanges with the other gateways how long ago versions of weights were named. Without it, a gateway
// knows that of what it has seen itself and from the rollout lease.
func (p *gatewayProcess) shareVersionAges(sharer *loadreport.Exchanger) {
	if p.settings.Platform.Versions == "" {
		return
	}
	group, err := datagram.Listen(netip.MustParseAddrPort(p.settings.Platform.Versions))
	if err != nil {
		p.log.Error("ages of versions are not told to other gateways", zap.Error(err))
		return
	}
	exchanger := &versiongossip.Exchanger{Group: group, Hosts: sharer.Hosts, State: p.gateway.State, Log: p.log}
	p.run(exchanger.Run)
}

// claimColdEndpoints has one gateway of a domain use each of its cold endpoints.
func (p *gatewayProcess) claimColdEndpoints(self fleet.Member, sharer *loadreport.Exchanger, store *platform.Store, director *rollout.Director) {
	state := p.gateway.State
	claims := &warmup.Claims{
		Store: store, Directory: p.gateway.Directory, Log: p.log, Holder: p.settings.Platform.Clients + "@" + strconv.FormatUint(self.Incarnation, 36),
		Self: hostOf(p.settings.Platform.Peers), Peers: func() []string { return hostNames(sharer.DomainHosts()) },
		Changed: state.Table.Changed, IsLeader: director.IsLeader,
		Exists: func(id string) bool { _, ok := state.Instance(id); return ok },
	}
	p.run(claims.Run)
}

func hostNames(hosts []netip.Addr) []string {
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.String())
	}
	return names
}

// shareContents divides the polling of stores and engines among the gateways of the failure domain.
// Without it, each gateway polls all of them.
func (p *gatewayProcess) shareContents(sharer *loadreport.Exchanger, keeper *contextcache.Tracker) {
	if p.settings.Platform.Contents == "" {
		return
	}
	group, err := datagram.Listen(netip.MustParseAddrPort(p.settings.Platform.Contents))
	if err != nil {
		p.log.Error("what stores hold is not told to other gateways", zap.Error(err))
		return
	}
	keeper.Peers = func() []string { return hostNames(sharer.DomainHosts()) }
	contents := &contentreport.Exchanger{Group: group, Hosts: sharer.DomainHosts, Tracker: keeper, Log: p.log}
	p.run(contents.Run)
}

// shareQuarantines exchanges evidence of requests that crash endpoints. Without it, a gateway learns of
// quarantines from the store and has only its own evidence.
func (p *gatewayProcess) shareQuarantines(sharer *loadreport.Exchanger) {
	guard := p.gateway.Guard
	guard.Processes = sharer.Processes
	if p.settings.Platform.Quarantines == "" {
		return
	}
	group, err := datagram.Listen(netip.MustParseAddrPort(p.settings.Platform.Quarantines))
	if err != nil {
		p.log.Error("quarantines are not told to other gateways", zap.Error(err))
		return
	}
	shared := &quarantinegossip.Exchanger{Group: group, Hosts: sharer.Hosts, Quarantines: guard.Quarantines, Now: guard.Now, Log: p.log}
	p.run(shared.Run)
}

// shareLimits exchanges what endpoints ask for in their answers, and divides the request rates that they
// accept among the gateways.
func (p *gatewayProcess) shareLimits(self fleet.Member, sharer *loadreport.Exchanger, store *platform.Store) {
	registry := p.gateway.Directory.Pushback
	divider := &limitshare.Divider{
		Registry: registry, Store: store, Messenger: limitshare.NoMessenger{}, Hosts: func(string) []netip.Addr { return nil },
		Self: netip.MustParseAddrPort(p.settings.Platform.Clients).Addr(), Domain: self.Domain,
		Holder: self.ID + "@" + p.settings.Platform.Clients, LeaseNow: bootclock.Now, Log: p.log,
	}
	if sharer != nil {
		divider.Hosts, divider.Self = sharer.HostsIn, sharer.Address.Addr()
		if exchanger := p.exchangePushback(sharer, divider); exchanger != nil {
			divider.Messenger = exchanger
		}
	}
	p.runWhileServing(divider.Run)
}

// exchangePushback exchanges what endpoints ask for with the other gateways. If that is not possible, it
// returns nil; a gateway then learns of it from the endpoints alone.
func (p *gatewayProcess) exchangePushback(sharer *loadreport.Exchanger, divider *limitshare.Divider) *pushbackgossip.Exchanger {
	if p.settings.Platform.Pushback == "" {
		return nil
	}
	group, err := datagram.Listen(netip.MustParseAddrPort(p.settings.Platform.Pushback))
	if err != nil {
		p.log.Error("limits of endpoints are not shared with other gateways", zap.Error(err))
		return nil
	}
	exchanger := &pushbackgossip.Exchanger{Group: group, Hosts: sharer.Hosts, Registry: divider.Registry, Divider: divider, Log: p.log}
	p.run(exchanger.Run)
	return exchanger
}

// shareOrigins exchanges with the other gateways which software version began each stream. Without it, a stream that
// another gateway began goes on only while its service has a single version.
func (p *gatewayProcess) shareOrigins(sharer *loadreport.Exchanger, store *platform.Store, director *rollout.Director) {
	if p.settings.Platform.Streams == "" {
		return
	}
	group, err := datagram.Listen(netip.MustParseAddrPort(p.settings.Platform.Streams))
	if err != nil {
		p.log.Error("origins of streams are not shared with other gateways", zap.Error(err))
		return
	}
	peers := func() []origingossip.Peer {
		domains := sharer.Domains()
		out := make([]origingossip.Peer, 0, len(domains))
		for host, domain := range domains {
			out = append(out, origingossip.Peer{Host: host, Domain: domain})
		}
		return out
	}
	exchanger := origingossip.New(group, p.gateway.Origins, origingossip.Peer{Host: sharer.Address.Addr(), Domain: sharer.Domain}, peers, p.log)
	archive := &originstore.Archive{
		Store: store, Origins: p.gateway.Origins, Self: sharer.Address.Addr(), Hosts: sharer.Hosts, IsLeader: director.IsLeader, Log: p.log, Metrics: p.gateway.Metrics,
	}
	p.gateway.FindOrigin = func(ctx context.Context, stream streamorigin.Key) (streamorigin.Origin, streamorigin.Source) {
		if origin, ok := exchanger.Find(ctx, stream); ok {
			return origin, streamorigin.FromPeer
		}
		if origin, ok := archive.Find(ctx, stream); ok {
			return origin, streamorigin.FromStore
		}
		return streamorigin.Origin{}, streamorigin.NotFound
	}
	p.run(exchanger.Run)
	p.run(archive.Run)
}

// hostOf returns the host of a valid address.
func hostOf(address string) string { return netip.MustParseAddrPort(address).Addr().String() }
