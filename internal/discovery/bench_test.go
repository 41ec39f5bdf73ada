package discovery

import (
	"fmt"
	"testing"
)

// BenchmarkFullList measures the decoding of a full list.
func BenchmarkFullList(b *testing.B) {
	for _, size := range []int{200, 800, 3200} {
		var endpoints []string
		for i := range size {
			endpoints = append(endpoints, endpointJSON(fmt.Sprintf("s-%08x", i), "up"))
		}
		text := httpResponse(listJSON(41, true, endpoints...))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for range b.N {
				c := New("10.0.0.1:1", []string{"z0", "z1"}, false, 1)
				op, _ := c.Step(startTime)
				c.Connected(startTime, op.Conn)
				c.Step(startTime)
				c.Data(startTime, op.Conn, []byte(text))
				if update, ok := c.TakeUpdate(); !ok || len(update.Nodes) != size {
					b.Fatal(c.Status().LastError)
				}
			}
		})
	}
}
