package simwire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"linkpass/internal/routing"
)

// Encoder builds one reply at a time. The zero value is an empty reply.
type Encoder struct {
	records, tail []byte
	recordCount   int // number of records
}

// Reset starts a new, empty reply. It reuses the memory of the last one.
func (e *Encoder) Reset() { e.records, e.tail, e.recordCount = e.records[:0], e.tail[:0], 0 }

// appendRecord appends a zeroed record with its record number and instance number, and returns it. The slice is
// valid until the next call.
func (e *Encoder) appendRecord(number uint16, instance int) []byte {
	var empty [actionSize]byte
	e.records = append(e.records, empty[:]...)
	e.recordCount++
	b := e.records[len(e.records)-actionSize:]
	binary.LittleEndian.PutUint16(b, number)
	binary.LittleEndian.PutUint16(b[2:], uint16(instance))
	return b
}

// AddPanic appends a record of a panic in an instance's decision code, with its message in the tail.
func (e *Encoder) AddPanic(instance int, message string) {
	b := e.appendRecord(actionPanic, instance)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(e.tail)))
	binary.LittleEndian.PutUint32(b[8:], uint32(len(message)))
	e.tail = append(e.tail, message...)
}

// Add appends the record of an instance's action. It panics for an action type without a record: this guards against
// a type that was added to package routing but not here.
func (e *Encoder) Add(instance int, action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		e.addSend(instance, a)
	case routing.Reject:
		b := e.appendRecord(actionReject, instance)
		putRequestID(b[4:], a.ID)
		putDuration(b[12:], a.RetryAfter)
	case routing.Fail:
		putRequestID(e.appendRecord(actionFail, instance)[4:], a.ID)
	case routing.Cancel:
		b := e.appendRecord(actionCancel, instance)
		putRequestID(b[4:], a.ID)
		b[12] = uint8(a.Attempt)
	case routing.SetTimer:
		b := e.appendRecord(actionSetTimer, instance)
		putDuration(b[4:], a.After)
		binary.LittleEndian.PutUint64(b[12:], a.Token)
	case routing.HealthCheck:
		putServer(e.appendRecord(actionHealthCheck, instance)[4:], a.Server)
	case routing.Subscribe:
		e.appendRecord(actionSubscribe, instance)[4] = 1
	case routing.Answer:
		e.addAnswer(instance, a)
	default:
		panic(fmt.Sprintf("simwire: no record for action type %T", action))
	}
}

func (e *Encoder) addSend(instance int, a routing.Send) {
	b := e.appendRecord(actionSend, instance)
	putRequestID(b[4:], a.ID)
	putServer(b[12:], a.Server)
	putDuration(b[18:], a.Timeout)
}

func (e *Encoder) addAnswer(instance int, a routing.Answer) {
	b := e.appendRecord(actionAnswer, instance)
	putRequestID(b[4:], a.ID)
	if a.Complete {
		b[12] = 1
	}
}

// Flush writes the reply to output. It does not empty the reply: call Reset before building the next one.
func (e *Encoder) Flush(output io.Writer) error {
	var h [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(e.records)+len(e.tail)))
	binary.LittleEndian.PutUint32(h[4:], uint32(e.recordCount))
	for _, b := range [][]byte{h[:], e.records, e.tail} {
		if _, err := output.Write(b); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
	return nil
}

func putRequestID(b []byte, id routing.RequestID) { binary.LittleEndian.PutUint64(b, uint64(id)) }

// putServer writes the four bytes of the address, first byte first, and the port.
func putServer(b []byte, s routing.ServerID) {
	binary.BigEndian.PutUint32(b, uint32(s>>16))
	binary.LittleEndian.PutUint16(b[4:], uint16(s))
}

// putDuration writes a duration in milliseconds, as a float64.
func putDuration(b []byte, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	binary.LittleEndian.PutUint64(b, math.Float64bits(ms))
}
