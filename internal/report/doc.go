// Package report turns what the fleet's benchmarks and trials print into one
// page: a Markdown table and SVG plots of cache reuse through churn, skew across
// engines, control traffic, and service while a zone leaves and returns.
//
// It owns the formats that it reads: those of BenchmarkReuse in
// internal/placement, BenchmarkWays in internal/admission and the load tool's
// table. It sends no messages. It promises that a figure on the page stands in an
// input as it was printed, and that an input it can't read is an error.
package report
