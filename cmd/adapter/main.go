// Adapter hosts router instances for the simulator: it reads batches from standard input, passes each instance its
// events and writes the replies to standard output. It exits with code 1 if a batch is malformed or invalid, or if a
// reply cannot be written.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"linkpass/internal/simwire"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch with a reply until the input ends.
func run(input io.Reader, output io.Writer) error {
	h := newHost()
	decoder := simwire.NewDecoder(bufio.NewReaderSize(input, bufferSize))
	writer := bufio.NewWriterSize(output, bufferSize)
	for {
		now, messages, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.runBatch(now, messages); err != nil {
			return err
		}
		if err := h.reply.Flush(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}
