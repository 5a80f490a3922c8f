package operatorcli

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"
)

// logLine is one line of a process's log; fields that no rule here needs stay in raw.
type logLine struct {
	Time      time.Time    `json:"time"`
	Host      string       `json:"host"`
	Message   string       `json:"msg"`
	RequestID string       `json:"request_id"`
	Endpoint  string       `json:"endpoint"`
	Took      float64      `json:"took"`
	Attempts  []logAttempt `json:"attempts"`
	// Fingerprint names the same request of the same customer; Runs are those that an endpoint's crash ended.
	Fingerprint string      `json:"fingerprint"`
	Runs        []brokenRun `json:"runs"`
	// HeldPart and HeldPartFingerprint name the part of a prompt for which its request was refused.
	HeldPart            string `json:"held_part"`
	HeldPartFingerprint string `json:"held_part_fingerprint"`
	raw                 json.RawMessage
}

// brokenRun is one of an endpoint's runs when it crashed.
type brokenRun struct {
	Fingerprint string   `json:"fingerprint"`
	Parts       []string `json:"parts"`
}

// subject is what the lines of crashes and quarantines are looked up by: a request, and the part of its prompt for which
// it was refused.
type subject struct{ fingerprint, part, partFingerprint string }

// isAbout reports whether a line is about a request that came before, or about a part, as any process saw it.
func (l logLine) isAbout(s subject) bool {
	if l.Fingerprint != "" && (l.Fingerprint == s.fingerprint || l.Fingerprint == s.partFingerprint) {
		return true
	}
	return slices.ContainsFunc(l.Runs, func(r brokenRun) bool {
		return (r.Fingerprint != "" && r.Fingerprint == s.fingerprint) || (s.part != "" && slices.Contains(r.Parts, s.part))
	})
}

// logAttempt is one attempt of a request, as its line lists it.
type logAttempt struct {
	Endpoint string `json:"endpoint"`
}

// explanation is a request's story: its own lines, and what its process and others
// said around it of what decided it.
type explanation struct {
	RequestID string            `json:"request_id"`
	Lines     []json.RawMessage `json:"lines"`
	// Unreadable counts input lines that are no log lines.
	Unreadable int `json:"unreadable_lines"`
}

// explainBefore is how long before a request's end lines are looked at: the longest
// time that a decision may rest on old knowledge, and clocks that differ by seconds.
const explainBefore = 20 * time.Second

// beliefs are the lines that change what a process believes of anything but one
// endpoint.
var beliefs = map[string]bool{
	"configuration in force": true, "store does not answer": true, "store answers again": true, "weights named": true,
	"started": true, "stopping": true, "stopped": true, "settings reloaded": true, "context store is not used": true,
	"context store listed": true, "requests cut at the end of the time to stop": true,
}

func bindExplain(c *cli) func() int {
	return func() int {
		lines, unreadable, err := readLogs(c.args[1:])
		if err != nil {
			return c.fail(err)
		}
		found := explain(c.args[0], lines)
		if len(found) == 0 {
			fmt.Fprintf(c.Err, "no line names request %s (%d lines read, %d unreadable)\n", c.args[0], len(lines), unreadable)
			return ExitFailed
		}
		if *c.format == "json" {
			e := explanation{RequestID: c.args[0], Unreadable: unreadable}
			for _, l := range found {
				e.Lines = append(e.Lines, l.raw)
			}
			return c.printJSON(e)
		}
		for _, l := range found {
			fmt.Fprintln(c.Out, l.text())
		}
		return ExitOK
	}
}

// readLogs returns the lines of logs.
func readLogs(paths []string) (lines []logLine, unreadable int, err error) {
	err = eachLog(paths, func(log io.Reader) error {
		bad, err := scanObjects(log, func(object []byte) bool {
			var l logLine
			if json.Unmarshal(object, &l) != nil || l.Message == "" {
				return false
			}
			l.raw = bytes.Clone(object)
			lines = append(lines, l)
			return true
		})
		unreadable += bad
		return err
	})
	return lines, unreadable, err
}

// eachLog reads files, or standard input if none is named.
func eachLog(paths []string, read func(io.Reader) error) error {
	if len(paths) == 0 {
		return read(os.Stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		err = read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// maxLogLine bounds one line.
const maxLogLine = 1 << 20

// scanObjects passes on the JSON object in each line, whatever stands before it, and counts lines without one and those
// that take refuses.
func scanObjects(r io.Reader, take func(object []byte) bool) (unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 || !take(scanner.Bytes()[at:]) {
			unreadable++
		}
	}
	return unreadable, scanner.Err()
}

// crashTold is how long after a request's end the crash of its endpoint may be logged.
const crashTold = time.Second

// explain picks a request's lines and those around it, in order of time: of the request that crashed endpoints before
// also what is longer ago.
func explain(id string, lines []logLine) []logLine {
	var out []logLine
	var about subject
	endpoints, hosts := map[string]bool{}, map[string]bool{}
	var begin, end time.Time
	for _, l := range lines {
		if l.RequestID != id {
			continue
		}
		out = append(out, l)
		hosts[l.Host] = true
		about.fingerprint = cmp.Or(l.Fingerprint, about.fingerprint)
		about.part, about.partFingerprint = cmp.Or(l.HeldPart, about.part), cmp.Or(l.HeldPartFingerprint, about.partFingerprint)
		for _, a := range l.Attempts {
			endpoints[a.Endpoint] = true
		}
		began := l.Time.Add(-time.Duration(l.Took * float64(time.Second)))
		if begin.IsZero() || began.Before(begin) {
			begin = began
		}
		if l.Time.After(end) {
			end = l.Time
		}
	}
	for _, l := range lines {
		if l.RequestID == "" && l.isAbout(about) && !l.Time.After(end.Add(crashTold)) {
			out = append(out, l)
			continue
		}
		if l.RequestID != "" || l.Time.Before(begin.Add(-explainBefore)) || l.Time.After(end) {
			continue
		}
		if endpoints[l.Endpoint] || (hosts[l.Host] && beliefs[l.Message]) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].Time.Before(out[b].Time) })
	return out
}

// text gives a line's time, host and message, and then its other fields as written.
func (l logLine) text() string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(l.raw, &fields) != nil {
		return string(l.raw)
	}
	var rest []string
	for name, value := range fields {
		switch name {
		case "time", "host", "msg", "level", "attempts":
			continue
		}
		rest = append(rest, name+"="+string(value))
	}
	sort.Strings(rest)
	out := fmt.Sprintf("%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Host, l.Message, strings.Join(rest, " "))
	var attempts []json.RawMessage
	if json.Unmarshal(fields["attempts"], &attempts) == nil {
		for i, a := range attempts {
			out += fmt.Sprintf("\n    attempt %d: %s", i+1, a)
		}
	}
	return out
}
