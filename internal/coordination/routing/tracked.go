package routing

import (
	"time"

	"limpetwall/internal/coordination/pushback"
	"limpetwall/internal/state/fleet"
)

// trackedEndpoint is what this process knows about one endpoint and has sent to it.
type trackedEndpoint struct {
	RuntimeState
	incarnation uint64
	domain      string
	// loadTakenMS is when the newest load was taken, by the agent's clock. clockOffset is
	// the smallest difference so far between this process's clock at a load's arrival and
	// the load's timestamp.
	loadTakenMS int64
	clockOffset time.Duration
	// unreportedSends are the sends since the newest load was taken, oldest first.
	unreportedSends []send
	failures        int
	ejections       int
	// assumedRate is the prefill rate before any was observed, in tokens per second.
	assumedRate float64
	// meanAllRuns and meanOwnRuns are moving averages of the number of runs at the
	// endpoint and of those from this process, for PeerFactor.
	meanAllRuns, meanOwnRuns float64
}

// send is work that this process sent and no load includes yet.
type send struct {
	at     time.Time
	tokens int
}

// maxUnreportedSends bounds unreportedSends; older ones are assumed to be included in the
// load.
const maxUnreportedSends = 256

// observe applies a load if it is newer, by the agent's own timestamp: a report that was in
// transit for seconds must not replace one that came with an answer, nor discard what was
// sent after it was taken. It returns whether the load was newer.
func (t *trackedEndpoint) observe(load fleet.Load, arrived time.Time) bool {
	if load.AtMS <= t.loadTakenMS && t.loadTakenMS != 0 {
		return false
	}
	difference := arrived.Sub(time.UnixMilli(load.AtMS))
	if t.loadTakenMS == 0 || difference < t.clockOffset {
		t.clockOffset = difference
	}
	if t.CountsOnly {
		// What such a report leaves out is observed or counted by this process.
		load.PrefillRate, load.LinkRate = t.Load.PrefillRate, t.Load.LinkRate
		t.observePeerFactor(load)
	}
	t.Load, t.loadTakenMS, t.LoadArrivedAt = load, load.AtMS, arrived
	// The fastest message so far gives the offset between the clocks, and thereby when
	// this load was taken by this process's clock.
	taken := time.UnixMilli(load.AtMS).Add(t.clockOffset)
	for len(t.unreportedSends) > 0 && !t.unreportedSends[0].at.After(taken) {
		t.dropOldestSend()
	}
	return true
}

// observeReport applies an agent's report if it is newer. senders is the number of processes that
// send to the endpoint.
func (t *trackedEndpoint) observeReport(load fleet.Load, senders int, arrived time.Time) {
	if t.observe(load, arrived) {
		t.observeReportedPushback(load, senders, arrived)
	}
}

// observeReportedPushback applies what an endpoint asks for as its agent reports it with the load. The
// agent enforces a limit for all processes together; each that sends uses an equal part, so that the agent
// refuses few requests. senders counts all processes, for agents that do not count those that send.
func (t *trackedEndpoint) observeReportedPushback(load fleet.Load, senders int, now time.Time) {
	perSecond := load.RequestLimit
	if perSecond == 0 && load.RestMS == 0 && !t.Pushback.IsAsking() {
		return
	}
	t.Pushback.Observe(pushback.Signal{RequestsPerSecond: perSecond, RetryAfter: time.Duration(load.RestMS) * time.Millisecond}, now, now)
	if perSecond > 0 {
		if load.LimitSenders > 0 {
			senders = load.LimitSenders
			if t.Pushback.RecentSends(now) == 0 {
				senders++
			}
		}
		t.Pushback.SetShare(pushback.Share{RequestsPerSecond: perSecond / float64(senders), Until: now.Add(reportedShareTime)}, now)
	}
}

// reportedShareTime is how long a share of a reported limit is used while no report comes.
const reportedShareTime = time.Minute

// observePeerFactor updates PeerFactor with the endpoint's and this process's count of runs.
func (t *trackedEndpoint) observePeerFactor(load fleet.Load) {
	const weight = 0.05
	t.meanAllRuns += weight * (float64(load.Running+load.Queued) - t.meanAllRuns)
	t.meanOwnRuns += weight * (float64(t.Running) - t.meanOwnRuns)
	if t.meanOwnRuns > 0 {
		t.PeerFactor = max(1, t.meanAllRuns/t.meanOwnRuns)
	}
}

// dropOldestSend removes the oldest unreported send, as included in the load.
func (t *trackedEndpoint) dropOldestSend() {
	t.SentTokens -= t.unreportedSends[0].tokens
	t.SentRuns--
	t.unreportedSends = t.unreportedSends[1:]
}

// recordSend counts work that is sent to the endpoint.
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
	// Running and Queued are the runs that the endpoint last reported, LoadAge ago. Sent
	// counts the runs that this process sent since then, and Own all its runs there.
	Running, Queued, Sent, Own int
	LoadAge                    time.Duration
	// Slowdown is how many times as long as usual work took there by that report, 0 if it did not say.
	Slowdown float64
	// HeldTokens is the engine memory that this process's runs occupy.
	HeldTokens int
	// PeerRunning and PeerUnread count the runs and the unread prompt tokens that other
	// processes report to have there.
	PeerRunning, PeerUnread int
	// RequestsPerSecond is the limit that the endpoint names, 0 for none, and SentInWindow the
	// number of requests that this process sent it in pushback.Window before.
	RequestsPerSecond float64
	SentInWindow      int
	// LeavingFor is how long ago an answer first said that the endpoint leaves, 0 if none did.
	LeavingFor time.Duration
	// RestLeft is for how much longer the endpoint accepts no requests of this process.
	RestLeft time.Duration
}

func (t *trackedEndpoint) snapshot(now time.Time) LoadSnapshot {
	s := LoadSnapshot{Running: t.Load.Running, Queued: t.Load.Queued, Sent: t.SentRuns, Own: t.Running, HeldTokens: t.HeldTokens, Slowdown: t.Load.Slowdown}
	if t.loadTakenMS != 0 {
		s.LoadAge = now.Sub(time.UnixMilli(t.loadTakenMS).Add(t.clockOffset))
	}
	s.PeerRunning, s.PeerUnread = t.PeerWork.Running, t.PeerWork.UnreadTokens()
	s.RequestsPerSecond, s.SentInWindow = t.Pushback.Limit().RequestsPerSecond, t.Pushback.RecentSends(now)
	s.LeavingFor, s.RestLeft = t.Pushback.LeavingFor(now), t.Pushback.RestLeft(now)
	return s
}
