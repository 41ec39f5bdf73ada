package bench

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A server responds with 503 once, and with 500 after twenty more responses. The client counts the
// served requests and the rejected one, and ends at the 500.
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
		t.Errorf("%d served, %d rejected, %d latencies, %v; want 20, 1, 20 and an error at the 500",
			result.served, result.rejected, result.latency.TotalCount(), err)
	}
}
