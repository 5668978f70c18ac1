package dashboard

import (
	"bytes"
	_ "embed"
	"html/template"
	"net"
	"net/http"
	"strings"
	"time"

	"linkpass/internal/adminapi"
)

// Source is where the page's contents come from; adminapi.Client is one.
type Source interface {
	Status() (adminapi.Status, error)
	Servers() ([]adminapi.Server, error)
	ShardMaps() ([]adminapi.IndexShardMap, error)
}

// Handler serves the page as it stands at each request. It is safe for concurrent use if Source is.
type Handler struct {
	Source Source
	Series *Series          // sampled by the owner
	Now    func() time.Time // the clock that Series is sampled by
}

//go:embed dashboard.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// contentSecurityPolicy allows no scripts and no foreign resources: guards against markup in names of servers and indices.
const contentSecurityPolicy = "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'"

// ServeHTTP responds with the page. A request by a host name gets status 421.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !isAddress(req.Host) {
		http.Error(w, "ask for this page by its address", http.StatusMisdirectedRequest)
		return
	}
	var body bytes.Buffer
	if err := pageTemplate.Execute(&body, h.page()); err != nil {
		http.Error(w, "the page could not be drawn: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", contentSecurityPolicy)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body.Bytes()) // an error means that the browser closed the connection
}

// isAddress reports whether a Host header has an IP address or localhost. Guards against DNS rebinding: a foreign name
// that resolves to this address would let its scripts read the page.
func isAddress(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return host == "localhost" || net.ParseIP(strings.Trim(host, "[]")) != nil
}
