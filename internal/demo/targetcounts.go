package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// countTimeout bounds one question to a target.
const countTimeout = 2 * time.Second

// starts counts, by "job id/task index", how often targets began a task. It is
// what the targets themselves counted.
type starts map[string]int

func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }

func (s starts) total() int {
	n := 0
	for _, count := range s {
		n += count
	}
	return n
}

// countStarts asks every target and returns all counts together, and how many
// starts each target counted.
func countStarts(ctx context.Context, targets []string) (starts, []int, error) {
	all := starts{}
	var perTarget []int
	for _, addr := range targets {
		one, err := startsOf(ctx, addr)
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

func startsOf(ctx context.Context, addr string) (starts, error) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
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
		Counts starts `json:"counts"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, errors.WithStack(err)
	}
	return body.Counts, nil
}
