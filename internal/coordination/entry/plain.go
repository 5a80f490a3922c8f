package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/httpjson"
)

// hopHeaders belong to one connection, or to this system, and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Proxy-Connection": true,
	http.CanonicalHeaderKey(TimeoutHeader): true, http.CanonicalHeaderKey(ReplayedHeader): true,
	http.CanonicalHeaderKey(RequestIDHeader): true,
}

func (e *Entry) servePlain(c *call) *apierror.Error {
	s, refused := c.service(c.r.PathValue("service"), config.ServicePlain)
	if refused != nil {
		return refused
	}
	body, refused := c.readBody()
	if refused != nil {
		return refused
	}
	if refused := c.holdDecoded(body, callFactor); refused != nil {
		return refused
	}
	sink := &plainSink{c: c, flush: http.NewResponseController(c.w)}
	return e.run(c, plainJob(c, s, body), 1, sink)
}

// plainJob keeps the path below the service as the caller escaped it.
func plainJob(c *call, s *config.Service, body []byte) *runs.Job {
	path := strings.TrimPrefix(c.r.URL.EscapedPath(), "/v1/services/"+s.ID)
	if path == "" {
		path = "/"
	}
	if c.r.URL.RawQuery != "" {
		path += "?" + c.r.URL.RawQuery
	}
	plain := &wire.PlainCall{Method: c.r.Method, Path: path, Body: body}
	for name, values := range c.r.Header {
		if !hopHeaders[name] {
			plain.Headers = append(plain.Headers, &wire.Header{Name: name, Values: values})
		}
	}
	return &runs.Job{RequestID: c.id, Customer: c.customer, Service: s, Digest: digestOf(c.r.Method+" "+path, body), Plain: plain}
}

// errNoHead ends an answer that has no status to pass on.
const errNoHead = errors.ConstError("the answer has no head with a final status")

// plainSink passes a plain service's answer through.
//
// Invariant: head is nil or bears a final status, and writeHead is called only with a head.
// net/http panics on a status it can't write. In Body that would be in the attempt's
// goroutine, where nothing recovers, and would end the process with all its callers' requests.
type plainSink struct {
	c     *call
	first time.Time
	head  *wire.PlainHead
	sent  bool
	// headless is set if the answer was abandoned because it has no head.
	headless bool
	flush    *http.ResponseController
}

// Started implements runs.Sink; plain answers have no tokens.
func (s *plainSink) Started(string, int, int) error { return nil }

// Tokens implements runs.Sink; plain answers have no tokens.
func (s *plainSink) Tokens([]string) error { return nil }

// Head implements runs.Sink. The head is written with the first bytes of the
// body or at the end: until then a fault can still become an error answer.
func (s *plainSink) Head(h *wire.PlainHead) error {
	if !isFinalStatus(h.GetStatus()) {
		s.headless = true
		return errNoHead
	}
	s.first, s.head = time.Now(), h
	return nil
}

// isFinalStatus reports whether net/http writes a status as an answer's last one.
func isFinalStatus(status int32) bool { return status >= 200 && status <= 999 }

func (s *plainSink) firstAt() time.Time { return s.first }

func (s *plainSink) writeHead() {
	if s.sent {
		return
	}
	s.sent = true
	out := s.c.w.Header()
	for _, h := range s.head.GetHeaders() {
		if name := http.CanonicalHeaderKey(h.GetName()); !hopHeaders[name] {
			out[name] = h.GetValues()
		}
	}
	if s.head.GetReplayed() {
		out.Set(ReplayedHeader, "true")
	}
	s.c.w.WriteHeader(int(s.head.GetStatus()))
}

// Body implements runs.Sink.
func (s *plainSink) Body(data []byte) error {
	if s.head == nil {
		s.headless = true
		return errNoHead
	}
	s.writeHead()
	if _, err := s.c.w.Write(data); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *plainSink) finish(runs.Result) *apierror.Error {
	if s.head == nil {
		return noHead()
	}
	s.writeHead()
	return nil
}

// fail has the connection of an answer that has begun broken: an ordinary end would
// make the part look whole.
func (s *plainSink) fail(err *apierror.Error) *apierror.Error {
	s.c.cut = s.sent
	if s.headless {
		// The runner takes a sink's error for a caller that left.
		return noHead()
	}
	return err
}

// noHead is the answer to a request that may have run and whose own answer is unusable.
func noHead() *apierror.Error {
	return apierror.New(http.StatusBadGateway, apierror.CodeOutcomeUnknown, errNoHead.Error()).
		WithRan(apierror.RanUnknown, apierror.AdviceNever)
}

// serveTicket gives a caller a ticket to use as idempotency key. Calls with it
// need no platform, so they go on through its outages.
func (e *Entry) serveTicket(c *call) *apierror.Error {
	id := c.r.PathValue("service")
	s, ok := c.view.Services[id]
	if !ok || !s.Allows(c.customer.ID) || !s.NotRepeatable {
		return apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no service named "+id+" that takes tickets")
	}
	ticket, err := e.Runner.IssueTicket(c.r.Context(), c.customer, s)
	if err != nil {
		return err
	}
	httpjson.Write(c.w, http.StatusOK, struct {
		Ticket  string `json:"ticket"`
		ValidMS int64  `json:"valid_ms"`
	}{ticket, runs.MinTicketValidity.Milliseconds()})
	return nil
}
