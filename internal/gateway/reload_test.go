package gateway

import (
	"fmt"
	"strings"
	"testing"

	"maddergap/internal/config"
)

// reload applies harnessConfig with replacements, given as pairs of old and new text.
func (h *harness) reload(replacements ...string) {
	h.t.Helper()
	c, err := config.Parse("harness", []byte(strings.NewReplacer(replacements...).Replace(harnessConfig)))
	if err == nil {
		err = h.gateway.Reload(c)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// crossingReloads are changes of the configuration that a request may be crossed by. An index or a limit
// that was taken before means something else, or nothing, after them.
var crossingReloads = map[string][]string{
	"a volume joins before the others": {"volume feed-a", "volume early plan p shards 0\nvolume feed-a"},
	"the volume is removed":            {"volume feed-b plan p shards 0,1\n", ""},
	"all volumes but another one":      {"volume feed-a plan p shards 0\nvolume feed-b plan p shards 0,1\n", "volume other plan p shards 0\n"},
	"the volume loses a shard":         {"feed-b plan p shards 0,1", "feed-b plan p shards 0"},
	"shorter headers":                  {"buffer 32k", "buffer 32k\nheader bytes 512"},
	"fewer bytes held":                 {"body hold 16k", "body hold 1k"},
	"shorter listings":                 {"buffer 32k", "buffer 32k\nlisting-max 1k"},
}

// partOf returns a response to a PROPFIND with one resource.
func partOf(name string) string {
	body := `<D:multistatus xmlns:D="DAV:"><D:response><D:href>` + name + `</D:href><D:status>HTTP/1.1 200 OK</D:status></D:response></D:multistatus>`
	return fmt.Sprintf("HTTP/1.1 207 Multi-Status\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Regression test: a listing took the index of its volume from one configuration and the volume from
// another. The instance panicked where the volume had been rolled back, and answered with the listing of
// other shards, as if whole, where a volume had joined. Likewise the header of a part was parsed again
// with other limits.
func TestListingKeepsItsConfiguration(t *testing.T) {
	const body = "<propfind/>"
	header := fmt.Sprintf("PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nx: %s\r\nContent-Length: %d\r\n\r\n", strings.Repeat("y", 600), len(body))
	for name, change := range crossingReloads {
		for _, moment := range []string{"in the body", "in the parts"} {
			t.Run(name+", "+moment, func(t *testing.T) {
				h := newHarness(t, "")
				c := h.connectClient(header)
				if moment == "in the body" {
					h.reload(change...)
				}
				h.deliver(c, body)
				if moment == "in the parts" {
					h.reload(change...)
				}
				for i := range 2 {
					h.wantContains("the request to a shard", h.takeWritten(h.nodeConn(i)), "PROPFIND /feed-b/ ", body)
				}
				h.deliver(h.nodeConn(0), partOf("/feed-b/one"))
				h.deliver(h.nodeConn(1), partOf("/feed-b/"+strings.Repeat("2", 1000)))
				h.wantContains("the listing", h.takeWritten(c), "207 Multi-Status", "/feed-b/one", "/feed-b/2222")
				h.wantOutcomes(map[Outcome]int{Served: 2})
			})
		}
	}
}

// Guards against requests that take their volume, shard or limits from two configurations, for each
// method that has a body and each way to send it. After the reload the next request is treated by the
// new configuration.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	const placementUnit = "s" // on shard 0 of feed-b
	body := strings.Repeat("b", 4000)
	for _, method := range []string{"PUT", "PROPPATCH", "LOCK"} {
		for framing, text := range map[string]string{
			"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
			"after 100":     fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		} {
			for name, change := range crossingReloads {
				t.Run(method+" "+framing+", "+name, func(t *testing.T) {
					whole := method + " /feed-b/" + placementUnit + " HTTP/1.1\r\nHost: h\r\nx: " + strings.Repeat("y", 600) + "\r\n" + text
					reference := newHarness(t, "")
					reference.connectClient(whole)
					want := reference.gateway.requests.byID[1].info.Arrival

					h := newHarness(t, "")
					c := h.connectClient(whole[:len(whole)-3500])
					h.reload(change...)
					h.deliver(c, whole[len(whole)-3500:])
					req := h.gateway.requests.byID[1]
					if req == nil || req.info.Arrival != want {
						t.Fatalf("the request for the scheduler is %+v, want %+v", req, want)
					}
					n := h.nodeConn(0)
					h.wantContains("the request at the node", h.takeWritten(n), method+" /feed-b/s HTTP/1.1", body[:1000])
					response := okResponse("x")
					h.deliver(n, response[:20])
					h.reload()
					h.deliver(n, response[20:])
					h.wantContains("the response", h.takeWritten(c), "200 OK")
					h.wantOutcomes(map[Outcome]int{Served: 1})
				})
			}
		}
	}
}

// Verifies that a reload that shortens headers applies to the next request and not to the response that
// is arriving.
func TestResponseKeepsItsHeaderLimits(t *testing.T) {
	h := newHarness(t, "")
	c := h.connectClient(getRequest("/feed-a/s/x"))
	n := h.nodeConn(0)
	h.deliver(n, "HTTP/1.1 200 OK\r\nx: "+strings.Repeat("y", 600))
	h.reload(crossingReloads["shorter headers"]...)
	h.deliver(n, strings.Repeat("y", 600)+"\r\nContent-Length: 1\r\n\r\nz")
	h.wantContains("the response", h.takeWritten(c), "200 OK", "\r\n\r\nz")
	h.deliver(c, getRequest("/feed-a/s/x", "x: "+strings.Repeat("y", 600)))
	h.wantContains("the response to the next request", h.takeWritten(c), "431 ")
}

// Verifies that a reload that gives a volume another plan takes effect while the volume is in use.
func TestReloadChangesPlanOfVolumeInUse(t *testing.T) {
	withLimit := strings.Replace(harnessConfig, "plan p rate", "plan limited rate 1 limit 0.5 burst 0.5\nplan p rate", 1)
	h := newHarnessWithConfig(t, withLimit)
	c := h.connectClient(getRequest("/feed-a/s/x"))
	h.deliver(h.nodeConn(0), okResponse("x"))
	h.wantContains("the response", h.takeWritten(c), "200 OK")
	changed, err := config.Parse("harness", []byte(strings.Replace(withLimit, "feed-a plan p", "feed-a plan limited", 1)))
	if err == nil {
		err = h.gateway.Reload(changed)
	}
	if err != nil {
		t.Fatal(err)
	}
	h.deliver(c, getRequest("/feed-a/s/x"))
	h.wantContains("the response to a request over the limit", h.takeWritten(c), "503 ")
}
