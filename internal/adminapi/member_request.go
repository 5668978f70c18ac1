package adminapi

// MemberRequest changes the membership of the store.
type MemberRequest struct {
	Action string `json:"verb"` // join, promote, leave
	ID     string `json:"id"`
	Raft   string `json:"raft,omitempty"` // address of its Raft traffic, to join
	HTTP   string `json:"http,omitempty"` // address of its search front, to join
}
