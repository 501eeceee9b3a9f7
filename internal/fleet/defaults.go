package fleet

// SetDefault sets the field to value if the field is zero.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
