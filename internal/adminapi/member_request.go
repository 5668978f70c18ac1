package adminapi

// MemberRequest asks for a change to the members of the store. It is also the response to a successful change.
type MemberRequest struct {
	Action string `json:"verb"`           // join, promote or leave
	ID     string `json:"id"`             // of the member
	Raft   string `json:"raft,omitempty"` // address for Raft traffic; for join only
	HTTP   string `json:"http,omitempty"` // address of the search front; for join only
}
