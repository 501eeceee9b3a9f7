package consensus

//go:generate go tool msgp -tests=false -io=false -unexported -file records.go

//msgp:tuple logRecord identity

// logRecord is the payload of one frame of a log file, written with one sync.
type logRecord struct {
	// Start is set only in the first record of a file.
	Start *logStart
	Hard  *HardState
	// Entries replace the log from the first one's index on.
	Entries []Entry
}

// logStart is the position of the entry before the first one in a log file.
type logStart struct {
	Base     uint64
	BaseTerm uint64
}

// identity names the group, member and store to which a data directory belongs.
type identity struct {
	Group  string
	Member MemberID
	Store  StoreID
	// FileID is the inode number of the file that contains this record; it differs
	// in a copy of the directory.
	FileID uint64
}
