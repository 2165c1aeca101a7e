package membership

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

const (
	// listTopics is the number of topics to whose partitions shards are assigned by hash. The store
	// limits the topics of all programs together. Shards that share a partition are read together.
	listTopics = 16
	// maxShardRecords is the largest number of records of a shard that is not split, and splitRecords
	// that after a split. Shards of a list differ by some records.
	maxShardRecords = 48
	splitRecords    = 32
	// minShardEntries is the number of entries of a data centre that an agent looks for in its shards.
	minShardEntries = AgentSessions
	// maxDepth bounds what a damaged depth record can do.
	maxDepth = 16
)

// depthKeyPrefix begins the keys of the records of depths. No host has such a name.
const depthKeyPrefix = "!depth "

// DepthKey returns the key of the record of a list's depth, in its root.
func DepthKey(dataCentre string) string { return depthKeyPrefix + dataCentre }

// IsDepthKey reports whether a key is that of a depth, maybe of another list in the same partition.
func IsDepthKey(key string) bool { return strings.HasPrefix(key, depthKeyPrefix) }

// CommonList stands for the list of the entries of all data centres, which earlier builds write and read.
// It comes after all data centres, so a large fleet reads it only while it has entries of such a build.
const CommonList = ""

// Root returns the shard of a list that always exists. It has the record of the depth, and those of the
// entries while the depth is 0.
func Root(dataCentre string) Shard { return Shard{dataCentre, 0} }

// Shard is a part of the list of the entries of a data centre. A list of depth 0 has its root alone. Deeper
// ones have 2^depth further shards, and an entry is in the one that the last depth bits of the hash of its
// host select, so that each further level moves half of the records of a shard to a new one.
type Shard struct {
	DataCentre string // or CommonList
	Index      int    // 0: the root
}

// ShardOf returns the shard of a host in the list of a data centre with a depth.
func ShardOf(dataCentre, host string, depth int) Shard {
	if depth == 0 {
		return Root(dataCentre)
	}
	return Shard{dataCentre, 1 + int(xxhash.Sum64String(host)&(1<<depth-1))}
}

// ShardsOf returns the shards of a host at a depth and at all lower ones, the deepest first. Entries that
// have not moved since a split are in one of them.
func ShardsOf(dataCentre, host string, depth int) []Shard {
	shards := []Shard{ShardOf(dataCentre, host, depth)}
	for depth--; depth >= 0; depth-- {
		if s := ShardOf(dataCentre, host, depth); s != shards[len(shards)-1] {
			shards = append(shards, s)
		}
	}
	return shards
}

// Partition returns the partition with the records of a shard, in a store whose topics have so many
// partitions.
func (s Shard) Partition(partitions int) platformlog.Partition {
	switch {
	case s.DataCentre == CommonList:
		return platformlog.Partition{Topic: "camphorrack-entries"}
	case s.Index == 0:
		return listPartition(s.DataCentre, partitions)
	}
	return listPartition(s.DataCentre+"\x00"+strconv.Itoa(s.Index), partitions)
}

func listPartition(name string, partitions int) platformlog.Partition {
	slot := xxhash.Sum64String(name) % uint64(listTopics*partitions)
	return platformlog.Partition{Topic: "camphorrack-entries-" + strconv.FormatUint(slot%listTopics, 10), Index: int(slot / listTopics)}
}

// SplitDepth returns the depth of a list one of whose shards has so many records at the given depth.
// Records that have not moved to another shard since the last split must not be counted.
func SplitDepth(depth, records int) int {
	if records <= maxShardRecords {
		return depth
	}
	for ; records > splitRecords && depth < maxDepth; depth++ {
		records = (records + 1) / 2
	}
	return depth
}

// ParseDepth returns the depth in a record, and 0 if it is missing or damaged.
func ParseDepth(value []byte) int {
	depth, err := strconv.Atoi(string(value))
	if err != nil || depth < 0 || depth > maxDepth {
		return 0
	}
	return depth
}

// EncodeDepth returns the record of a depth.
func EncodeDepth(depth int) []byte { return []byte(strconv.Itoa(depth)) }
