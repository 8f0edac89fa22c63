package platform

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// chunkReader decodes the chunked transfer coding (RFC 9112, 7.1). It returns io.EOF at the end of the body.
type chunkReader struct {
	in      *textproto.Reader
	left    int64 // unread bytes of the current chunk
	inChunk bool  // the line end after the current chunk has not been read
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

// nextChunk reads up to the data of the next chunk, or to the end of the body.
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

// readTrailers skips the trailer fields after the last chunk.
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

// unexpectedEOF converts io.EOF, which here means a truncated body, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
