package entry

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEnd copies all headers but the hop-by-hop ones.
func copyEndToEnd(dst, src http.Header) {
	named := connectionNames(src)
	for name, values := range src {
		if !named[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
}

// connectionNames returns the canonical names of the headers that Connection
// declares hop-by-hop.
func connectionNames(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
