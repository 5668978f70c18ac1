package dashboard

import (
	"context"
	"net"
	"net/http"
	"testing"

	"linkpass/internal/adminapi"
)

func TestServeUntilContextEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, ln, fakeSource{status: markupStatus, err: adminapi.ErrUnreachable}) }()
	defer http.DefaultClient.CloseIdleConnections()
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/", 200}, {"PUT", "/", 405}, {"GET", "/v1/drain", 404}} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			req, err := http.NewRequest(c.method, "http://"+ln.Addr().String()+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if res.StatusCode != c.want {
				t.Errorf("status = %d, want %d", res.StatusCode, c.want)
			}
		})
	}
	stop()
	if err := <-done; err != nil {
		t.Errorf("Serve = %v, want nil", err)
	}
}
