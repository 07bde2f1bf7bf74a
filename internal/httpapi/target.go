package httpapi

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// TargetURL returns a URL with which net/http sends a request target, the path and query of a request, byte for byte to an
// address. The error of a target that can't be sent unchanged names the fix.
func TargetURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	// An opaque part with two slashes would be sent as an absolute URL, with the path's beginning as its host.
	path, query, hasQuery := strings.Cut(target, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	u := &url.URL{Scheme: "http", Host: address, Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if u.RequestURI() != target {
		return nil, errors.Errorf("path: %q begins with two slashes and has characters that aren't allowed in a path: escape them", path)
	}
	return u, nil
}
