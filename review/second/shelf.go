package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// shelf is a storage node of the platform. It holds one shard.
type shelf struct {
	name     string
	shard    int
	listener net.Listener
	// answer writes the answer to a request that the shelf has received whole. An error ends the connection.
	answer func(c net.Conn, r *http.Request, body []byte) error
}

// startShelf starts a shelf on a free port.
func startShelf(shard int, answer func(net.Conn, *http.Request, []byte) error) (*shelf, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &shelf{name: fmt.Sprintf("s-%08x", shard+1), shard: shard, listener: l, answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// serve answers the requests of a connection, one at a time.
func (s *shelf) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || s.answer(c, r, body) != nil {
			return
		}
	}
}

// startAgent starts the discovery agent on the head's machine, which lists the shelfs as up. Nothing changes, so
// that a watch ends after its time with no entries. It returns the agent's address and a function that ends it.
func startAgent(shelfs []*shelf) (addr string, stop func(), err error) {
	const index = 1
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var all []any
	for _, s := range shelfs {
		all = append(all, map[string]any{"name": s.name, "address": s.listener.Addr().String(), "zone": "hall-a",
			"type": "single-fast", "group": s.shard, "status": "up", "weight": 1.0, "since_ms": 0})
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.Atoi(r.URL.Query().Get("from"))
		snapshot, entries := err != nil || from != index, []any{}
		if snapshot {
			entries = all
		} else {
			hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
			time.Sleep(time.Duration(min(hold, 60000)) * time.Millisecond)
		}
		json.NewEncoder(w).Encode(map[string]any{"index": index, "snapshot": snapshot, "endpoints": entries})
	})}
	go server.Serve(l)
	return l.Addr().String(), func() { server.Close() }, nil
}
