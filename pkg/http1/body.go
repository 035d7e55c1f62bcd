package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxChunkLine is the maximum length in bytes of the line before a chunk, with
	// CRLF. It holds a size and a short extension.
	maxChunkLine = 256
	// maxTrailers is the maximum number of lines after the last chunk.
	maxTrailers = 64
)

// Body reads the body of a message whose head was read from the same reader. Read
// returns io.EOF only if the framing shows that the body is complete. With
// FramingClose, it is complete when the peer closes the connection without an
// error such as a reset.
type Body struct {
	r       *bufio.Reader
	framing Framing
	// remaining is the number of bytes that remain of the body or, with
	// FramingChunked, of the chunk.
	remaining int64
	done      bool
	// inChunk is set while the next byte is data of a chunk.
	inChunk bool
}

// NewBody returns the body that follows the head h in r.
func NewBody(r *bufio.Reader, h *Head) *Body {
	return &Body{r: r, framing: h.Framing, remaining: h.Length}
}

// Complete reports whether the body was read completely.
func (b *Body) Complete() bool { return b.done }

// Buffered reports whether more can be read without waiting for the peer.
func (b *Body) Buffered() bool { return !b.done && b.r.Buffered() > 0 }

// Read implements io.Reader. It returns the data that has arrived, and waits only
// if there is none. The errors are ErrMalformed, ErrTruncated and those of the
// reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	switch b.framing {
	case FramingNone:
		b.done = true
		return 0, io.EOF
	case FramingLength:
		return b.readLength(p)
	case FramingChunked:
		return b.readChunk(p)
	case FramingClose:
		n, err := b.r.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	}
	return 0, fmt.Errorf("%w: unknown framing %d", ErrMalformed, b.framing)
}

func (b *Body) readLength(p []byte) (int, error) {
	if b.remaining == 0 {
		b.done = true
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.done = true
	}
	return n, truncated(err)
}

func (b *Body) readChunk(p []byte) (int, error) {
	if !b.inChunk {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if err != nil {
		return n, truncated(err)
	}
	if b.remaining == 0 {
		b.inChunk = false
		line, err := b.readLine()
		if err != nil {
			return n, err
		}
		if len(line) != 0 {
			return n, fmt.Errorf("%w: a chunk is longer than its size", ErrMalformed)
		}
	}
	return n, nil
}

// nextChunk reads the line with the size of a chunk. After the last chunk, it
// reads and discards the trailers.
func (b *Body) nextChunk() error {
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size := line
	for i, c := range line {
		if c == ';' || c == ' ' {
			size = line[:i]
			break
		}
	}
	n, err := strconv.ParseUint(string(size), 16, 62)
	if err != nil || size[0] == '+' {
		return fmt.Errorf("%w: invalid chunk size", ErrMalformed)
	}
	b.remaining, b.inChunk = int64(n), true
	if n > 0 {
		return nil
	}
	for range maxTrailers + 1 {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.done = true
			return nil
		}
	}
	return fmt.Errorf("%w: more than %d trailers", ErrMalformed, maxTrailers)
}

// readLine reads a line of at most maxChunkLine bytes and returns it without its
// CRLF.
func (b *Body) readLine() ([]byte, error) {
	line, err := b.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("%w: chunk line is too long", ErrMalformed)
		}
		return nil, truncated(err)
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || len(line) > maxChunkLine {
		return nil, fmt.Errorf("%w: chunk line is too long or does not end with CRLF", ErrMalformed)
	}
	return line[:len(line)-2], nil
}

// truncated returns ErrTruncated for io.EOF, and other errors unchanged.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", ErrTruncated, io.ErrUnexpectedEOF)
	}
	return err
}

// ReadAll appends the rest of the body to buf and returns it. It fails with
// ErrBodyTooLarge if the result is longer than limit bytes, and with the errors of
// Read.
func (b *Body) ReadAll(buf []byte, limit int64) ([]byte, error) {
	if b.framing == FramingLength && b.remaining > limit {
		return buf, fmt.Errorf("%w: body has %d bytes, the limit is %d", ErrBodyTooLarge, b.remaining, limit)
	}
	if b.framing == FramingLength && cap(buf)-len(buf) < int(b.remaining) {
		grown := make([]byte, len(buf), len(buf)+int(b.remaining))
		copy(grown, buf)
		buf = grown
	}
	for !b.done {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := b.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > limit {
			return buf, fmt.Errorf("%w: the limit is %d bytes", ErrBodyTooLarge, limit)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return buf, err
		}
	}
	return buf, nil
}

// Discard reads the rest of the body without keeping it. It fails with ErrBodyTooLarge if
// the rest is longer than limit bytes, and with the errors of Read.
func (b *Body) Discard(limit int64) error {
	var buf [4096]byte
	for read := int64(0); !b.done; {
		n, err := b.Read(buf[:])
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if read += int64(n); read > limit {
			return fmt.Errorf("%w: the limit is %d bytes", ErrBodyTooLarge, limit)
		}
	}
	return nil
}

// AppendChunk appends data as one chunk. data must not be empty: an empty chunk
// ends the body.
func AppendChunk(dst, data []byte) []byte {
	dst = strconv.AppendUint(dst, uint64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// LastChunk ends a body in the chunked coding.
const LastChunk = "0\r\n\r\n"

// AppendField appends a header field.
func AppendField(dst []byte, name string, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}
