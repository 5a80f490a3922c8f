package discovery

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"
)

// naming is what this process knows of when a version became the target of its model.
type naming struct {
	version int64
	// replaces is the lowest version that this one has replaced itself: those below were replaced
	// before, by versions that this process may not know. It is the version itself if that is not known.
	replaces int64
	// at is not before the naming. With isExact it is the naming, but for the delay of a message.
	at      time.Time
	isExact bool
	// notBefore is not after the naming, zero if no such time is known.
	notBefore time.Time
	// absentAt is when the last answered call began whose answer did not name the version yet, zero
	// if there was none.
	absentAt time.Time
	// confirmedAt is when this process, or another whose word counts, learned that the store names the
	// version in the era confirmedEra.
	confirmedAt  time.Time
	confirmedEra uint64
}

// namings are the known namings of a model's versions, lowest version first.
type namings []naming

// maxNamings bounds the number of versions remembered for a model.
const maxNamings = 16

// maxVersionAge is the highest age that processes report: beyond it, all ages mean the same.
const maxVersionAge = 24 * time.Hour

// with returns the namings with one more.
func (l namings) with(n naming) namings {
	i, _ := slices.BinarySearchFunc(l, n, compareVersions)
	out := slices.Insert(slices.Clone(l), i, n)
	return out[max(0, len(out)-maxNamings):]
}

func compareVersions(a, b naming) int { return cmp.Compare(a.version, b.version) }

// after returns the first known naming of a version above the given one.
func (l namings) after(version int64) (next naming, ok bool) {
	for _, n := range l {
		if n.version > version {
			return n, true
		}
	}
	return naming{}, false
}

// replacedAt returns when a version was replaced. If that is not known for certain it returns a time before,
// zero if there is none: a process that does not know how old weights are must not use them as if they
// were recent.
func (l namings) replacedAt(version int64) (at time.Time, isReplaced bool) {
	next, ok := l.after(version)
	switch {
	case !ok:
		return time.Time{}, false
	case next.replaces > version:
		return time.Time{}, true
	case next.isExact:
		return next.at, true
	}
	return next.notBefore, true
}

// confirm records that the store names a version, and so has replaced all versions below it.
func (l namings) confirm(version int64, era uint64, now time.Time) {
	for i := range l {
		if n := &l[i]; n.version <= version && n.confirmedEra < era {
			n.confirmedEra, n.confirmedAt = era, now
		}
	}
}

// VersionAge is how long ago a version of a model became the target.
type VersionAge struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// AgeMS is the age, or if it is not exact a lower bound of it.
	AgeMS   int64 `json:"age_ms"`
	IsExact bool  `json:"exact,omitempty"`
	// Replaces is the lowest version that this one has replaced itself.
	Replaces int64 `json:"replaces,omitempty"`
}

// VersionAges returns the ages of the target versions, and of those that replaced what some endpoint
// still has.
func (s *State) VersionAges() []VersionAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionAges(s.neededVersions(true))
}

// PendingVersionAges returns the ages of those versions that replaced what some endpoint still has.
func (s *State) PendingVersionAges() []VersionAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionAges(s.neededVersions(false))
}

// modelVersion is a version of a model.
type modelVersion struct {
	model   string
	version int64
}

// neededVersions returns the versions by whose age endpoints are judged; s.mu is held.
func (s *State) neededVersions(withTargets bool) map[modelVersion]bool {
	needed := map[modelVersion]bool{}
	for _, k := range s.instances {
		if next, ok := s.targets[k.Model].namings.after(k.Weights); ok {
			needed[modelVersion{k.Model, next.version}] = true
		}
	}
	if withTargets {
		for model, target := range s.targets {
			needed[modelVersion{model, target.Version}] = true
		}
	}
	return needed
}

// versionAges returns the ages of some versions, ordered; s.mu is held.
func (s *State) versionAges(of map[modelVersion]bool) []VersionAge {
	var out []VersionAge
	now := s.Now()
	for model, target := range s.targets {
		for _, n := range target.namings {
			if of[modelVersion{model, n.version}] {
				out = append(out, VersionAge{
					Model: model, Version: n.version, AgeMS: min(now.Sub(n.at), maxVersionAge).Milliseconds(), IsExact: n.isExact, Replaces: n.replaces,
				})
			}
		}
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].Model < out[b].Model || (out[a].Model == out[b].Model && out[a].Version < out[b].Version)
	})
	return out
}

// MergeVersionAges adopts what another process has just reported where it knows more. A process that
// started after a version became the target would otherwise not know for how long the replaced weights
// may still be used.
func (s *State) MergeVersionAges(ages []VersionAge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, a := range ages {
		s.mergeVersionAge(a, now, time.Time{}, a.IsExact)
	}
}

// MergeOldVersionAges is MergeVersionAges for a report that is not known to be recent, such as the note of a
// lease whose holder may have ended. It was written after writtenAfter, which is zero if no such time is known.
func (s *State) MergeOldVersionAges(ages []VersionAge, writtenAfter time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, a := range ages {
		s.mergeVersionAge(a, now, writtenAfter, false)
	}
}

