// Package lists defines the operators' two lists: the customers' plans
// (plans.yaml) and what each plan may use (allowances.yaml). It reads them
// strictly, checks them against each other and holds no other state.
package lists
