package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// chunkReader decodes the chunked transfer coding (RFC 9112, 7.1). It returns io.EOF at the end of the body.
type chunkReader struct {
	in      *bufio.Reader
	left    int64 // unread bytes of the current chunk
	inChunk bool  // the line end after the current chunk has not been read
	done    bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.left == 0 && !c.done {
		if err := c.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
	}
	if c.done {
		return 0, io.EOF
	}
	n, err := c.in.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads up to the data of the next chunk, or to the end of the body.
func (c *chunkReader) nextChunk() error {
	if c.inChunk {
		if err := c.endChunk(); err != nil {
			return err
		}
	}
	line, err := readLine(c.in)
	if err != nil {
		return err
	}
	if c.left, err = parseChunkSize(line); err != nil {
		return err
	}
	c.inChunk = true
	if c.left > 0 {
		return nil
	}
	err = readFields(c.in, rejectFraming)
	c.done = err == nil
	return err
}

// endChunk reads the line end after the data of a chunk.
func (c *chunkReader) endChunk() error {
	line, err := readLine(c.in)
	if err == nil && len(line) > 0 {
		err = fmt.Errorf("%w: %.40q behind the data of a chunk", errSyntax, line)
	}
	return err
}

// parseChunkSize parses the line before the data of a chunk: its size in hexadecimal digits, and extensions, which are skipped.
func parseChunkSize(line []byte) (int64, error) {
	size, extensions, extended := bytes.Cut(line, []byte(";"))
	if extended {
		size = bytes.TrimRight(size, " \t")
	}
	if !isFieldText(extensions) {
		return 0, fmt.Errorf("%w: extension of a chunk", errSyntax)
	}
	return parseNumber(size, 16)
}

// rejectFraming fails for a trailer field that frames the body, which no trailer may (RFC 9110, 6.5.1). All others are skipped.
func rejectFraming(name, value []byte) error {
	var framing bodyFraming
	err := framing.add(name, value)
	if err == nil && (framing.sized || framing.chunked) {
		err = fmt.Errorf("%w: %s in the trailers", errSyntax, name)
	}
	return err
}

// unexpectedEOF converts io.EOF, which here means a truncated body, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
