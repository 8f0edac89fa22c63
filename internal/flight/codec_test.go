package flight

// Benchmarks of writing answers: the cost per row, which must be near zero where batches are passed on.

import (
	"fmt"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"gullfall/internal/coordinator"
)

// discardStream discards what is sent and counts its bytes.
type discardStream struct{ bytes int64 }

func (n *discardStream) Send(m *flight.FlightData) error {
	n.bytes += int64(len(m.DataBody))
	return nil
}

func benchmarkWrite(b *testing.B, schema *arrow.Schema, values []coordinator.PartValue, codec string) {
	s := &Server{}
	b.ReportAllocs()
	b.SetBytes(totalBytes(values))
	for b.Loop() {
		out := s.newWriter(&discardStream{}, schema, streamOptions{codec: codec})
		if err := writeShare(out, schema, answerShare{complete: true, values: values}, streamOptions{codec: codec}, func(int64) {}); err != nil {
			b.Fatal(err)
		}
		out.Close()
	}
}

// BenchmarkBatch passes on one batch of 10 to 100,000 rows.
func BenchmarkBatch(b *testing.B) {
	schema, err := NewSchema([]Field{{Name: "rating", Type: "int32"}, {Name: "games", Type: "int64"}})
	if err != nil {
		b.Fatal(err)
	}
	for _, rows := range []int{10, 1000, 100_000} {
		rb := array.NewRecordBuilder(memory.DefaultAllocator, schema)
		for i := range rows {
			rb.Field(0).(*array.Int32Builder).Append(int32(i))
			rb.Field(1).(*array.Int64Builder).Append(int64(i))
		}
		doc, err := EncodeBatch(rb.NewRecordBatch())
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			benchmarkWrite(b, schema, []coordinator.PartValue{{Docs: [][]byte{doc}}}, "")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(rows), "ns/row")
		})
	}
}

// BenchmarkDocuments writes documents as rows with each codec.
func BenchmarkDocuments(b *testing.B) {
	for _, codec := range []string{"", "lz4", "zstd"} {
		for _, n := range []int{1, 1000} {
			value := coordinator.PartValue{}
			for i := range n {
				value.Docs = append(value.Docs, fmt.Appendf(nil, "game %d: e4 e5 Nf3 Nc6 Bb5 a6 Ba4 Nf6 O-O Be7 Re1 b5", i))
			}
			b.Run(fmt.Sprintf("%s%d", codec, n), func(b *testing.B) { benchmarkWrite(b, Schema, []coordinator.PartValue{value}, codec) })
		}
	}
}
