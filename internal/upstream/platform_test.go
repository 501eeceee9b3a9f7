package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func TestUnchangedListIsNotTransferred(t *testing.T) {
	is := is.New(t)
	list, tag, sent := `{"as_of_ms":1,"instances":[{"id":"a"}]}`, `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = io.WriteString(w, list)
	}))
	defer server.Close()
	platform := NewPlatform(server.Listener.Addr().String(), nil)
	for _, step := range []struct {
		name, list, tag, first string
		sent                   int
	}{
		{"the first read", list, `"1"`, "a", 1},
		{"an unchanged list", list, `"1"`, "a", 1},
		{"a changed list", `{"as_of_ms":2,"instances":[{"id":"b"}]}`, `"2"`, "b", 2},
		{"a platform without ETags", `{"as_of_ms":3,"instances":[{"id":"c"}]}`, "", "c", 3},
		{"and again", `{"as_of_ms":4,"instances":[{"id":"d"}]}`, "", "d", 4},
	} {
		list, tag = step.list, step.tag
		got, err := platform.Instances(context.Background())
		is.NoErr(err)
		is.Equal(string(got.Instances[0].ID), step.first)
		is.Equal(sent, step.sent)
	}
}
