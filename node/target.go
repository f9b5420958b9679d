package node

import (
	"net/http"
	"net/url"
	"strings"
)

// sentPath returns the path of a request as the caller sent it. The path in its URL is
// decoded, and may even encode to another text.
func sentPath(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(target, "/") {
		// An absolute target, or none, as in a request that was not read from a connection.
		return r.URL.EscapedPath()
	}
	return target
}

// forwardedURL returns the URL with which a request is sent on to an address, with the path
// and query as they were received.
func forwardedURL(r *http.Request, addr string) *url.URL {
	u := *r.URL
	u.Scheme, u.Host = "http", addr
	path := sentPath(r)
	// An opaque path that begins with two slashes would be sent as an absolute target.
	if path != u.EscapedPath() && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return &u
}
