package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/routes"
)

// resolveResumption decides where a stream that the caller resumes may go on. It returns a refusal if it may not, and nil
// for requests that resume no stream.
func (x *exchange) resolveResumption(ctx context.Context) *apierror.Error {
	if x.g.Origins == nil || !x.isResumable() || (x.call.Resumes == "" && x.call.LastEvent == "") {
		return nil
	}
	x.g.count("streams.taken_up")
	known := x.streamKnowledge(ctx)
	origin, verdict := streamorigin.Decide(known)
	x.g.count("streams." + verdict.String())
	if known.IsKnown {
		x.g.count("streams.origin_from_" + string(known.Source))
	}
	x.g.Log.Info("stream taken up", zap.String("request_id", x.call.ID), zap.String("resumes", x.call.Resumes),
		zap.String("last_event", x.call.LastEvent), zap.String("verdict", verdict.String()), zap.String("service", origin.Service),
		zap.String("software_version", origin.Version), zap.Bool("origin_known", known.IsKnown), zap.String("origin_source", string(known.Source)), zap.Bool("sole_version", known.HasSole),
		zap.Bool("endpoints_current", known.IsFresh), zap.Strings("service_versions", x.g.Origins.VersionsOf(x.service.Name, time.Now())),
		zap.Duration("versions_followed_for", x.g.Origins.FollowedFor(time.Now())),
		zap.Duration("endpoints_answer_age", x.g.Watcher.EndpointsAge(time.Now())), zap.Duration("endpoints_call_age", x.g.Watcher.EndpointsCallAge()))
	switch verdict {
	case streamorigin.Resume:
		x.stream.origin, x.stream.isResumption, x.stream.isOriginKnown = &origin, true, known.IsKnown
		x.service = x.table.Services[origin.Service]
		return nil
	case streamorigin.Gone:
		return versionGone(origin)
	case streamorigin.NotListed:
		return apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoEndpoint,
			"no endpoint of software version "+origin.Version+", which began the stream, is known, but the list of endpoints may be outdated", retryAfter())
	}
	return apierror.Later(http.StatusServiceUnavailable, apierror.CodeStreamOriginUnknown,
		"it is not known which software version began the stream", retryAfter())
}

func versionGone(o streamorigin.Origin) *apierror.Error {
	message := "no endpoint of software version " + o.Version + ", which began the stream, is left"
	return apierror.New(http.StatusServiceUnavailable, apierror.CodeStreamVersionGone, message).WithRan(apierror.RanNo, apierror.AdviceRestart)
}

func (x *exchange) isResumable() bool { return x.route.Kind == routes.Streaming && x.route.Resumable }

// streamKnowledge returns what is known of the stream that the request resumes.
func (x *exchange) streamKnowledge(ctx context.Context) streamorigin.Knowledge {
	now := time.Now()
	k := streamorigin.Knowledge{
		Service: x.service.Name, IsFresh: x.g.Watcher.EndpointsAge(now) <= configStaleAfter,
		IsListed:  func(o streamorigin.Origin) bool { return x.g.State.HasSoftware(o.Service, o.Version) },
		IsAllowed: x.isTarget,
		IsCurrent: func(o streamorigin.Origin) bool {
			if !x.isTarget(o.Service) {
				return x.confirm(ctx, x.g.ConfirmRoutes)
			}
			return x.confirm(ctx, x.g.ConfirmEndpoints)
		},
	}
	x.g.Origins.ObserveVersions(x.g.softwareVersions(), now)
	_, hasSole := x.g.Origins.SoleVersion(x.service.Name, now)
	searching, endSearch := context.WithCancel(ctx)
	defer endSearch()
	found := make(chan struct{})
	go func() {
		defer close(found)
		x.searchOrigin(searching, &k)
	}()
	if hasSole && k.IsFresh && x.g.Watcher.EndpointsAnswered() && x.isOnlyService() {
		timer := time.NewTimer(soleVersionSearch)
		defer timer.Stop()
		select {
		case <-found:
			if k.IsKnown {
				return k
			}
		case <-timer.C:
		}
		if sole, ok := x.confirmSoleVersion(ctx); ok {
			endSearch()
			<-found
			k.Sole, k.HasSole = sole, true
			return k
		}
	}
	<-found
	return k
}

