// Package answerend finds out whether an answer that only the end of its connection delimits is whole.
//
// The kernel ends the connections of a process that crashes as the process itself ends a complete answer. Such an answer is
// whole only if its process was alive after it: Conn reports resets that a concurrent write has consumed, Watch collects the
// evidence about the process, and Evidence.IsWhole decides.
package answerend
