package settings

import "fmt"

// Violation is one reason why a file is refused.
type Violation struct {
	File string
	// Line counts from 1; 0 means the fault has no place in the file.
	Line int
	// Field is the path of the field, such as "limits.max_body_bytes".
	Field   string
	Message string
	// Remedy says what to change.
	Remedy string
}

// String returns "file:line: field: message; remedy".
func (f Violation) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", f.File, f.Line, f.Field, f.Message, f.Remedy)
}
