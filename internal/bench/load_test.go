package bench

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Verifies that a client counts served and rejected requests and returns an error for any other response.
// The server responds with 503 to one request, with 500 to the 22nd and with 200 to all others.
func TestClientCountsResponses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			status := "200 OK"
			switch n {
			case 10:
				status = "503 Busy"
			case 21:
				status = "500 Broken"
			}
			fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok", status)
		}
	}()
	result, err := runClient(listener.Addr().String(), time.Now().Add(10*time.Second), func(int) string { return "/x" })
	if result.served != 20 || result.rejected != 1 || result.latency.TotalCount() != 20 || err == nil {
		t.Errorf("got %d served, %d rejected, %d latencies, error %v; want 20, 1, 20 and an error for the 500",
			result.served, result.rejected, result.latency.TotalCount(), err)
	}
}
