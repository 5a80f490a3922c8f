package routing

import "time"

// Work is what one process's requests underway take of one endpoint.
type Work struct {
	// Endpoint is its WorkID.
	Endpoint uint32
	Running  int
	// HeldTokens of an engine's memory.
	HeldTokens int
	// Unread prompt tokens, by urgency.
	Unread [UrgencyLevels]int
}

// UnreadTokens of all urgencies.
func (w Work) UnreadTokens() int { return sum(w.Unread[:]) }

// WorkID names an endpoint's incarnation in reports of work: half of a hash is enough to
// tell a thousand apart, and reports are many. What processes had underway at an earlier
// start is no work of the present one.
func WorkID(id string, incarnation uint64) uint32 {
	return uint32((HashID(id) ^ splitMix64(incarnation)) >> 32)
}

// PeerReport is all that another process has underway.
type PeerReport struct {
	// Sender names the process's life; a report replaces the sender's last one.
	Sender uint64
	// Number grows with each report of a sender: datagrams overtake each other.
	Number uint64
	Domain string
	Work   []Work
	// Leaving tells that the sender stops.
	Leaving bool
}

// peer is what was last heard of one other process.
type peer struct {
	PeerReport
	receivedAt time.Time
}

// peerReportTTL is when the last report of a silent peer no longer counts. Its
// requests end within a second or two, or the process is gone. Of ten peers each is
// heard every 0.6 s, of fifty every 3 s.
const peerReportTTL = 3 * time.Second

// OwnWork lists what this process has underway, for its peers.
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

// ApplyPeerReport takes in what another process has underway.
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

// ExpirePeers drops the reports of peers that have fallen silent.
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

// addPeerWork adds a report's work to the endpoints', or with sign -1 takes it out.
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

// peerWorkOf is the sum of what peers have underway at an endpoint. A report may name
// one that this process has not discovered yet.
func (d *Directory) peerWorkOf(endpoint uint32) *Work {
	sum := d.peerWork[endpoint]
	if sum == nil {
		sum = &Work{Endpoint: endpoint}
		d.peerWork[endpoint] = sum
	}
	return sum
}
