package answerend

import "time"

// Listener is what became of a new connection to the endpoint's address, opened after the answer's end.
type Listener uint8

const (
	// ListenerUnknown: the host did not answer in time.
	ListenerUnknown Listener = iota
	// ListenerAccepted: some process at the address has ended the connection in order, or leaves it open.
	ListenerAccepted
	// ListenerRefused: the connection was refused or reset, as no process accepts it.
	ListenerRefused
)

// String returns the name used in logs.
func (l Listener) String() string { return [...]string{"unknown", "accepted", "refused"}[l] }

// Witness is the state of another connection to the process that the answer came from, which was open during the answer.
type Witness uint8

const (
	// WitnessNone: there was no such connection.
	WitnessNone Witness = iota
	// WitnessOpen: the connection is open after the answer's end, so the process is alive.
	WitnessOpen
	// WitnessEnded: the connection has ended too.
	WitnessEnded
)

// String returns the name used in logs.
func (w Witness) String() string { return [...]string{"none", "open", "ended"}[w] }

// minReplacement is the least time in which a process ends and another one listens at its address.
const minReplacement = 200 * time.Millisecond

// Evidence is what is known of the process that an answer came from, after the answer's end.
type Evidence struct {
	Listener Listener
	Witness  Witness
	// LastByteAge is the time from the arrival of the answer's last byte at this host to the opening of that connection.
	LastByteAge time.Duration
}

// IsWhole reports whether the process was alive after the end of its answer. Without evidence of that the answer counts as
// cut: a process that exits as soon as it has answered looks like one that has crashed.
func (e Evidence) IsWhole() bool {
	switch {
	case e.Listener == ListenerRefused, e.Witness == WitnessEnded:
		return false
	case e.Witness == WitnessOpen:
		return true
	}
	// Whoever listens may be a successor, unless there was no time for one to start.
	return e.Listener == ListenerAccepted && e.LastByteAge < minReplacement
}

// String returns the evidence as written to logs.
func (e Evidence) String() string {
	return "listener " + e.Listener.String() + ", witness " + e.Witness.String() + ", last byte " + e.LastByteAge.Round(time.Millisecond).String() + " ago"
}
