package ingresstest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
)

// Head returns the head of a request up to and without the blank line that ends it.
func Head(method, path, host string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path, host, strings.Join(append(lines, ""), "\r\n"))
}

// Chunked sends a request whose body comes in chunks of a size, and stops after total bytes of the body, without its end.
func Chunked(head string, chunkSize, total int) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
		perWrite := max(1, (64<<10)/chunkSize)
		block := []byte(strings.Repeat(chunk, perWrite))
		for sent := 0; sent < total; sent += perWrite * chunkSize {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// Announced sends a request with a Content-Length, and only the first sent bytes of its body.
func Announced(head string, length, sent int) func(net.Conn) {
	body := bytes.Repeat([]byte("x"), sent)
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length)); err != nil {
			return
		}
		conn.Write(body)
	}
}

// Text sends a text.
func Text(text string) func(net.Conn) {
	return func(conn net.Conn) { io.WriteString(conn, text) }
}

// Idle sends nothing.
func Idle(net.Conn) {}

// smallWindow is the receive buffer of a client that does not read, in bytes.
const smallWindow = 4 << 10

// Unread sends a whole request and never reads the answer.
func Unread(request string) func(net.Conn) {
	return func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetReadBuffer(smallWindow)
		}
		io.WriteString(conn, request)
	}
}
