package dashboard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	readLimit  = 5 * time.Second
	writeLimit = 30 * time.Second // two calls of the source at most, and a slow browser
)

// Serve serves the page on ln until the context ends, and samples the source meanwhile.
func Serve(ctx context.Context, ln net.Listener, source Source) error {
	series, err := NewSeries()
	if err != nil {
		_ = ln.Close()
		return err
	}
	defer series.Close()
	mux := http.NewServeMux()
	mux.Handle("GET /{$}", &Handler{Source: source, Series: series, Now: time.Now})
	server := &http.Server{Handler: mux, ReadTimeout: readLimit, WriteTimeout: writeLimit, MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		sample(ctx, source, series)
	}()
	err = server.Serve(ln)
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("page: %w", err)
	}
	<-sampled
	return nil
}

// sample adds to the series until the context ends. A coordinator that does not answer leaves a gap.
func sample(ctx context.Context, source Source, series *Series) {
	tick := time.NewTicker(SampleInterval)
	defer tick.Stop()
	for {
		if s, err := source.Status(); err == nil {
			_ = series.Add(time.Now(), s.Classes) // what fails is a gap too
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
