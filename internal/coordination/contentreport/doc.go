// Package contentreport exchanges reports of what stores and engines hold between the processes
// of a failure domain. Every process needs these contents for each prompt, but stores and engines
// accept only about a dozen waiting calls. So a few processes follow each store or engine and
// report it to the others.
package contentreport
