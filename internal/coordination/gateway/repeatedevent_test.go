package gateway

import (
	"net"
	"net/http"
	"testing"

	"limpetwall/internal/state/routes"
)

// TestResumedStreamRepeatsNoEvent guards against a resumed stream in which an event that the caller has received elsewhere comes again.
func TestResumedStreamRepeatsNoEvent(t *testing.T) {
	rows := []struct {
		name      string
		resumable bool
		last      string
		first     responder
		second    responder
		events    string
		// sent is the last event ID that the last endpoint must get.
		sent string
	}{
		{"its endpoint repeats no event", true, "2", respondStream(lastChunk, "3", "4"), nil, "3 4", "2"},
		{"its endpoint repeats an event", true, "2", respondStream(lastChunk, "2", "3"), nil, "3", "2"},
		{"its endpoint begins anew", true, "2", respondStream(lastChunk, "1", "2", "3"), nil, "3", "2"},
		{"its endpoint has nothing new", true, "2", respondStream(lastChunk, "1", "2"), nil, "", "2"},
		{"its second endpoint repeats an event", true, "2", respondStream(""), respondStream(lastChunk, "2", "3"), "3", "2"},
		{"its first endpoint breaks off after a repeated event", true, "2", respondStream("", "2"), respondStream(lastChunk, "2", "3"), "3", "2"},
		{"its first endpoint breaks off after a new event", true, "2", respondStream("", "2", "3"), respondStream(lastChunk, "2", "3", "4"), "3 4", "3"},
		{"its events have no numbers", true, "b", respondStream(lastChunk, "0", "c"), nil, "0 c", "b"},
		{"its route is not resumable", false, "2", respondStream(lastChunk, "1", "2", "3"), nil, "1 2 3", "2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			list := singleRoute(routes.Streaming, 2)
			list[0].Resumable = row.resumable
			var sent string
			answerNext := firstThen(row.first, row.second)
			answer := func(c net.Conn, r *http.Request) {
				sent = r.Header.Get(headerLastEvent)
				answerNext(c, r)
			}
			s := newTestServer(t, list, answer, answer)
			resp, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerLastEvent+": "+row.last))
			if err != nil || resp.StatusCode != http.StatusOK || eventIDs(body) != row.events {
				t.Errorf("got events %q, error %v, want %q", eventIDs(body), err, row.events)
			}
			if sent != row.sent {
				t.Errorf("the last attempt resumes after event %q, want %q", sent, row.sent)
			}
		})
	}
}

// TestMovedResumedStreamRepeatsNoEvent guards against a resumed stream whose run is moved, or returns to its source, and in which an event
// comes again.
func TestMovedResumedStreamRepeatsNoEvent(t *testing.T) {
	rows := []struct {
		name        string
		source      responder
		destination responder
	}{
		{"it goes on at its destination", reject, respondStream(lastChunk, "4", "5", "6")},
		{"it returns to its source", respondStream(lastChunk, "3", "4", "5", "6"), reject},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			copier := &fakeCopier{firstCopied: make(chan struct{}), stopped: make(chan struct{})}
			begun := make(chan struct{})
			s := newTestServer(t, singleRoute(routes.Streaming, 1), firstThen(streamUntilStopped(begun, copier.stopped, "3", "4", "5"), row.source), row.destination)
			s.useEngines(copier)
			list := singleRoute(routes.Streaming, 1)
			list[0].Resumable = true
			s.gateway.State.SetRoutes(routes.New(3, 10, list, []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4}}},
				[]routes.Customer{{Name: "club", Keys: []string{"key"}}}, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
			go func() {
				<-begun
				s.gateway.State.SetLoading("i-1", false)
				leaveFirstEngine(s.gateway.State)
			}()
			_, body, err := s.do(s.newRequest("POST", "/r/x", "prompt", headerSegment+": part", headerLastEvent+": 3"))
			if err != nil || eventIDs(body) != "4 5 6" {
				t.Errorf("got events %q, error %v, want events 4 5 6", eventIDs(body), err)
			}
			select {
			case <-copier.stopped:
			default:
				t.Error("the run was not moved")
			}
		})
	}
}
