package cli

import (
	"io"
	"os"
)

// eachLog reads the files of these names one after the other, or standard input
// when there are none.
func eachLog(names []string, read func(io.Reader) error) error {
	if len(names) == 0 {
		return read(os.Stdin)
	}
	for _, name := range names {
		if err := readFile(name, read); err != nil {
			return err
		}
	}
	return nil
}

func readFile(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return read(file)
}
