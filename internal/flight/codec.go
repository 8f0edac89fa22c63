package flight

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"gullfall/internal/coordinator"
)

// Schema is the schema of answers of classes without their own: documents as bytes.
var Schema = arrow.NewSchema([]arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int32}, {Name: "doc", Type: arrow.BinaryTypes.Binary},
}, nil)

const (
	// maxBatchRows and maxBatchBytes bound a record batch of an answer.
	maxBatchRows  = 1024
	maxBatchBytes = 256 << 10
	// maxIPCBytes bounds the size of a document that is an IPC stream.
	maxIPCBytes = 8 << 20
)

// Field is a column of a class's schema.
type Field struct {
	Name, Type string
	Nullable   bool
}

// columnTypes maps the names of column types to Arrow types.
var columnTypes = map[string]arrow.DataType{
	"bool": arrow.FixedWidthTypes.Boolean, "int32": arrow.PrimitiveTypes.Int32, "int64": arrow.PrimitiveTypes.Int64,
	"float64": arrow.PrimitiveTypes.Float64, "string": arrow.BinaryTypes.String, "binary": arrow.BinaryTypes.Binary,
	"timestamp": arrow.FixedWidthTypes.Timestamp_ms, "date": arrow.FixedWidthTypes.Date32,
	"dictionary": &arrow.DictionaryType{IndexType: arrow.PrimitiveTypes.Int32, ValueType: arrow.BinaryTypes.String},
}

// NewSchema returns a class's schema, or an error that names the invalid column.
func NewSchema(fields []Field) (*arrow.Schema, error) {
	if len(fields) == 0 {
		return nil, errors.New("no columns")
	}
	var list []arrow.Field
	seen := map[string]bool{}
	for _, f := range fields {
		t, known := columnTypes[strings.ToLower(f.Type)]
		switch {
		case f.Name == "" || seen[f.Name]:
			return nil, fmt.Errorf("column %q: name is missing or used twice", f.Name)
		case !known:
			return nil, fmt.Errorf("column %q: type %q is none of bool, int32, int64, float64, string, binary, timestamp, date, dictionary", f.Name, f.Type)
		}
		seen[f.Name] = true
		list = append(list, arrow.Field{Name: f.Name, Type: t, Nullable: f.Nullable})
	}
	return arrow.NewSchema(list, nil), nil
}

// batchMeta is the metadata of each batch of an answer.
type batchMeta struct {
	ID       string `json:"id,omitempty"`    // of the query, on an exchange
	Shard    *int   `json:"shard,omitempty"` // of all rows, if they share one
	Complete bool   `json:"complete"`        // whether the answer is complete
	Last     bool   `json:"last,omitempty"`
	Missing  []int  `json:"missing,omitempty"` // in the last batch: shards that the answer lacks
}

// streamOptions are the options that a client has set for its streams.
type streamOptions struct {
	codec string // zstd, lz4, or empty for none
	rows  int    // maximum rows of a batch; 0 if not set
}

// writerOptions returns the options of the IPC writer.
func (o streamOptions) writerOptions(schema *arrow.Schema) []ipc.Option {
	list := []ipc.Option{ipc.WithSchema(schema), ipc.WithAllocator(memory.DefaultAllocator)}
	switch o.codec {
	case "zstd":
		list = append(list, ipc.WithZstd())
	case "lz4":
		list = append(list, ipc.WithLZ4())
	}
	return list
}

// batchWriter writes record batches with their metadata.
type batchWriter interface {
	WriteWithAppMetadata(rec arrow.RecordBatch, meta []byte) error
}

// answerShare is the portion of an answer that one stream carries.
type answerShare struct {
	id       string // of the query, on an exchange
	complete bool
	values   []coordinator.PartValue
	missing  []int
}

// totalBytes returns the total size of the documents.
func totalBytes(values []coordinator.PartValue) (n int64) {
	for _, v := range values {
		for _, doc := range v.Docs {
			n += int64(len(doc))
		}
	}
	return n
}

// errWrongSchema marks a data node's batch that does not have its class's schema.
var errWrongSchema = errors.New("batch is not of the class's schema")

// writeShare writes a share batch by batch. After each batch it calls sent with the size of the documents in it.
func writeShare(out batchWriter, schema *arrow.Schema, s answerShare, o streamOptions, sent func(bytes int64)) error {
	if schema.Equal(Schema) {
		return writeDocs(out, s, o, sent)
	}
	for i, value := range s.values {
		for j, doc := range value.Docs {
			meta := sliceMetadata{inner: s.meta, last: s.meta, shard: value.Shard}
			if i == len(s.values)-1 && j == len(value.Docs)-1 {
				meta.last = s.lastMeta
			}
			if err := writeBatch(out, schema, doc, o, meta); err != nil {
				return fmt.Errorf("shard %d: %w", value.Shard, err)
			}
			sent(int64(len(doc)))
		}
	}
	if len(s.values) == 0 {
		return writeEmpty(out, schema, s.lastMeta(nil))
	}
	return nil
}

// sliceMetadata encodes the metadata of the slices of one document: last for the final slice, inner for those before it.
type sliceMetadata struct {
	inner, last func(shard *int) []byte
	shard       int
}

// meta returns the metadata of a batch that others follow. The shard is nil if the rows are of several shards.
func (s *answerShare) meta(shard *int) []byte {
	return batchMeta{ID: s.id, Complete: s.complete, Shard: shard}.encode()
}

