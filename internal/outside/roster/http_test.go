package roster

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response without end that is held in memory until the call runs out of time.
func TestResponseWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := strings.Repeat(`{"id":"a"},`, 10_000)
		_, err := io.WriteString(w, "[")
		for err == nil {
			_, err = io.WriteString(w, part)
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	adapter, err := Adapters.Find("http")
	is.NoErr(err)
	_, err = adapter(strings.TrimPrefix(s.URL, "http://")).List(ctx)
	is.True(err != nil)
	is.NoErr(ctx.Err()) // it ended before its time was over
}
