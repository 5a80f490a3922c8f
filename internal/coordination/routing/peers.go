package routing

import (
	"net/netip"
	"time"
)

// Work is what one process has in flight at one endpoint.
type Work struct {
	// Endpoint is the endpoint's WorkID.
	Endpoint uint32
	Running  int
	// HeldTokens is the engine memory that the runs occupy.
	HeldTokens int
	// Unread is the prompt tokens of runs that have not begun to answer, by urgency.
	Unread [UrgencyLevels]int
}

// UnreadTokens returns the sum of Unread over all urgencies.
func (w Work) UnreadTokens() int { return sum(w.Unread[:]) }

// WorkID identifies an endpoint's incarnation in peer reports. Half of a 64-bit hash is enough
// to distinguish a thousand endpoints, and keeps the frequent reports small. It covers the
// incarnation because requests sent to an earlier one are no work of the current one.
func WorkID(id string, incarnation uint64) uint32 {
	return uint32((HashID(id) ^ splitMix64(incarnation)) >> 32)
}

// PeerReport is all that another process has in flight.
type PeerReport struct {
	// Sender is the process's incarnation; a report replaces the sender's last one.
	Sender uint64
	// Number grows with each report of a sender: datagrams may arrive out of order.
	Number uint64
	Domain string
	Work   []Work
	// Leaving is set if the sender is stopping.
	Leaving bool
	// LivePeers are some of the processes whose reports the sender receives; not in every report.
	LivePeers []PeerAddress
}

// PeerAddress is the address at which another process receives reports.
type PeerAddress struct {
	Address netip.AddrPort
	Domain  string
}

// peer is the last report of one other process.
type peer struct {
	PeerReport
	receivedAt time.Time
}

// peerReportTTL is how long the last report of a silent peer counts. Its requests end
// within a second or two, or the process is gone. Of ten peers each is received every
// 0.6 s, of fifty every 3 s.
const peerReportTTL = 3 * time.Second

// OwnWork lists what this process has in flight, for its peers.
func (d *Directory) OwnWork() []Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Work
	for id, t := range d.tracked {
		if t.Running > 0 {
			out = append(out, Work{Endpoint: WorkID(id, t.incarnation), Running: t.Running, HeldTokens: t.HeldTokens, Unread: t.Unread})
		}
	}
	return out
}

// ApplyPeerReport applies the report of another process, unless it is older than the last
// one from that process.
func (d *Directory) ApplyPeerReport(r PeerReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.peers[r.Sender]
	if ok && r.Number <= last.Number {
		return
	}
	d.addPeerWork(last.PeerReport, -1)
	if r.Leaving {
		delete(d.peers, r.Sender)
		return
	}
	d.addPeerWork(r, 1)
	d.peers[r.Sender] = peer{r, now}
}

// ExpirePeers drops the reports of peers that have been silent for longer than
// peerReportTTL.
func (d *Directory) ExpirePeers(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for sender, p := range d.peers {
		if now.Sub(p.receivedAt) > peerReportTTL {
			d.addPeerWork(p.PeerReport, -1)
			delete(d.peers, sender)
		}
	}
}

// addPeerWork adds a report's work to the sums of its endpoints, or subtracts it if sign
// is -1.
func (d *Directory) addPeerWork(r PeerReport, sign int) {
	if r.Domain == "" {
		return
	}
	d.reportingPeers[r.Domain] += sign
	for _, t := range d.tracked {
		t.HasPeerReports = d.reportingPeers[t.domain] > 0
	}
	for _, w := range r.Work {
		sum := d.peerWorkOf(w.Endpoint)
		sum.Running += sign * w.Running
		sum.HeldTokens += sign * w.HeldTokens
		for u, tokens := range w.Unread {
			sum.Unread[u] += sign * tokens
		}
	}
}

// peerWorkOf returns the sum of what peers have in flight at an endpoint. It creates the sum
// if needed: a report may name an endpoint that this process has not discovered yet.
func (d *Directory) peerWorkOf(endpoint uint32) *Work {
	sum := d.peerWork[endpoint]
	if sum == nil {
		sum = &Work{Endpoint: endpoint}
		d.peerWork[endpoint] = sum
	}
	return sum
}
