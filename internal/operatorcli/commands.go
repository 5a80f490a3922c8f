package operatorcli

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"limpetwall/internal/coordination/entry"
	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fleet"
)

func (c *cli) table(header string, rows func(w *tabwriter.Writer)) int {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	w.Flush()
	return ExitOK
}

// readJSON reads a file strictly: a misspelt field is an error.
func readJSON(name string, into any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%s: %v", name, err)
	}
	return nil
}

func bindPlan(c *cli) func() int {
	file := c.set.Required("f", "file with the request: {\"put\": [...], \"delete\": [...]}")
	save := c.set.Flags().String("save", "", "file to save the plan in, for confirm")
	return func() int {
		var request plan.Request
		if err := readJSON(*file, &request); err != nil {
			return c.fail(err)
		}
		return c.plan(request, *save)
	}
}

// plan asks for the plan of a request, prints it and saves it in a file unless that has no name.
func (c *cli) plan(request plan.Request, file string) int {
	var p plan.Plan
	if _, err := c.call(http.MethodPost, "/v1/plans", request, &p); err != nil {
		return c.fail(err)
	}
	if file != "" {
		data, err := json.MarshalIndent(p, "", "  ")
		if err == nil {
			err = os.WriteFile(file, append(data, '\n'), 0o600)
		}
		if err != nil {
			return c.fail(err)
		}
	}
	if *c.format == "json" {
		return c.printJSON(p)
	}
	return c.printPlan(p)
}

func (c *cli) printPlan(p plan.Plan) int {
	fmt.Fprintf(c.Out, "plan on revision %d; nothing is in force until it is confirmed\n\n", p.BaseRevision)
	c.table("ACTION\tDOCUMENT", func(w *tabwriter.Writer) {
		for _, s := range p.Steps {
			fmt.Fprintf(w, "%s\t%s\n", s.Action, s.Ref)
		}
	})
	if len(p.Effects) > 0 {
		fmt.Fprintln(c.Out)
		c.table("HOST\tENDPOINT\tCHANGE\tSERVICE\tDETAIL", func(w *tabwriter.Writer) {
			for _, e := range p.Effects {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Host, e.Endpoint, e.Change, e.Service, e.Detail)
			}
		})
	}
	for _, warning := range p.Warnings {
		fmt.Fprintf(c.Out, "\nwarning: %s\n", warning)
	}
	return ExitOK
}

func bindConfirm(c *cli) func() int {
	return func() int {
		var p plan.Plan
		if err := readJSON(c.args[0], &p); err != nil {
			return c.fail(err)
		}
		var verdict plan.Result
		_, err := c.call(http.MethodPost, "/v1/plans/confirm", p, &verdict,
			http.StatusConflict, http.StatusUnprocessableEntity, http.StatusServiceUnavailable, http.StatusAccepted)
		if err != nil {
			return c.fail(err)
		}
		if verdict.Outcome == "" {
			return c.fail(fmt.Errorf("the entry could not take the plan; try another or later"))
		}
		if *c.format == "json" {
			c.printJSON(verdict)
		} else {
			c.printVerdict(verdict)
		}
		switch verdict.Outcome {
		case plan.Applied:
			return ExitOK
		case plan.Unknown:
			return ExitUnknown
		default:
			return ExitNotApplied
		}
	}
}

func (c *cli) printVerdict(v plan.Result) {
	fmt.Fprintf(c.Out, "%s: %s\n", v.Outcome, v.Message)
	if v.Revision > 0 {
		fmt.Fprintf(c.Out, "revision %d\n", v.Revision)
	}
	for _, d := range v.Differences {
		fmt.Fprintf(c.Out, "  %s: planned on revision %d, now %d\n", d.Ref, d.PlannedOn, d.Now)
	}
	if len(v.Findings) > 0 {
		fmt.Fprintln(c.Out, &finding.Error{Findings: v.Findings})
	}
}

func bindGet(c *cli) func() int {
	return func() int {
		path := "/v1/config/" + url.PathEscape(c.args[0])
		if len(c.args) == 2 {
			var d entry.Described
			if _, err := c.call(http.MethodGet, path+"/"+url.PathEscape(c.args[1]), nil, &d); err != nil {
				return c.fail(err)
			}
			return c.printDocuments([]entry.Described{d}, d)
		}
		var list []entry.Described
		if _, err := c.call(http.MethodGet, path, nil, &list); err != nil {
			return c.fail(err)
		}
		return c.printDocuments(list, list)
	}
}

