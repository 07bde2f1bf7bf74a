package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // why there is no complete answer
	took   time.Duration
}

// ask sends a request on a new connection, byte for byte as given, and reads the answer.
func (w *world) ask(address, method, target, id string, extra string, body string) answer {
	began := time.Now()
	a := askRaw(address, method, target, id, extra, body)
	a.took = time.Since(began)
	w.log("%s %s id %s to %s: status %d, error %v, body %.60q, %v", method, target, id, address, a.status, a.err, a.body, a.took.Round(time.Millisecond))
	return a
}

func askRaw(address, method, target, id, extra, body string) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nX-Api-Key: %s\r\n%s%s\r\n%s",
		method, target, host, id, apiKey, extra, length, body)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}
