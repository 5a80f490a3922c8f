package softwarerecord

import (
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/transport/objectapi/standin"
)

// TestFirstStartEndsForAll guards against a process that takes the routes in force for the first ones of the system: they were changed
// before it knew any, and others led streams by the first.
func TestFirstStartEndsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		slow := startRouter(t, store, true, 0, StreamTargets{})
		time.Sleep(time.Second)
		other := startRouter(t, store, true, 1, StreamTargets{Fingerprint: 1, ConfigVersion: 1, Since: time.Now()})
		time.Sleep(2 * checkInterval)
		other.leads(2, 2)
		time.Sleep(time.Second)
		slow.leads(2, 2)
		time.Sleep(time.Second)
		checkSettled(t, "seconds after streams were led elsewhere", store, 0)
	})
}
