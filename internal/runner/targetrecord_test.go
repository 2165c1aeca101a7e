package runner

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Guards against a restart that reads the records of hundreds of other hosts to find its own: with 5,700
// hosts and at twice that, a partition has a few.
func TestRecordsAreSpreadOverAllPartitions(t *testing.T) {
	g := NewWithT(t)
	const hosts, partitions = 11_400, 24
	records := map[platformlog.Partition]int{}
	for i := range hosts {
		records[recordPartition(fmt.Sprint("side-", i), partitions)]++
	}
	most := 0
	for _, n := range records {
		most = max(most, n)
	}
	g.Expect(len(records)).To(Equal(recordTopics * partitions))
	g.Expect(most).To(BeNumerically("<", 3*hosts/len(records)))
	g.Expect(recordPartition("side-1", 1).Index).To(BeZero())
}
