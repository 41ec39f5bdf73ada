package e2e

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"maddergap/internal/scriptednode"
)

// platformNode is a scripted node of the platform that records the ids of the requests it has read
// in full.
type platformNode struct {
	*scriptednode.Node
	handler scriptednode.Handler

	mu         sync.Mutex
	requestIDs []string // in order of arrival
}

func startPlatformNode(t *testing.T, handler scriptednode.Handler) *platformNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &platformNode{handler: handler}
	node.Node = scriptednode.Serve(listener, node.respond)
	t.Cleanup(node.Close)
	return node
}

// startNodeResponding runs a node that responds to each request with 200 and the given body.
func startNodeResponding(t *testing.T, body string) *platformNode {
	t.Helper()
	return startPlatformNode(t, func(*http.Request) scriptednode.Response { return okResponse(body) })
}

// startNodeClosingConns runs a node that responds to each request with 200 and then closes the connection,
// so that the gateway has to dial for each request.
func startNodeClosingConns(t *testing.T) *platformNode {
	t.Helper()
	return startPlatformNode(t, func(*http.Request) scriptednode.Response {
		return scriptednode.Response{
			Text:       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine",
			ConnAction: scriptednode.Close,
		}
	})
}

// startHungNode runs a node that reads requests and never responds. It keeps its side of the
// connections open until the end of the test, even if the gateway closes them.
func startHungNode(t *testing.T) *platformNode {
	t.Helper()
	quit := make(chan struct{})
	node := startPlatformNode(t, func(*http.Request) scriptednode.Response {
		<-quit
		return scriptednode.Response{ConnAction: scriptednode.Close}
	})
	t.Cleanup(func() { close(quit) }) // runs before node.Close, which waits for the handlers
	return node
}

// okResponse returns a response of status 200 with a body and a load report.
func okResponse(body string) scriptednode.Response {
	return scriptednode.Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Pressure: inflight=1\r\n\r\n%s", len(body), body)}
}

// respond records the id of a request and calls the node's handler.
func (n *platformNode) respond(r *http.Request) scriptednode.Response {
	n.mu.Lock()
	n.requestIDs = append(n.requestIDs, r.Header.Get("X-Txn"))
	n.mu.Unlock()
	return n.handler(r)
}

// received returns the ids of the requests that the node has read in full, in order of arrival.
func (n *platformNode) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.requestIDs)
}

// countReceived returns how often the node has read the request of an id.
func (n *platformNode) countReceived(id string) int {
	count := 0
	for _, received := range n.received() {
		if received == id {
			count++
		}
	}
	return count
}

// wantSentOnce checks that no request was sent more than once to the nodes in total.
func wantSentOnce(t *testing.T, nodes ...*platformNode) {
	t.Helper()
	count := map[string]int{}
	for _, node := range nodes {
		for _, id := range node.received() {
			if count[id]++; count[id] > 1 {
				t.Errorf("request %s was sent %d times, want 1", id, count[id])
			}
		}
	}
}
