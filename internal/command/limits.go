package command

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"limpetwall/internal/state/finding"
	"limpetwall/internal/transport/memquota"
)

const (
	// callersPart is the part of the process's memory that may be held for callers' requests, connsPart that for their
	// connections, and connBytes what each connection takes.
	callersPart = 0.2
	connsPart   = 0.2
	connBytes   = 24 << 10
	// buffersPart is the part of the memory for large parts of answers that are being passed on, minBuffers of them at least.
	buffersPart = 0.05
	minBuffers  = 4
	// largestPart is the part of the memory that one request may take.
	largestPart = 0.5
	// keptPart is the part of an agent's memory for answers that it keeps, answerPart that for a single one.
	keptPart   = 0.125
	answerPart = 0.25
	// callersSockets is the part of the process's sockets that callers' connections may take, as each request takes another one,
	// and peersSockets that for connections from the system's own processes.
	callersSockets = 0.5
	peersSockets   = 0.25
	// maxProbeConns bounds the connections at each address for probes and metrics.
	maxProbeConns = 32
	// reservedDescriptors of a process's limit are for files and its own connections, half of it at most.
	reservedDescriptors = 200
)

// Limits are what a process may use. Zero values bound nothing.
type Limits struct {
	MemoryBytes int64
	// Sockets that may be open.
	Sockets int
}

// standardMemory is what a process may use if its settings do not say so, in bytes: it shares its host with others.
const standardMemory = 1 << 30

// newLimits returns the limits of a process by its settings, where 0 stands for what the machine allows, standardMemory at most.
func newLimits(memoryMB, descriptors int) Limits {
	l := Limits{MemoryBytes: int64(memoryMB) << 20}
	var machine unix.Sysinfo_t
	if memoryMB == 0 && unix.Sysinfo(&machine) == nil {
		l.MemoryBytes = min(int64(machine.Totalram)*int64(machine.Unit), standardMemory)
	}
	var files unix.Rlimit
	if descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		descriptors = int(min(files.Cur, 1<<24))
	}
	l.Sockets = max(descriptors-reservedDescriptors, descriptors/2)
	return l
}

// apply lets the garbage collector run more often near the limit of memory.
func (l Limits) apply() {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(l.MemoryBytes)))
	}
}

// Quota returns the quota of callers' requests, of which a single one may take largest bytes; nil if there is no limit.
func (l Limits) Quota(largest int64) *memquota.Quota {
	if l.MemoryBytes <= 0 {
		return nil
	}
	memory := float64(l.MemoryBytes)
	q := memquota.New(int64(callersPart*memory), int64(largestPart*memory))
	q.AllowBuffers(max(minBuffers, int(buffersPart*memory)/memquota.BufferSize))
	q.Require(largest)
	return q
}

// part returns a part of the memory in bytes, most at most.
func (l Limits) part(part float64, most int64) int64 {
	if l.MemoryBytes <= 0 {
		return most
	}
	return min(most, int64(part*float64(l.MemoryBytes)))
}

// checkLargest adds a finding if one request could take too much of the memory.
func (l Limits) checkLargest(found *finding.List, place string, largest int64) {
	if need := int64(float64(memquota.LimitFor(largest)) / largestPart); l.MemoryBytes > 0 && l.MemoryBytes < need {
		found.Add(place, "is %d, must be at least %d for requests of -max-body", l.MemoryBytes>>20, need>>20+1)
	}
}

// CallerConns bounds the connections of callers, 0 if there is no limit.
func (l Limits) CallerConns() int {
	conns := int(callersSockets * float64(l.Sockets))
	if bytes := int(connsPart * float64(l.MemoryBytes) / connBytes); bytes > 0 && (conns <= 0 || bytes < conns) {
		return bytes
	}
	return max(0, conns)
}

// PeerConns bounds the connections from the system's own processes.
func (l Limits) PeerConns() int { return max(1, int(peersSockets*float64(l.Sockets))) }
