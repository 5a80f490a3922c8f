// Package contentreport tells the processes of a failure domain what stores and engines hold,
// as those of them hear it that follow each for all. Every process needs to know it for each
// prompt, and stores and engines answer only a dozen that ask.
package contentreport
