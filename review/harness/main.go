//go:build review

// Command harness plays a case of the review: it starts the project's dispatchers and runners as processes
// on loopback between stand-ins, acts as the callers, brings the disruption about unless TROUBLE is 0, and
// checks the rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// cases by name. Each returns the breaches of its rule.
var cases = map[string]func(*recorder, string, bool) ([]string, error){
	"missing-estimates":  missingEstimates,
	"silent-connections": silentConnections,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE DIRECTORY-OF-DAEMONS RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	r, err := newRecorder(os.Args[3])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		os.Exit(2)
	}
	breaches, err := play(r, os.Args[2], os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		status = 2
	case len(breaches) > 0:
		status = 1
	}
	for _, b := range breaches {
		r.add("%s", b)
		fmt.Println(b)
	}
	r.add("exit %d", status)
	r.close()
	os.Exit(status)
}

// caller sends jobs. It sends one again, to the next dispatcher, a pause after no response, a broken
// connection, 502 or 504.
type caller struct {
	*fleet
	client *http.Client
}

func newCaller(f *fleet) *caller {
	// The platform forwards each new connection, so each request has one of its own.
	return &caller{f, &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// jobBody returns a job of one step that needs not be kept.
func jobBody(tasks, cpuMilli, workMs, estimateMs int) []byte {
	step := map[string]any{"count": tasks, "cpu": cpuMilli, "memMb": 64}
	if estimateMs > 0 { // fields whose value is 0 are omitted
		step["estimateMs"] = estimateMs
	}
	body, _ := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("work %d %d", workMs, cpuMilli), "bestEffort": true, "pipeline": []any{step},
	})
	return body
}

// post sends a job once; status 0 means no response.
func (c *caller) post(dispatcher int, id string, body []byte, deadline time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr(firstDispatcher+dispatcher, portCallers)+queuePath+id, bytes.NewReader(body))
	request.GetBody = nil // never sent twice by the library
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Camphorrack-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.record.add("caller: POST of job %s to dispatcher %d: %s", id, dispatcher, body)
	response, err := c.client.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, answer = response.StatusCode, string(bytes.TrimSpace(text))
	}
	if err != nil {
		status, answer = 0, err.Error()
	}
	c.record.add("caller: answer to job %s: %d %s", id, status, answer)
	return status, answer
}

// submit sends a job until it is answered, first to the dispatcher given.
func (c *caller) submit(first int, id string, body []byte, deadline time.Duration, attempts int) (status int) {
	for i := range attempts {
		if i > 0 {
			time.Sleep(time.Duration(c.bounds.resendMs) * time.Millisecond)
		}
		status, _ = c.post((first+i)%len(c.dispatchers), id, body, deadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
	}
	return status
}

// warmUp sends wide jobs, as the usual traffic has them, until several in a row are answered with success.
func (c *caller) warmUp(jobs, tasks, cpuMilli, workMs int) error {
	good := 0
	for n := 0; good < jobs; n++ {
		if n > jobs+100 {
			return errors.New("the usual traffic is not served")
		}
		if c.submit(n%len(c.dispatchers), newID(), jobBody(tasks, cpuMilli, workMs, workMs), 3*time.Second, 1) == http.StatusOK {
			good++
		} else {
			good = 0
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// silentConnections plays a job with one task of some seconds. While it runs, the open connections of the
// runner beside it, to the dispatchers and to its target, go silent once; new ones work.
func silentConnections(r *recorder, bin string, trouble bool) ([]string, error) {
	f, err := newFleet(r, smallBounds, bin, 2, 2)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // the sessions of all runners
	c := newCaller(f)
	if err := c.warmUp(20, 32, 900, 60); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	id := newID()
	status := 0
	var callers sync.WaitGroup
	callers.Go(func() { status = c.submit(0, id, jobBody(1, 10000, 3600, 3600), 8*time.Second, 4) })
	host, err := f.awaitRun(id, 2*time.Second)
	if err != nil {
		callers.Wait()
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		f.silence(host)
	}
	callers.Wait()
	time.Sleep(1500 * time.Millisecond) // what still runs ends, or its lease expires
	if status != http.StatusOK {
		r.add("the last answer to the job was %d", status)
	}
	return r.overlaps(), nil
}

// awaitRun waits until a task of a job runs, and returns the number of its runner.
func (f *fleet) awaitRun(job string, limit time.Duration) (runner int, err error) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for i, t := range f.targets {
			if t.runsOf(job) > 0 {
				return i, nil
			}
		}
	}
	return 0, errors.New("no task of the job was started")
}

// silence drops everything on the connections of a runner that are open now.
func (f *fleet) silence(runner int) {
	f.record.add("%d open connections of runner %d to its target go silent", f.targetPaths[runner].BlackholeOpen(true, true), runner)
	for d, path := range f.entryPaths[runner] {
		f.record.add("%d open connections of runner %d to dispatcher %d go silent", path.BlackholeOpen(true, true), runner, d)
	}
}
