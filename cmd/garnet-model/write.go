package main

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// write creates the file at path with the output of f.
func write(path string, f func(io.Writer) error) error {
	out, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	if err := f(out); err != nil {
		_ = out.Close() // the error of the write matters more
		return err
	}
	return errors.Wrap(out.Close(), "close file")
}
