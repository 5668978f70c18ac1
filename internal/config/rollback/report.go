package rollback

// Report is the message by which an instance tells other instances the position of its disk.
type Report struct {
	// ID is the id of the instance.
	ID string `json:"id"`
	// Incarnation counts the process starts on the disk, and is stored on it.
	Incarnation uint64 `json:"boot"`
	// Nonce is random for each process. It distinguishes two processes that have the same incarnation.
	Nonce uint64 `json:"nonce"`
	// AtStart is the position of the disk when the process started.
	AtStart Position `json:"began"`
	// Current is the position of the disk when the report is sent.
	Current Position `json:"now"`
}
