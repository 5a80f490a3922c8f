package routing

import (
	"time"

	"limpetwall/internal/state/fleet"
)

// trackedEndpoint is what this process knows of one endpoint, and has done to it.
type trackedEndpoint struct {
	RuntimeState
	incarnation uint64
	domain      string
	// loadTakenMS of the newest load, by the agent's clock, and the smallest difference
	// seen between this entry's clock and such stamps.
	loadTakenMS int64
	clockOffset time.Duration
	// unreportedSends since the newest load, oldest first.
	unreportedSends []send
	failures        int
	ejections       int
	// assumedRate is the prefill rate before any was learned, in tokens per second.
	assumedRate float64
	// meanAllRuns and meanOwnRuns are moving averages of the endpoint's runs and this
	// entry's part of them, for Peers.
	meanAllRuns, meanOwnRuns float64
}

// send is work that this entry sent and no load includes yet.
type send struct {
	at     time.Time
	tokens int
}

// maxUnreportedSends bounds the sends remembered; older ones are taken for included.
const maxUnreportedSends = 256

// observe takes in a load if it is newer, by the agent's own stamp: a report
// that was underway for seconds must not replace one that came with an answer,
// nor wipe out what was sent since it was taken.
func (t *trackedEndpoint) observe(load fleet.Load, arrived time.Time) {
	if load.AtMS <= t.loadTakenMS && t.loadTakenMS != 0 {
		return
	}
	difference := arrived.Sub(time.UnixMilli(load.AtMS))
	if t.loadTakenMS == 0 || difference < t.clockOffset {
		t.clockOffset = difference
	}
	if t.CountsOnly {
		// What such a report leaves out is learned or counted here.
		load.PrefillRate, load.LinkRate = t.Load.PrefillRate, t.Load.LinkRate
		t.observePeerFactor(load)
	}
	t.Load, t.loadTakenMS, t.LoadArrivedAt = load, load.AtMS, arrived
	// The fastest message so far tells how the clocks differ, and with that when
	// this load was taken by this entry's clock.
	taken := time.UnixMilli(load.AtMS).Add(t.clockOffset)
	for len(t.unreportedSends) > 0 && !t.unreportedSends[0].at.After(taken) {
		t.dropOldestSend()
	}
}

// observePeerFactor compares the endpoint's count of runs with this entry's own.
func (t *trackedEndpoint) observePeerFactor(load fleet.Load) {
	const weight = 0.05
	t.meanAllRuns += weight * (float64(load.Running+load.Queued) - t.meanAllRuns)
	t.meanOwnRuns += weight * (float64(t.Running) - t.meanOwnRuns)
	if t.meanOwnRuns > 0 {
		t.PeerFactor = max(1, t.meanAllRuns/t.meanOwnRuns)
	}
}

// dropOldestSend takes the oldest send for included in the load.
func (t *trackedEndpoint) dropOldestSend() {
	t.SentTokens -= t.unreportedSends[0].tokens
	t.SentRuns--
	t.unreportedSends = t.unreportedSends[1:]
}

// recordSend counts work on its way to the endpoint.
func (t *trackedEndpoint) recordSend(tokens int, now time.Time) {
	if len(t.unreportedSends) == maxUnreportedSends {
		t.dropOldestSend()
	}
	t.unreportedSends = append(t.unreportedSends, send{now, tokens})
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

func (t *trackedEndpoint) snapshot(now time.Time) LoadSnapshot {
	b := LoadSnapshot{Running: t.Load.Running, Queued: t.Load.Queued, Sent: t.SentRuns, Own: t.Running, HeldTokens: t.HeldTokens}
	if t.loadTakenMS != 0 {
		b.LoadAge = now.Sub(time.UnixMilli(t.loadTakenMS).Add(t.clockOffset))
	}
	b.PeerRunning, b.PeerUnread = t.PeerWork.Running, t.PeerWork.UnreadTokens()
	return b
}