// mergeVersionAge adopts one reported age; s.mu is held. Versions above the target are left out: the store
// may have forgotten them.
func (s *State) mergeVersionAge(a VersionAge, now, writtenAfter time.Time, isExact bool) {
	target, ok := s.targets[a.Model]
	if !ok || a.Version > target.Version || a.Version <= 0 || a.AgeMS < 0 || a.AgeMS > maxVersionAge.Milliseconds() {
		return
	}
	age := time.Duration(a.AgeMS) * time.Millisecond
	i, known := slices.BinarySearchFunc(target.namings, naming{version: a.Version}, compareVersions)
	if !known {
		next := target.namings[i]
		target.namings = target.namings.with(naming{
			version: a.Version, replaces: a.Version, at: next.at, notBefore: time.Time{}, absentAt: next.absentAt,
			confirmedAt: next.confirmedAt, confirmedEra: next.confirmedEra,
		})
		s.targets[a.Model] = target
		if i, known = slices.BinarySearchFunc(target.namings, naming{version: a.Version}, compareVersions); !known {
			return
		}
	}
	n := &target.namings[i]
	before := *n
	n.learn(a, now.Add(-age), isExact)
	if a.IsExact && !writtenAfter.IsZero() {
		if bound := writtenAfter.Add(-age); bound.After(n.notBefore) {
			n.notBefore = bound
		}
	}
	if !known || before.at != n.at || before.isExact != n.isExact || before.replaces != n.replaces || before.notBefore != n.notBefore {
		s.notifyNamingsChanged()
	}
	if before.isExact != n.isExact || before.at.Sub(n.at) > ageTolerance {
		s.Log.Info("age of a version learned from another process", zap.String("model", a.Model), zap.Int64("version", a.Version),
			zap.Duration("age", now.Sub(n.at)), zap.Bool("exact", n.isExact), zap.Duration("known_age", now.Sub(before.at)), zap.Bool("known_exact", before.isExact))
	}
}

// learn adopts a reported age, which begins at a time that is not before the naming.
func (n *naming) learn(a VersionAge, at time.Time, isExact bool) {
	if a.IsExact && a.Replaces < a.Version && (n.replaces == n.version || a.Replaces > n.replaces) {
		n.replaces = a.Replaces
	}
	if at.Before(n.at) {
		n.at = at
		// In a later era, the version may have been forgotten and named again since then.
		if n.confirmedEra == 0 && at.Before(n.confirmedAt) {
			n.confirmedAt = at
		}
	}
	n.isExact = n.isExact || isExact
}

// ageTolerance is how much two processes' ages of a version may differ by the delay of messages.
const ageTolerance = 100 * time.Millisecond

// KnowsMoreThan reports whether this process can tell one that reports these ages something new about
// weights that some endpoint still has.
func (s *State) KnowsMoreThan(ages []VersionAge) bool {
	reported := map[modelVersion]VersionAge{}
	for _, a := range ages {
		reported[modelVersion{a.Model, a.Version}] = a
	}
	for _, own := range s.PendingVersionAges() {
		other, ok := reported[modelVersion{own.Model, own.Version}]
		if own.IsExact && (!ok || !other.IsExact || own.AgeMS-other.AgeMS > ageTolerance.Milliseconds()) {
			return true
		}
	}
	return false
}

// LacksVersionAges reports whether this process does not know since when weights of some endpoint are replaced.
func (s *State) LacksVersionAges() bool { return s.EndpointsOfUnknownAge() > 0 }

// EndpointsOfUnknownAge counts the endpoints of which this process does not know since when their weights are replaced.
func (s *State) EndpointsOfUnknownAge() (count int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.instances {
		next, ok := s.targets[k.Model].namings.after(k.Weights)
		if ok && (!next.isExact || next.replaces > k.Weights) {
			count++
		}
	}
	return count
}

// OutdatedEndpoints counts the endpoints that get no work because of their weights.
func (s *State) OutdatedEndpoints() (count int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.instances {
		if k.outdated || k.lacksModel {
			count++
		}
	}
	return count
}

// ReplacedFor returns how long ago a version of a model was replaced and by which version, 0 if by none. The age is
// 0 if it is not known.
func (s *State) ReplacedFor(model string, version int64) (age time.Duration, by int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replacedFor(model, version)
}

// replacedFor is ReplacedFor with s.mu held.
func (s *State) replacedFor(model string, version int64) (age time.Duration, by int64) {
	known := s.targets[model].namings
	next, _ := known.after(version)
	if at, _ := known.replacedAt(version); !at.IsZero() {
		age = s.Now().Sub(at)
	}
	return age, next.version
}

// NamingsChanged returns a channel that is closed when this process learns when a version was named.
func (s *State) NamingsChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.namingsChanged
}

// notifyNamingsChanged wakes those who wait on NamingsChanged; s.mu is held.
func (s *State) notifyNamingsChanged() {
	close(s.namingsChanged)
	s.namingsChanged = make(chan struct{})
}
