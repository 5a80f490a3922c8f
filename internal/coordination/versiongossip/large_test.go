//go:build !race

// The race detector of Go 1.26 does not always survive thousands of goroutines in one synctest bubble.

package versiongossip

import "testing"

// TestLargeFleetLearnsAge is TestFleetLearnsAge for as many processes as a large fleet has.
func TestLargeFleetLearnsAge(t *testing.T) { playFleet(t, 370) }
