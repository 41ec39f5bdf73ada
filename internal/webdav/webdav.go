// Package webdav maps WebDAV (RFC 4918) to volumes that are sharded over nodes. It decides which requests
// are forwarded to a node, which the gateway responds to itself, and which are rejected because they
// would involve several nodes. It also merges the listings of several nodes. It does no I/O and has no
// state.
package webdav

import "errors"

const (
	// Allow is the value of the Allow field, which lists the supported methods.
	Allow = "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK"
	// Compliance is the value of the DAV field (RFC 4918 18).
	Compliance = "1, 2, 3"
	// davNamespace is the XML namespace of WebDAV's elements.
	davNamespace = "DAV:"
)

// Errors of XML bodies.
var (
	// ErrMalformedXML is returned for a client's body that is malformed or not a propfind element.
	ErrMalformedXML = errors.New("the XML body is malformed")
	// ErrMalformedListing is returned for a node's body that is malformed or not a multistatus element.
	ErrMalformedListing = errors.New("a node's listing is malformed")
	// ErrListingTooLarge is returned for a merged listing that exceeds the limit.
	ErrListingTooLarge = errors.New("the listing is larger than listing-max")
)
