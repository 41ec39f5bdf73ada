package bench

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func TestClientCounts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			status := "200 OK"
			if n == 10 {
				status = "503 Busy"
			} else if n == 21 {
				status = "500 Broken"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nok", status)
		}
	}()
	h := hdrhistogram.New(1, 60_000_000, 3)
	n, refused, err := one(ln.Addr().String(), time.Now().Add(10*time.Second), h, func(int) string { return get("/x") })
	if n != 20 || refused != 1 || h.TotalCount() != 20 || err == nil {
		t.Errorf("%d requests, %d refused, %d in the histogram, %v; want 20, 1 and an error at the 500", n, refused, h.TotalCount(), err)
	}
}

func TestSink(t *testing.T) {
	ln, err := newSink()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	resp, err := http.Get("http://" + ln.Addr().String() + "/feed/100000")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, _ := io.Copy(io.Discard, resp.Body); n != 100000 {
		t.Errorf("%d bytes", n)
	}
}
