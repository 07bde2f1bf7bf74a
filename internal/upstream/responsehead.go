package upstream

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// responseHead checks the status line and header of a response as received, for what net/http
// accepts but misreads: a body that breaks off would look complete. It also refuses statuses that
// can't be passed on; no request asks for another protocol. The zero value expects a status line.
type responseHead struct {
	// line is the part of a line that has been received.
	line []byte
	// inHeader is set after the status line, complete after the header. An informational response is
	// followed by another one. chunksDefined is set if the protocol version has chunks.
	inHeader, complete           bool
	informational, chunksDefined bool
}

// add adds received bytes, and returns why the response can't be read.
func (h *responseHead) add(data []byte) error {
	for !h.complete {
		part, rest, found := bytes.Cut(data, []byte("\n"))
		h.line = append(h.line, part...)
		if !found {
			return nil
		}
		if err := h.addLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
			return err
		}
		h.line, data = h.line[:0], rest
	}
	h.line = nil
	return nil
}

func (h *responseHead) addLine(line []byte) error {
	switch {
	case !h.inHeader:
		return h.addStatusLine(line)
	case len(line) == 0:
		h.inHeader, h.complete = false, !h.informational
		return nil
	default:
		return checkHeaderLine(line, h.chunksDefined)
	}
}

// addStatusLine checks a status line. A malformed one is left to net/http.
func (h *responseHead) addStatusLine(line []byte) error {
	protocol, rest, _ := bytes.Cut(line, []byte(" "))
	major, minor, valid := http.ParseHTTPVersion(string(protocol))
	status, err := strconv.Atoi(firstField(rest))
	if !valid || err != nil {
		h.complete = true
		return nil
	}
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return errors.Errorf("response status %d: send the status of a response to the request", status)
	}
	h.inHeader, h.informational, h.chunksDefined = true, status < http.StatusOK, major > 1 || major == 1 && minor > 0
	return nil
}

func firstField(data []byte) string {
	if fields := bytes.Fields(data); len(fields) > 0 {
		return string(fields[0])
	}
	return ""
}

// checkHeaderLine returns an error if a header line that delimits the body would be ignored: one
// with a space before its colon, or, below HTTP/1.1, a Transfer-Encoding.
func checkHeaderLine(line []byte, chunksDefined bool) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	trimmed := bytes.TrimRight(name, " \t")
	encoding := bytes.EqualFold(trimmed, []byte("Transfer-Encoding"))
	if encoding && !chunksDefined {
		return errors.Errorf("response header %q is undefined below HTTP/1.1: send HTTP/1.1", trimmed)
	}
	if len(trimmed) < len(name) && (encoding || bytes.EqualFold(trimmed, []byte("Content-Length"))) {
		return errors.Errorf("response header %q: remove the space before the colon", name)
	}
	return nil
}
