package discovery

import (
	"fmt"
	"testing"
)

// BenchmarkWholeList is what reading a whole list costs.
func BenchmarkWholeList(b *testing.B) {
	for _, size := range []int{200, 800, 3200} {
		var entries []string
		for i := range size {
			entries = append(entries, entry(fmt.Sprintf("s-%08x", i), "up"))
		}
		text := response(list(41, true, entries...))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for range b.N {
				c := New("10.0.0.1:1", []string{"z0", "z1"}, false, 1)
				op, _ := c.Step(start)
				c.Connected(start, op.Conn)
				c.Step(start)
				c.Data(start, op.Conn, []byte(text))
				if news, ok := c.TakeUpdate(); !ok || len(news.Nodes) != size {
					b.Fatal(c.Status().LastError)
				}
			}
		})
	}
}
