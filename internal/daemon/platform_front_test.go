package daemon

import (
	"testing"
)

func TestPlatformFrontRejectsMalformedRequest(t *testing.T) {
	b := newTestbed(t, 1)
	if _, err := b.platform.nc.Write([]byte("POST /whole HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if res, err := b.platform.r.Response(); err != nil || res.Status != 400 || !res.Close {
		t.Errorf("response %+v, error %v; want status 400 and a connection that closes", res, err)
	}
	if n := b.p.counters.Get("platform_malformed"); n != 1 {
		t.Errorf("platform_malformed = %d, want 1", n)
	}
}
