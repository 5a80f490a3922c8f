package ingress

import (
	"io"
	"net/http"
)

// headWriter adds "Connection: close" to an answer if the server is stopping when its head is written,
// which may be long after its request was read.
type headWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	server  *Server
	// http1 is set for HTTP/1.1, whose answers carry the Connection header; HTTP/2 sends GOAWAY instead.
	http1, wrote bool
}

// beforeHead is called before an answer's head is written.
func (w *headWriter) beforeHead() {
	if w.http1 && !w.wrote && w.server.closeAfterAnswer.Load() {
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

// FlushError is used by http.ResponseController.
func (w *headWriter) FlushError() error {
	w.beforeHead()
	return w.control.Flush()
}

// Unwrap is used by http.ResponseController.
func (w *headWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// MaxBytesReader is http.MaxBytesReader for writers that wrap net/http's own. http.MaxBytesReader must
// get the innermost writer, which then closes the connection if a body exceeds its limit.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	for {
		outer, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, body, limit)
		}
		w = outer.Unwrap()
	}
}
