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

// Source provides the contents of the page. It is implemented by adminapi.Client.
type Source interface {
	Status() (adminapi.Status, error)
	Servers() ([]adminapi.Server, error)
	ShardMaps() ([]adminapi.IndexShardMap, error)
}

// Handler serves the page. It calls Source for each request. It is safe for concurrent use if Source is.
type Handler struct {
	Source Source
	Series *Series          // the owner of the handler adds the samples
	Now    func() time.Time // the clock of the samples in Series
}

//go:embed dashboard.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Parse(pageHTML))

// contentSecurityPolicy allows neither scripts nor external resources. It protects against markup in the names of
// servers and indices.
const contentSecurityPolicy = "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'"

// ServeHTTP responds with the page. A request whose Host header is a host name other than localhost gets status 421.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !isAddress(req.Host) {
		http.Error(w, "request this page by an IP address or by localhost", http.StatusMisdirectedRequest)
		return
	}
	var body bytes.Buffer
	if err := pageTemplate.Execute(&body, h.page()); err != nil {
		http.Error(w, "the page could not be rendered: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", contentSecurityPolicy)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body.Bytes()) // fails only if the browser has closed the connection
}

// isAddress reports whether a Host header is an IP address or localhost, with or without a port. This check prevents
// DNS rebinding: if another site's host name resolved to this address, the scripts of that site could read the page.
func isAddress(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return host == "localhost" || net.ParseIP(strings.Trim(host, "[]")) != nil
}
