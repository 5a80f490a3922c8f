package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/routes"
)

// newVersionedServer serves a gateway in front of endpoints of the given software versions, each of which answers with the
// events 1 and 2.
func newVersionedServer(t *testing.T, versions ...string) *testServer {
	list := singleRoute(routes.Streaming, 2)
	list[0].Resumable = true
	answers := make([]responder, len(versions))
	for i := range answers {
		answers[i] = respondStream(lastChunk, "1", "2")
	}
	s := newTestServer(t, list, answers...)
	for i, version := range versions {
		s.setVersion(i, version)
	}
	s.gateway.Origins = streamorigin.NewRegistry()
	s.gateway.Origins.BeginFollowing(time.Now())
	s.gateway.Origins.ConfirmVersions(nil, s.gateway.Origins.Generation(), true, time.Now())
	s.gateway.Watcher.RecordAnswer(time.Now())
	s.gateway.ReadVersions = func(context.Context) (streamorigin.Recorded, error) {
		return streamorigin.Recorded{Versions: s.gateway.softwareVersions(), StreamTargets: s.gateway.State.Routes().StreamTargets()}, nil
	}
	confirmed := func(context.Context) error { return nil }
	s.gateway.ConfirmEndpoints, s.gateway.ConfirmRoutes = confirmed, confirmed
	return s
}

func (s *testServer) setVersion(endpoint int, version string) {
	instance, _ := s.gateway.State.Instance(s.endpoints[endpoint].id)
	instance.Revision, instance.SoftwareVersion = instance.Revision+100, version
	s.gateway.State.SetInstance(instance)
}

// begun records that an attempt of the test's customer began at a software version.
func (s *testServer) begun(attempt, service, version string) {
	s.gateway.Origins.Merge(streamorigin.KeyOf("club", attempt), streamorigin.Origin{Service: service, Version: version}, time.Now())
}

// TestResumptions guards against a stream that is taken up at another software version, or refused although it could
// go on, by a gateway that has never seen its first attempt.
func TestResumptions(t *testing.T) {
	const resumes, last = headerResumes + ": first", headerLastEvent + ": 1"
	rows := []struct {
		name     string
		versions []string
		prepare  func(s *testServer)
		lines    []string
		// code is that of the refusal, empty if the stream goes on at endpoint.
		code     string
		endpoint int
	}{
		{"its origin is known", []string{"v1", "v2", "v2"}, func(s *testServer) { s.begun("first", "s", "v1") }, []string{resumes, last}, "", 0},
		{"its origin is not known", []string{"v1", "v2"}, nil, []string{resumes, last}, apierror.CodeStreamOriginUnknown, 0},
		{"it names no attempt", []string{"v1", "v2"}, nil, []string{last}, apierror.CodeStreamOriginUnknown, 0},
		{"another customer's attempt", []string{"v1", "v2"}, func(s *testServer) {
			s.gateway.Origins.Merge(streamorigin.KeyOf("other", "first"), streamorigin.Origin{Service: "s", Version: "v1"}, time.Now())
		}, []string{resumes, last}, apierror.CodeStreamOriginUnknown, 0},
		{"a single version", []string{"v1"}, nil, []string{resumes, last}, "", 0},
		{"a single version, and no attempt named", []string{"v1"}, nil, []string{last}, "", 0},
		{"endpoints that name no version", []string{""}, nil, []string{resumes, last}, "", 0},
		{"a single version by an outdated list", []string{"v1"}, func(s *testServer) { s.gateway.Watcher.RecordAnswer(time.Now().Add(-time.Hour)) },
			[]string{resumes, last}, apierror.CodeStreamOriginUnknown, 0},
		{"a single version, listed by a gateway that has just started", []string{"v1"}, func(s *testServer) {
			s.gateway.Origins = streamorigin.NewRegistry()
			s.gateway.Origins.BeginFollowing(time.Now())
		}, []string{resumes, last}, apierror.CodeStreamOriginUnknown, 0},
		{"its version is gone", []string{"v2"}, func(s *testServer) { s.begun("first", "s", "v1") }, []string{resumes, last}, apierror.CodeStreamVersionGone, 0},
		{"the last endpoint of its version leaves", []string{"v1", "v2"}, func(s *testServer) {
			s.begun("first", "s", "v1")
			leaveFirstEngine(s.gateway.State)
		}, []string{resumes, last}, apierror.CodeStreamVersionGone, 0},
		{"its version is not listed, the list is outdated", []string{"v2"}, func(s *testServer) {
			s.begun("first", "s", "v1")
			s.gateway.Watcher.RecordAnswer(time.Now().Add(-time.Hour))
		}, []string{resumes, last}, apierror.CodeNoEndpoint, 0},
		{"its service is no target of the route", []string{"v1"}, func(s *testServer) { s.begun("first", "before", "v1") }, []string{resumes, last}, apierror.CodeStreamVersionGone, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newVersionedServer(t, row.versions...)
			if row.prepare != nil {
				row.prepare(s)
			}
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", row.lines...))
			if err != nil {
				t.Fatal(err)
			}
			if row.code == "" {
				if resp.StatusCode != http.StatusOK || s.endpoints[row.endpoint].requestCount() != 1 {
					t.Errorf("got %d %s, want the rest of the stream from endpoint %d", resp.StatusCode, body, row.endpoint)
				}
				return
			}
			if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, `"code":"`+row.code+`"`) || s.requestCount() > 0 {
				t.Errorf("got %d %s after %d requests, want %s and none", resp.StatusCode, body, s.requestCount(), row.code)
			}
			isFinal := row.code == apierror.CodeStreamVersionGone
			if comesBack := resp.Header.Get("Retry-After") != ""; comesBack == isFinal || isFinal != strings.Contains(body, `"advice":"start_again"`) {
				t.Errorf("got Retry-After %q and %s; want start_again if the stream can't go on, else a time to come back", resp.Header.Get("Retry-After"), body)
			}
		})
	}
}

