package streamorigin

// Verdict says what becomes of a stream that a caller takes up.
type Verdict uint8

// The verdicts.
const (
	// Resume: the stream goes on at its version.
	Resume Verdict = iota + 1
	// Unknown: it is not known which version began the stream. Another process may know it.
	Unknown
	// Gone: no endpoint of its version is left, or the route no longer leads to its service.
	Gone
	// NotListed: this process knows no endpoint of its version to which the route leads, and what it knows may be outdated.
	NotListed
)

// String returns the name used in logs and in names of metrics.
func (v Verdict) String() string {
	return [...]string{"", "goes_on", "origin_unknown", "version_gone", "version_not_listed"}[v]
}

// Source says where the origin of a stream was found. It is used in logs and in names of metrics.
type Source string

// The sources.
const (
	NotFound   Source = ""
	FromMemory Source = "memory"
	FromPeer   Source = "peer"
	FromStore  Source = "store"
)

// Recorded is what the store holds of where streams may have begun.
type Recorded struct {
	// Versions are all at which a stream may have begun that a caller can still take up.
	Versions []Origin
	// StreamTargets is the fingerprint of the routes by which such streams have been led, 0 if they were changed meanwhile.
	StreamTargets uint64
}

// Knowledge is what a process knows of a stream that a caller takes up.
type Knowledge struct {
	// Origin is valid if IsKnown.
	Origin  Origin
	IsKnown bool
	Source  Source
	// Sole is the only version at which the service's streams have begun, valid if HasSole: the store has said so since the
	// request came.
	Sole    string
	HasSole bool
	// Service is where the request would go if it were new.
	Service string
	// IsFresh is set if the store has recently answered for endpoints.
	IsFresh bool
	// IsCurrent reports whether what keeps an origin's stream from going on here, the route or the list of endpoints, is what the
	// store has, as it has said since the request came. It may ask the store.
	IsCurrent func(Origin) bool
	// IsListed reports whether an endpoint of an origin is listed that does not leave.
	IsListed func(Origin) bool
	// IsAllowed reports whether the request's route leads to a service.
	IsAllowed func(service string) bool
}

// Decide returns the origin at which a stream goes on, or why it does not.
func Decide(k Knowledge) (Origin, Verdict) {
	o := k.Origin
	if !k.IsKnown {
		// Without another version, any endpoint's events fit.
		if !k.HasSole || !k.IsFresh {
			return Origin{}, Unknown
		}
		o = Origin{Service: k.Service, Version: k.Sole}
	}
	canGoOn := func() bool { return k.IsAllowed(o.Service) && k.IsListed(o) }
	switch {
	case canGoOn():
		return o, Resume
	case !k.IsFresh || !k.IsCurrent(o):
		return o, NotListed
	case canGoOn():
		// A change was applied before the store was asked for those that are not.
		return o, Resume
	}
	return o, Gone
}
