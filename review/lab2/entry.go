//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// The times of the case, from the removal of the server's entry on.
const (
	// entryAt is when another writer's entry comes.
	entryAt = time.Second
	// exitAt is when the server exits: it serves on for drain_ms and, as the pages say, at times for many seconds more.
	exitAt = 10 * time.Second
	// endAt is when the clients stop.
	endAt = 12 * time.Second
	// settleTime is the time before the removal.
	settleTime = 3 * time.Second
	// clientsPerMachine is the number of clients of each machine, and thinkTime their pause between two requests.
	clientsPerMachine = 2
	thinkTime         = 100 * time.Millisecond
	clientDeadline    = 1500 * time.Millisecond
)

// runEntry removes the entry of a plain server that leaves, and then lets another writer write an entry with fields missing under its id.
func runEntry(r *record, hasTrouble bool) (bool, error) {
	f, err := startFleet(3, 6, 3, nil)
	if err != nil {
		return false, err
	}
	defer f.close()
	r.printf("%d instances are ready", len(f.machines))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for _, m := range f.machines {
		for n := range clientsPerMachine {
			clients.Go(func() { runClient(ctx, r, m, n) })
		}
	}
	time.Sleep(settleTime)
	leaving := f.desks[0]
	f.platform.Store.Remove("servers", leaving.ID)
	goneAt := time.Now()
	r.printf("the store has acknowledged that the entry of %s is removed; the server serves on", leaving.ID)
	if hasTrouble {
		time.Sleep(time.Until(goneAt.Add(entryAt)))
		f.platform.Store.Put("servers", leaving.ID, map[string]any{
			"service": leaving.Service, "address": leaving.Address(), "zone": leaving.Zone, "state": "ready",
		})
		r.printf("another writer's entry under this id: service, address, zone and state, all other fields missing")
	}
	time.Sleep(time.Until(goneAt.Add(exitAt)))
	leaving.KillProcess()
	r.printf("%s has exited", leaving.ID)
	time.Sleep(time.Until(goneAt.Add(endAt)))
	cancel()
	clients.Wait()
	late := 0
	for _, a := range f.platform.Arrivals() {
		if a.Server != leaving.ID || a.At.Before(goneAt) {
			continue
		}
		after := a.At.Sub(goneAt)
		r.printf("%s reached %s %.3f s after the acknowledgement and was run %d times", a.ID, a.Server, after.Seconds(), f.platform.RunCount(a.ID))
		if after > drainTime {
			late++
		}
	}
	r.printf("%d requests reached %s later than drain_ms (%v) after the acknowledgement that it is gone; the rule allows none", late, leaving.ID, drainTime)
	return late > 0, nil
}

// runClient sends lookups and holds by turns to a machine over kept connections, until the context ends.
func runClient(ctx context.Context, r *record, m *machine, number int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		method, route := http.MethodGet, "look"
		if n%2 == 1 {
			method, route = http.MethodPost, "hold"
		}
		id := fmt.Sprintf("%s-%s-%d-%d", route, m.Name, number, n)
		status, text := send(client, m, method, "/"+route+"/"+id, id)
		r.printf("%s: sent to %s, %s", id, m.Name, text)
		if status == 0 && ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(thinkTime):
		}
	}
}

// send sends one request and returns the status and a text of the answer.
func send(client *http.Client, m *machine, method, path, id string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.CallersAddress()+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	hoster.SetCallerHeaders(request, id, "key1", clientDeadline)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err.Error()
	}
	return response.StatusCode, fmt.Sprintf("answered %d by %q, %d bytes", response.StatusCode, hoster.AnsweredBy(response.Header), len(body))
}
