// Package command builds the processes from their parts: it reads settings, opens listeners, starts
// background loops and stops them in order.
package command
