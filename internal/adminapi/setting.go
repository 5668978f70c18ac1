package adminapi

// Setting is one key with its effective value and where that came from.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Source string `json:"source"`
}

// ReloadResult is the result of a reload: the keys of the configuration file that differed from the running values.
type ReloadResult struct {
	Applied      []string `json:"held,omitempty"`       // in effect now
	NeedsRestart []string `json:"waiting,omitempty"`    // in effect after a restart
	Replicated   []string `json:"replicated,omitempty"` // the store's value stays; the file gives only its initial one
}
