package operatorcli

import (
	"encoding/json"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
)

// bindEvacuate plans the evacuation of a failure domain, or its end.
func bindEvacuate(c *cli) func() int {
	back := c.set.Flags().Bool("back", false, "take the evacuation back")
	reason := c.set.Flags().String("reason", "", "shown to other operators")
	save := c.set.Flags().String("save", "", "file to save the plan in, for confirm")
	return func() int {
		ref := config.Ref{Kind: config.KindEvacuation, ID: c.args[0]}
		if *back {
			return c.plan(plan.Request{Delete: []config.Ref{ref}}, *save)
		}
		spec, err := json.Marshal(config.Evacuation{Reason: *reason})
		if err != nil {
			return c.fail(err)
		}
		return c.plan(plan.Request{Put: []config.Document{{Ref: ref, Spec: spec}}}, *save)
	}
}
