package pushbackgossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/limitshare"
	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
)

const (
	// newsInterval is the time between repetitions, and between requests at the start.
	newsInterval = 100 * time.Millisecond
	// repetitions is how often a change is sent after its first time, each time to fanout others.
	repetitions = 3
	fanout      = 8
	// maxBroadcastHosts is the number of other processes up to which all of them get repetitions.
	maxBroadcastHosts = 12
	// listedSuccessors is the number of other processes to which a process sends, twice, that an
	// endpoint's entry says that it leaves. All read the store, so this is for those that get no events
	// from it. With a tenth of all datagrams lost, such a process gets none of the eight with a
	// probability of 10^-8.
	listedSuccessors = 4
	// startRequests is how often a process that has started asks requestHosts others for what they
	// know, and startTime how long it waits for others to ask.
	startRequests = 3
	requestHosts  = 3
	startTime     = 10 * time.Second
	// maxEntries bounds the entries of each kind in one message, so that it fits in a datagram.
	maxEntries = 30
)

// Exchanger exchanges reports with other processes. Its fields are set before Run.
type Exchanger struct {
	Group *datagram.Socket
	// Hosts lists the other processes, of all failure domains.
	Hosts    func() []netip.Addr
	Registry *pushback.Registry
	// Divider divides the limits.
	Divider *limitshare.Divider
	Log     *zap.Logger

	// repeated are the changes that are still to be repeated, with how often; listed are the endpoints
	// that leave by their entries and are still to be repeated once.
	repeated []repeatedNews
	listed   []pushback.Key
}

var _ limitshare.Messenger = (*Exchanger)(nil)

type repeatedNews struct {
	news    []pushback.News
	leaving []pushback.Key
	left    int
}

// Run exchanges reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.channel().Receive(ctx, e.receive)
	}()
	requests, startedAt := 0, time.Now()
	var repeat <-chan time.Time
	for {
		isStarting := requests < startRequests && time.Since(startedAt) < startTime
		if repeat == nil && (isStarting || len(e.repeated)+len(e.listed) > 0) {
			// Most of the time there is nothing to repeat, and the process is left asleep.
			repeat = time.After(newsInterval)
		}
		select {
		case <-repeat:
			repeat = nil
			if isStarting && e.askPeers() {
				requests++
			}
			e.repeat()
		case <-e.Registry.News():
			e.broadcastNews()
		case <-ctx.Done():
			<-received
			return
		}
	}
}

// askPeers asks a few others for what they know. It returns whether there were any.
func (e *Exchanger) askPeers() bool {
	hosts := datagram.Sample(e.Hosts(), requestHosts)
	if len(hosts) > 0 {
		e.send(&wire.PushbackReport{Asks: true}, hosts)
	}
	return len(hosts) > 0
}

// broadcastNews sends what answers have changed to all others.
func (e *Exchanger) broadcastNews() {
	listed := e.Registry.PopListed()
	e.sendListed(listed)
	e.listed = append(e.listed, listed...)
	news, leaving := e.Registry.PopNews(), e.Registry.PopLeaving()
	if len(news)+len(leaving) == 0 {
		return
	}
	e.sendNews(news, leaving, e.Hosts())
	e.repeated = append(e.repeated, repeatedNews{news, leaving, repetitions})
}

// sendListed sends which endpoints leave by their entries to the processes that follow this one in the
// order of addresses.
func (e *Exchanger) sendListed(leaving []pushback.Key) {
	if len(leaving) == 0 {
		return
	}
	hosts := successors(e.Divider.Self, e.Hosts(), listedSuccessors)
	for part := range slices.Chunk(leaving, maxEntries) {
		e.send(&wire.PushbackReport{Leaving: keysToWire(part)}, hosts)
	}
}

// successors returns the n hosts that follow self in the order of addresses, the first after the last.
func successors(self netip.Addr, hosts []netip.Addr, n int) []netip.Addr {
	sorted := slices.SortedFunc(slices.Values(hosts), netip.Addr.Compare)
	start, _ := slices.BinarySearchFunc(sorted, self, netip.Addr.Compare)
	out := make([]netip.Addr, 0, n)
	for i := range min(n, len(sorted)) {
		out = append(out, sorted[(start+i)%len(sorted)])
	}
	return out
}

// repeat sends recent changes once more.
func (e *Exchanger) repeat() {
	e.sendListed(e.listed)
	e.listed = nil
	kept := e.repeated[:0]
	for _, r := range e.repeated {
		hosts := e.Hosts()
		if len(hosts) > maxBroadcastHosts {
			hosts = datagram.Sample(hosts, fanout)
		}
		e.sendNews(r.news, r.leaving, hosts)
		if r.left--; r.left > 0 {
			kept = append(kept, r)
		}
	}
	e.repeated = kept
}

func (e *Exchanger) sendNews(news []pushback.News, leaving []pushback.Key, hosts []netip.Addr) {
	e.send(&wire.PushbackReport{Limits: newsToWire(news, time.Now()), Leaving: keysToWire(leaving)}, hosts)
}

