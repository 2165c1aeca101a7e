package leased_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/leased"
)

// Somebody looks for the cause of a failure by the counters. They must be those of now;
// and a daemon that is too busy to give them must still show the last ones.
func TestMetricsAreOfTheMoment(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	jobs, busy := int64(3), false
	page := gin.New()
	page.GET(leased.MetricsPath, leased.Metrics(logr.Discard(), registry, func() error {
		if busy {
			return errors.New("busy")
		}
		metrics.GetOrRegisterGauge("jobs", registry).Update(jobs)
		return nil
	}))
	read := func() string {
		recorder := httptest.NewRecorder()
		page.ServeHTTP(recorder, httptest.NewRequest("GET", leased.MetricsPath, nil))
		return recorder.Body.String()
	}
	g.Expect(read()).To(ContainSubstring("jobs 3\n"))
	jobs = 5
	g.Expect(read()).To(ContainSubstring("jobs 5\n"))
	jobs, busy = 7, true
	g.Expect(read()).To(ContainSubstring("jobs 5\n"))
}
