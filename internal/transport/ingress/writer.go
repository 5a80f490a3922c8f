package ingress

import (
	"io"
	"net/http"
)

// headWriter has answers say that their connection ends if the server has begun to stop when
// their head is written, which may be long after their request was read.
type headWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	server  *Server
	// http1 answers carry the Connection header; HTTP/2 has frames for it.
	http1, wrote bool
}

// beforeHead sets the header of an answer whose head is about to be written.
func (w *headWriter) beforeHead() {
	if w.http1 && !w.wrote && w.server.stopKeeping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wrote = true
}

// WriteHeader implements http.ResponseWriter.
func (w *headWriter) WriteHeader(status int) {
	if status >= 200 || status == http.StatusSwitchingProtocols {
		w.beforeHead()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *headWriter) Write(b []byte) (int, error) {
	w.beforeHead()
	return w.ResponseWriter.Write(b)
}

// FlushError serves http.ResponseController.
func (w *headWriter) FlushError() error {
	w.beforeHead()
	return w.control.Flush()
}

// Unwrap serves http.ResponseController.
func (w *headWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// MaxBytesReader is http.MaxBytesReader for writers that wrap net/http's own, which is the one
// that must be told to close the connection on what is left of a body over its limit.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	for {
		outer, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, body, limit)
		}
		w = outer.Unwrap()
	}
}
