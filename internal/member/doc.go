// Package member keeps a router's standing in the fleet: its session lease at
// the control leader, the membership that it acts upon, and the configuration in
// force. Routers of every kind share it.
package member
