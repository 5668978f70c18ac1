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
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second // includes the calls to the source and a slow browser
	maxHeaderBytes = 16 << 10
)

// Serve serves the page on ln until ctx ends, and meanwhile samples the source every SampleInterval. It closes ln
// before it returns, and returns nil when ctx has ended.
func Serve(ctx context.Context, ln net.Listener, source Source) error {
	series, err := NewSeries()
	if err != nil {
		_ = ln.Close()
		return err
	}
	defer series.Close()
	server := newServer(&Handler{Source: source, Series: series, Now: time.Now})
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	samplingDone := make(chan struct{})
	go func() {
		defer close(samplingDone)
		sample(ctx, source, series)
	}()
	err = server.Serve(ln)
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve page: %w", err)
	}
	<-samplingDone
	return nil
}

func newServer(h *Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /{$}", h)
	return &http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// sample adds a sample to the series every SampleInterval until ctx ends. A failed call to the source or to the series
// leaves a gap.
func sample(ctx context.Context, source Source, series *Series) {
	ticker := time.NewTicker(SampleInterval)
	defer ticker.Stop()
	for {
		if s, err := source.Status(); err == nil {
			_ = series.Add(time.Now(), s.Classes)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
