package command

import (
	"flag"
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"limpetwall/internal/transport/logging"
	"limpetwall/internal/transport/settings"
)

// Exit codes of limpetwall.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

const usage = `limpetwall serves language-model prompts whose context returns after long gaps.

Usage: limpetwall COMMAND [settings]

  entry      serve callers and operators
  agent      run beside one endpoint
  gateway    forward callers' HTTP requests on the users' platform
  dev        run entries, agents and stand-ins of all outside systems in one process
  standin    run one stand-in alone: engine, store, objectapi, hostlist, service, weights

Each setting is a flag and an environment variable: -peer-listen is
LIMPETWALL_PEER_LISTEN. "limpetwall COMMAND -h" lists them, -print-config shows
those in force. Exit codes: 0 stopped as told, 1 failed, 2 bad settings.
`

// IO holds a process's outputs, environment and signals.
type IO struct {
	Out, Err io.Writer
	Env      settings.LookupEnv
	Signals  Signals
}

// Main runs limpetwall and returns its exit code.
func Main(args []string, io IO) int {
	if len(args) == 0 {
		fmt.Fprint(io.Err, usage)
		return ExitSettings
	}
	commands := map[string]func([]string, IO) int{
		"entry": entryMain, "agent": agentMain, "gateway": gatewayMain, "dev": devMain, "standin": standinMain,
	}
	run, ok := commands[args[0]]
	if !ok {
		if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
			fmt.Fprint(io.Out, usage)
			return ExitOK
		}
		fmt.Fprintf(io.Err, "unknown command %q\n\n%s", args[0], usage)
		return ExitSettings
	}
	return run(args[1:], io)
}

// parse reads settings; done means that the process should exit with code.
func parse(set *settings.Set, args []string, io IO) (code int, done bool) {
	if code, done := parseOnly(set, args, io); done {
		return code, true
	}
	if set.PrintRequested() {
		set.Print(io.Out)
		return ExitOK, true
	}
	return ExitOK, false
}

// parseOnly is parse without printing the settings in force.
func parseOnly(set *settings.Set, args []string, io IO) (code int, done bool) {
	err := set.Parse(args, io.Env)
	switch {
	case err == flag.ErrHelp:
		set.Usage(io.Out)
		return ExitOK, true
	case err != nil:
		parseFailed(io, err)
		return ExitSettings, true
	}
	return ExitOK, false
}

func parseFailed(io IO, err error) { fmt.Fprintf(io.Err, "settings:\n%v\n", err) }

func newLogger(level string, io IO) *zap.Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	return logging.New(io.Err, parsed)
}

// newAsyncLogger returns a logger that does not wait for the reader of its lines, and a function that waits a little for it at the
// end.
func newAsyncLogger(level string, streams IO) (*zap.Logger, func()) {
	out := logging.NewAsyncWriter(streams.Err, logLines)
	streams.Err = out
	logger := newLogger(level, streams)
	return logger, func() {
		if dropped := out.Dropped(); dropped > 0 {
			logger.Warn("log lines dropped", zap.Int64("log_lines_dropped", dropped))
		}
		out.Close(logFlush)
	}
}

func entryMain(args []string, io IO) int {
	set := settings.New("limpetwall entry")
	s := BindEntry(set)
	if code, done := parse(set, args, io); done {
		return code
	}
	logger, closeLog := newAsyncLogger(s.LogLevel, io)
	s.Limits.apply()
	code := finish(logger, RunEntry(s, logger, io.Signals.watch()))
	closeLog()
	return code
}

func agentMain(args []string, io IO) int {
	set := settings.New("limpetwall agent")
	s := BindAgent(set)
	if code, done := parse(set, args, io); done {
		return code
	}
	logger, closeLog := newAsyncLogger(s.LogLevel, io)
	if s.MemoryIsSet {
		// What an agent holds, such as blocks of context, has no bound in its settings.
		s.Limits.apply()
	}
	code := finish(logger, RunAgent(s, logger, io.Signals.watch()))
	closeLog()
	return code
}

func finish(logger *zap.Logger, err error) int {
	if err != nil {
		logger.Error("failed", zap.Error(err))
		return ExitFailed
	}
	return ExitOK
}
