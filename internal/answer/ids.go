package answer

//go:generate go tool msgp -tests=false -io=false -file ids.go

// AttemptID names one attempt to run one request at one upstream. It goes to
// the upstream as X-Request-Id and is never used for a second attempt.
type AttemptID string
