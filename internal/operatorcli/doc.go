// Package operatorcli is limpetctl: the operators' command line. It talks to
// any entry and keeps nothing.
package operatorcli
