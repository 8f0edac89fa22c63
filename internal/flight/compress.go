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

// streamWriter writes the batches of one stream.
type streamWriter interface {
	batchWriter
	Close() error
}

// newWriter returns the writer of a stream. Compressed batches of a schema without dictionaries go through a compressor that all
// streams of the schema share, since an encoder for each stream costs more than the compression itself. A schema with dictionaries
// can't share one, since dictionaries belong to a single stream.
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
	s.compressors = append(s.compressors, p) // at most one for each schema and codec
	return &compressedWriter{stream: stream, compressor: p}
}

// compressor compresses batches of one schema for all streams, one at a time.
type compressor struct {
	codec   string
	schema  *arrow.Schema
	options []ipc.Option

	mu            sync.Mutex // guards the fields below; never held during a send
	w             *ipc.Writer
	out           messageCollector
	schemaMessage *flight.FlightData // message with the schema
}

// messageCollector collects the messages of an IPC writer.
type messageCollector struct{ list []*flight.FlightData }

func (c *messageCollector) Start() error { return nil }
func (c *messageCollector) Close() error { return nil }
func (c *messageCollector) WritePayload(p ipc.Payload) error {
	meta := p.Meta()
	defer meta.Release()
	var body bytes.Buffer
	if err := p.SerializeBody(&body); err != nil {
		return err
	}
	c.list = append(c.list, &flight.FlightData{DataHeader: bytes.Clone(meta.Bytes()), DataBody: body.Bytes()})
	return nil
}

// compress returns the message with the schema and that of a compressed batch; without a batch it returns the former alone.
func (p *compressor) compress(rec arrow.RecordBatch) (schemaMessage, body *flight.FlightData, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	succeeded := false
	defer func() {
		if p.out.list = nil; !succeeded {
			p.w, p.schemaMessage = nil, nil // the state of the writer is unknown
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
		p.schemaMessage, p.out.list = p.out.list[0], nil
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
	succeeded = true
	return p.schemaMessage, body, nil
}

// compressedWriter writes a stream whose batches a shared compressor compresses.
type compressedWriter struct {
	stream     flight.DataStreamWriter
	compressor *compressor
	schemaSent bool
}

func (p *compressedWriter) WriteWithAppMetadata(rec arrow.RecordBatch, meta []byte) error {
	schemaMessage, body, err := p.compressor.compress(rec)
	if err != nil {
		return err
	}
	if err := p.sendSchema(schemaMessage); err != nil {
		return err
	}
	body.AppMetadata = meta
	return p.stream.Send(body)
}

func (p *compressedWriter) sendSchema(message *flight.FlightData) error {
	if p.schemaSent {
		return nil
	}
	p.schemaSent = true
	return p.stream.Send(&flight.FlightData{DataHeader: message.DataHeader, DataBody: message.DataBody})
}

func (p *compressedWriter) Close() error {
	schemaMessage, _, err := p.compressor.compress(nil)
	if err != nil {
		return err
	}
	return p.sendSchema(schemaMessage)
}
