package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"limpetwall/internal/state/ledger"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func smallConfig() ledger.Config {
	return ledger.Config{TicketTTL: time.Minute, Retention: time.Hour, MaxTickets: 8, MaxBytes: 40, MaxAnswerBytes: 10}
}

func begin(l *ledger.Ledger, seq uint64, customer, digest string, now time.Time) (*ledger.Record, bool, error) {
	return l.Begin(l.Incarnation(), seq, customer, []byte(digest), now)
}

// TestBeginRefusals guards against a ticket that starts a run it must not start,
// and against an error that is wrong about whether the request ran.
func TestBeginRefusals(t *testing.T) {
	rows := []struct {
		name string
		// present calls Begin with a ticket in a way that must be refused.
		present func(l *ledger.Ledger, first uint64) error
		want    error
	}{
		{"another incarnation", func(l *ledger.Ledger, first uint64) error {
			_, _, err := l.Begin(l.Incarnation()+1, first, "c", nil, startTime)
			return err
		}, ledger.ErrUnknownTicket},
		{"never issued", func(l *ledger.Ledger, first uint64) error {
			_, _, err := begin(l, first+99, "c", "d", startTime)
			return err
		}, ledger.ErrUnknownTicket},
		{"unused after its TTL", func(l *ledger.Ledger, first uint64) error {
			_, _, err := begin(l, first, "c", "d", startTime.Add(2*time.Minute))
			return err
		}, ledger.ErrExpired},
		{"used, and its record has expired", func(l *ledger.Ledger, first uint64) error {
			r, _, _ := begin(l, first, "c", "d", startTime)
			r.Finish()
			_, _, err := begin(l, first, "c", "d", startTime.Add(2*time.Hour))
			return err
		}, ledger.ErrUnknownTicket},
		{"another customer", func(l *ledger.Ledger, first uint64) error {
			begin(l, first, "c", "d", startTime)
			_, _, err := begin(l, first, "other", "d", startTime)
			return err
		}, ledger.ErrRequestMismatch},
		{"another request", func(l *ledger.Ledger, first uint64) error {
			begin(l, first, "c", "d", startTime)
			_, _, err := begin(l, first, "c", "e", startTime)
			return err
		}, ledger.ErrRequestMismatch},
		{"not enough memory for its answer", func(l *ledger.Ledger, first uint64) error {
			for i := range uint64(4) {
				begin(l, first+i, "c", "d", startTime)
			}
			_, _, err := begin(l, first+4, "c", "d", startTime)
			return err
		}, ledger.ErrFull},
	}
	for _, row := range rows {
		l := ledger.New(smallConfig(), 7)
		first, err := l.Issue(5, startTime)
		if err != nil {
			t.Fatal(err)
		}
		if err := row.present(l, first); !errors.Is(err, row.want) {
			t.Errorf("%s: got error %v, want %v", row.name, err, row.want)
		}
	}
}

// TestIssueIsBounded guards against the memory for tickets growing without limit,
// and against expired tickets counting towards the limit.
func TestIssueIsBounded(t *testing.T) {
	l := ledger.New(smallConfig(), 7)
	if _, err := l.Issue(9, startTime); !errors.Is(err, ledger.ErrFull) {
		t.Errorf("one ticket above the limit: got error %v, want ErrFull", err)
	}
	l.Issue(8, startTime)
	if _, err := l.Issue(1, startTime); !errors.Is(err, ledger.ErrFull) {
		t.Errorf("one more ticket at the limit: got error %v, want ErrFull", err)
	}
	if _, err := l.Issue(1, startTime.Add(2*time.Hour)); err != nil {
		t.Errorf("after the first tickets have expired: got error %v, want none", err)
	}
}

// TestLargeAnswerReachesCallerButIsNotRetained guards against an answer larger
// than MaxAnswerBytes being lost for the caller that started the run, or
// occupying memory after it.
//
// The caller follows the run and gets the whole answer. A later retry finds that
// the request ran, without its answer, and doesn't run it again.
func TestLargeAnswerReachesCallerButIsNotRetained(t *testing.T) {
	l := ledger.New(smallConfig(), 7)
	first, _ := l.Issue(1, startTime)
	r, _, _ := begin(l, first, "c", "d", startTime)
	r.Follow()
	for i := range 5 {
		r.Append(i, 4)
	}
	r.Finish()
	if events, done, discarded, _ := r.EventsFrom(0); len(events) != 5 || !done || discarded {
		t.Errorf("caller: got %d events, done %v, discarded %v; want 5, true, false", len(events), done, discarded)
	}
	r.Unfollow()
	retried, started, err := begin(l, first, "c", "d", startTime)
	if err != nil || started {
		t.Fatalf("retry: got started %v, error %v; want false and none", started, err)
	}
	if events, done, discarded, _ := retried.EventsFrom(0); len(events) != 0 || !done || !discarded {
		t.Errorf("retry: got %d events, done %v, discarded %v; want 0, true, true", len(events), done, discarded)
	}
	if l.UsedBytes() != 0 {
		t.Errorf("got %d bytes used, want 0", l.UsedBytes())
	}
}

