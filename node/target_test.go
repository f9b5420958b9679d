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
		{"http://other.example/a%2Fb?c", "/a%2Fb"},
		{"/" + strings.Repeat("long/", 1000), "/" + strings.Repeat("long/", 1000)},
	}
	for _, c := range cases {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + c.target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatalf("%s: %v", c.target, err)
		}
		if got := sentPath(r); got != c.path {
			t.Errorf("%s: path %s", c.target, got)
		}
		var sent bytes.Buffer
		forwarded := &http.Request{Method: r.Method, URL: forwardedURL(r, "127.0.0.1:1"), Host: r.Host, Header: r.Header}
		if err := forwarded.Write(&sent); err != nil {
			t.Fatalf("%s: %v", c.target, err)
		}
		want := strings.TrimPrefix(c.target, "http://other.example")
		if line, _, _ := strings.Cut(sent.String(), "\r\n"); line != "GET "+want+" HTTP/1.1" {
			t.Errorf("%s is sent on as %s", c.target, line)
		}
	}
}
