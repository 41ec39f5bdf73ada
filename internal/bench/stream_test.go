package bench

import (
	"io"
	"net/http"
	"testing"
)

// Verifies that the sink responds with as many bytes as the object's name says.
func TestSinkResponseSize(t *testing.T) {
	listener, err := startSink()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	resp, err := http.Get("http://" + listener.Addr().String() + "/feed/100000")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, _ := io.Copy(io.Discard, resp.Body); n != 100000 {
		t.Errorf("got %d bytes, want 100000", n)
	}
}
