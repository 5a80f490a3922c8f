package errorbudget

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/juju/errors"
)

const (
	plotWidth   = 360
	plotHeight  = 48
	plotMinutes = 60
)

var reportTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{"plot": plot, "class": rateClass}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px system-ui,sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,td:nth-child(2),th:first-child,th:nth-child(2){text-align:left}
.hot{background:#fbd5d5}.warm{background:#fdf0d0}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At.Format "2006-01-02 15:04:05 MST"}}, {{.Entries}} entries{{if .Missing}}; <b>no answer from {{range .Missing}}{{.}} {{end}}: their requests are missing here</b>{{end}}.
A rate of 1 uses the error budget exactly; bars show good (grey) and bad (red) requests a minute over the last hour.</p>
<table><tr><th>customer</th><th>service</th><th>target</th><th>objective ms</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th>
{{range $i, $w := (index .Windows 0)}}<th>burn {{$w}}</th>{{end}}<th>last hour</th></tr>
{{$at := .At}}{{range .Rows}}<tr><td>{{.Customer}}</td><td>{{.Service}}</td><td>{{printf "%.3f" .Target}}</td><td>{{.TTFTMS}}</td>
<td>{{printf "%.1f" .P50MS}}</td><td>{{printf "%.1f" .P95MS}}</td><td>{{printf "%.1f" .P99MS}}</td>
{{range .Windows}}<td class="{{class .Rate}}" title="{{.Good}} good, {{.Bad}} bad">{{printf "%.2f" .Rate}}</td>{{end}}
<td>{{plot .Minutes $at.Unix}}</td></tr>
{{end}}</table></body></html>
`))

func rateClass(rate float64) string {
	switch {
	case rate >= 6:
		return "hot"
	case rate >= 1:
		return "warm"
	}
	return ""
}

// plot draws requests per minute as an SVG bar chart.
func plot(minutes []Minute, now int64) template.HTML {
	maxTotal := int64(1)
	for _, m := range minutes {
		maxTotal = max(maxTotal, m.Good+m.Bad)
	}
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg width="%d" height="%d" role="img">`, plotWidth, plotHeight)
	const barWidth = plotWidth / plotMinutes
	for _, m := range minutes {
		x := (plotMinutes - 1 - (now/60 - m.At)) * barWidth
		if x < 0 {
			continue
		}
		good, bad := m.Good*plotHeight/maxTotal, m.Bad*plotHeight/maxTotal
		fmt.Fprintf(&svg, `<rect x="%d" y="%d" width="%d" height="%d" fill="#999"/>`, x, plotHeight-good, barWidth-1, good)
		fmt.Fprintf(&svg, `<rect x="%d" y="%d" width="%d" height="%d" fill="#c33"/>`, x, plotHeight-good-bad, barWidth-1, bad)
	}
	svg.WriteString("</svg>")
	return template.HTML(svg.String())
}

// WriteHTML writes the report as one self-contained page.
func WriteHTML(w io.Writer, r Report) error {
	lengths := make([]string, 0, len(Windows))
	for _, length := range Windows {
		lengths = append(lengths, length.String())
	}
	data := struct {
		Report
		Windows [][]string
	}{r, [][]string{lengths}}
	return errors.Trace(reportTemplate.Execute(w, data))
}
