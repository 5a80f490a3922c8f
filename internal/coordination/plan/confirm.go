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
	// MaxTries bounds the writes of one confirm.
	MaxTries int
}

// Confirm applies a plan and returns the one true answer.
//
// After a write whose answer was lost, a read that does not show it proves
// nothing: the write may still be underway. The same plan is therefore written
// again under the same version condition; whichever copy arrives first takes
// the revision, the other meets a conflict, and the next read finds the plan's
// id. "Not applied" is only said before any write was sent, or once the head
// has moved past the version that a lost write was bound to.
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

// applyLocally puts the accepted change in force here at once. The next reader of
// the platform or of a peer repairs a failure, so it does not change the answer.
func (c *Confirmer) applyLocally(p Plan, change config.Change) Result {
	c.Store.Apply(change)
	return Result{Outcome: Applied, PlanID: p.ID, Revision: change.Revision, Message: "the plan is applied"}
}

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
