package emulator

import (
	"testing"

	"linkpass/internal/shardmap"
)

// The judge sees what it is there for: holes, doubles and strangers.
func TestTheJudgeSeesWhatIsWrong(t *testing.T) {
	truth := Records(40)
	half := shardmap.FullRange.Split(2)[0]
	due := within(truth, half)
	ids := make([]string, len(due))
	for i, r := range due {
		ids[i] = r.ID
	}
	wanted := []shardmap.Range{half}
	if v := Judge(truth, wanted, ids, true); !v.Complete {
		t.Errorf("all of it: %+v", v)
	}
	if v := Judge(truth, wanted, ids[1:], true); v.Complete || v.Missing != 1 {
		t.Errorf("one missing: %+v", v)
	}
	if v := Judge(truth, wanted, append(ids, ids[0]), true); v.Complete || v.Duplicates != 1 {
		t.Errorf("one twice: %+v", v)
	}
	if v := Judge(truth, wanted, append(ids, within(truth, shardmap.FullRange.Split(2)[1])[0].ID), true); v.Complete || v.Unrequested != 1 {
		t.Errorf("one that was not asked for: %+v", v)
	}
}
