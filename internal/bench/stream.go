package bench

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"time"

	"maddergap/internal/nodelist"
)

// Stream writes and then reads one large object of size bytes through the gateway. For each transfer it
// prints the duration and the gateway's peak memory.
func (o *Options) Stream(size int64) error {
	sink, err := startSink()
	if err != nil {
		return err
	}
	defer sink.Close()
	if err := o.writeNodeList(nodelist.Node{Name: "sink", Addr: sink.Addr().String()}); err != nil {
		return err
	}
	gateway, err := o.startGateway(1)
	if err != nil {
		return err
	}
	defer gateway.Kill()
	before := gateway.memoryBytes(peakResidentMemory)
	for _, method := range []string{http.MethodPut, http.MethodGet} {
		startedAt := time.Now()
		if err := transfer(gateway.addr, method, size); err != nil {
			return err
		}
		elapsed := time.Since(startedAt).Round(time.Millisecond)
		fmt.Fprintf(o.Out, "%s of %d MiB: %v, peak of the head %.1f MiB (%.1f before)\n",
			method, size>>20, elapsed, mebibytes(gateway.memoryBytes(peakResidentMemory)), mebibytes(before))
	}
	return nil
}

func mebibytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// transfer writes or reads an object whose name is its size in bytes.
func transfer(addr, method string, size int64) error {
	var body io.Reader
	if method == http.MethodPut {
		body = io.LimitReader(zeroReader{}, size)
	}
	req, err := http.NewRequest(method, "http://"+addr+"/feed/"+strconv.FormatInt(size, 10), body)
	if err != nil {
		return err
	}
	if body != nil {
		req.ContentLength = size
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	received, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return fmt.Errorf("%s of %d bytes: %d bytes received: %w", method, size, received, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices || (method == http.MethodGet && received != size) {
		return fmt.Errorf("%s of %d bytes: %s, %d bytes received", method, size, resp.Status, received)
	}
	return nil
}

// zeroReader is an io.Reader that returns zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// startSink starts a node that discards what is written to it. It responds to a read with as many zero
// bytes as the object's name says. It serves until its listener is closed.
func startSink() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, http.HandlerFunc(serveSink))
	return listener, nil
}

func serveSink(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusCreated)
		return
	}
	size, err := strconv.ParseInt(path.Base(r.URL.Path), 10, 64)
	if err != nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	io.Copy(w, io.LimitReader(zeroReader{}, size))
}
