package fault

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Noise names bytes that are no answer, or no end of one, and that come until the caller closes.
type Noise string

// noiseKind is how a noise begins and goes on.
type noiseKind struct {
	// begin is written once; %s stands for the header fields of an answer.
	begin string
	// repeat is written until the connection closes, with a pause after each time.
	repeat string
	pause  time.Duration
}

const (
	okLine    = "HTTP/1.1 200 OK\r\n"
	chunkHead = okLine + "%sTransfer-Encoding: chunked\r\n\r\n"
)

// noiseBlock is written at a time where nothing has to be counted.
var noiseBlock = strings.Repeat("x", 32<<10)

var headNoises = map[Noise]noiseKind{
	"head bytes":       {repeat: noiseBlock},
	"status line":      {begin: "HTTP/1.1 200 ", repeat: noiseBlock},
	"header line":      {begin: okLine + "%sX-Noise: ", repeat: noiseBlock},
	"header lines":     {begin: okLine + "%s", repeat: strings.Repeat("N: x\r\n", 1000)},
	"interim answers":  {repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
	"slow header line": {begin: okLine + "%sX-Noise: ", repeat: "x", pause: 20 * time.Millisecond},
	"foreign answers":  {repeat: strings.Repeat(okLine+"Attempt-Id: nobody\r\nContent-Length: 1\r\n\r\nx", 100)},
}

var bodyNoises = map[Noise]noiseKind{
	"chunk size":        {begin: chunkHead, repeat: strings.Repeat("0", 1000)},
	"chunk extension":   {begin: chunkHead + "1;", repeat: noiseBlock},
	"trailers":          {begin: chunkHead + "0\r\n", repeat: strings.Repeat("N: x\r\n", 1000)},
	"event line":        {begin: chunkHead + "fffffffff\r\nid: 1\ndata: ", repeat: noiseBlock},
	"body without end":  {begin: okLine + "%sConnection: close\r\n\r\n", repeat: noiseBlock},
	"bytes beyond body": {begin: okLine + "%sContent-Length: 7\r\n\r\nid: 1\n\n", repeat: noiseBlock},
}

// HeadNoises returns the kinds that stand in an answer's head.
func HeadNoises() []Noise { return noisesOf(headNoises) }

// BodyNoises returns the kinds that stand behind an answer's head.
func BodyNoises() []Noise { return noisesOf(bodyNoises) }

func noisesOf(kinds map[Noise]noiseKind) []Noise {
	var out []Noise
	for n := range kinds {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (n Noise) kind() (noiseKind, bool) {
	if k, ok := headNoises[n]; ok {
		return k, true
	}
	k, ok := bodyNoises[n]
	return k, ok
}

// Write writes the noise as the answer to a request until the caller closes, and returns for how long the caller did
// not. The header is that of the answer.
func (n Noise) Write(c net.Conn, header http.Header) time.Duration {
	k, _ := n.kind()
	var fields strings.Builder
	header.Write(&fields)
	begin := k.begin
	if strings.Contains(begin, "%s") {
		begin = fmt.Sprintf(begin, &fields)
	}
	// Nothing is allocated while writing, so that what a caller in the same process allocates can be measured.
	repeat := []byte(k.repeat)
	began := time.Now()
	for next := append([]byte(begin), repeat...); ; next = repeat {
		if _, err := c.Write(next); err != nil {
			return time.Since(began)
		}
		time.Sleep(k.pause)
	}
}

// Answer answers a request with the noise until its caller closes, and returns for how long the caller did not. A noise
// of an unknown name breaks the connection.
func (n Noise) Answer(w http.ResponseWriter) time.Duration {
	if _, known := n.kind(); !known {
		panic(http.ErrAbortHandler)
	}
	header := w.Header().Clone()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return 0
	}
	defer c.Close()
	return n.Write(c, header)
}