// TestStreamGoesOnInItsService guards against a stream on a route to several services that another service goes on with.
func TestStreamGoesOnInItsService(t *testing.T) {
	list := singleRoute(routes.Streaming, 2)
	list[0].Resumable = true
	list[0].Targets = []routes.Target{{Service: "s", Weight: 1}, {Service: "other", Weight: 1_000_000}}
	s := newVersionedServer(t, "v1")
	s.gateway.State.SetRoutes(routes.New(2, 50, list, []routes.Service{{Name: "s"}, {Name: "other"}},
		[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	s.begun("first", "s", "v1")
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerResumes+": first", headerLastEvent+": 1"))
	if err != nil || resp.StatusCode != http.StatusOK || s.endpoints[0].requestCount() != 1 {
		t.Errorf("got %v %s, error %v; want the rest of the stream from the service that began it", resp.StatusCode, body, err)
	}
	resp, body, err = s.do(s.newRequest("POST", "/r/x", "prompt", headerResumes+": nobody's", headerLastEvent+": 1"))
	if err != nil || !strings.Contains(body, apierror.CodeStreamOriginUnknown) {
		t.Errorf("got %v %s, error %v; want a refusal, as either service may have begun it", resp.StatusCode, body, err)
	}
}

// TestStreamOfFormerServiceDoesNotGoOn guards against a stream of unknown origin that goes on in the service to which its route has just been
// changed.
func TestStreamOfFormerServiceDoesNotGoOn(t *testing.T) {
	s := newVersionedServer(t, "v1")
	for version, service := range []string{"former", "s"} {
		list := singleRoute(routes.Streaming, 2)
		list[0].Resumable, list[0].Targets = true, []routes.Target{{Service: service, Weight: 1}}
		number := uint64(version + 2)
		s.gateway.State.SetRoutes(routes.New(number, 50*number, list, []routes.Service{{Name: "s"}, {Name: "former"}},
			[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
	}
	resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerResumes+": nobody's", headerLastEvent+": 1"))
	if err != nil || !strings.Contains(body, apierror.CodeStreamOriginUnknown) || s.requestCount() > 0 {
		t.Errorf("got %v %s, error %v; want a refusal, as the former service may have begun it", resp.StatusCode, body, err)
	}
}

// TestFirstEventRecordsTheOrigin guards against a stream whose caller comes back before its origin is recorded, and against
// one recorded for an attempt that brought no event.
func TestFirstEventRecordsTheOrigin(t *testing.T) {
	s := newVersionedServer(t, "v1")
	if resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt")); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v %s %v", resp, body, err)
	}
	want := streamorigin.Origin{Service: "s", Version: "v1"}
	if got, ok := s.gateway.Origins.Find(streamorigin.KeyOf("club", "id-1")); !ok || got != want {
		t.Errorf("got %v, %v; want %v", got, ok, want)
	}
	empty := newVersionedServer(t)
	empty.do(empty.newRequest("POST", "/r/x", "prompt"))
	if got, ok := empty.gateway.Origins.Find(streamorigin.KeyOf("club", "id-1")); ok {
		t.Errorf("got %v for a request without an event", got)
	}
}

