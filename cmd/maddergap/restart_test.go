package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
	"maddergap/internal/loopback"
)

// Verifies that known clients are served as soon as an instance listens again after it was killed during
// a flood from 500 addresses. The instance restarts without any state. None of the clients' writes is
// executed twice.
func TestRestartInFlood(t *testing.T) {
	node := startNode(t, fakenode.Options{Cores: 8, QueueLimit: 64, UnitTime: 5 * time.Millisecond})
	addr := loopback.Addr(99, 3, 18099)
	conf := writeDemoConf(t, addr, node, func(text string) string {
		return strings.Replace(text, "clients 512", "clients 200", 1) + "admit address 8 reserve 50 answers 20 answers-burst 20\nknown 127.9.0.0/16\n"
	})
	cmd := startInstance(t, addr, conf)
	floodDone := make(chan *flood.Result, 1)
	go func() {
		result, err := flood.Run(floodOfManySources(addr))
		if err != nil {
			t.Error(err)
		}
		floodDone <- result
	}()
	time.Sleep(time.Second)
	if status := putFromKnownClient(addr, 0); status != 201 {
		t.Errorf("known client before the kill: got status %d, want 201", status)
	}
	cmd.Process.Kill()
	cmd.Wait()
	startInstance(t, addr, conf)
	for n := range 20 {
		if status := putFromKnownClient(addr, n+1); status != 201 {
			t.Errorf("known client %d after the restart: got status %d, want 201", n, status)
		}
	}
	result := <-floodDone
	if result.Flood.Rejected+result.Flood.Closed < 1000 {
		t.Errorf("got fewer than 1000 rejected or closed connections, too few for a flood: %+v", result.Flood)
	}
	if paths := checkExecutedOnce(t, node); paths != 21 {
		t.Errorf("got %d paths in the node's record, want 21", paths)
	}
}

// floodOfManySources returns the options of a flood that holds connections from 500 addresses open.
func floodOfManySources(addr string) flood.Options {
	return flood.Options{
		Target:      addr,
		Path:        "/",
		Pattern:     flood.Hold,
		Sources:     flood.SourceAddrs(500),
		Attempts:    200_000,
		Concurrency: 300,
		Duration:    6 * time.Second,
	}
}

// putFromKnownClient sends a PUT from the address of known client n, and returns the status of the
// response, or 0 if there is none.
func putFromKnownClient(addr string, n int) (status int) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 9, 0, byte(n+1))}, Timeout: 5 * time.Second}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	sendPut(c, fmt.Sprint("/feed-a/known", n))
	status, _ = readStatus(bufio.NewReader(c))
	return status
}

// Verifies that an instance that was killed with writes pending serves again after a restart without any
// state, that no write is executed twice, and that SIGTERM ends the instance with exit code 0.
func TestRestartWithPendingRequests(t *testing.T) {
	node := startNode(t, fakenode.Options{Cores: 2, QueueLimit: 64, UnitTime: 50 * time.Millisecond})
	addr := loopback.Addr(99, 1, 18099)
	conf := writeDemoConf(t, addr, node, nil)
	cmd := startInstance(t, addr, conf)
	for i := range 6 {
		sendPut(dial(t, addr), fmt.Sprint("/feed-a/", i))
	}
	time.Sleep(30 * time.Millisecond)
	cmd.Process.Kill()
	cmd.Wait()
	cmd = startInstance(t, addr, conf)
	req, _ := http.NewRequest("PUT", "http://"+addr+"/feed-a/after", strings.NewReader("y"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != 201 {
		t.Fatalf("PUT after the restart: got response %v, error %v, want status 201", resp, err)
	}
	resp.Body.Close()
	checkExecutedOnce(t, node)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: got error %v, want exit code 0", err)
	}
}
