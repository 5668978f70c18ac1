package emulator

import (
	"sync"

	"linkpass/internal/frame"
)

// frameConn serves the frames of one connection. A part in a frame requests a whole shard and is answered whether or
// not the shard map assigns that shard to the server.
type frameConn struct {
	server  *Server
	conn    *peekedConn
	writeMu sync.Mutex     // held while a frame is written
	parts   sync.WaitGroup // parts in flight
}

// serveFrames answers frames until the connection fails or the server is partitioned. It waits for the parts
// in flight, then closes the connection.
func (s *Server) serveFrames(conn *peekedConn) {
	defer conn.Close()
	f := &frameConn{server: s, conn: conn}
	defer f.parts.Wait()
	for {
		letter, payload, err := frame.Read(conn.reader)
		if err != nil || s.isPartitioned() {
			return
		}
		switch letter {
		case frame.LetterHealthCheck:
			f.send(letter, healthyStatus)
		case frame.LetterLoadCheck:
			f.send(letter, s.loadReport())
		case frame.LetterRequest:
			if !f.startParts(payload) {
				return
			}
		}
	}
}

func (f *frameConn) send(letter byte, payload string) {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	_, _ = f.conn.Write(frame.Append(nil, letter, []byte(payload)))
}

// startParts starts a goroutine for each part of a request frame. It sends an error frame and returns false at a part
// that cannot be parsed; the parts before it are answered.
func (f *frameConn) startParts(payload []byte) bool {
	for len(payload) > 0 {
		part, size, ok := parseFramePart(string(payload))
		if !ok {
			f.send(frame.LetterError, malformedRequestFrameText)
			return false
		}
		payload = payload[size:]
		f.server.countPart()
		f.parts.Go(func() { f.answer(part) })
	}
	return true
}

func (f *frameConn) answer(part framePart) {
	s := f.server
	release, ok := s.acquireCore()
	if ok {
		defer release()
		ok = s.doWork(1)
	}
	if !ok {
		f.send(frame.LetterReply, formatFrameRejection(part, s.loadReport()))
		return
	}
	f.send(frame.LetterReply, formatFrameAnswer(part, s.loadReport(), s.Name))
}
