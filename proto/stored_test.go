package proto

import (
	"net/http"
	"reflect"
	"testing"
)

// TestStoredHeader guards against a stored response that cannot be decoded, or comes back
// with other header values.
func TestStoredHeader(t *testing.T) {
	header := http.Header{
		"Content-Type": {"text/plain"}, "Title": {"caf\xe9"}, "Link": {"a", "\xff", "é", ""}, "Empty": {""}, "None": nil,
	}
	stored := NewStoredResponse(http.StatusOK, header, []byte("\xff\x00"))
	data, err := Codec.Encode(AttemptStatus{State: "finished", Response: &stored})
	if err != nil {
		t.Fatal(err)
	}
	msg, err := Codec.Decode(data)
	status, ok := msg.(AttemptStatus)
	if err != nil || !ok {
		t.Fatalf("%T, %v", msg, err)
	}
	got := status.Response.HTTPHeader()
	for name, want := range header {
		if values := got[name]; len(values) != len(want) || len(want) > 0 && !reflect.DeepEqual(values, want) {
			t.Errorf("%s: %q, want %q", name, values, want)
		}
	}
	if string(status.Response.Body) != "\xff\x00" {
		t.Errorf("body %q", status.Response.Body)
	}
}
