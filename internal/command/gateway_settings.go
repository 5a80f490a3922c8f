package command

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/transport/settings"
	"limpetwall/platform"
)

// standardRequestLines is six times the peak rate of a process on the heaviest day (81 lines, 45 KB a
// second).
const standardRequestLines = 500

// GatewaySettings are the settings of a gateway: the platform's own file, and what
// the file leaves open.
type GatewaySettings struct {
	Platform platform.Settings
	LogLevel string
	// RequestLines is the maximum number of requests logged per second.
	RequestLines *int
	// MoveRuns enables moving runs to another engine while theirs loads weights or leaves.
	MoveRuns *bool
	// Path of the platform's file.
	Path string
}

func bindGateway(set *settings.Set) *GatewaySettings {
	s := &GatewaySettings{}
	f := set.Flags()
	f.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	s.RequestLines = set.Int("log-requests", standardRequestLines, 1, 100_000, "lines of requests a second in the log; those beyond are counted only")
	s.MoveRuns = f.Bool("move-runs", true, "let running requests go on at another engine while theirs loads weights or leaves")
	f.StringVar(&s.Path, "config", "", "path of the platform's settings file (required)")
	return s
}

// reload reads the platform's settings file again. Only the time to stop takes
// effect at once; the rest is fixed in parts that are running.
func (p *gatewayProcess) reload() { p.applySettings(platform.ReadSettings(p.settings.Path)) }

// maxFinalReload bounds the read of the settings file in a stop.
const maxFinalReload = 100 * time.Millisecond

// reloadInTime reads the settings file before a stop: it may have changed without a signal, and with it the time to stop.
func (p *gatewayProcess) reloadInTime() {
	type result struct {
		settings platform.Settings
		err      error
	}
	read := make(chan result, 1)
	go func() {
		next, err := platform.ReadSettings(p.settings.Path)
		read <- result{next, err}
	}()
	select {
	case r := <-read:
		if r.err != nil || len(changedPlaces(p.settings.Platform, r.settings)) > 0 {
			p.applySettings(r.settings, r.err)
		}
	case <-time.After(maxFinalReload):
		p.log.Warn("settings file is not read in time, the old settings stay in force", zap.String("path", p.settings.Path))
	}
}

// applySettings puts settings that were read in force.
func (p *gatewayProcess) applySettings(next platform.Settings, err error) {
	if err != nil {
		p.log.Error("settings not reloaded, the old ones stay in force", zap.String("path", p.settings.Path), zap.Error(err))
		return
	}
	now := p.settings.Platform
	changed := changedPlaces(now, next)
	now.Bounds.StopGrace = next.Bounds.StopGrace
	p.log.Info("settings reloaded", zap.Duration("time_to_stop", now.Bounds.StopGrace),
		zap.Strings("changed", changed), zap.Strings("need_restart", changedPlaces(now, next)))
	p.settings.Platform = now
}

// changedPlaces names the settings in which two files differ, with both values.
func changedPlaces(old, next platform.Settings) []string {
	out := []string{}
	before := old.Values()
	for i, v := range next.Values() {
		if v != before[i] {
			out = append(out, fmt.Sprintf("%s: %s to %s", v.Place, before[i].Value, v.Value))
		}
	}
	return out
}
