// Package member keeps a router's session state: its lease from the control
// leader, the membership under which it acts, and the configuration in force. All
// kinds of routers use it.
package member
