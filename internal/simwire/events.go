package simwire

import (
	"fmt"
	"math"

	"linkpass/internal/routing"
	"linkpass/internal/settings"
)

// decode appends the message of a record. An endpoint list has no message: it is kept for later endpoint updates.
func (d *Decoder) decode(r *record) error {
	number := r.u16(0)
	if number == eventEndpointList {
		return withRecordName(number, d.decodeEndpointList(r))
	}
	m := Message{Kind: EventReceived, Instance: int(r.u16(2))}
	if err := d.decodeMessage(number, r, &m); err != nil {
		return withRecordName(number, err)
	}
	d.messages = append(d.messages, m)
	return nil
}

// withRecordName prefixes an error with the record's name in the protocol, if eventNames has one. A nil error stays
// nil.
func withRecordName(number uint16, err error) error {
	name, ok := eventNames[number]
	if err == nil || !ok {
		return err
	}
	return fmt.Errorf("%s: %w", name, err)
}

func (d *Decoder) decodeMessage(number uint16, r *record, m *Message) (err error) {
	switch number {
	case eventInstanceStarted:
		return decodeInstanceStarted(r, m)
	case eventInstanceStopped:
		m.Kind = InstanceStopped
	case eventEndpointUpdate:
		m.Event, err = d.decodeEndpointUpdate(r)
	case eventArrival:
		m.Event = decodeArrival(r)
	case eventStreamStarted:
		m.Event = routing.StreamStarted{ID: r.requestID(4), Attempt: int(r.u8(12))}
	case eventAttemptResult:
		m.Event, err = decodeAttemptResult(r)
	case eventClientDisconnected:
		m.Event = routing.ClientDisconnected{ID: r.requestID(4)}
	case eventTimerFired:
		m.Event = routing.TimerFired{Token: r.u64(4)}
	case eventHealthCheckResult:
		m.Event, err = decodeHealthCheckResult(r)
	case eventGossipMessage:
		m.Event, err = decodeGossipMessage(r)
	default:
		return fmt.Errorf("unknown event code %d", number)
	}
	return err
}

func decodeInstanceStarted(r *record, m *Message) error {
	text, err := r.tailBytes(12, 1)
	if err != nil {
		return err
	}
	m.Kind, m.Seed = InstanceStarted, r.u64(4)
	m.Settings, err = settings.ParseText(string(text))
	return err
}

func (d *Decoder) decodeEndpointUpdate(r *record) (routing.Event, error) {
	update := routing.EndpointUpdate{Mode: routing.UpdateMode(r.u8(4))}
	if update.Mode > routing.UpdateFailed {
		return nil, fmt.Errorf("unknown update mode %d", r.u8(4))
	}
	if update.Mode == routing.UpdateFailed {
		return update, nil
	}
	list := r.u32(9)
	if list >= maxEndpointLists || !d.hasList[list] {
		return nil, fmt.Errorf("endpoint list %d was never received", list)
	}
	update.Endpoints = d.lists[list]
	return update, nil
}

func decodeArrival(r *record) routing.Event {
	flags := r.u8(26)
	a := routing.Arrival{
		ID:          r.requestID(4),
		Shard:       int(math.Floor(r.f32(12))),
		Timeout:     r.duration(16),
		Class:       int(r.u16(24)),
		IsRetry:     flags&arrivalIsRetry != 0,
		Key:         r.u64(35),
		Weight:      r.f32(43),
		QueryNumber: uint64(r.f32(47)),
		Tenant:      int(r.u16(51)),
	}
	if flags&arrivalHasExpectedWork != 0 {
		a.ExpectedWork = r.duration(27)
	}
	return a
}

func decodeAttemptResult(r *record) (routing.Event, error) {
	code, err := r.outcome(19)
	if err != nil {
		return nil, err
	}
	return routing.AttemptResult{
		ID:         r.requestID(4),
		Attempt:    int(r.u8(12)),
		Server:     r.server(13),
		Code:       code,
		Latency:    r.duration(21),
		Final:      r.u8(29) != 0,
		LoadReport: r.loadReport(30),
	}, nil
}

func decodeHealthCheckResult(r *record) (routing.Event, error) {
	code, err := r.outcome(10)
	if err != nil {
		return nil, err
	}
	return routing.HealthCheckResult{
		Server:     r.server(4),
		Code:       code,
		Latency:    r.duration(12),
		LoadReport: r.loadReport(20),
	}, nil
}

func decodeGossipMessage(r *record) (routing.Event, error) {
	data, err := r.tailBytes(8, 1)
	if err != nil {
		return nil, err
	}
	return routing.GossipMessage{From: int(r.u32(4)), Data: append([]byte(nil), data...)}, nil
}

// decodeEndpointList stores a list under its number. It makes a new slice for the list, so updates that were decoded
// earlier keep the old list unchanged.
func (d *Decoder) decodeEndpointList(r *record) error {
	list := r.u32(2)
	if list >= maxEndpointLists {
		return fmt.Errorf("endpoint list number %d is out of range: want below %d", list, maxEndpointLists)
	}
	entries, err := r.tailBytes(6, endpointSize)
	if err != nil {
		return err
	}
	endpoints := make([]routing.Endpoint, 0, len(entries)/endpointSize)
	for ; len(entries) > 0; entries = entries[endpointSize:] {
		endpoint, err := decodeEndpoint(&record{fields: entries[:endpointSize]})
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	d.lists[list], d.hasList[list] = endpoints, true
	return nil
}

func decodeEndpoint(r *record) (routing.Endpoint, error) {
	state := routing.EndpointState(r.u8(12))
	if state > routing.Removed {
		return routing.Endpoint{}, fmt.Errorf("unknown endpoint state %d", r.u8(12))
	}
	return routing.Endpoint{
		Server:    r.server(0),
		Zone:      int(r.u16(6)),
		Kind:      int(r.u16(8)),
		Cell:      int(r.u16(10)),
		State:     state,
		Weight:    r.f32(13),
		StartedAt: r.duration(17),
	}, nil
}
