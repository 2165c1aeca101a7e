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

// Guards against stale figures on the metrics page while an operator investigates a failure, and
// against an empty page if the daemon is too busy to refresh them: it must show the previous ones.
func TestMetricsAreRefreshedOnRead(t *testing.T) {
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
