package main

import "net/http"

type (
	httpRequest    = http.Request
	responseWriter = http.ResponseWriter
)
