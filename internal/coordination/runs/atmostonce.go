package runs

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/idempotency"
	"limpetwall/internal/coordination/routing"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/rpc"
)

// Binder binds an idempotency key that the caller chose to a ticket.
type Binder interface {
	Bind(ctx context.Context, key idempotency.Key, proposed idempotency.Ticket) (idempotency.Ticket, error)
}

// runAtMostOnce executes a request that must not be repeated. Its ticket names the one agent
// incarnation that may run it. Whatever fails, only that incarnation is asked again, and it
// answers from its record.
func (r *Runner) runAtMostOnce(ctx context.Context, job *Job, p *progress) (Result, *apierror.Error) {
	if job.IdempotencyKey != "" {
		return r.runKeyed(ctx, job, p)
	}
	request := r.newRoutingRequest(job, nil)
	var last *outcome
	for number := uint32(1); number <= maxAttempts; number++ {
		request.Now = time.Now()
		choice := r.Directory.Choose(job.Service.ID, nil, request)
		if choice.Member.ID == "" {
			return Result{}, noEndpointError(choice, last, p)
		}
		ticket, err := r.Tickets.Acquire(ctx, choice.Member)
		if err != nil {
			r.Directory.Done(choice, true, time.Now())
			last = &outcome{ran: wire.Ran_RAN_NO, code: "endpoint_not_reached", message: err.Error(), retryAfter: time.Second}
			request.Exclude = append(request.Exclude, choice.Member.ID)
			continue
		}
		result, out := r.runWithTicket(ctx, job, choice, ticket, p)
		r.Directory.Done(choice, out != nil && out.endpointFailed, time.Now())
		if out == nil {
			return result, nil
		}
		if ctx.Err() != nil {
			if out.hasPrecedence(ctx, p) {
				return Result{}, out.atMostOnceError(p, false)
			}
			return Result{}, contextError(ctx, p, ranFromWire(out.ran))
		}
		if out.ran != wire.Ran_RAN_NO || out.clientGone {
			return Result{}, out.atMostOnceError(p, false)
		}
		// It provably did not run, so another endpoint may run it under another ticket.
		last = out
		request.Exclude = append(request.Exclude, choice.Member.ID)
	}
	return Result{}, last.retryLaterError(p, "all attempts failed")
}

// runKeyed executes a request that must not be repeated, with the caller's idempotency key. The
// key either is a ticket itself or is bound to one.
func (r *Runner) runKeyed(ctx context.Context, job *Job, p *progress) (Result, *apierror.Error) {
	ticket, isTicket := ParseTicketKey(job.Customer, job.Service.ID, job.IdempotencyKey)
	if strings.HasPrefix(job.IdempotencyKey, ticketPrefix) && !isTicket {
		return Result{}, apierror.New(http.StatusBadRequest, apierror.CodeKeyRequired, "the key looks like a ticket but was not issued to this customer and service")
	}
	if !isTicket {
		bound, err := r.bindKey(ctx, job)
		if err != nil {
			return Result{}, err
		}
		ticket = bound
	}
	member, known := r.liveAgent(ticket.Incarnation)
	if !known && !r.Table.IsGone(ticket.Incarnation, time.Now()) {
		e := apierror.Later(http.StatusServiceUnavailable, apierror.CodeNotReady,
			"this entry has just started and does not know yet the process that holds this key's record, so this call ran nothing; an earlier call with the same key may have", time.Second)
		return Result{}, e.WithRan(apierror.RanUnknown, apierror.AdviceSameKey)
	}
	if !known {
		e := apierror.New(http.StatusConflict, apierror.CodeOutcomeUnknown,
			"the process that held this key's record is gone; whether the request ran is unknown, and it will not be run")
		return Result{}, e.WithRan(apierror.RanUnknown, apierror.AdviceNever)
	}
	choice := routing.Choice{Member: member, Reason: "ticket"}
	result, out := r.runWithTicket(ctx, job, choice, ticket, p)
	switch {
	case out == nil:
		return result, nil
	case ctx.Err() != nil && !out.hasPrecedence(ctx, p):
		// An earlier call with the same key may have run, whatever the outcome of this one.
		return Result{}, contextError(ctx, p, apierror.RanUnknown)
	default:
		return Result{}, out.atMostOnceError(p, true)
	}
}

