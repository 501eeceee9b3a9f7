// Package report turns the output of the fleet's benchmarks and trials into one
// page: Markdown tables and SVG plots of cache reuse through churn, load skew across
// engines, control traffic, and service while a zone leaves and returns.
//
// It parses the output of BenchmarkReuse in internal/placement and of
// BenchmarkStrategies in internal/admission, and copies the load tool's table. Figures appear on the
// page as they were printed in the input. An input without results is an error.
package report
