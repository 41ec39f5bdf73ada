package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Regression test: a client had closed its connection with much still unread, and its request was sent on
// until all of it was read. The shutdown of the client's side ends its request at once, whatever is unread.
func TestClientLeavesWithMuchUnread(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	c := h.connect(requestWithID("waiting") + requestWithID("behind"))
	h.gateway.PeerShutDown(h.now, c)
	h.runActions()
	if h.closedBy[c] != Close {
		t.Error("the connection of a client that has left stays open")
	}
	h.gateway.Connected(h.now, h.nodeConn(0))
	h.advanceTime(time.Second)
	if got := h.takeWritten(h.nodeConn(0)); got != "" {
		t.Errorf("%q was sent to a node for a client that has left", got)
	}
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 1})
}

// Verifies that what is read after the shutdown is not submitted, whether it is a whole request, the rest
// of one, or one behind a response of the gateway's own.
func TestUnreadRequestOfClientThatLeftIsNotSent(t *testing.T) {
	body := strings.Repeat("x", 1000)
	whole := putRequest("/", body, "id: a")
	for name, pieces := range map[string][2]string{
		"a whole request":      {"", whole},
		"the rest of a header": {whole[:20], whole[20:]},
		"the rest of a body":   {whole[:len(whole)-500], whole[len(whole)-500:]},
	} {
		t.Run(name, func(t *testing.T) {
			h := newProtocolHarness(t)
			c := h.connect(pieces[0])
			readOn := h.gateway.PeerShutDown(h.now, c)
			h.runActions()
			if closed := h.closedBy[c] == Close; closed == readOn {
				t.Errorf("the connection is closed: %v, and to be read on: %v", closed, readOn)
			}
			h.deliver(c, pieces[1])
			h.gateway.EOF(h.now, c)
			h.advanceTime(time.Second)
			if len(h.dialed) > 0 || h.closedBy[c] != Close {
				t.Errorf("%d connections to nodes, connection closed by %v; want none, and closed", len(h.dialed), h.closedBy)
			}
			h.checkAccounting()
		})
	}
}

// Verifies that the driver is asked to drop the input of a client that has sent too much behind its request,
// so that the end of the input is found soon.
func TestExcessInputIsDiscarded(t *testing.T) {
	h := newProtocolHarness(t)
	h.deferConnects = true
	c := h.connect(requestWithID("a"), strings.Repeat("x", maxPipelinedBytes+1))
	if want := fmt.Sprintf("discard %d", c); !strings.Contains(h.actionLog.String(), want) {
		t.Errorf("the actions have no %q:\n%s", want, h.actionLog.String())
	}
}
