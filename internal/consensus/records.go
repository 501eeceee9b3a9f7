package consensus

//go:generate go tool msgp -tests=false -io=false -unexported -file records.go

//msgp:tuple logRecord identity

// logRecord is one frame of a log file: all that one sync makes last.
type logRecord struct {
	// Start is set in the first record of a file only.
	Start *logStart
	Hard  *HardState
	// Entries replace whatever the log holds from the first one's index on.
	Entries []Entry
}

// logStart names the entry before the first one that a log file may hold.
type logStart struct {
	Base     uint64
	BaseTerm uint64
}

// identity tells whose data folder it is.
type identity struct {
	Group  string
	Member MemberID
	Store  StoreID
	// FileID is the number of the file that holds this record: a copy of the
	// folder has other ones.
	FileID uint64
}
