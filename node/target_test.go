package node

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// TestForwardedTarget guards against a target that reaches the backend server, or the
// routes, in another form than the caller sent.
func TestForwardedTarget(t *testing.T) {
	cases := []struct{ target, path string }{
		{"/permits/2026", "/permits/2026"},
		{"/permits/2026%2F117?a=%2F&b", "/permits/2026%2F117"},
		{"/a%2fb/%41", "/a%2fb/%41"},
		{"/a//b/", "/a//b/"},
		{"//a/b", "//a/b"},
		{"/a/../b/./c", "/a/../b/./c"},
		{"/a|b/[c]?x|y", "/a|b/[c]"},
		{"/a;b=c,d/", "/a;b=c,d/"},
		{"/?", "/"},
		{"/caf\xe9/é?q=\xe9", "/caf\xe9/é"},
		{"http://other.example/a%2Fb?c", "/a%2Fb"},
		{"/" + strings.Repeat("long/", 1000), "/" + strings.Repeat("long/", 1000)},
	}
	for _, c := range cases {
		path, line := forwardTarget(t, c.target)
		if path != c.path {
			t.Errorf("%s: path %s", c.target, path)
		}
		want := strings.TrimPrefix(c.target, "http://other.example")
		if line != "GET "+want+" HTTP/1.1" {
			t.Errorf("%s is sent on as %s", c.target, line)
		}
	}
}

// TestForwardedDoubleSlash guards against a path that begins with two slashes and is sent on
// with other bytes, since it holds some that a URL has to escape.
func TestForwardedDoubleSlash(t *testing.T) {
	for _, target := range []string{"//caf\xe9", "//a|b"} {
		if path, line := forwardTarget(t, target); path != target || line != "GET "+target+" HTTP/1.1" {
			t.Errorf("%s is sent on as %s", target, line)
		}
	}
}

// forwardTarget returns the path of a request and the line with which it is sent on.
func forwardTarget(t *testing.T, target string) (path, line string) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	if err != nil {
		t.Fatalf("%s: %v", target, err)
	}
	var sent bytes.Buffer
	forwarded := &http.Request{Method: r.Method, URL: forwardedURL(r, "127.0.0.1:1"), Host: r.Host, Header: r.Header}
	if err := forwarded.Write(&sent); err != nil {
		t.Fatalf("%s: %v", target, err)
	}
	line, _, _ = strings.Cut(sent.String(), "\r\n")
	return sentPath(r), line
}
