package discovery

import (
	"sort"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/transport/objectapi"
)

// TargetWeights is the version of a model that operators asked for.
type TargetWeights struct {
	Model    string
	Version  int64
	Revision objectapi.Revision
	// learned holds, oldest first, when this process learned of each version that some
	// endpoint may still lack.
	learned []learnedVersion
}

type learnedVersion struct {
	version int64
	// at is when the version became the target, as far as this process or another knows.
	at time.Time
	// absentAt is when the last answered call began whose answer did not name the version yet, zero
	// if there was none.
	absentAt time.Time
	// confirmedAt is when this process, or another whose word counts, learned that the store names the
	// version in the era confirmedEra.
	confirmedAt  time.Time
	confirmedEra uint64
}

// maxLearnedVersions bounds the number of versions remembered for a model.
const maxLearnedVersions = 16

// SetTarget records the version of a model that operators asked for. A version that is not
// higher than the current target is ignored.
func (s *State) SetTarget(t TargetWeights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, era := s.Now(), t.Revision.Era()
	s.targets[t.Model].confirm(t.Version, era, now)
	if t.Version <= s.targets[t.Model].Version {
		return
	}
	t.learned = append(s.targets[t.Model].learned, learnedVersion{
		version: t.Version, at: now, absentAt: s.weightsAnswer.asOf, confirmedAt: now, confirmedEra: era,
	})
	t.learned = t.learned[max(0, len(t.learned)-maxLearnedVersions):]
	replaces := s.targets[t.Model].Version
	s.targets[t.Model] = t
	s.notifyTargetChanged()
	s.Log.Info("weights named", zap.String("model", t.Model), zap.Int64("version", t.Version), zap.Int64("replaces", replaces), revisionField("revision", t.Revision))
}

// notifyTargetChanged wakes those who wait on TargetChanged because there may be something
// to order. s.mu is held.
func (s *State) notifyTargetChanged() {
	close(s.targetChanged)
	s.targetChanged = make(chan struct{})
}

// TargetChanged returns a channel that is closed when a target changes, or when an endpoint
// without the target weights is listed.
func (s *State) TargetChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetChanged
}

// Targets returns the target weights of all models, ordered by model.
func (s *State) Targets() []TargetWeights {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]TargetWeights, 0, len(s.targets))
	for _, target := range s.targets {
		out = append(out, target)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Model < out[b].Model })
	return out
}

// EndpointsBehind counts the endpoints that do not have the target weights of a model. since
// is when the first version that the endpoint furthest behind lacks became the target.
func (s *State) EndpointsBehind(model string) (endpoints int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.targets[model]
	oldest := target.Version
	for _, k := range s.instances {
		if k.Model == model && !k.Leaving && k.Weights < target.Version {
			endpoints++
			oldest = min(oldest, k.Weights)
		}
	}
	return endpoints, target.learnedAfter(oldest)
}

// learnedAfter is when this process learned of the first version above the given one, the
// zero time if there is none.
func (t TargetWeights) learnedAfter(version int64) time.Time {
	return t.successor(version).at
}

// successor returns the first version above the given one, the zero value if there is none.
func (t TargetWeights) successor(version int64) learnedVersion {
	for _, v := range t.learned {
		if v.version > version {
			return v
		}
	}
	return learnedVersion{}
}

// ReplacedFor returns how long ago a version of a model was replaced as far as this process knows, and
// by which version, 0 if by none.
func (s *State) ReplacedFor(model string, version int64) (age time.Duration, by int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replacedFor(model, version)
}

// replacedFor is ReplacedFor with s.mu held.
func (s *State) replacedFor(model string, version int64) (age time.Duration, by int64) {
	next := s.targets[model].successor(version)
	if next.version == 0 {
		return 0, 0
	}
	return s.Now().Sub(next.at), next.version
}

// VersionAge is how long ago a version of a model became the target.
type VersionAge struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// VersionAges returns how long ago each version that some endpoint may still lack became
// the target.
func (s *State) VersionAges() []VersionAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []VersionAge
	now := s.Now()
	for _, target := range s.targets {
		for _, v := range target.learned {
			out = append(out, VersionAge{target.Model, v.version, now.Sub(v.at).Milliseconds()})
		}
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].Model < out[b].Model || (out[a].Model == out[b].Model && out[a].Version < out[b].Version)
	})
	return out
}

