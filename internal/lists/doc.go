// Package lists defines the operators' two lists: the workspaces and their plans
// (plans.yaml) and what each plan may use (allowances.yaml). It parses them, rejects
// unknown fields, and checks the lists against each other.
package lists
