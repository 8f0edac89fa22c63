package platform

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// chunkReader reads a body in chunks (RFC 9112, 7.1); its end is io.EOF.
type chunkReader struct {
	in      *textproto.Reader
	left    int64 // bytes of the chunk
	inChunk bool  // the line end behind a chunk is still to come
	done    bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.left == 0 && !c.done {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	if c.done {
		return 0, io.EOF
	}
	n, err := c.in.R.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads up to the bytes of the next chunk, or to the end of the body.
func (c *chunkReader) nextChunk() error {
	if c.inChunk {
		if line, err := c.in.ReadLine(); err != nil || line != "" {
			return fmt.Errorf("chunk without its end: %w", unexpectedEOF(err))
		}
	}
	line, err := c.in.ReadLine()
	if err != nil {
		return unexpectedEOF(err)
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return fmt.Errorf("size of a chunk: %.40q", line)
	}
	c.left, c.inChunk = int64(n), true
	if n > 0 {
		return nil
	}
	return c.readTrailers()
}

// readTrailers skips what follows the last chunk.
func (c *chunkReader) readTrailers() error {
	for {
		line, err := c.in.ReadLine()
		if err != nil {
			return unexpectedEOF(err)
		}
		if line == "" {
			c.done = true
			return nil
		}
	}
}

// unexpectedEOF turns the error of a body that ends too early into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
