package discovery

import (
	"context"
	"sort"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/transport/objectapi"
)

// retireInterval is how often the age of replaced weights is checked while an endpoint has some.
const retireInterval = 100 * time.Millisecond

// TargetWeights is the version of a model that operators asked for.
type TargetWeights struct {
	Model    string
	Version  int64
	Revision objectapi.Revision
	// MayBeOlder is set if the version may have been named long before this process learned of it.
	MayBeOlder bool
	namings    namings
}

// SetTarget records the version of a model that operators asked for. A version that is not
// higher than the current target is ignored.
func (s *State) SetTarget(t TargetWeights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, era := s.Now(), t.Revision.Era()
	before := s.targets[t.Model]
	before.namings.confirm(t.Version, era, now)
	if t.Version <= before.Version {
		return
	}
	n := naming{
		version: t.Version, replaces: before.Version, at: now, isExact: !t.MayBeOlder, notBefore: s.weightsAnswer.asOf,
		absentAt: s.weightsAnswer.asOf, confirmedAt: now, confirmedEra: era,
	}
	if t.MayBeOlder && before.Version == 0 && n.notBefore.IsZero() {
		n.replaces = t.Version
	}
	t.namings = before.namings.with(n)
	s.targets[t.Model] = t
	s.notifyTargetChanged()
	s.notifyNamingsChanged()
	s.Log.Info("weights named", zap.String("model", t.Model), zap.Int64("version", t.Version), zap.Int64("replaces", before.Version),
		zap.Bool("may_be_older", t.MayBeOlder), revisionField("revision", t.Revision))
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
// is when the first version that the endpoint furthest behind lacks became the target, the zero
// time if that is not known.
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
	since, _ = target.namings.replacedAt(oldest)
	return endpoints, since
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
	if s.AwaitsWeights && k.Model != "" && s.weightsAnswer.asOf.IsZero() {
		return true
	}
	at, isReplaced := s.targets[k.Model].namings.replacedAt(k.Weights)
	return s.RetireAfter > 0 && k.Model != "" && isReplaced && s.Now().Sub(at) > s.RetireAfter
}

// RunRetirement calls RetireOutdated whenever it may have something to do, until ctx ends.
func (s *State) RunRetirement(ctx context.Context) {
	for {
		s.RetireOutdated()
		changed, listed := s.NamingsChanged(), s.TargetChanged()
		var check <-chan time.Time
		if s.isAnyBehind() {
			check = time.After(retireInterval)
		}
		select {
		case <-check:
		case <-changed:
		case <-listed:
		case <-ctx.Done():
			return
		}
	}
}

// isAnyBehind reports whether an endpoint lacks the target weights of its model.
func (s *State) isAnyBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.instances {
		if k.Weights < s.targets[k.Model].Version {
			return true
		}
	}
	return false
}

// TimeLeftToBegin returns the time within which an endpoint must begin to answer requests
// already sent to it for a version of a model. limited is false if the version is the target or
// there is no limit. It may change when NamingsChanged says so.
func (s *State) TimeLeftToBegin(model string, version int64) (left time.Duration, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, isReplaced := s.targets[model].namings.replacedAt(version)
	if s.BeginWithin <= 0 || version == 0 || !isReplaced {
		return 0, false
	}
	return s.BeginWithin - s.Now().Sub(at), true
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

// ObserveWeights records the weights that an endpoint had at some time since its start. Older ones than the known are
// ignored, as what says so may be late.
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

// WeightsAheadOfEntries returns the weights of the endpoints whose entries have older ones, by endpoint.
func (s *State) WeightsAheadOfEntries() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for id, k := range s.instances {
		if k.Weights > k.listedWeights {
			out[id] = k.Weights
		}
	}
	return out
}

// olderWeights is a version that an endpoint reports though it had a newer one, and since when it does.
type olderWeights struct {
	version int64
	since   time.Time
}

// reportLag is the time after which a report shows what the endpoint has by then.
const reportLag = time.Second

// ObserveReport records the weights that an endpoint reports while it carries out no order. It has older ones than known
// if it says so for longer than reports lag: an order that was carried out late, after a newer one, has taken it back.
func (s *State) ObserveReport(id string, weights int64) {
	s.ObserveWeights(id, weights)
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	switch {
	case !ok || weights == 0 || weights >= k.Weights:
		if ok {
			k.reportedOlder = olderWeights{}
		}
		return
	case k.reportedOlder.version != weights:
		k.reportedOlder = olderWeights{weights, s.Now()}
		return
	case s.Now().Sub(k.reportedOlder.since) < reportLag:
		return
	}
	s.logOlderWeights(k, weights, "reports")
	k.Weights, k.reportedOlder = weights, olderWeights{}
	s.writeRow(k, stateOf(k.Instance))
	s.notifyTargetChanged()
}

func (s *State) logOlderWeights(k *knownInstance, weights int64, source string) {
	s.Log.Warn("endpoint went back to older weights", zap.String("endpoint", k.ID), zap.Int64("weights", weights), zap.Int64("before", k.Weights),
		zap.String("by_its", source))
}
