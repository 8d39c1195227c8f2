package node

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// maxUnpackedBytes limits the decompressed size of a snapshot that a peer relays.
const maxUnpackedBytes = 64 << 20

// pack compresses a snapshot that is relayed to peers.
func pack(body []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "create gzip writer")
	}
	if _, err := w.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return packed.Bytes(), nil
}

// unpack decompresses the result of pack. An empty input gives an empty result.
func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	return body, errors.Wrap(err, "decompress snapshot")
}