// MergeVersionAges adopts the ages that another process reports where they are higher. A
// process that started after a version became the target would otherwise allow the replaced
// weights for the whole time again.
func (s *State) MergeVersionAges(ages []VersionAge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, a := range ages {
		learned := s.targets[a.Model].learned
		for i := range learned {
			if learned[i].version != a.Version {
				continue
			}
			at := now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
			if at.Before(learned[i].at) {
				s.Log.Info("version was named earlier than known", zap.String("model", a.Model), zap.Int64("version", a.Version),
					zap.Int64("age_ms", a.AgeMS), zap.Duration("known_age", now.Sub(learned[i].at)))
				learned[i].at = at
			}
			// In a later era, the version may have been forgotten and named again since then.
			if learned[i].confirmedEra == 0 && at.Before(learned[i].confirmedAt) {
				learned[i].confirmedAt = at
			}
		}
	}
}

// RetireOutdated stops the use of endpoints whose weights were replaced more than
// RetireAfter ago, and resumes it once they have newer ones. Answers made with outdated
// weights are worthless by then.
func (s *State) RetireOutdated() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.instances {
		if s.isOutdated(k) != k.outdated {
			s.writeRow(k, stateOf(k.Instance))
		}
	}
}

func (s *State) isOutdated(k *knownInstance) bool {
	since := s.targets[k.Model].learnedAfter(k.Weights)
	return s.RetireAfter > 0 && k.Model != "" && !since.IsZero() && s.Now().Sub(since) > s.RetireAfter
}

// TimeLeftToBegin returns the time within which an endpoint must begin to answer requests
// already sent to it. limited is false if its weights are the target weights or there is no limit.
func (s *State) TimeLeftToBegin(id string) (left time.Duration, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || s.BeginWithin == 0 {
		return 0, false
	}
	since := s.targets[k.Model].learnedAfter(k.Weights)
	if since.IsZero() {
		return 0, false
	}
	return s.BeginWithin - s.Now().Sub(since), true
}

// updateOutdated updates whether an endpoint's weights are outdated, and logs a change. It is
// called on each write of the row because an endpoint may come back with weights that were
// replaced long ago.
func (s *State) updateOutdated(k *knownInstance) {
	if outdated := s.isOutdated(k); outdated != k.outdated {
		k.outdated = outdated
		age, by := s.replacedFor(k.Model, k.Weights)
		s.Log.Info("outdated state of endpoint weights changed", zap.String("endpoint", k.ID), zap.Int64("weights", k.Weights), zap.Bool("outdated", outdated),
			zap.Int64("replaced_by", by), zap.Duration("replaced_for", age))
	}
}

// NextToLoad returns the engines that load the target weights next among those with the same
// weights as the engine id: the first half of them, in the order in which they get load orders.
func (s *State) NextToLoad(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || k.Weights >= s.targets[k.Model].Version {
		return nil
	}
	var next []string
	for _, other := range s.instances {
		if other.Model == k.Model && other.Weights == k.Weights && !other.loading && !other.Leaving {
			next = append(next, other.ID)
		}
	}
	sort.Strings(next)
	return next[:(len(next)+1)/2]
}

// IsLoading reports whether an endpoint carries out a load order.
func (s *State) IsLoading(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	return ok && k.loading
}

// TargetVersion returns the target version of a model, 0 if there is none.
func (s *State) TargetVersion(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[model].Version
}

// VersionName is the form in which routing decisions compare versions of weights.
func VersionName(version int64) string {
	if version == 0 {
		return ""
	}
	return strconv.FormatInt(version, 10)
}

// ObserveWeights records the weights that an endpoint itself reported.
func (s *State) ObserveWeights(id string, weights int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || weights <= k.Weights {
		return
	}
	s.Log.Info("endpoint has new weights", zap.String("endpoint", id), zap.Int64("weights", weights), zap.Int64("before", k.Weights))
	k.Weights = weights
	s.writeRow(k, stateOf(k.Instance))
}