// isOnlyService reports whether a stream on the request's route has begun in its service, as far as this process has seen.
func (x *exchange) isOnlyService() bool {
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	return len(x.route.Targets) == 1 && x.g.State.Routes() == x.table && !x.g.State.LedElsewhere(x.r.Host, path, x.service.Name)
}

// searchOrigin adds the origin of the stream that the request resumes to what is known, if it names one.
func (x *exchange) searchOrigin(ctx context.Context, k *streamorigin.Knowledge) {
	if x.call.Resumes == "" {
		return
	}
	k.Origin, k.Source = x.findOrigin(ctx, x.streamKey(x.call.Resumes))
	k.IsKnown = k.Source != streamorigin.NotFound
}

// confirmSoleVersion returns the only version at which the stream may have begun. The store has to say so now, after the request
// came: this process's list may lack a version that has just joined, and the silence of the store or of other processes proves
// nothing, as this process may be cut off from them, or may have been paused.
func (x *exchange) confirmSoleVersion(ctx context.Context) (version string, ok bool) {
	if x.g.ReadVersions == nil {
		return "", false
	}
	var recorded streamorigin.Recorded
	readVersions := func(ctx context.Context) (err error) {
		recorded, err = x.g.ReadVersions(ctx)
		return err
	}
	if !x.confirm(ctx, readVersions, x.g.ConfirmRoutes) || !x.isOnlyService() || recorded.StreamTargets != x.table.StreamTargets() {
		x.g.count("streams.sole_version_unconfirmed")
		return "", false
	}
	count := 0
	for _, o := range recorded.Versions {
		if o.Service == x.service.Name {
			version = o.Version
			count++
		}
	}
	return version, count == 1
}

// confirm asks the store several questions at once, and reports whether all are answered in time and with yes.
func (x *exchange) confirm(ctx context.Context, questions ...func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := make(chan error, len(questions))
	for _, ask := range questions {
		go func() { answers <- ask(ctx) }()
	}
	for range questions {
		if err := <-answers; err != nil {
			x.g.Log.Info("store has not confirmed what is known of streams", zap.String("request_id", x.call.ID), zap.Error(err))
			return false
		}
	}
	return true
}

const (
	// confirmTimeout bounds the wait for the store's confirmation. In the largest fleets a question waits for up to 0.56 s for the next
	// call.
	confirmTimeout = 700 * time.Millisecond
	// soleVersionSearch is how long the origin is searched for before the store is asked: most are found, and cost it nothing.
	soleVersionSearch = 30 * time.Millisecond
)

