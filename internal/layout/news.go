package layout

import "slices"

// News is what changed in the layout of one collection of records.
type News struct {
	Collection string
	Layout     *Layout // nil: the collection has gone
	Came, Went []Slice // held since, and held no more
}

// Differ finds what changed between two versions of a collection; either may be nil.
// Held slices of an id are the same for good, but for the holders that it was narrowed
// to at its switch: one that changed has come anew.
func Differ(name string, old, now *Layout) (n News, changed bool) {
	if old == now {
		return n, false
	}
	n = News{Collection: name, Layout: now}
	before, after := old.held(), now.held()
	for id, s := range after {
		if was, ok := before[id]; !ok || !slices.Equal(was.Holders, s.Holders) {
			n.Came = append(n.Came, s)
		}
	}
	for id, s := range before {
		if _, ok := after[id]; !ok {
			n.Went = append(n.Went, s)
		}
	}
	byID := func(a, b Slice) int { return int(int64(a.ID) - int64(b.ID)) }
	slices.SortFunc(n.Came, byID)
	slices.SortFunc(n.Went, byID)
	return n, true
}

// held lists what Held finds.
func (l *Layout) held() map[SliceID]Slice {
	out := map[SliceID]Slice{}
	if l == nil {
		return out
	}
	for _, s := range l.Slices() {
		out[s.ID] = s
	}
	for _, p := range l.plans {
		if p.Step == Switched {
			for _, s := range p.From {
				out[s.ID] = s
			}
		}
	}
	return out
}
