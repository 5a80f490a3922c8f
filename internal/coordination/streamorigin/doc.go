// Package streamorigin remembers which software version began each stream, and decides whether a stream that a caller
// takes up may go on. What two software versions write does not fit together, and endpoints do not check it: a stream may
// go on only at the version that began it. A stream whose origin is not known is refused rather than guessed, so lost
// knowledge costs a stream but never mixes two versions.
package streamorigin
