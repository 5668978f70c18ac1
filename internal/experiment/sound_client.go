package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// soundLoad is a load of clients that keep to the protocol: each has one connection, sends one query after another with
// a pause between them, and keeps its connection.
type soundLoad struct {
	addr      string
	clients   int
	pause     time.Duration // between an answer and the next query
	timeout   time.Duration // of each query
	reconnect bool          // opens a new connection for each query
	writeTime time.Duration // over which a query is written, in pieces; 0: at once
	textBytes int           // size of a query's text; 0: a few bytes
	parts     int           // of a query; 0: one
	name      string        // prefix of the queries' names
}

// soundResult is what the clients of a soundLoad saw.
type soundResult struct {
	mu        sync.Mutex
	latencies []time.Duration // of the answers with status 200
	rejected  int             // answers with status 503 or 429
	failed    int             // other answers
	closed    int             // connections that ended without an answer, or could not be opened
	resent    int             // resting connections that ended without an answer; the queries were sent once more
	late      int             // answers, or connections that ended, more than soundSlack after the timeout
	missed    []missedQuery   // those that were late or had no answer
}

// missedQuery is a query without an answer in time.
type missedQuery struct {
	name   string
	sentAt time.Time
	status int // of the late answer; 0: none
	took   time.Duration
}

// soundSlack is how much later than its timeout an answer may come; the page of the rules on sockets gives it.
const soundSlack = 50 * time.Millisecond

// sent returns the number of queries.
func (r *soundResult) sent() int { return len(r.latencies) + r.rejected + r.failed + r.closed }

// quantile returns the latency that a share of the answers with status 200 did not exceed.
func (r *soundResult) quantile(share float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(len(r.latencies)-1, int(share*float64(len(r.latencies))))]
}

func (r *soundResult) String() string {
	return fmt.Sprintf("sent=%d ok=%d rejected=%d failed=%d closed=%d resent=%d late=%d p50=%v p99=%v max=%v", r.sent(), len(r.latencies),
		r.rejected, r.failed, r.closed, r.resent, r.late, r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond),
		r.quantile(1).Round(time.Millisecond))
}

// run sends queries until the context ends, and waits for the answers to those that are open then.
func (l soundLoad) run(ctx context.Context) *soundResult {
	result := &soundResult{}
	var clients sync.WaitGroup
	for i := range l.clients {
		clients.Go(func() { l.runClient(ctx, i, result) })
	}
	clients.Wait()
	return result
}

func (l soundLoad) runClient(ctx context.Context, number int, result *soundResult) {
	var conn *soundConn
	for sent := 0; ctx.Err() == nil; sent++ {
		query := missedQuery{name: fmt.Sprintf("%s-%d-%d", l.name, number, sent), sentAt: time.Now()}
		conn, query.status = l.ask(conn, query.name, result)
		query.took = time.Since(query.sentAt)
		result.add(query, l.timeout+l.writeTime)
		if conn != nil && (query.status == 0 || conn.closes || l.reconnect) {
			_ = conn.Close()
			conn = nil
		}
		select {
		case <-time.After(l.pause):
		case <-ctx.Done():
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// ask sends a query on a connection, or on a new one if conn is nil, and returns the connection and the status of the
// answer. If a connection that rested has ended without an answer, it sends the query once more on a new one: a
// coordinator may close a resting connection as a request crosses.
func (l soundLoad) ask(conn *soundConn, name string, result *soundResult) (*soundConn, int) {
	rested := conn != nil
	if !rested {
		conn = dialSound(l.addr, l.timeout)
	}
	if conn == nil {
		return nil, 0
	}
	status := conn.query(name, l)
	if status != 0 || !rested {
		return conn, status
	}
	_ = conn.Close()
	result.addResent()
	if conn = dialSound(l.addr, l.timeout); conn == nil {
		return nil, 0
	}
	return conn, conn.query(name, l)
}

// addResent records that a resting connection has ended without an answer.
func (r *soundResult) addResent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resent++
}

// add records the end of one query: its status is 0 if its connection ended or could not be opened.
func (r *soundResult) add(query missedQuery, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if query.took > timeout+soundSlack {
		r.late++
	}
	if query.took > timeout+soundSlack || query.status == 0 {
		r.missed = append(r.missed, query)
	}
	switch query.status {
	case 200:
		r.latencies = append(r.latencies, query.took)
	case 0:
		r.closed++
	case 429, 503:
		r.rejected++
	default:
		r.failed++
	}
}

// soundConn is a connection of a sound client.
type soundConn struct {
	net.Conn
	reader *bufio.Reader
	closes bool // the coordinator ends the connection after the latest answer
}

// dialSound opens a connection. It returns nil if that fails.
func dialSound(addr string, timeout time.Duration) *soundConn {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil
	}
	return &soundConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// soundGiveUp is how long after the timeout of its query a client goes on waiting, to tell late answers from none.
const soundGiveUp = 2 * time.Second

// queryPieces is the number of pieces in which a query is written that takes a while.
const queryPieces = 10

// query sends a query and returns the status of its answer, 0 if the connection ended without one.
func (c *soundConn) query(name string, l soundLoad) int {
	_ = c.SetDeadline(time.Now().Add(l.timeout + l.writeTime + soundGiveUp))
	body := l.body()
	request := fmt.Sprintf("POST /team-lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		name, (l.timeout + l.writeTime).Milliseconds(), len(body), body)
	if !c.write(request, l.writeTime) {
		return 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	c.closes = response.Close
	return response.StatusCode
}

// body returns the body of a query.
func (l soundLoad) body() string {
	parts := make([]string, max(1, l.parts))
	for shard := range parts {
		parts[shard] = fmt.Sprintf(`{"id":%d,"w":%g}`, shard, 1/float64(len(parts)))
	}
	return fmt.Sprintf(`{"parts":[%s],"expr":"%s"}`, strings.Join(parts, ","), strings.Repeat("x", max(l.textBytes, 1)))
}

// write writes a request over a time and reports whether that succeeded.
func (c *soundConn) write(request string, over time.Duration) bool {
	if over == 0 {
		_, err := io.WriteString(c, request)
		return err == nil
	}
	for piece := range queryPieces {
		from, to := piece*len(request)/queryPieces, (piece+1)*len(request)/queryPieces
		if _, err := io.WriteString(c, request[from:to]); err != nil {
			return false
		}
		time.Sleep(over / queryPieces)
	}
	return true
}