// softwareVersions returns the versions of the listed endpoints.
func (g *Gateway) softwareVersions() []streamorigin.Origin {
	var versions []streamorigin.Origin
	for _, i := range g.State.Instances() {
		if v := (streamorigin.Origin{Service: i.Service, Version: i.SoftwareVersion}); !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return versions
}

// recordWait bounds the time that a stream waits for the record of its software version: the record holds a new version within a
// second if the store answers.
const recordWait = time.Second

// recordedVersions returns the software versions at which the stream may begin, and a channel that is closed when they may have
// changed. isLimited is false if it may go to any: all gateways may be lost right after the first event, and those that start then
// know only what is recorded. The origin of a stream that is taken up was recorded before.
func (x *exchange) recordedVersions() (versions []string, changed <-chan struct{}, isLimited bool) {
	if !x.g.RequiresRecord || !x.isResumable() || x.stream.keys != nil || x.stream.isOriginKnown {
		return nil, nil, false
	}
	return x.g.Origins.RecordedVersions(x.service.Name, time.Now())
}

// awaitRecord waits until the record holds a software version of the service's endpoints that it did not when an endpoint was
// chosen among those of others. It returns false if there is none, and if the wait is over.
func (x *exchange) awaitRecord(ctx context.Context, chosenAmong []string) bool {
	recorded, changed, isLimited := x.recordedVersions()
	if !isLimited || x.g.drain.Load() != nil {
		return false
	}
	missing := slices.DeleteFunc(x.g.Origins.VersionsOf(x.service.Name, time.Now()), func(version string) bool {
		return slices.Contains(chosenAmong, version) || !x.g.State.HasSoftware(x.service.Name, version)
	})
	if len(missing) == 0 {
		return false
	}
	if x.recordDeadline.IsZero() {
		x.g.count("streams.waited_for_record")
		x.recordDeadline = time.Now().Add(min(recordWait, x.timeLeft()-minTimeLeft))
	}
	timer := time.NewTimer(time.Until(x.recordDeadline))
	defer timer.Stop()
	for isLimited && !slices.ContainsFunc(missing, func(version string) bool { return slices.Contains(recorded, version) }) {
		select {
		case <-changed:
		case <-timer.C:
			x.isUnrecorded = true
			x.g.count("streams.unrecorded")
			return false
		case <-ctx.Done():
			return false
		}
		recorded, changed, isLimited = x.recordedVersions()
	}
	// A gateway that has begun to stop may have too little time left for a request that has waited.
	return x.g.drain.Load() == nil
}

// isTarget reports whether the request's route leads to a service that exists.
func (x *exchange) isTarget(service string) bool {
	return x.table.Services[service] != nil && slices.ContainsFunc(x.route.Targets, func(t routes.Target) bool { return t.Service == service })
}

// streamKey returns the key of the stream that an attempt of this caller has begun.
func (x *exchange) streamKey(attempt string) streamorigin.Key {
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	return streamorigin.KeyOf(customer, attempt)
}

func (x *exchange) findOrigin(ctx context.Context, stream streamorigin.Key) (streamorigin.Origin, streamorigin.Source) {
	if origin, ok := x.g.Origins.Find(stream); ok {
		return origin, streamorigin.FromMemory
	}
	if x.g.FindOrigin == nil {
		return streamorigin.Origin{}, streamorigin.NotFound
	}
	defer metrics.GetOrRegisterTimer("gateway.streams.origin_search", x.g.Metrics).UpdateSince(time.Now())
	return x.g.FindOrigin(ctx, stream)
}

// recordOrigin records, at the first event of an attempt, which software version began the stream. It reports an attempt
// that goes on with a stream at another version.
func (x *exchange) recordOrigin(c routing.Choice) {
	here := streamorigin.Origin{Service: x.service.Name, Version: c.Member.Endpoint.SoftwareVersion}
	if x.stream.origin == nil {
		x.stream.origin = &here
	}
	if origin := *x.stream.origin; origin != here {
		x.g.count("streams.software_version_changed")
		x.g.Log.Error("stream goes on at another software version", zap.String("request_id", x.call.ID), zap.String("service", origin.Service),
			zap.String("begun_version", origin.Version), zap.String("endpoint", c.Member.ID), zap.String("software_version", here.Version))
	}
	if x.g.Origins != nil && x.isResumable() && x.stream.keys == nil {
		x.stream.keys = []streamorigin.Key{x.streamKey(x.call.ID)}
		if x.stream.isOriginKnown {
			// The caller names the attempt that brought the first event again if the stream breaks off once more. An attempt
			// that nobody knows may have brought none.
			x.stream.keys = append(x.stream.keys, x.streamKey(x.call.Resumes))
		}
		for _, key := range x.stream.keys {
			x.g.Origins.Record(key, *x.stream.origin, time.Now())
		}
	}
}

// endOrigin records that the stream has ended, wholly or not.
func (x *exchange) endOrigin(isWhole bool) {
	for _, key := range x.stream.keys {
		x.g.Origins.End(key, isWhole, time.Now())
	}
}
