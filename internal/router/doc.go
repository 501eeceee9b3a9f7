// Package router runs the router role of an instance: it connects the entry and
// owner packages, keeps the session lease, follows the configuration and the
// upstream list, and counts the use of plans.
//
// It sends session.renew, config.fetch and ledger.apply to the control leader
// and plan.borrow to plan homes. It guarantees that entry and owner act on the same
// view and that a planned stop interrupts no request.
package router
