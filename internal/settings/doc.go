// Package settings reads the settings of one instance from a YAML file, environment
// variables and flags. Environment variables override the file, and flags override
// both. Parsing is strict: every unknown field, wrong unit, duplicate address and
// missing value is reported as a Violation with its file, line, field and remedy.
//
// The package holds no state. A zero value means the default in the field's default
// tag; Load fills in the defaults.
package settings
