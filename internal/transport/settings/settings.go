// Package settings reads a process's settings from flags and their environment
// twins, and reports every bad one together.
package settings

import (
	"flag"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"limpetwall/internal/state/finding"
)

// EnvPrefix begins the environment twin of each flag: -peer-listen is
// LIMPETWALL_PEER_LISTEN.
const EnvPrefix = "LIMPETWALL_"

const maskedValue = "********"

// LookupEnv finds an environment variable; os.LookupEnv in a real process.
type LookupEnv func(string) (string, bool)

// Set is a flag set with environment twins and checks.
type Set struct {
	flags    *flag.FlagSet
	secrets  map[string]bool
	checks   []func(*finding.List)
	findings finding.List
	print    *bool
	// origins holds where each setting that is not a default was given.
	origins map[string]string
}

// New returns an empty set for the named process.
func New(name string) *Set {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	set := &Set{flags: flags, secrets: map[string]bool{}, origins: map[string]string{}}
	set.print = flags.Bool("print-config", false, "print the settings in force, secrets masked, and exit")
	return set
}

// Flags gives the underlying flag set, for settings that need no check.
func (s *Set) Flags() *flag.FlagSet { return s.flags }

// Secret is a string setting whose value is never printed.
func (s *Set) Secret(name, usage string) *string {
	s.secrets[name] = true
	return s.flags.String(name, "", usage)
}

// Required is a string setting that must not be empty.
func (s *Set) Required(name, usage string) *string {
	value := s.flags.String(name, "", usage)
	s.Check(func(l *finding.List) {
		if *value == "" {
			l.Add("-"+name, "is required: %s", usage)
		}
	})
	return value
}

// Int is an integer setting within [low, high].
func (s *Set) Int(name string, def, low, high int, usage string) *int {
	value := s.flags.Int(name, def, fmt.Sprintf("%s (%d to %d)", usage, low, high))
	s.Check(func(l *finding.List) {
		if *value < low || *value > high {
			l.Add("-"+name, "is %d, must be %d to %d", *value, low, high)
		}
	})
	return value
}

// Duration is a time setting within [low, high].
func (s *Set) Duration(name string, def, low, high time.Duration, usage string) *time.Duration {
	value := s.flags.Duration(name, def, fmt.Sprintf("%s (%s to %s)", usage, low, high))
	s.Check(func(l *finding.List) {
		if *value < low || *value > high {
			l.Add("-"+name, "is %s, must be %s to %s", *value, low, high)
		}
	})
	return value
}

// Check adds a check that runs after all settings are read.
func (s *Set) Check(check func(*finding.List)) { s.checks = append(s.checks, check) }

// PrintRequested reports whether -print-config was given.
func (s *Set) PrintRequested() bool { return *s.print }

// Parse reads flags, then environment twins for flags not given. Its error is a
// *finding.Error with every bad setting, or flag.ErrHelp.
func (s *Set) Parse(args []string, env LookupEnv) error {
	args = s.extractBadValues(args)
	if err := s.flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return err
		}
		s.findings.Add("command line", "%v", err)
	}
	for _, extra := range s.flags.Args() {
		s.findings.Add("command line", "unexpected argument %q", extra)
	}
	s.applyEnv(env)
	for _, check := range s.checks {
		check(&s.findings)
	}
	return s.findings.Err()
}

// extractBadValues tries each flag on its own first: the flag package stops at the
// first bad value, and the operator would see one fault per start.
func (s *Set) extractBadValues(args []string) []string {
	kept := make([]string, 0, len(args))
	for i := 0; i < len(args); i++ {
		name, value, inline := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		known := s.flags.Lookup(name)
		takesNext := known != nil && !inline && !isBool(known) && i+1 < len(args)
		if takesNext {
			value = args[i+1]
		}
		if known == nil || (!takesNext && !inline) {
			kept = append(kept, args[i])
			continue
		}
		if err := known.Value.Set(value); err != nil {
			s.findings.Add("-"+name, "%q is not valid: %v", value, err)
		} else {
			kept = append(kept, "-"+name+"="+value)
		}
		if takesNext {
			i++
		}
	}
	return kept
}

func isBool(f *flag.Flag) bool {
	b, ok := f.Value.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

func (s *Set) applyEnv(env LookupEnv) {
	s.flags.Visit(func(f *flag.Flag) { s.origins[f.Name] = "command line" })
	s.flags.VisitAll(func(f *flag.Flag) {
		name := EnvName(f.Name)
		value, ok := env(name)
		if !ok || s.origins[f.Name] != "" {
			return
		}
		s.origins[f.Name] = name
		if err := f.Value.Set(value); err != nil {
			s.findings.Add(name, "%q is not valid: %v", value, err)
		}
	})
}

// EnvName gives the environment twin of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Print writes the settings in force, one a line, secrets masked, each with where it was
// given.
func (s *Set) Print(w io.Writer) {
	var lines []string
	s.flags.VisitAll(func(f *flag.Flag) {
		value := f.Value.String()
		if s.secrets[f.Name] && value != "" {
			value = maskedValue
		}
		origin := s.origins[f.Name]
		if origin == "" {
			origin = "default"
		}
		lines = append(lines, f.Name+"="+strconv.Quote(value)+"  # "+origin)
	})
	sort.Strings(lines)
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// Usage writes the help text of all settings.
func (s *Set) Usage(w io.Writer) {
	s.flags.SetOutput(w)
	s.flags.PrintDefaults()
	s.flags.SetOutput(io.Discard)
}
