package routing

import (
	"time"

	"limpetwall/internal/state/fleet"
)

// tracked is what this process knows of one endpoint, and has done to it.
type tracked struct {
	RuntimeState
	incarnation uint64
	domain      string
	// stamp of the newest load, by the agent's clock, and the smallest difference
	// seen between this entry's clock and such stamps.
	stamp  int64
	offset time.Duration
	// sends since the newest load, oldest first.
	sends     []send
	failures  int
	ejections int
	// assumedRate is the prefill rate before any was learned, in tokens per second.
	assumedRate float64
	// allRuns and ownRuns are moving averages of the endpoint's runs and this
	// entry's part of them, for Peers.
	allRuns, ownRuns float64
}

// send is work that this entry sent and no load includes yet.
type send struct {
	at     time.Time
	tokens int
}

// maxSends bounds the sends remembered; older ones are taken for included.
const maxSends = 256

// observe takes in a load if it is newer, by the agent's own stamp: a report
// that was underway for seconds must not replace one that came with an answer,
// nor wipe out what was sent since it was taken.
func (t *tracked) observe(load fleet.Load, arrived time.Time) {
	if load.AtMS <= t.stamp && t.stamp != 0 {
		return
	}
	difference := arrived.Sub(time.UnixMilli(load.AtMS))
	if t.stamp == 0 || difference < t.offset {
		t.offset = difference
	}
	if t.CountsOnly {
		// What such a report leaves out is learned or counted here.
		load.PrefillRate, load.LinkRate = t.Load.PrefillRate, t.Load.LinkRate
		t.learnPeers(load)
	}
	t.Load, t.stamp, t.LoadArrivedAt = load, load.AtMS, arrived
	// The fastest message so far tells how the clocks differ, and with that when
	// this load was taken by this entry's clock.
	taken := time.UnixMilli(load.AtMS).Add(t.offset)
	for len(t.sends) > 0 && !t.sends[0].at.After(taken) {
		t.dropOldestSend()
	}
}

// learnPeers compares the endpoint's count of runs with this entry's own.
func (t *tracked) learnPeers(load fleet.Load) {
	const weight = 0.05
	t.allRuns += weight * (float64(load.Running+load.Queued) - t.allRuns)
	t.ownRuns += weight * (float64(t.Running) - t.ownRuns)
	if t.ownRuns > 0 {
		t.PeerFactor = max(1, t.allRuns/t.ownRuns)
	}
}

// dropOldestSend takes the oldest send for included in the load.
func (t *tracked) dropOldestSend() {
	t.SentTokens -= t.sends[0].tokens
	t.SentRuns--
	t.sends = t.sends[1:]
}

// sent counts work on its way to the endpoint.
func (t *tracked) sent(tokens int, now time.Time) {
	if len(t.sends) == maxSends {
		t.dropOldestSend()
	}
	t.sends = append(t.sends, send{now, tokens})
	t.SentTokens += tokens
	t.SentRuns++
}

// LoadSnapshot is an endpoint's state as a decision saw it.
type LoadSnapshot struct {
	// Running and Queued as the endpoint last said, LoadAge ago; Sent since then and
	// Own running from this entry.
	Running, Queued, Sent, Own int
	LoadAge                    time.Duration
	// HeldTokens of the engine's memory by this entry's runs.
	HeldTokens int
	// PeerRunning runs and PeerUnread prompt tokens from other processes, as they say.
	PeerRunning, PeerUnread int
}

func (t *tracked) belief(now time.Time) LoadSnapshot {
	b := LoadSnapshot{Running: t.Load.Running, Queued: t.Load.Queued, Sent: t.SentRuns, Own: t.Running, HeldTokens: t.HeldTokens}
	if t.stamp != 0 {
		b.LoadAge = now.Sub(time.UnixMilli(t.stamp).Add(t.offset))
	}
	b.PeerRunning, b.PeerUnread = t.PeerWork.Running, t.PeerWork.UnreadTokens()
	return b
}
