package rollback

// Report is what an instance tells others about its disk.
type Report struct {
	ID string `json:"id"`
	// Incarnation counts the starts on the disk, and is stored there.
	Incarnation uint64 `json:"boot"`
	// Nonce is random for each process: it tells apart two starts with the same incarnation.
	Nonce uint64 `json:"nonce"`
	// AtStart is the disk as the process found it.
	AtStart Position `json:"began"`
	// Current is the disk now.
	Current Position `json:"now"`
}