// lastMeta returns the metadata of the last batch of an answer.
func (s *answerShare) lastMeta(shard *int) []byte {
	return batchMeta{ID: s.id, Complete: s.complete, Shard: shard, Last: true, Missing: s.missing}.encode()
}

func (m batchMeta) encode() []byte {
	raw, _ := json.Marshal(m) // all fields can be encoded
	return raw
}

// writeEmpty writes a batch without rows that only carries metadata.
func writeEmpty(out batchWriter, schema *arrow.Schema, meta []byte) error {
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	rec := b.NewRecordBatch()
	defer rec.Release()
	return out.WriteWithAppMetadata(rec, meta)
}

// writeDocs writes documents as rows. A batch may hold rows of several shards, up to its size limits.
func writeDocs(out batchWriter, s answerShare, o streamOptions, sent func(int64)) error {
	w := newDocWriter(out, o, sent)
	defer w.builder.Release()
	for _, value := range s.values {
		for _, doc := range value.Docs {
			if w.full(doc) {
				if err := w.flush(s.meta); err != nil {
					return err
				}
			}
			w.add(value.Shard, doc)
		}
	}
	return w.flush(s.lastMeta)
}

// docWriter collects documents as rows of a batch.
type docWriter struct {
	out     batchWriter
	sent    func(int64)
	maxRows int
	builder *array.RecordBuilder

	rows, bytes int  // of the batch being built
	shard       int  // of its first row
	mixed       bool // it has rows of several shards
}

func newDocWriter(out batchWriter, o streamOptions, sent func(int64)) *docWriter {
	w := &docWriter{out: out, sent: sent, maxRows: maxBatchRows, builder: array.NewRecordBuilder(memory.DefaultAllocator, Schema)}
	if o.rows > 0 {
		w.maxRows = min(w.maxRows, o.rows)
	}
	return w
}

// full reports whether a document has to go into the next batch.
func (w *docWriter) full(doc []byte) bool {
	return w.rows > 0 && (w.rows >= w.maxRows || w.bytes+len(doc) > maxBatchBytes)
}

func (w *docWriter) add(shard int, doc []byte) {
	if w.rows == 0 {
		w.shard = shard
	}
	w.mixed = w.mixed || shard != w.shard
	w.builder.Field(0).(*array.Int32Builder).Append(int32(shard))
	w.builder.Field(1).(*array.BinaryBuilder).Append(doc)
	w.rows, w.bytes = w.rows+1, w.bytes+len(doc)
}

// flush writes the batch. Its metadata comes from meta, called with the shard of the rows, or with nil if they are of several shards.
func (w *docWriter) flush(meta func(shard *int) []byte) error {
	var shard *int
	if w.rows > 0 && !w.mixed {
		shard = &w.shard
	}
	batch := w.builder.NewRecordBatch()
	defer batch.Release()
	err := w.out.WriteWithAppMetadata(batch, meta(shard))
	if err == nil {
		w.sent(int64(w.bytes))
	}
	w.rows, w.bytes, w.mixed = 0, 0, false
	return err
}

// EncodeBatch encodes a batch as a document: an IPC stream with the one batch. Columns are copied whole, not row by row.
func EncodeBatch(rec arrow.RecordBatch) ([]byte, error) {
	var buf bytes.Buffer
	w := ipc.NewWriter(&buf, ipc.WithSchema(rec.Schema()))
	if err := w.Write(rec); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// writeBatch writes the one batch of a document that is an IPC stream, in slices if it has too many rows. Invalid lengths in a
// document make the Arrow library panic or return an error; both become errWrongSchema.
func writeBatch(out batchWriter, schema *arrow.Schema, doc []byte, o streamOptions, meta sliceMetadata) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errWrongSchema, cause)
		}
	}()
	if len(doc) > maxIPCBytes {
		return fmt.Errorf("%w: %d bytes", errWrongSchema, len(doc))
	}
	in, err := ipc.NewReader(bytes.NewReader(doc), ipc.WithAllocator(memory.DefaultAllocator))
	if err != nil {
		return fmt.Errorf("%w: %w", errWrongSchema, err)
	}
	defer in.Release()
	if !in.Schema().Equal(schema) {
		return fmt.Errorf("%w: it is of %v", errWrongSchema, in.Schema())
	}
	if !in.Next() {
		return fmt.Errorf("%w: no batch: %v", errWrongSchema, in.Err()) //nolint:errorlint // nil where the stream just ends
	}
	rec := in.RecordBatch()
	rec.Retain()
	defer rec.Release()
	if in.Next() {
		return fmt.Errorf("%w: several in one document", errWrongSchema)
	} else if err := in.Err(); err != nil {
		return fmt.Errorf("%w: %w", errWrongSchema, err)
	}
	maxRows := rec.NumRows()
	if o.rows > 0 {
		maxRows = min(maxRows, int64(o.rows))
	}
	if maxRows == rec.NumRows() {
		return out.WriteWithAppMetadata(rec, meta.last(&meta.shard))
	}
	for from := int64(0); from < rec.NumRows(); from += maxRows {
		to := min(from+maxRows, rec.NumRows())
		part := rec.NewSlice(from, to)
		encode := meta.inner
		if to == rec.NumRows() {
			encode = meta.last
		}
		err := out.WriteWithAppMetadata(part, encode(&meta.shard))
		part.Release()
		if err != nil {
			return err
		}
	}
	return nil
}
