package emulator

import "linkpass/internal/shardmap"

// AnswerCheck is the result of comparing a search's answer with the records that exist.
type AnswerCheck struct {
	ClaimedComplete bool // the answer says that it is complete
	Complete        bool // no record is missing, duplicate or unrequested
	Duplicates      int  // repeated records, without their first occurrences
	Unrequested     int  // records outside the requested ranges
	Missing         int  // requested records that the answer lacks
}

// CheckAnswer compares the ids of an answer with the records of the requested ranges. The records must be
// sorted by key. claimed is whether the answer says that it is complete.
func CheckAnswer(records []Record, requested []shardmap.Range, ids []string, claimed bool) AnswerCheck {
	check := AnswerCheck{ClaimedComplete: claimed}
	expected := map[string]bool{}
	for _, keys := range requested {
		for _, record := range recordsWithin(records, keys) {
			expected[record.ID] = true
		}
	}
	seen := map[string]bool{}
	for _, id := range ids {
		switch {
		case seen[id]:
			check.Duplicates++
		case !expected[id]:
			check.Unrequested++
		}
		seen[id] = true
	}
	for id := range expected {
		if !seen[id] {
			check.Missing++
		}
	}
	check.Complete = check.Duplicates+check.Unrequested+check.Missing == 0
	return check
}