func (c *cli) printDocuments(list []entry.Described, asJSON any) int {
	if *c.format == "json" {
		return c.printJSON(asJSON)
	}
	return c.table("ID\tREVISION\tSPEC", func(w *tabwriter.Writer) {
		for _, d := range list {
			fmt.Fprintf(w, "%s\t%d\t%s\n", d.ID, d.Revision, d.Spec)
		}
	})
}

func bindStatus(c *cli) func() int {
	return func() int {
		var s entry.Status
		if _, err := c.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
			return c.fail(err)
		}
		if *c.format == "json" {
			return c.printJSON(s)
		}
		fmt.Fprintf(c.Out, "as seen by %s at revision %d\n\n", s.Entry, s.Revision)
		for _, b := range s.Blocked {
			fmt.Fprintf(c.Out, "rollout of intent %s: %s\n\n", b.Intent, b.Reason)
		}
		for _, domain := range s.Evacuated {
			fmt.Fprintf(c.Out, "failure domain %s is evacuated\n\n", domain)
		}
		return c.table("MEMBER\tROLE\tSTATE\tDOMAIN\tHOST\tREVISION\tMODEL\tRUNNING\tWAITING", func(w *tabwriter.Writer) {
			for _, m := range s.Members {
				revision := fmt.Sprint(m.Revision)
				if m.Lags {
					revision += " LAGS"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", m.ID, m.Role, m.StateName, m.Domain, m.Host, revision,
					served(m.Endpoint), m.Load.Running, m.Load.Queued)
			}
		})
	}
}

// served tells what an endpoint serves and what became of its last order.
func served(e fleet.Endpoint) string {
	text := strings.TrimSpace(e.Model + " " + e.WeightVersion)
	if e.Loading {
		text += " LOADING"
	}
	if e.OrderError != "" {
		text += " FAILED: " + e.OrderError
	}
	return text
}

func bindReport(c *cli) func() int {
	html := c.set.Flags().String("html", "", "file to write the report to as one HTML page")
	return func() int {
		if c.args[0] != "burn" {
			return c.fail(fmt.Errorf("unknown report %q, there is: burn", c.args[0]))
		}
		if *html != "" {
			return c.saveHTML(*html)
		}
		var r errorbudget.Report
		if _, err := c.call(http.MethodGet, "/v1/reports/burn", nil, &r); err != nil {
			return c.fail(err)
		}
		if *c.format == "json" {
			return c.printJSON(r)
		}
		return c.printBurn(r)
	}
}

func (c *cli) saveHTML(name string) int {
	var page []byte
	if _, err := c.call(http.MethodGet, "/v1/reports/burn?format=html", nil, &page); err != nil {
		return c.fail(err)
	}
	if err := os.WriteFile(name, page, 0o644); err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.Out, "%s written\n", name)
	return ExitOK
}

func (c *cli) printBurn(r errorbudget.Report) int {
	for _, id := range r.Missing {
		fmt.Fprintf(c.Out, "no answer from %s: its requests are missing here\n", id)
	}
	header := "CUSTOMER\tSERVICE\tTARGET\tP50 MS\tP95 MS\tP99 MS"
	for _, length := range errorbudget.Windows {
		header += "\tBURN " + length.String()
	}
	return c.table(header, func(w *tabwriter.Writer) {
		for _, row := range r.Rows {
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.1f\t%.1f\t%.1f", row.Customer, row.Service, row.Target, row.P50MS, row.P95MS, row.P99MS)
			for _, window := range row.Windows {
				fmt.Fprintf(w, "\t%.2f", window.Rate)
			}
			fmt.Fprintln(w)
		}
	})
}

func bindKey(c *cli) func() int {
	return func() int {
		var raw [24]byte
		rand.Read(raw[:])
		key := "lwk_" + hex.EncodeToString(raw[:])
		if *c.format == "json" {
			return c.printJSON(map[string]string{"key": key, "hash": config.HashKey(key)})
		}
		fmt.Fprintf(c.Out, "key   %s\nhash  %s\n", key, config.HashKey(key))
		return ExitOK
	}
}

func bindCompletion(c *cli) func() int {
	return func() int {
		names := make([]string, 0)
		for name := range commands() {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(c.Out, "complete -W %q limpetctl\n", strings.Join(names, " "))
		return ExitOK
	}
}
