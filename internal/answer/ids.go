package answer

//go:generate go tool msgp -tests=false -io=false -file ids.go

// AttemptID identifies one attempt to run one request at one upstream. It is sent to
// the upstream as X-Request-Id and is never reused for another attempt.
type AttemptID string
