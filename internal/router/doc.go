// Package router runs the router role of an instance: it joins the entry and
// owner sides, keeps the session lease, follows the configuration and the
// platform's list, and counts plans.
//
// It sends session.renew, config.fetch and ledger.apply to the control leader
// and plan.borrow to plan homes. It promises that entry and owner act on one
// view at a time and that a planned stop ends no request.
package router
