package bench

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// proxyIdleConns is the number of idle connections to the node that the proxy keeps. With the default of
// 2, the benchmark would mainly measure the cost of new connections.
const proxyIdleConns = 256

// Proxy runs the reverse proxy that the gateway is compared with. It returns only if it cannot serve.
func Proxy(listen, target string) error {
	u, err := url.Parse("http://" + target)
	if err != nil {
		return err
	}
	proxy := httputil.NewSingleHostReverseProxy(u)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: proxyIdleConns}
	return http.ListenAndServe(listen, proxy)
}