// TestCallersWordIsNoOrigin guards against an origin on record because a caller named an attempt, which may begin later at another version.
func TestCallersWordIsNoOrigin(t *testing.T) {
	s := newVersionedServer(t, "v1")
	if resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerResumes+": later", headerLastEvent+": 1")); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v %s %v", resp, body, err)
	}
	if got, ok := s.gateway.Origins.Find(streamorigin.KeyOf("club", "later")); ok {
		t.Errorf("got %v for an attempt that nobody has seen", got)
	}
}

// TestStreamsBeginAtRecordedVersions guards against a stream that begins at a software version which gateways that start after the loss of
// all do not find in the record, and against waits where the record holds what serves.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	const soon, recordedAfter = 300 * time.Millisecond, 400 * time.Millisecond
	rows := []struct {
		name               string
		versions, recorded []string
		// later is recorded after recordedAfter.
		later string
		lines []string
		plain bool
		// served are the endpoints that may get requests; the request is refused if there is none.
		served   []int
		min, max time.Duration
	}{
		{"a single version", []string{"v1", "v1"}, []string{"v1"}, "", nil, false, []int{0, 1}, 0, soon},
		{"endpoints that name no version", []string{""}, []string{""}, "", nil, false, []int{0}, 0, soon},
		{"a new version beside a recorded one", []string{"v2", "v1", "v2"}, []string{"v1"}, "", nil, false, []int{1}, 0, soon},
		{"a new version alone", []string{"v2"}, []string{"v1"}, "v2", nil, false, []int{0}, recordedAfter, recordedAfter + soon},
		{"nothing is recorded yet", []string{"v1"}, nil, "v1", nil, false, []int{0}, recordedAfter, recordedAfter + soon},
		{"a new version that is not recorded in time", []string{"v2"}, []string{"v1"}, "", nil, false, nil, recordWait, recordWait + soon},
		{"another version is recorded meanwhile", []string{"v2"}, []string{"v1"}, "v3", nil, false, nil, recordWait, recordWait + soon},
		{"no endpoint", nil, []string{"v1"}, "", nil, false, nil, 0, soon},
		{"streams that nobody takes up", []string{"v2"}, []string{"v1"}, "", nil, true, []int{0}, 0, soon},
		{"a stream that began at a version that the record has lost", []string{"v1", "v2"}, []string{"v2"}, "", []string{headerResumes + ": first", headerLastEvent + ": 1"}, false, []int{0}, 0, soon},
		{"a stream of unknown origin at the only version", []string{"v2"}, nil, "", []string{headerLastEvent + ": 1"}, false, nil, recordWait, recordWait + soon},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newVersionedServer(t, row.versions...)
			if row.plain {
				s.gateway.State.SetRoutes(routes.New(2, 50, singleRoute(routes.Streaming, 2), []routes.Service{{Name: "s"}},
					[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
			}
			if row.lines != nil && len(row.versions) > 1 {
				s.begun("first", "s", row.versions[0])
			}
			var recorded []streamorigin.Origin
			for _, version := range row.recorded {
				recorded = append(recorded, streamorigin.Origin{Service: "s", Version: version})
			}
			s.gateway.RequiresRecord = true
			s.gateway.Origins.ObserveVersions(s.gateway.softwareVersions(), time.Now())
			s.gateway.Origins.SetRecorded(recorded)
			sent := time.Now()
			if row.later != "" {
				time.AfterFunc(recordedAfter, func() {
					s.gateway.Origins.SetRecorded(append(recorded, streamorigin.Origin{Service: "s", Version: row.later}))
				})
			}
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", row.lines...))
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(sent); took < row.min || took > row.max {
				t.Errorf("answered after %v, want %v to %v", took, row.min, row.max)
			}
			served := 0
			for _, i := range row.served {
				served += s.endpoints[i].requestCount()
			}
			switch {
			case served != s.requestCount():
				t.Errorf("endpoints got %d requests, %d of them at a version where the stream may begin", s.requestCount(), served)
			case row.served != nil && resp.StatusCode != http.StatusOK:
				t.Errorf("got %d %s, want a stream", resp.StatusCode, body)
			case row.served == nil && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(body, `"ran":"no"`)):
				t.Errorf("got %d %s, want a refusal as not run, and a time to come back", resp.StatusCode, body)
			}
		})
	}
}