// Lend implements limitshare.Messenger.
func (e *Exchanger) Lend(to netip.Addr, loans []limitshare.Loan) {
	r := &wire.PushbackReport{}
	for _, l := range loans[:min(len(loans), maxEntries)] {
		r.Loans = append(r.Loans, &wire.LimitLoan{Endpoint: uint64(l.Endpoint), PerSecond: float32(l.RequestsPerSecond), ValidMs: uint32(l.ValidFor.Milliseconds())})
	}
	e.send(r, []netip.Addr{to})
}

// Announce implements limitshare.Messenger. It also confirms the endpoints' limits.
func (e *Exchanger) Announce(endpoints []pushback.Key, hosts []netip.Addr) {
	r := &wire.PushbackReport{Limits: newsToWire(e.Registry.NewsOf(endpoints), time.Now())}
	r.Used = keysToWire(endpoints)
	e.send(r, hosts)
}

// ReportUse implements limitshare.Messenger.
func (e *Exchanger) ReportUse(to netip.Addr, needed, confirmed []pushback.Key) {
	news := e.Registry.NewsOf(append(slices.Clone(needed), confirmed...))
	e.send(&wire.PushbackReport{Needed: keysToWire(needed), Limits: newsToWire(news, time.Now())}, []netip.Addr{to})
}

// ReportSent implements limitshare.Messenger.
func (e *Exchanger) ReportSent(to netip.Addr, endpoint pushback.Key, requests int) {
	e.send(&wire.PushbackReport{Sent: []*wire.SentUnaware{{Endpoint: uint64(endpoint), Requests: uint32(requests)}}}, []netip.Addr{to})
}

func (e *Exchanger) send(r *wire.PushbackReport, hosts []netip.Addr) {
	r.Limits, r.Used, r.Leaving, r.Needed = truncate(r.Limits), truncate(r.Used), truncate(r.Leaving), truncate(r.Needed)
	e.channel().Send(r, hosts)
}

func (e *Exchanger) channel() *datagram.Channel[wire.PushbackReport, *wire.PushbackReport] {
	return &datagram.Channel[wire.PushbackReport, *wire.PushbackReport]{Socket: e.Group, Kind: "pushback report", Log: e.Log}
}

// truncate returns a random part of a list that is too long for a message.
func truncate[T any](list []T) []T {
	if len(list) <= maxEntries {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:maxEntries]
}

func (e *Exchanger) receive(r *wire.PushbackReport, host netip.Addr) {
	now := time.Now()
	for _, l := range r.GetLimits() {
		e.Registry.Merge(newsFromWire(l, now), host.String(), now)
	}
	for _, key := range keysFromWire(r.GetLeaving()) {
		e.Registry.MergeLeaving(key, host.String(), now)
	}
	if used := keysFromWire(r.GetUsed()); len(used) > 0 {
		e.Divider.RecordHolder(host, used, now)
	}
	if needed := keysFromWire(r.GetNeeded()); len(needed) > 0 {
		e.Divider.RecordAsk(host, needed, now)
	}
	e.Divider.Borrow(loansFromWire(r.GetLoans()), now)
	for _, s := range r.GetSent() {
		e.Divider.RecordSent(pushback.Key(s.GetEndpoint()), int(s.GetRequests()), now)
	}
	if r.GetAsks() {
		if news, leaving := e.Registry.AllNews(), e.Registry.AllLeaving(); len(news)+len(leaving) > 0 {
			e.sendNews(news, leaving, []netip.Addr{host})
		}
	}
}

func newsToWire(news []pushback.News, now time.Time) []*wire.EndpointLimit {
	out := make([]*wire.EndpointLimit, 0, len(news))
	for _, n := range news {
		out = append(out, &wire.EndpointLimit{Endpoint: uint64(n.Endpoint), PerSecond: float32(n.RequestsPerSecond), AgeMs: uint32(max(0, now.Sub(n.AsOf)).Milliseconds())})
	}
	return out
}

func newsFromWire(l *wire.EndpointLimit, now time.Time) pushback.News {
	rate := float64(l.GetPerSecond())
	if !(rate > 0 && rate < pushback.MaxRate) {
		rate = 0
	}
	return pushback.News{Endpoint: pushback.Key(l.GetEndpoint()), RequestsPerSecond: rate, AsOf: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)}
}

func keysToWire(keys []pushback.Key) []uint64 {
	out := make([]uint64, 0, len(keys))
	for _, k := range keys {
		out = append(out, uint64(k))
	}
	return out
}

func keysFromWire(keys []uint64) []pushback.Key {
	out := make([]pushback.Key, 0, len(keys))
	for _, k := range keys {
		out = append(out, pushback.Key(k))
	}
	return out
}

func loansFromWire(loans []*wire.LimitLoan) []limitshare.Loan {
	out := make([]limitshare.Loan, 0, len(loans))
	for _, l := range loans {
		rate := float64(l.GetPerSecond())
		if rate >= 0 && rate < pushback.MaxRate {
			out = append(out, limitshare.Loan{Endpoint: pushback.Key(l.GetEndpoint()), RequestsPerSecond: rate, ValidFor: time.Duration(l.GetValidMs()) * time.Millisecond})
		}
	}
	return out
}
