// Package routes holds the operators' routing table: which requests go to which
// pool, what may be repeated, how long a caller waits, and whose keys are valid.
//
// A Table is decoded from the document that operators send, checked as a whole
// and looked up by host and path. The document itself is what the control group
// replicates, so that it reads back as it was sent.
package routes