// TestSilenceDoesNotConfirm guards against a stream that goes on at the only version listed here, or that is said to be gone, though the
// store has not said so since the request came.
func TestSilenceDoesNotConfirm(t *testing.T) {
	errSilent := errors.New("no answer")
	both := []streamorigin.Origin{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}
	rows := []struct {
		name     string
		prepare  func(*testServer)
		recorded []streamorigin.Origin
		// versionsErr, endpointsErr and routesErr are how the store answers.
		versionsErr, endpointsErr, routesErr error
		code                                 string
		// targetsChanged is set if the record has been written for routes to other services.
		targetsChanged uint64
	}{
		{"the store confirms the version", nil, both[:1], nil, nil, nil, "", 0},
		{"the store holds another version", nil, both, nil, nil, nil, apierror.CodeStreamOriginUnknown, 0},
		{"the store holds versions of other services only", nil, []streamorigin.Origin{{Service: "other", Version: "v1"}}, nil, nil, nil, apierror.CodeStreamOriginUnknown, 0},
		{"the store does not answer for versions", nil, both[:1], errSilent, nil, nil, apierror.CodeStreamOriginUnknown, 0},
		{"the routes have changed", nil, both[:1], nil, nil, errSilent, apierror.CodeStreamOriginUnknown, 0},
		{"the route has led elsewhere within a minute", nil, both[:1], nil, nil, nil, apierror.CodeStreamOriginUnknown, 1},
		{"known, and gone", func(s *testServer) { s.begun("first", "s", "v2") }, nil, nil, nil, nil, apierror.CodeStreamVersionGone, 0},
		{"known, and the endpoints have changed", func(s *testServer) { s.begun("first", "s", "v2") }, nil, nil, errSilent, nil, apierror.CodeNoEndpoint, 0},
		{"known of another service, and the routes have changed", func(s *testServer) { s.begun("first", "later", "v1") }, nil, nil, nil, errSilent, apierror.CodeNoEndpoint, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newVersionedServer(t, "v1")
			s.gateway.ReadVersions = func(context.Context) (streamorigin.Recorded, error) {
				return streamorigin.Recorded{Versions: row.recorded, StreamTargets: s.gateway.State.Routes().StreamTargets() + row.targetsChanged}, row.versionsErr
			}
			s.gateway.ConfirmEndpoints = func(context.Context) error { return row.endpointsErr }
			s.gateway.ConfirmRoutes = func(context.Context) error { return row.routesErr }
			if row.prepare != nil {
				row.prepare(s)
			}
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerResumes+": first", headerLastEvent+": 1"))
			switch {
			case err != nil:
				t.Fatal(err)
			case row.code == "" && (resp.StatusCode != http.StatusOK || s.requestCount() != 1):
				t.Errorf("got %d %s, want the rest of the stream", resp.StatusCode, body)
			case row.code != "" && (!strings.Contains(body, `"code":"`+row.code+`"`) || s.requestCount() > 0):
				t.Errorf("got %d %s after %d requests, want %s and none", resp.StatusCode, body, s.requestCount(), row.code)
			}
		})
	}
}
