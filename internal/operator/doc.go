// Package operator holds the committed configuration: plans and allowances, what
// is out of service, orders to engines, and the routing table.
//
// Config is the replicated state machine; its Commands come from the control log.
// Every accepted operator's command makes a new version. A command carries the
// version it expects and an operation ID. Of two commands that expect the same
// version only one is accepted. A retried command gets its first answer again,
// also from another leader and after a snapshot.
//
// View is the configuration at a router. It applies versions in order and never
// goes back. It does no I/O: when a session.RenewReply or a session.Notice names
// a newer version, the router fetches an Update from the control group.
//
// NewHandler returns the operators' HTTP API and Client calls it. Runner decides
// for an upstream's owner when an order may be sent to the engine.
package operator
