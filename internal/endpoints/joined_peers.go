package endpoints

import (
	"context"
	"sync"
	"time"
)

// joinedPeersInterval is the time between two looks for peers that have joined or left.
const joinedPeersInterval = 500 * time.Millisecond

// joinedPeer is the worker that broadcasts to a peer that is not in this instance's file.
type joinedPeer struct {
	*worker
	stop context.CancelFunc
}

// followJoinedPeers runs a worker for each joined peer, from when it joins until it leaves or the context ends.
func (r *Registry) followJoinedPeers(ctx context.Context, workers *sync.WaitGroup) {
	ticker := time.NewTicker(joinedPeersInterval)
	defer ticker.Stop()
	for {
		r.updateJoinedPeers(ctx, workers)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateJoinedPeers starts the workers of peers that have joined, and stops those of peers that have left.
func (r *Registry) updateJoinedPeers(ctx context.Context, workers *sync.WaitGroup) {
	current := map[Peer]bool{}
	for _, peer := range r.cfg.JoinedPeers() {
		current[peer] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for peer, joined := range r.joined {
		if !current[peer] {
			joined.stop()
			delete(r.joined, peer)
		}
	}
	for peer := range current {
		if r.joined[peer] != nil {
			continue
		}
		peerCtx, stop := context.WithCancel(ctx)
		joined := &joinedPeer{r.newBroadcaster(peer.ID, r.cfg.BroadcastTo(peer)), stop}
		r.joined[peer] = joined
		workers.Go(func() { joined.run(peerCtx) })
	}
}
