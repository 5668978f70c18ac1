package emulator

import (
	"testing"

	"linkpass/internal/shardmap"
)

func TestCheckAnswerFindsDefects(t *testing.T) {
	records := Records(40)
	halves := shardmap.FullRange.Split(2)
	var ids []string
	for _, record := range recordsWithin(records, halves[0]) {
		ids = append(ids, record.ID)
	}
	unrequested := recordsWithin(records, halves[1])[0].ID
	cases := map[string]struct {
		ids  []string
		want AnswerCheck
	}{
		"complete":    {ids, AnswerCheck{ClaimedComplete: true, Complete: true}},
		"missing":     {ids[1:], AnswerCheck{ClaimedComplete: true, Missing: 1}},
		"duplicate":   {append(ids[:len(ids):len(ids)], ids[0]), AnswerCheck{ClaimedComplete: true, Duplicates: 1}},
		"unrequested": {append(ids[:len(ids):len(ids)], unrequested), AnswerCheck{ClaimedComplete: true, Unrequested: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := CheckAnswer(records, halves[:1], c.ids, true); got != c.want {
				t.Errorf("check = %+v, want %+v", got, c.want)
			}
		})
	}
}
