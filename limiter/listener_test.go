package limiter_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/limiter"
)

// Idle and unfinished connections at the bound made ordinary callers wait for ever.
func TestOldestWaitingConnectionIsClosedAtTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 8, 1<<20)
		s.hold = make(chan struct{}, 100)
		answered := s.dial(post("/", 1, "x")) // is being answered
		for n := range 50 {
			s.dial([]string{"", "GET / HT", post("/", 100, "x")}[n%3])
			require.LessOrEqual(t, s.listener.Open(), 8)
		}
		s.hold <- struct{}{}
		code, _ := answered.status()
		require.Equal(t, http.StatusOK, code)
		ordinary := s.dial(post("/", 3, "xxx"))
		s.hold <- struct{}{}
		code, answer := ordinary.status()
		require.Equal(t, http.StatusOK, code, answer)
	})
}

// Connections whose requests were being answered were closed for new ones.
func TestNewConnectionIsClosedIfAllOthersAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, 1<<20)
		s.hold = make(chan struct{})
		var served []*client
		for range 4 {
			served = append(served, s.dial(post("/", 1, "x")))
		}
		code, _ := s.dial("").status()
		require.Zero(t, code)
		close(s.hold)
		for _, c := range served {
			code, answer := c.status()
			require.Equal(t, http.StatusOK, code, answer)
		}
	})
}

// Time limits and header sizes that changed did not apply to open connections.
func TestLimitsInForceApplyToOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits atomic.Pointer[limiter.Limits]
		limits.Store(&limiter.Limits{HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second, MaxHeader: 1000})
		s := newSite(t, 100, 1<<20, limiter.WithLimits(func() limiter.Limits { return *limits.Load() }))
		began := time.Now()
		code, _ := s.dial("GET / HT").status()
		require.NotEqual(t, http.StatusOK, code)
		require.Equal(t, time.Second, time.Since(began))

		c := s.dial(post("/", 1, "x"))
		code, _ = c.status()
		require.Equal(t, http.StatusOK, code)
		time.Sleep(4 * time.Second)
		limits.Store(&limiter.Limits{IdleTimeout: 20 * time.Second, MaxHeader: 100_000})
		c.send(post("/", 1, "x"))
		code, _ = c.status()
		require.Equal(t, http.StatusOK, code)
		time.Sleep(19 * time.Second)
		c.send("GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 90_000) + "\r\n\r\n")
		code, _ = c.status()
		require.Equal(t, http.StatusOK, code)
		limits.Store(&limiter.Limits{MaxHeader: 1000})
		c.send("GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 90_000) + "\r\n\r\n")
		code, _ = c.status()
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, code)
	})
}

// A client that did not read its answer kept its connection.
func TestUnreadAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100, 1<<20)
		s.dial(post("/", 1, "x"))
		time.Sleep(limiter.WriteTimeout + time.Second)
		synctest.Wait()
		require.Zero(t, s.listener.Open())
	})
}

// Clients that did not read their answers kept the places of ordinary callers.
func TestClientsThatReadNoAnswerMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 8, 1<<20)
		for range 20 {
			s.dial(post("/", 1, "x"))
			code, answer := s.dial(post("/", 3, "xxx")).status()
			require.Equal(t, http.StatusOK, code, answer)
		}
	})
}

func TestBodilessRefusesBodies(t *testing.T) {
	h := limiter.Bodiless(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	for body, want := range map[string]int{"": http.StatusNoContent, "x": http.StatusRequestEntityTooLarge} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", strings.NewReader(body)))
		require.Equal(t, want, w.Code)
	}
}

// A time limit of the body or the header ended requests that were being answered.
func TestTimeLimitsEndWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100, 1<<20)
		s.hold = make(chan struct{})
		for _, request := range []string{post("/", 1, "x"), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			c := s.dial(request)
			time.Sleep(time.Minute)
			s.hold <- struct{}{}
			code, answer := c.status()
			require.Equal(t, http.StatusOK, code, answer)
		}
	})
}

func TestListenerBelowTLS(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		s := &site{t: t, budget: limiter.NewBudget(0)}
		server := httptest.NewUnstartedServer(s)
		s.listener = limiter.NewListener(server.Listener, 4)
		server.Listener, server.EnableHTTP2 = s.listener, http2
		s.listener.Configure(server.Config)
		server.StartTLS()
		for range 8 {
			silent, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = silent.Close() }() // the listener closes most of them
		}
		for range 2 {
			res, err := server.Client().Post(server.URL, "text/plain", strings.NewReader("xxx"))
			require.NoError(t, err)
			raw, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			require.Equal(t, "3", string(raw))
		}
		require.LessOrEqual(t, s.listener.Open(), 4)
		server.Close()
	}
}
