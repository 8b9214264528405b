package experiment

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/egretbend/egretbend/internal/load/localfleet"
)

// ResourceUsage holds the resource usage per instance: the median over the fleet,
// and in the Max fields the highest value.
type ResourceUsage struct {
	// CPUShare is CPU time divided by elapsed time; 0.01 is one hundredth of a
	// core.
	CPUShare      float64 `json:"cpu_share"`
	CPUShareMax   float64 `json:"cpu_share_max"`
	ResidentMB    float64 `json:"resident_mb"`
	ResidentMaxMB float64 `json:"resident_mb_max"`
	// HeapMB is the heap in use, a part of the resident memory.
	HeapMB float64 `json:"heap_mb"`
	// PeerBytesPerSecond is the traffic sent to and received from other instances.
	PeerBytesPerSecond    float64 `json:"peer_bytes_per_second"`
	PeerBytesPerSecondMax float64 `json:"peer_bytes_per_second_max"`
}

// instanceMetrics is a snapshot of one instance's metrics: CPU time in seconds,
// memory in bytes, and bytes exchanged with other instances.
type instanceMetrics struct {
	cpu, resident, heap, bytes float64
}

// The metrics that instanceMetrics is read from, and the unit of the memory
// figures in ResourceUsage.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_heap_inuse_bytes"
	metricSent     = "egretbend_peer_sent_bytes_total"
	metricReceived = "egretbend_peer_received_bytes_total"
	megabyte       = 1 << 20
)

// readAllMetrics reads the metrics of all instances that answer, by instance
// name.
func readAllMetrics(f *localfleet.Fleet) map[string]instanceMetrics {
	all := make(map[string]instanceMetrics)
	for _, p := range f.Instances {
		if m, err := readMetrics(p.Address); err == nil {
			all[p.Name] = m
		}
	}
	return all
}

// readMetrics reads the /metrics endpoint of one instance. A missing metric
// counts as 0.
func readMetrics(address string) (instanceMetrics, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return instanceMetrics{}, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return instanceMetrics{}, err
	}
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return instanceMetrics{}, err
	}
	value := func(name string) float64 {
		family, ok := families[name]
		if !ok || len(family.Metric) == 0 {
			return 0
		}
		m := family.Metric[0]
		return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return instanceMetrics{
		cpu:      value(metricCPU),
		resident: value(metricResident),
		heap:     value(metricHeap),
		bytes:    value(metricSent) + value(metricReceived),
	}, nil
}

// computeUsage returns the usage between two snapshots that are seconds apart. It
// skips instances that are missing from after or were restarted, which shows as
// a CPU counter that went down.
func computeUsage(before, after map[string]instanceMetrics, seconds float64) ResourceUsage {
	var cpu, resident, heap, bytes []float64
	for name, b := range before {
		a, ok := after[name]
		if !ok || a.cpu < b.cpu {
			continue
		}
		cpu = append(cpu, (a.cpu-b.cpu)/seconds)
		resident = append(resident, a.resident/megabyte)
		heap = append(heap, a.heap/megabyte)
		bytes = append(bytes, (a.bytes-b.bytes)/seconds)
	}
	var usage ResourceUsage
	usage.CPUShare, usage.CPUShareMax = medianAndMax(cpu)
	usage.ResidentMB, usage.ResidentMaxMB = medianAndMax(resident)
	usage.HeapMB, _ = medianAndMax(heap)
	usage.PeerBytesPerSecond, usage.PeerBytesPerSecondMax = medianAndMax(bytes)
	return usage
}

// medianAndMax returns the median and the highest of values, or zeros if there
// are none. It sorts values in place.
func medianAndMax(values []float64) (median, highest float64) {
	if len(values) == 0 {
		return 0, 0
	}
	sort.Float64s(values)
	return values[len(values)/2], values[len(values)-1]
}
