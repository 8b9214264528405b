package experiment

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/egretbend/egretbend/internal/load/fleet"
)

// Cost is what one instance costs, as a median and the highest over the fleet.
type Cost struct {
	// CPUShare is processor time per time; 0.01 is one hundredth of a core.
	CPUShare    float64 `json:"cpu_share"`
	CPUShareMax float64 `json:"cpu_share_max"`
	ResidentMB  float64 `json:"resident_mb"`
	ResidentMax float64 `json:"resident_mb_max"`
	// HeapMB is the part of it that the program allocated.
	HeapMB float64 `json:"heap_mb"`
	// BytesPerSecond counts what goes to and comes from other instances.
	BytesPerSecond    float64 `json:"peer_bytes_per_second"`
	BytesPerSecondMax float64 `json:"peer_bytes_per_second_max"`
}

// reading is the metrics of one instance at a moment.
type reading struct {
	cpu, resident, heap, bytes float64
}

// The metrics that a reading takes.
const (
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_heap_inuse_bytes"
	metricSent     = "egretbend_peer_sent_bytes_total"
	metricReceived = "egretbend_peer_received_bytes_total"
	megabyte       = 1 << 20
)

// readAll reads the metrics of all instances that answer.
func readAll(f *fleet.Fleet) map[string]reading {
	all := make(map[string]reading)
	for _, p := range f.Instances {
		if r, err := read(p.Address); err == nil {
			all[p.Name] = r
		}
	}
	return all
}

func read(address string) (reading, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return reading{}, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reading{}, err
	}
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	if err != nil {
		return reading{}, err
	}
	value := func(name string) float64 {
		family, ok := families[name]
		if !ok || len(family.Metric) == 0 {
			return 0
		}
		m := family.Metric[0]
		return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return reading{
		cpu:      value(metricCPU),
		resident: value(metricResident),
		heap:     value(metricHeap),
		bytes:    value(metricSent) + value(metricReceived),
	}, nil
}

// costs compares two readings of the same instances.
func costs(before, after map[string]reading, seconds float64) Cost {
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
	var c Cost
	c.CPUShare, c.CPUShareMax = middle(cpu)
	c.ResidentMB, c.ResidentMax = middle(resident)
	c.HeapMB, _ = middle(heap)
	c.BytesPerSecond, c.BytesPerSecondMax = middle(bytes)
	return c
}

// middle returns the median and the highest of list.
func middle(list []float64) (median, most float64) {
	if len(list) == 0 {
		return 0, 0
	}
	sort.Float64s(list)
	return list[len(list)/2], list[len(list)-1]
}
