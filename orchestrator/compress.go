package orchestrator

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// progressDictionary contains what progress records have in common. Stored records
// can be read only with the dictionary with which they were compressed.
const progressDictionary = `,"failed":[1],"failed-on":["i-,"checkpoint":"0000,"done":[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15` +
	`{"state":"queued"{"state":"failed"{"state":"cancelled"{"state":"running","begun":true,"steps":[{"occurrence":1,"step":1,"done":[0,1],"tasks":[` +
	`{"index":1,"run":2,"worker":"i-0","instance":"m-0","born":17},{"index":2,"run":1,"worker":"i-`

const (
	// compressedMark is the first byte of a compressed record. No JSON text begins with
	// it.
	compressedMark = 0x01
	// condensedMark is the first byte of a record with Progress.Finished, which is
	// followed by a plain or compressed one. Earlier versions can't read it and leave the
	// job alone. They would run the finished occurrences again.
	condensedMark = 0x02

	maxPlainProgress = 64 << 10 // larger records are compressed on any link
)

// progressWriters keeps the memory of compressors.
var progressWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(progressDictionary))
	if err != nil {
		panic(errors.Annotate(err, "creating a compressor")) // only for an invalid level
	}
	return w
}}

// encodeProgress returns the stored form of a progress record, compressed if compress is
// set or the record is large. It omits the checkpoints if the record would otherwise
// have more than maxBytes, so that tasks which end early begin anew.
func encodeProgress(p Progress, compress bool, maxBytes int) []byte {
	value := encodeWholeProgress(p, compress)
	if len(value) > maxBytes {
		value = encodeWholeProgress(p.withoutCheckpoints(), compress)
	}
	return value
}

// encodeWholeProgress returns the stored form of a progress record of any size.
func encodeWholeProgress(p Progress, compress bool) []byte {
	value := encodeJSON(p)
	if compress || len(value) > maxPlainProgress {
		value = compressProgress(value)
	}
	if len(p.Finished) > 0 {
		value = append([]byte{condensedMark}, value...)
	}
	return value
}

// withoutCheckpoints returns the record without the checkpoints of its tasks.
func (p Progress) withoutCheckpoints() Progress {
	p.Steps = slices.Clone(p.Steps)
	for i := range p.Steps {
		tasks := slices.Clone(p.Steps[i].Tasks)
		for n := range tasks {
			tasks[n].Checkpoint = ""
		}
		p.Steps[i].Tasks = tasks
	}
	return p
}

// compressProgress compresses the JSON text of a progress record.
func compressProgress(raw []byte) []byte {
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

// openProgress returns a reader of the JSON text of the progress record in a stored value,
// and whether the value says that the record has finished occurrences.
func openProgress(value []byte) (r io.Reader, isCondensed bool) {
	if isCondensed = len(value) > 0 && value[0] == condensedMark; isCondensed {
		value = value[1:]
	}
	if len(value) > 0 && value[0] == compressedMark {
		return flate.NewReaderDict(bytes.NewReader(value[1:]), []byte(progressDictionary)), isCondensed
	}
	return bytes.NewReader(value), isCondensed
}

// DecodeProgress returns the progress record in a stored value.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	r, isCondensed := openProgress(value)
	text, err := io.ReadAll(r)
	if err != nil {
		return p, errors.Annotate(err, "decompressing a progress record")
	}
	if err := json.Unmarshal(text, &p); err != nil {
		return p, errors.Annotate(err, "decoding a progress record")
	}
	if isCondensed != (len(p.Finished) > 0) {
		return p, errors.NotValidf("progress record (condensed %t, with %d ranges of finished occurrences)", isCondensed, len(p.Finished))
	}
	return p, nil
}

// decodeProgressState returns the state of the job in a stored progress record. It reads no
// more of the record than necessary, since that of a job of many tasks is large.
func decodeProgressState(value []byte) (modeler.State, error) {
	r, _ := openProgress(value)
	d := json.NewDecoder(r)
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return "", errors.NewNotValid(err, "progress record")
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return "", errors.Annotate(err, "decoding a progress record")
		}
		if key == "state" {
			var s modeler.State
			return s, errors.Annotate(d.Decode(&s), "decoding the state in a progress record")
		}
		var skipped json.RawMessage
		if err := d.Decode(&skipped); err != nil {
			return "", errors.Annotate(err, "decoding a progress record")
		}
	}
	return "", errors.NotValidf("progress record without a state")
}
