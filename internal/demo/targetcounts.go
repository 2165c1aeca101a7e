package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// startsTimeout limits a request for the starts of one target.
const startsTimeout = 2 * time.Second

// startCounts holds the number of starts by "job id/task index", as counted by the targets.
type startCounts map[string]int

// taskKey returns the key of a task in startCounts.
func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }

func (s startCounts) total() int {
	n := 0
	for _, count := range s {
		n += count
	}
	return n
}

// countStarts returns the sum of the start counts of all targets, and the total of each target.
func countStarts(ctx context.Context, targets []string) (startCounts, []int, error) {
	all := startCounts{}
	var perTarget []int
	for _, addr := range targets {
		one, err := fetchStarts(ctx, addr)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "starts of target %s", addr)
		}
		for key, count := range one {
			all[key] += count
		}
		perTarget = append(perTarget, one.total())
	}
	return all, perTarget, nil
}

// fetchStarts fetches the start counts of the target at addr.
func fetchStarts(ctx context.Context, addr string) (startCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, startsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/starts", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	var body struct {
		Counts startCounts `json:"counts"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, errors.WithStack(err)
	}
	return body.Counts, nil
}
