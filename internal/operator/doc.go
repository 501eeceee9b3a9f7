// Package operator owns the committed configuration: both lists, what is out of
// service, and orders to engines.
//
// Config is the replicated core; its Commands come from the control log. Every
// accepted operator's command makes a new version. A command names the version
// it expects and an operation ID; of two commands that expect the same version
// one is accepted, and a command sent again gets its first answer again, also
// from another leader and after a snapshot.
//
// View is the router's side. It takes versions in order and never goes back.
// It sends nothing itself: the router fetches an Update after its own version
// from the control leader, once a session.RenewReply or a session.Notice shows
// a newer one.
//
// NewHandler is the operators' HTTP interface, Client its caller, and Runner
// decides for an upstream's owner when an order may go to an engine.
package operator
