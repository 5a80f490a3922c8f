// Package ingresstest plays crowds of clients that don't behave against real processes, and measures the memory and the
// descriptors that the processes use for them.
package ingresstest
