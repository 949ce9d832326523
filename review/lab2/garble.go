//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case. The site file has garble with x = 0.05 for 5 s, and with a share of 0.6.
const (
	garbledShare = 0.05
	garbleTime   = 5 * time.Second
	garbleCount  = 10
	// streamsPerSecond is the rate at each machine.
	streamsPerSecond = 30
	// recoverTime is the small deployments' recover_s.
	recoverTime = 12 * time.Second
	// measureTime is how long the served share is measured, before and after.
	measureTime = 10 * time.Second
	// servedLeast is the least share that has to be served then.
	servedLeast = 0.25
)

// garbler makes model servers spoil answers.
type garbler struct {
	isActive atomic.Bool
	spoiled  atomic.Int64
}

// front starts a front for a server and returns its address.
func (g *garbler) front(id, address string) string {
	if !strings.HasPrefix(id, "i-pool") {
		return address
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.FlushInterval = -1
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.Header.Get("X-Heatherrock-Hop-Count")
		if path != "" && g.isActive.Load() && rand.Float64() < garbledShare {
			g.spoil(w, r)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return s.Listener.Addr().String()
}

// spoil writes an answer whose status line is spoilt, and closes the connection.
func (g *garbler) spoil(w http.ResponseWriter, r *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	g.spoiled.Add(1)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 000 OK\r\nX-Heatherrock-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Heatherrock-Attempt-Id"))
}

// runGarble lets half of the model servers spoil one in twenty answers, and measures what share of the streams is served long after.
func runGarble(r *record, hasTrouble bool) (bool, error) {
	g := &garbler{}
	f, err := startFleet(3, 4, 3, g.front)
	if err != nil {
		return false, err
	}
	defer f.close()
	r.printf("%d instances are ready", len(f.machines))
	time.Sleep(settleTime)
	before := measure(f, "before", measureTime)
	r.printf("before: %s", before)
	var clients sync.WaitGroup
	clients.Go(func() {
		during := measure(f, "during", garbleCount*garbleTime)
		r.printf("meanwhile: %s", during)
	})
	g.isActive.Store(hasTrouble)
	time.Sleep(garbleCount * garbleTime)
	g.isActive.Store(false)
	r.printf("%d answers were spoilt; from now on none is", g.spoiled.Load())
	clients.Wait()
	time.Sleep(recoverTime)
	after := measure(f, "after", measureTime)
	r.printf("later than recover_s (%v): %s; a quarter is the least", recoverTime, after)
	return before.share() >= servedLeast && after.share() < servedLeast, nil
}

// count counts requests and the served ones.
type count struct{ sent, served, refused atomic.Int64 }

// share returns the share that was served.
func (c *count) share() float64 { return float64(c.served.Load()) / float64(max(1, c.sent.Load())) }

// String returns the counts as text.
func (c *count) String() string {
	return fmt.Sprintf("%d of %d streams were served, %d were answered 503", c.served.Load(), c.sent.Load(), c.refused.Load())
}

// measure sends streams to all machines for a time and counts the served ones.
func measure(f *fleet, name string, d time.Duration) *count {
	var c count
	var wait sync.WaitGroup
	for _, m := range f.machines {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * streamsPerSecond}}
			defer client.CloseIdleConnections()
			var requests sync.WaitGroup
			ticker := time.NewTicker(time.Second / streamsPerSecond)
			defer ticker.Stop()
			end := time.Now().Add(d)
			for n := 0; time.Now().Before(end); n++ {
				<-ticker.C
				requests.Go(func() {
					id := fmt.Sprintf("%s-%s-%d", name, m.Name, n)
					c.sent.Add(1)
					switch status, text := send(client, m, http.MethodGet, "/model/"+id, id); {
					case status == http.StatusOK && strings.HasPrefix(text, "answered"):
						c.served.Add(1)
					case status == http.StatusServiceUnavailable:
						c.refused.Add(1)
					}
				})
			}
			requests.Wait()
		})
	}
	wait.Wait()
	return &c
}
