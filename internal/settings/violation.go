package settings

import "fmt"

// Violation is one reason why a settings file is rejected.
type Violation struct {
	File string
	// Line counts from 1; 0 means that the violation belongs to no line.
	Line int
	// Field is the path of the field, such as "limits.max_body_bytes".
	Field   string
	Message string
	// Remedy is what to change.
	Remedy string
}

// String returns "file:line: field: message; remedy".
func (v Violation) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", v.File, v.Line, v.Field, v.Message, v.Remedy)
}