// bindKey returns the ticket that the caller's key is bound to. If the key is new, that is a
// ticket of an endpoint that routing has chosen.
func (r *Runner) bindKey(ctx context.Context, job *Job) (idempotency.Ticket, *apierror.Error) {
	request := r.newRoutingRequest(job, nil)
	var lastErr error
	for range maxAttempts {
		request.Now = time.Now()
		choice := r.Directory.Choose(job.Service.ID, nil, request)
		if choice.Member.ID == "" {
			break
		}
		proposed, err := r.Tickets.Acquire(ctx, choice.Member)
		r.Directory.Done(choice, err != nil, time.Now())
		if err != nil {
			lastErr = err
			request.Exclude = append(request.Exclude, choice.Member.ID)
			continue
		}
		return r.bindKeyTo(ctx, job, proposed)
	}
	// There is no ticket to propose, but the key may already be bound.
	ticket, e := r.bindKeyTo(ctx, job, idempotency.Ticket{})
	if e == nil && ticket == (idempotency.Ticket{}) {
		message := "no endpoint serves this now"
		if lastErr != nil {
			message += ": " + lastErr.Error()
		}
		return ticket, apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoEndpoint, message, time.Second).
			WithRan(apierror.RanNo, apierror.AdviceSameKey)
	}
	return ticket, e
}

func (r *Runner) bindKeyTo(ctx context.Context, job *Job, proposed idempotency.Ticket) (idempotency.Ticket, *apierror.Error) {
	key := idempotency.HashKey(job.Customer.ID, job.Service.ID, job.IdempotencyKey)
	ticket, err := r.Binder.Bind(ctx, key, proposed)
	switch {
	case err == nil:
		return ticket, nil
	case errors.Is(err, idempotency.ErrPageFull):
		return ticket, apierror.Later(http.StatusServiceUnavailable, apierror.CodeKeyStoreFull,
			"no room for more idempotency keys", time.Minute).WithRan(apierror.RanUnknown, apierror.AdviceSameKey)
	default:
		// An earlier call with this key may have run; this one did not.
		return ticket, apierror.Later(http.StatusServiceUnavailable, apierror.CodePlatform,
			"the key could not be looked up, so this call ran nothing; an earlier call with the same key may have. Tickets work without the platform: "+err.Error(),
			2*time.Second).WithRan(apierror.RanUnknown, apierror.AdviceSameKey)
	}
}

