// Package settings reads the settings of one instance from a YAML file, from
// environment variables and from flags, in that order, the later over the
// earlier. Reading is strict: every unknown field, wrong unit, duplicate address
// and missing value is told as a Fault with its file, line, field and remedy.
//
// The package holds no state. Zero values of settings mean the default that the
// field's comment names; Load fills them in.
package settings
