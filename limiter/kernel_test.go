package limiter_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/limiter"
)

// Answers that were not read stayed in the kernel after their connections had been closed at the bound.
func TestUnreadAnswersDoNotFillTheKernel(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	bounded := limiter.NewListener(l, 8, limiter.WithBuffers(32<<10))
	out := make([]byte, 16<<20)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(out) })}
	bounded.Configure(s)
	go func() { _ = s.Serve(bounded) }()
	defer func() { _ = s.Close() }()
	buf := make([]byte, 1<<20)
	for range 40 {
		c, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		for read := 0; read < 4<<20; { // lets the windows grow
			n, err := c.Read(buf)
			require.NoError(t, err)
			read += n
		}
	}
	require.LessOrEqual(t, bounded.Open(), 8)
	raw, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	var queued int64
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) > 4 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", l.Addr().(*net.TCPAddr).Port)) {
			var sent, received int64
			_, err := fmt.Sscanf(f[4], "%X:%X", &sent, &received)
			require.NoError(t, err)
			queued += sent
		}
	}
	require.LessOrEqual(t, queued, int64(8*512<<10))
}
