package orchestrator

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"
)

// progressDictionary contains what progress records have in common. Stored records
// can be read only with the dictionary with which they were compressed.
const progressDictionary = `,"failed":[1],"failed-on":["i-,"checkpoint":"0000,"done":[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15` +
	`{"state":"queued"{"state":"failed"{"state":"cancelled"{"state":"running","begun":true,"steps":[{"occurrence":1,"step":1,"done":[0,1],"tasks":[` +
	`{"index":1,"run":2,"worker":"i-0","instance":"m-0","born":17},{"index":2,"run":1,"worker":"i-`

// compressedMark is the first byte of a compressed record. No JSON text begins with
// it.
const compressedMark = 0x01

// progressWriters keeps the memory of compressors.
var progressWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(progressDictionary))
	if err != nil {
		panic(errors.Annotate(err, "creating a compressor")) // only for an invalid level
	}
	return w
}}

// encodeProgress returns the stored form of a progress record, compressed if
// compress is set.
func encodeProgress(p Progress, compress bool) []byte {
	raw := encodeJSON(p)
	if !compress {
		return raw
	}
	var out bytes.Buffer
	out.WriteByte(compressedMark)
	w := progressWriters.Get().(*flate.Writer)
	defer progressWriters.Put(w)
	w.Reset(&out)
	_, err := w.Write(raw)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(errors.Annotate(err, "compressing a record")) // a buffer's Write returns no error
	}
	return out.Bytes()
}

// DecodeProgress returns the progress record in a stored value.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if len(value) > 0 && value[0] == compressedMark {
		var err error
		if value, err = io.ReadAll(flate.NewReaderDict(bytes.NewReader(value[1:]), []byte(progressDictionary))); err != nil {
			return p, errors.Annotate(err, "decompressing a progress record")
		}
	}
	err := json.Unmarshal(value, &p)
	return p, errors.Annotate(err, "decoding a progress record")
}
