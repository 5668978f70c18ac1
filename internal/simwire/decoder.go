package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

// Kind is the kind of a Message.
type Kind uint8

// The kinds of message.
const (
	InstanceStarted Kind = iota // an instance starts; Seed and Settings are set
	InstanceStopped             // an instance has stopped
	EventReceived               // an instance receives an event; Event is set
)

// Message is one event record, addressed to an instance.
type Message struct {
	Kind     Kind
	Instance int              // number of the instance
	Seed     uint64           // only with InstanceStarted
	Settings routing.Settings // only with InstanceStarted
	Event    routing.Event    // only with EventReceived; nil otherwise
}

// Decoder reads batches. It keeps the numbered endpoint lists from one batch to the next.
type Decoder struct {
	input    io.Reader
	lists    [maxEndpointLists][]routing.Endpoint // by list number
	hasList  [maxEndpointLists]bool               // whether the list was received; it may be empty
	body     []byte                               // records and tail of the current batch; reused for the next one
	messages []Message                            // of the current batch; reused for the next one
}

// NewDecoder returns a decoder that reads batches from input.
func NewDecoder(input io.Reader) *Decoder { return &Decoder{input: input} }

// header is the header of a batch.
type header struct {
	size  int           // size of records and tail, in bytes
	count int           // number of records
	now   time.Duration // the simulator's clock
}

// Next reads one batch and returns the simulator's clock and the messages. It returns io.EOF if the input ends between
// batches. After any other error the decoder is unusable. The messages are valid until the next call.
func (d *Decoder) Next() (time.Duration, []Message, error) {
	h, err := d.readHeader()
	if err != nil {
		return 0, nil, err
	}
	if err := d.readBody(h.size); err != nil {
		return 0, nil, err
	}
	d.messages = d.messages[:0]
	tail := d.body[h.count*eventSize:]
	for i := range h.count {
		r := record{fields: d.body[i*eventSize : (i+1)*eventSize], tail: tail}
		if err := d.decode(&r); err != nil {
			return 0, nil, fmt.Errorf("batch record %d: %w", i, err)
		}
	}
	return h.now, d.messages, nil
}

func (d *Decoder) readHeader() (header, error) {
	var b [headerSize]byte
	if _, err := io.ReadFull(d.input, b[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return header{}, io.EOF
		}
		return header{}, fmt.Errorf("batch header: %w", err)
	}
	now, err := parseClock(math.Float64frombits(binary.LittleEndian.Uint64(b[8:])))
	if err != nil {
		return header{}, err
	}
	h := header{size: int(binary.LittleEndian.Uint32(b[0:])), count: int(binary.LittleEndian.Uint32(b[4:])), now: now}
	if h.size > maxBatchSize {
		return header{}, fmt.Errorf("batch header: length %d is over the limit of %d bytes", h.size, maxBatchSize)
	}
	if h.count > h.size/eventSize {
		return header{}, fmt.Errorf("batch header: %d records do not fit in %d bytes", h.count, h.size)
	}
	return h, nil
}

func (d *Decoder) readBody(size int) error {
	if cap(d.body) < size {
		d.body = make([]byte, size)
	}
	d.body = d.body[:size]
	if _, err := io.ReadFull(d.input, d.body); err != nil {
		return fmt.Errorf("batch body: %w", err)
	}
	return nil
}

// parseClock converts the simulator's clock, which is in milliseconds since its start.
func parseClock(ms float64) (time.Duration, error) {
	if math.IsNaN(ms) || ms < 0 || ms > maxClockMS {
		return 0, fmt.Errorf("batch header: clock %v ms is out of the range from 0 to %v ms", ms, maxClockMS)
	}
	return settings.FromMilliseconds(ms), nil
}
