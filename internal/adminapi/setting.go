package adminapi

// Setting is one configuration key with its effective value and the source of that value.
type Setting struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Source string `json:"source"`
}

// ReloadResult is the result of a reload. It lists the keys of the configuration file whose values differ from those
// in effect before the reload.
type ReloadResult struct {
	Applied      []string `json:"held,omitempty"`       // in effect now
	NeedsRestart []string `json:"waiting,omitempty"`    // in effect after a restart
	Replicated   []string `json:"replicated,omitempty"` // the store's value stays; the file only sets its initial value
}
