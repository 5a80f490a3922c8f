package plan

import (
	"context"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/coordination/configlog"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/objectapi"
)

// Confirmer applies plans through the platform's object API.
type Confirmer struct {
	Log   *configlog.Log
	Store *config.Store
	Salt  SaltFunc
	Now   func() time.Time
	// MaxTries bounds the attempts of one confirm: each reads the log and writes
	// at most one change.
	MaxTries int
}

// Confirm applies a plan and returns what became of it.
//
// When the answer to a write is lost, the write may still be in flight, and a
// later read that does not show the change proves nothing. Confirm therefore
// writes the same plan again with the same version condition. Whichever copy
// arrives first becomes the revision, the other is refused with a conflict, and
// the next read finds the plan's ID. Confirm returns "not applied" only if no
// write can take effect any more: none was sent, each was refused, or the head
// has moved past the version that the lost write was conditional on.
func (c *Confirmer) Confirm(ctx context.Context, p Plan) Result {
	outcomeUnknown := false
	var lostWriteHead configlog.Head
	for range c.MaxTries {
		head, err := c.Log.Read(ctx)
		if err == nil {
			err = c.Log.CatchUp(ctx, c.Store, head)
		}
		if err != nil {
			return failureResult(p, outcomeUnknown, err)
		}
		view := c.Store.View()
		if view.Revision != head.Revision {
			// A newer change reached this process while it read; read again.
			continue
		}
		result := Decide(view, p)
		if result.Outcome != Ready {
			return result
		}
		if outcomeUnknown && !head.HasSameVersion(lostWriteHead) {
			outcomeUnknown = false
		}
		change, err := BuildChange(view, p, c.Salt, c.Now())
		if err != nil {
			return Result{Outcome: Invalid, PlanID: p.ID, Message: err.Error()}
		}
		err = c.Log.Append(ctx, head, view, change)
		switch {
		case err == nil:
			return c.applyLocally(p, change)
		case errors.Is(err, objectapi.ErrConflict):
		case errors.Is(err, objectapi.ErrOutcomeUnknown):
			outcomeUnknown = true
			lostWriteHead = head
		default:
			return failureResult(p, outcomeUnknown, err)
		}
	}
	return failureResult(p, outcomeUnknown, errors.New("too many racing changes"))
}

// applyLocally puts the accepted change in force in this process at once. A
// failure does not alter the answer: the next read from the platform or from a
// peer brings the store up to date.
func (c *Confirmer) applyLocally(p Plan, change config.Change) Result {
	c.Store.Apply(change)
	return Result{Outcome: Applied, PlanID: p.ID, Revision: change.Revision, Message: "the plan is applied"}
}

// failureResult returns Unknown if a write may still take effect, and
// Unavailable if none can.
func failureResult(p Plan, outcomeUnknown bool, err error) Result {
	if outcomeUnknown {
		return Result{
			Outcome: Unknown, PlanID: p.ID,
			Message: "the platform did not answer after the write was sent: confirm the same plan again to learn its outcome (" + err.Error() + ")",
		}
	}
	return Result{
		Outcome: Unavailable, PlanID: p.ID,
		Message: "not applied: " + err.Error(),
	}
}