// TestLargeAnswersGiveWay guards against answers that nobody reads taking all memory, and against a request being refused for them.
func TestLargeAnswersGiveWay(t *testing.T) {
	l := ledger.New(smallConfig(), 7)
	first, _ := l.Issue(8, startTime)
	var records []*ledger.Record
	for n := range uint64(3) {
		r, _, err := begin(l, first+n, "c", "d", startTime)
		if err != nil {
			t.Fatal(err)
		}
		r.Follow()
		records = append(records, r)
	}
	for n, size := range []int{18, 11, 10} {
		records[n].Append("part", size)
	}
	if _, _, err := begin(l, first+3, "c", "d", startTime); err != nil {
		t.Errorf("a request beside two large answers: %v", err)
	}
	for n, want := range []bool{true, false, false} {
		if _, _, discarded, _ := records[n].EventsFrom(0); discarded != want {
			t.Errorf("answer %d: discarded %v, want %v", n, discarded, want)
		}
	}
	// The only large answer is not cut.
	records[1].Append("part", 50)
	if _, _, discarded, _ := records[1].EventsFrom(0); discarded {
		t.Error("the only large answer was discarded")
	}
	if _, _, err := begin(l, first+4, "c", "d", startTime); !errors.Is(err, ledger.ErrFull) {
		t.Errorf("got error %v, want ErrFull", err)
	}
	// Two large answers beyond the limit: the larger one is cut, whichever grows.
	records[2].Append("part", 1)
	if _, _, discarded, _ := records[1].EventsFrom(0); !discarded {
		t.Error("the larger of two large answers was kept")
	}
	records[0].Finish()
	records[1].Abandon()
	records[2].Finish()
	if used := l.UsedBytes(); used != 10+11 {
		t.Errorf("got %d bytes used, want those of the request that runs and of the answer that is read", used)
	}
}

// TestAtMostOnce guards against a request running twice, and against a refusal
// that says "not run" for a request that has run. It drives random
// interleavings of retries, crashes, lost answers and time, and counts the
// executions of each request.
//
// Callers retry a request through any entry, also after the incarnation that
// issued its ticket is gone; agents crash and lose their ledger; tickets expire.
// In any order, a request that is bound to one ticket executes at most once.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		incarnation := uint64(1)
		l := ledger.New(smallConfig(), incarnation)
		type ticketID struct{ incarnation, sequence uint64 }
		tickets := map[string]ticketID{}
		running := map[string]*ledger.Record{}
		executed := map[string]int{}
		request := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"bind": func(t *rapid.T) {
				r := request.Draw(t, "request")
				if _, ok := tickets[r]; ok {
					return
				}
				if first, err := l.Issue(1, now); err == nil {
					tickets[r] = ticketID{incarnation, first}
				}
			},
			"send": func(t *rapid.T) {
				r := request.Draw(t, "request")
				b, ok := tickets[r]
				if !ok {
					return
				}
				record, started, err := l.Begin(b.incarnation, b.sequence, "c", []byte(r), now)
				switch {
				case started:
					executed[r]++
					running[r] = record
				case errors.Is(err, ledger.ErrExpired), errors.Is(err, ledger.ErrFull), errors.Is(err, ledger.ErrRequestMismatch):
					if executed[r] > 0 {
						t.Fatalf("request %q ran, but the error says that it did not: %v", r, err)
					}
				}
			},
			"finish": func(t *rapid.T) {
				r := request.Draw(t, "request")
				if record, ok := running[r]; ok {
					record.Append("answer", rapid.IntRange(1, 20).Draw(t, "size"))
					record.Finish()
					delete(running, r)
				}
			},
			"not reached": func(t *rapid.T) {
				r := request.Draw(t, "request")
				if record, ok := running[r]; ok {
					// The endpoint was not reached, so the request counts as not executed.
					executed[r]--
					record.Abandon()
					delete(running, r)
				}
			},
			"crash": func(*rapid.T) {
				incarnation++
				l = ledger.New(smallConfig(), incarnation)
				clear(running)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute)
			},
			"": func(t *rapid.T) {
				for r, n := range executed {
					if n > 1 {
						t.Fatalf("request %q: got %d executions, want at most 1", r, n)
					}
				}
				if l.UsedBytes() < 0 {
					t.Fatalf("got %d bytes used, want 0 or more", l.UsedBytes())
				}
			},
		})
	})
}

func ExampleLedger() {
	l := ledger.New(ledger.DefaultConfig(), 7)
	first, _ := l.Issue(1, startTime)
	record, started, _ := l.Begin(7, first, "donor", []byte("digest"), startTime)
	fmt.Println(started)
	record.Finish()
	_, started, _ = l.Begin(7, first, "donor", []byte("digest"), startTime)
	fmt.Println(started)
	// Output:
	// true
	// false
}
