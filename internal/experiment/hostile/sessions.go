package hostile

import (
	"bufio"
	"io"
	"net/http"
	"time"
)

const (
	dripInterval    = 100 * time.Millisecond // between two bytes of a client that writes slowly
	floodBufferSize = 64 << 10               // bytes that a client that does not wait for responses writes at a time
)

// request returns the next request of a client, as it is written.
type request func(c *client) []byte

// flood sends requests at full speed, each after the response to the one before.
func flood(next request) session {
	return func(c *client) {
		reader := bufio.NewReader(c.conn)
		for {
			if _, err := c.conn.Write(next(c)); err != nil {
				return
			}
			c.sent++
			_ = c.conn.SetReadDeadline(time.Now().Add(responseDeadline))
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			if err != nil || response.Close {
				return
			}
		}
	}
}

// pipeline sends requests at full speed without waiting for responses. It reads them if reads is set.
func pipeline(next request, reads bool) session {
	return func(c *client) {
		if reads {
			go func(conn io.Reader) { _, _ = io.Copy(io.Discard, conn) }(c.conn)
		}
		for {
			var block []byte
			for len(block) < floodBufferSize {
				block = append(block, next(c)...)
				c.sent++
			}
			if _, err := c.conn.Write(block); err != nil {
				return
			}
		}
	}
}

// hold writes a prefix of a request at once and then one byte after another, slowly, until the connection ends.
func hold(prefix request, drip byte) session {
	return func(c *client) {
		if _, err := c.conn.Write(prefix(c)); err != nil {
			return
		}
		c.sent++
		closed := make(chan struct{})
		go func(conn io.Reader) {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}(c.conn)
		ticker := time.NewTicker(dripInterval)
		defer ticker.Stop()
		for {
			select {
			case <-closed:
				return
			case <-ticker.C:
				if _, err := c.conn.Write([]byte{drip}); err != nil {
					return
				}
			}
		}
	}
}

// silent sends requests, one for each connection, and never reads a response.
func silent(next request) session {
	return func(c *client) {
		if _, err := c.conn.Write(next(c)); err != nil {
			return
		}
		c.sent++
		c.pause(responseDeadline)
	}
}

// leave sends a request and closes the connection at once, with much more behind the request.
func leave(next request, after time.Duration) session {
	return func(c *client) {
		if _, err := c.conn.Write(next(c)); err != nil {
			return
		}
		c.sent++
		c.pause(after)
	}
}
