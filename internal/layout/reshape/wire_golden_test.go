package reshape

import (
	"testing"

	"linkpass/internal/goldentest"
	"linkpass/internal/layout"
)

func TestDutyGolden(t *testing.T) {
	goldentest.JSON(t, "duty.json", Duty{Index: "players", Version: 3, Tasks: []Task{{Slice: layout.FirstSlice + 4, Range: layout.Range{First: 1, Last: 0xff},
		Sources: []Source{{Range: layout.Range{First: 2, Last: 0x7f}, Servers: []string{"s-1", "s-2"}, Slice: layout.FirstSlice}}}}})
	goldentest.Encodes(t, "duty_empty.json", Duty{Index: "players", Tasks: []Task{{}}})
}

func TestHoldingGolden(t *testing.T) {
	goldentest.JSON(t, "holding.json", Holding{Slice: layout.FirstSlice, Complete: true, Records: 12345678901})
	goldentest.Encodes(t, "holding_empty.json", Holding{})
}

// The duties of a layout in the middle of a move, as a server is told them.
func TestDutiesOfPlanGolden(t *testing.T) {
	l, err := layout.Even(2, [][]string{{"s-1"}, {"s-2"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []layout.Command{
		{Order: &layout.Order{Kind: layout.Split, Slices: []layout.SliceID{layout.FirstSlice}, Into: 2, To: [][]string{{"s-3"}, {"s-4"}}}},
		{Advance: &layout.Advance{Plan: 1, Step: layout.Copying}},
	} {
		if l, err = l.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Encodes(t, "duties_by_server.json", Duties("players", l))
}
