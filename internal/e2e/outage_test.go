package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/stallwatch"
)

// An agent is silent while discovery is down, and what it has when it is back counts as
// notified at once. A change must be acted upon within the grace of 500 ms, of which 150 ms
// belong to a head that is held up.
const (
	drainGrace = 500 * time.Millisecond
	listWithin = 350 * time.Millisecond
)

// drainLoad sends reads of one shard until it is told to end.
func drainLoad(instance *platformInstance, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		default:
			text := instance.newRead(0, "400m").text
			instance.roundTrip(text)
		}
	}
}

// Whatever the length and the phase of an outage of discovery, a server that the list has
// as draining when discovery is back gets nothing after the grace, and the list is had
// early enough for a head that is held up meanwhile.
func TestReturnOfDiscovery(t *testing.T) {
	const heads = 12
	rig := stallwatch.Start()
	defer rig.Stop()
	var measured sync.Mutex
	var waits []time.Duration
	t.Run("heads", func(t *testing.T) {
		for n := range heads {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				draw := rand.New(rand.NewPCG(uint64(n), 31))
				var mu sync.Mutex
				lastAtDraining := time.Time{}
				note := func(int, *http.Request) nodeResponse {
					mu.Lock()
					defer mu.Unlock()
					lastAtDraining = time.Now()
					return okResponse("draining")
				}
				a := startScriptedNode(t, note)
				b := startNodeResponding(t, "up")
				up := []discovery.Endpoint{endpointOf("a", a, 0, "up"), endpointOf("b", b, 0, "draining")}
				drained := []discovery.Endpoint{endpointOf("a", a, 0, "draining"), endpointOf("b", b, 0, "up")}
				d := startDiscovery(t)
				d.setEndpoints(up...)
				instance := startPlatform(t, d.addr, platformOptions{})
				within(t, 2*time.Second, instance.ready)
				end := make(chan struct{})
				var load sync.WaitGroup
				load.Add(1)
				go func() { defer load.Done(); drainLoad(instance, end) }()
				defer func() { close(end); load.Wait() }()
				for range 2 {
					time.Sleep(time.Duration(draw.IntN(400)) * time.Millisecond)
					d.StartOutage()
					time.Sleep(time.Duration(100+draw.IntN(3400)) * time.Millisecond)
					d.setEndpoints(drained...)
					d.EndOutage()
					time.Sleep(drainGrace + 500*time.Millisecond)
					back, had := d.RecoveryTimes()
					if had.IsZero() {
						t.Errorf("no list was had within %v of the return", time.Since(back))
					} else {
						measured.Lock()
						waits = append(waits, had.Sub(back))
						measured.Unlock()
						if wait := had.Sub(back); wait > listWithin+rig.LongestSince(back) {
							t.Errorf("the list was had %v after the return, want %v at most", wait, listWithin)
						}
					}
					mu.Lock()
					if late := lastAtDraining.Sub(back); late > drainGrace+rig.LongestSince(back) {
						t.Errorf("a request went to a draining server %v after the return, past the grace of %v", late, drainGrace)
					}
					mu.Unlock()
					d.StartOutage()
					d.setEndpoints(up...)
					d.EndOutage()
					within(t, 2*time.Second, func() bool {
						text := instance.newRead(0, "400m").text
						_, body := instance.roundTrip(text)
						return body == "draining"
					})
				}
			})
		}
	})
	t.Logf("list had after the return: %v", waits)
}
