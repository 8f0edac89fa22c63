package flight

import (
	"bytes"
	"fmt"
	"slices"
	"sync"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
)

// streamWriter is a stream's writer.
type streamWriter interface {
	batchWriter
	Close() error
}

// newWriter opens the writer of a stream. Compressed batches of a schema without dictionaries go through a compressor
// that all streams of the schema share, since
// an encoder of its own for each stream costs more than all that it compresses; dictionaries are a stream's own.
func (s *Server) newWriter(stream flight.DataStreamWriter, schema *arrow.Schema, o streamOptions) streamWriter {
	if o.codec == "" || slices.ContainsFunc(schema.Fields(), func(f arrow.Field) bool { return f.Type.ID() == arrow.DICTIONARY }) {
		return flight.NewRecordWriter(stream, o.writerOptions(schema)...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.compressors {
		if p.codec == o.codec && p.schema.Equal(schema) {
			return &compressedWriter{stream: stream, compressor: p}
		}
	}
	p := &compressor{codec: o.codec, schema: schema, options: o.writerOptions(schema)}
	s.compressors = append(s.compressors, p) // as many as there are classes and codecs
	return &compressedWriter{stream: stream, compressor: p}
}

// compressor compresses batches of one schema for all streams, one at a time.
type compressor struct {
	codec   string
	schema  *arrow.Schema
	options []ipc.Option

	mu   sync.Mutex // guards what follows; never held over a send
	w    *ipc.Writer
	out  frameCollector
	head *flight.FlightData // the schema's message
}

// frameCollector keeps what an IPC writer writes.
type frameCollector struct{ list []*flight.FlightData }

func (c *frameCollector) Start() error { return nil }
func (c *frameCollector) Close() error { return nil }
func (c *frameCollector) WritePayload(p ipc.Payload) error {
	meta := p.Meta()
	defer meta.Release()
	var body bytes.Buffer
	if err := p.SerializeBody(&body); err != nil {
		return err
	}
	c.list = append(c.list, &flight.FlightData{DataHeader: bytes.Clone(meta.Bytes()), DataBody: body.Bytes()})
	return nil
}

// run compresses a batch; without one it returns the schema's message alone.
func (p *compressor) run(rec arrow.RecordBatch) (head, body *flight.FlightData, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sound := false
	defer func() {
		if p.out.list = nil; !sound {
			p.w, p.head = nil, nil // what it has left behind is not known
		}
	}()
	if p.w == nil {
		p.w = ipc.NewWriterWithPayloadWriter(&p.out, p.options...)
		empty := array.NewRecordBuilder(memory.DefaultAllocator, p.schema)
		defer empty.Release()
		first := empty.NewRecordBatch()
		defer first.Release()
		if err := p.w.Write(first); err != nil {
			return nil, nil, err
		}
		if len(p.out.list) != 2 {
			return nil, nil, fmt.Errorf("%d messages where a schema and a batch were written", len(p.out.list))
		}
		p.head, p.out.list = p.out.list[0], nil
	}
	if rec != nil {
		if err := p.w.Write(rec); err != nil {
			return nil, nil, err
		}
		if len(p.out.list) != 1 {
			return nil, nil, fmt.Errorf("%d messages where a batch was written", len(p.out.list))
		}
		body = p.out.list[0]
	}
	sound = true
	return p.head, body, nil
}

// compressedWriter is a stream whose batches a compressor compresses.
type compressedWriter struct {
	stream     flight.DataStreamWriter
	compressor *compressor
	begun      bool
}

func (p *compressedWriter) WriteWithAppMetadata(rec arrow.RecordBatch, meta []byte) error {
	head, body, err := p.compressor.run(rec)
	if err != nil {
		return err
	}
	if err := p.begin(head); err != nil {
		return err
	}
	body.AppMetadata = meta
	return p.stream.Send(body)
}

func (p *compressedWriter) begin(head *flight.FlightData) error {
	if p.begun {
		return nil
	}
	p.begun = true
	return p.stream.Send(&flight.FlightData{DataHeader: head.DataHeader, DataBody: head.DataBody})
}

func (p *compressedWriter) Close() error {
	head, _, err := p.compressor.run(nil)
	if err != nil {
		return err
	}
	return p.begin(head)
}
