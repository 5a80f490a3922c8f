// Package gateway forwards callers' HTTP requests to endpoints without changing them.
// It authorizes callers, chooses the endpoint for each request, retries or resumes
// failed attempts where that is safe, and decides which error a caller gets when no
// endpoint answers.
package gateway