// liveAgent returns the live agent with the given incarnation, if there is one.
func (r *Runner) liveAgent(incarnation uint64) (fleet.Member, bool) {
	for _, m := range r.Table.Live() {
		if m.Incarnation == incarnation && m.Role == fleet.RoleAgent {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// runWithTicket sends a request with its ticket and reattaches after each broken stream, until the
// agent has answered, the agent or the caller is gone, or ctx has ended. The outcome is nil if the
// answer is complete.
func (r *Runner) runWithTicket(ctx context.Context, job *Job, c routing.Choice, t idempotency.Ticket, p *progress) (Result, *outcome) {
	sent := false
	ticket := &wire.Ticket{Incarnation: t.Incarnation, Sequence: t.Sequence}
	for number := uint32(1); ; number++ {
		out := r.runNewAttempt(ctx, job, c, number, ticket, p)
		if out.done {
			return out.result(number, c), nil
		}
		if sent && !out.sent {
			// This attempt did not reach the agent, but an earlier one may have.
			out.ran = wire.Ran_RAN_UNKNOWN
		}
		sent = sent || out.sent
		if ctx.Err() != nil || out.clientGone || r.isFinal(out, c) {
			return Result{}, out
		}
		waitBackoff(ctx, number)
	}
}

// isFinal reports whether asking the same agent again can bring no new result.
func (r *Runner) isFinal(out *outcome, c routing.Choice) bool {
	switch out.code {
	case "stream_broke":
		return false
	case "endpoint_not_reached":
		if out.ran == wire.Ran_RAN_NO {
			return true
		}
	}
	m, known := r.Table.Get(c.Member.ID)
	gone := !known || m.State == fleet.Dead || m.Incarnation != c.Member.Incarnation
	return gone || out.code != "endpoint_not_reached"
}

const (
	ticketPrefix  = "lwt1_"
	ticketMACSize = 10
)

var ticketEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// TicketKey encodes a ticket as an idempotency key for a caller. The MAC is keyed with the
// customer's salt, so that nobody can use up another customer's tickets.
func TicketKey(c *config.Customer, service string, t idempotency.Ticket) string {
	raw := binary.BigEndian.AppendUint64(nil, t.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, t.Sequence)
	raw = append(raw, ticketMAC(c, service, raw)...)
	return ticketPrefix + strings.ToLower(ticketEncoding.EncodeToString(raw))
}

func ticketMAC(c *config.Customer, service string, raw []byte) []byte {
	mac := hmac.New(sha256.New, c.Salt)
	mac.Write([]byte("ticket\x00" + service + "\x00"))
	mac.Write(raw)
	return mac.Sum(nil)[:ticketMACSize]
}

// ParseTicketKey decodes a key made by TicketKey. It returns false if the key is no ticket or was
// not issued to this customer and service.
func ParseTicketKey(c *config.Customer, service, key string) (idempotency.Ticket, bool) {
	text, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return idempotency.Ticket{}, false
	}
	raw, err := ticketEncoding.DecodeString(strings.ToUpper(text))
	if err != nil || len(raw) != 16+ticketMACSize {
		return idempotency.Ticket{}, false
	}
	if !hmac.Equal(ticketMAC(c, service, raw[:16]), raw[16:]) {
		return idempotency.Ticket{}, false
	}
	return idempotency.Ticket{Incarnation: binary.BigEndian.Uint64(raw), Sequence: binary.BigEndian.Uint64(raw[8:])}, true
}

const (
	// ticketBatch is the number of tickets fetched from an agent at once.
	ticketBatch = 32
	// ticketMargin is the validity that a ticket still has, at least, when it is handed out.
	ticketMargin = time.Minute
)

// TicketPool caches unused tickets of each agent.
type TicketPool struct {
	pool   *rpc.Pool
	mu     sync.Mutex
	ranges map[uint64]*ticketRange
}

// ticketRange holds the unused tickets of one agent incarnation: next up to, but not including, end.
type ticketRange struct {
	// mu is held during a refill: each agent has at most one at a time.
	mu      sync.Mutex
	next    uint64
	end     uint64
	expires time.Time
}

// NewTicketPool returns an empty pool.
func NewTicketPool(pool *rpc.Pool) *TicketPool {
	return &TicketPool{pool: pool, ranges: map[uint64]*ticketRange{}}
}

// Acquire returns an unused ticket of a member. It fetches new ones when none is left or they
// expire soon.
func (t *TicketPool) Acquire(ctx context.Context, m fleet.Member) (idempotency.Ticket, error) {
	tr := t.rangeOf(m.Incarnation)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.next == tr.end || time.Now().After(tr.expires) {
		if err := t.refill(ctx, m, tr); err != nil {
			return idempotency.Ticket{}, err
		}
	}
	tr.next++
	return idempotency.Ticket{Incarnation: m.Incarnation, Sequence: tr.next - 1}, nil
}

func (t *TicketPool) rangeOf(incarnation uint64) *ticketRange {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr, ok := t.ranges[incarnation]
	if !ok {
		tr = &ticketRange{}
		t.ranges[incarnation] = tr
	}
	return tr
}

func (t *TicketPool) refill(ctx context.Context, m fleet.Member, tr *ticketRange) error {
	if err := t.pool.WaitReady(ctx, m.Address); err != nil {
		return err
	}
	client, err := t.pool.Agent(m.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	asked := time.Now()
	resp, err := client.MintTickets(ctx, &wire.MintTicketsRequest{Count: ticketBatch})
	if err != nil {
		return errors.Trace(err)
	}
	if resp.GetCount() == 0 || resp.GetIncarnation() != m.Incarnation {
		return errors.Errorf("agent %s gave no tickets", m.ID)
	}
	tr.next, tr.end = resp.GetFirst(), resp.GetFirst()+uint64(resp.GetCount())
	tr.expires = asked.Add(time.Duration(resp.GetValidMs())*time.Millisecond - ticketMargin)
	return nil
}

// MinTicketValidity is the shortest time for which a ticket given to a caller can be used.
const MinTicketValidity = ticketMargin

// IssueTicket returns a ticket of an endpoint that routing has chosen, for a caller to use as its
// idempotency key.
func (r *Runner) IssueTicket(ctx context.Context, c *config.Customer, s *config.Service) (string, *apierror.Error) {
	request := &routing.Request{Objective: s.Objective, Domain: r.Table.Self().Domain}
	for range maxAttempts {
		request.Now = time.Now()
		choice := r.Directory.Choose(s.ID, nil, request)
		if choice.Member.ID == "" {
			break
		}
		ticket, err := r.Tickets.Acquire(ctx, choice.Member)
		r.Directory.Done(choice, err != nil, time.Now())
		if err == nil {
			return TicketKey(c, s.ID, ticket), nil
		}
		request.Exclude = append(request.Exclude, choice.Member.ID)
	}
	return "", apierror.Later(http.StatusServiceUnavailable, apierror.CodeNoEndpoint, "no endpoint gives tickets now", time.Second)
}

// Prune discards the tickets of incarnations that are no longer live.
func (t *TicketPool) Prune(live func(incarnation uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation := range t.ranges {
		if !live(incarnation) {
			delete(t.ranges, incarnation)
		}
	}
}
