package bench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// readBufferSize is the size of a client's read buffer in bytes.
const readBufferSize = 16 << 10

// loadResult is the result of one measurement, or one client's part of it.
type loadResult struct {
	served   int64
	rejected int64                   // responses with status 503; expected only in Overload
	latency  *hdrhistogram.Histogram // latencies of served requests, in microseconds
	cpu      time.Duration           // CPU time used by the measured process
	elapsed  time.Duration
}

func newLoadResult() *loadResult { return &loadResult{latency: newHistogram()} }

// add adds the requests of one client to the result.
func (r *loadResult) add(client *loadResult) {
	r.served += client.served
	r.rejected += client.rejected
	r.latency.Merge(client.latency)
}

// servedPerCPUSecond returns the number of served requests per second of CPU time.
func (r *loadResult) servedPerCPUSecond() float64 { return float64(r.served) / r.cpu.Seconds() }

// servedPerSecond returns the number of served requests per second.
func (r *loadResult) servedPerSecond() float64 { return float64(r.served) / r.elapsed.Seconds() }

// rejectedPerSecond returns the number of rejected requests per second.
func (r *loadResult) rejectedPerSecond() float64 { return float64(r.rejected) / r.elapsed.Seconds() }

// cpuMicrosPerRequest returns the CPU time per served request in microseconds.
func (r *loadResult) cpuMicrosPerRequest() float64 { return 1e6 / r.servedPerCPUSecond() }

// pathFunc returns the path of a client's request. Clients and the requests of each client are numbered
// from 0.
type pathFunc func(client, request int) string

// smallObject is the path of the object that most benchmarks read.
const smallObject = "/feed/x"

func smallObjectPath(int, int) string { return smallObject }

// runLoad measures a process under load. Each client has one kept-alive connection and sends the next
// request when it has the response, until the duration has passed. The returned error joins that of the
// first failed client and that of the CPU measurement.
func (p *process) runLoad(clients int, duration time.Duration, path pathFunc) (*loadResult, error) {
	cpuBefore, err := p.cpuTime()
	if err != nil {
		return nil, err
	}
	total := newLoadResult()
	var (
		running   sync.WaitGroup
		mu        sync.Mutex // guards total and clientErr
		clientErr error
	)
	startedAt := time.Now()
	for client := range clients {
		running.Go(func() {
			result, err := runClient(p.addr, startedAt.Add(duration), func(request int) string { return path(client, request) })
			mu.Lock()
			defer mu.Unlock()
			total.add(result)
			if clientErr == nil {
				clientErr = err
			}
		})
	}
	running.Wait()
	total.elapsed = time.Since(startedAt)
	cpuAfter, err := p.cpuTime()
	total.cpu = cpuAfter - cpuBefore
	return total, errors.Join(err, clientErr)
}

// runClient runs one client of runLoad. The result is valid even if there is an error.
func runClient(addr string, until time.Time, path func(request int) string) (*loadResult, error) {
	result := newLoadResult()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return result, err
	}
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for request := 0; time.Now().Before(until); request++ {
		startedAt := time.Now()
		resp, err := get(conn, reader, path(request))
		if err != nil {
			return result, err
		}
		switch resp.StatusCode {
		case http.StatusOK:
			result.served++
			result.latency.RecordValue(time.Since(startedAt).Microseconds())
		case http.StatusServiceUnavailable:
			result.rejected++
		default:
			return result, fmt.Errorf("unexpected response %s", resp.Status)
		}
	}
	return result, nil
}

// get sends a GET request, reads the complete response and discards its body.
func get(conn net.Conn, reader *bufio.Reader, path string) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
