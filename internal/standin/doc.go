// Package standin implements small stand-ins for the processes around the router
// fleet: a model engine, a plain service and the platform's list of instances.
// They are for trials and tests, never for production.
//
// The engine speaks the OpenAI chat API with resume by offset, cancel, load
// reports, cache events, orders under a fencing number, and KV export and
// import. Its answers are a function of the prompt, so that a checker can
// recompute a complete answer with ExpectedAnswer. The service counts each run of a
// request under its Idempotency-Key. The platform serves its list with a lag.
// POST /standin/faults injects faults into engines and services; see FaultKind.
package standin
