package insts

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/pkg/ident"
)

// benchSizes are the numbers of entry instances and of targets to measure.
var benchSizes = []struct{ routers, sides int }{{4, 18}, {40, 60}, {390, 600}}

// benchList returns a list of entry instances and of targets of eleven services.
func benchList(routers, sides int) []Instance {
	var list []Instance
	for i := range routers + sides {
		inst := Instance{
			Name: fmt.Sprintf("chc-a-r%d", i), Role: Router, DataCentre: "chc-a", Region: "south",
			Addr: fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250), State: Live,
			Incarnation: ident.Incarnation(fmt.Sprintf("chc-a-r%d~9f2c01d4e8aa", i)),
		}
		if i >= routers {
			inst.Role, inst.Service = Side, fmt.Sprintf("model-%d", i%11)
		}
		list = append(list, inst)
	}
	return list
}

// BenchmarkList decodes the service's response and updates a view with it.
func BenchmarkList(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("routers=%d/sides=%d", n.routers, n.sides), func(b *testing.B) {
			raw, err := json.Marshal(map[string]any{"instances": benchList(n.routers, n.sides)})
			if err != nil {
				b.Fatal(err)
			}
			var v View
			now := time.Unix(1_796_336_284, 0)
			b.ReportAllocs()
			for b.Loop() {
				list, err := decodeList(raw)
				if err != nil {
					b.Fatal(err)
				}
				v.Update(now, list)
			}
			b.ReportMetric(float64(len(raw)), "answer-B")
		})
	}
}

// BenchmarkSides looks up the targets of one service.
func BenchmarkSides(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("routers=%d/sides=%d", n.routers, n.sides), func(b *testing.B) {
			var v View
			v.Update(time.Unix(1_796_336_284, 0), benchList(n.routers, n.sides))
			for b.Loop() {
				v.Sides("model-1")
			}
		})
	}
}
