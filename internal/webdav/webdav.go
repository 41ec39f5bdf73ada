// Package webdav maps WebDAV (RFC 4918) onto volumes that are sharded over nodes: which
// requests are forwarded to one node, which the gateway responds to itself, how the listings
// of several nodes become one, and what is rejected because it would span nodes. It does no
// I/O and holds no state.
package webdav

import "errors"

const (
	// Allow is the value of the Allow field: the methods that the gateway supports.
	Allow = "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK"
	// Compliance is the value of the DAV field (RFC 4918 18).
	Compliance = "1, 2, 3"
	// davNamespace is the XML namespace of WebDAV's elements.
	davNamespace = "DAV:"
)

// Errors of XML bodies.
var (
	// ErrMalformedXML is a client's body that is malformed or not a propfind element.
	ErrMalformedXML = errors.New("the XML body is malformed")
	// ErrMalformedListing is a node's body that is malformed or not a multistatus element.
	ErrMalformedListing = errors.New("a node's listing is malformed")
	// ErrListingTooLarge is a merged listing over the limit.
	ErrListingTooLarge = errors.New("the listing is larger than listing-max")
)
