package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"maddergap/internal/config"
	"maddergap/internal/route"
)

const (
	// preloadTrace is the traceparent of the requests of storeObjects. It distinguishes them in the
	// nodes' records.
	preloadTrace       = "00-0000000000000000000000000000feed-00000000000000aa-00"
	preloadConcurrency = 16
	preloadUnits       = 4 // units of each object
)

// storeObjects stores objects directly on the nodes that have their shards. It runs before the
// instances start.
func storeObjects(paths []string, c *config.Config, nodeAddrs []string) error {
	table := route.NewTable(c, nil)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	body := bytes.Repeat([]byte{'o'}, preloadUnits*unitBytes)
	errs := make([]error, len(paths))
	slots := make(chan struct{}, preloadConcurrency)
	var storing sync.WaitGroup
	for i, path := range paths {
		storing.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			location, err := table.Locate(path)
			if err != nil {
				errs[i] = err
				return
			}
			errs[i] = storeObject(transport, "http://"+nodeAddrs[location.Shard]+path, body)
		})
	}
	storing.Wait()
	return errors.Join(errs...)
}

func storeObject(transport *http.Transport, url string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("traceparent", preloadTrace)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusCreated && resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("storing %s: unexpected response %s", url, resp.Status)
	}
	return nil
}
