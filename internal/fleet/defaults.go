package fleet

// SetDefault gives a field that holds its zero value its default.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
