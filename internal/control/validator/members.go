package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
)

// members checks that no object of a JSON value gives a member twice. Members that differ in letter case alone count as
// the same, as encoding/json takes them for the same.
func (w *walker) members(body json.RawMessage) {
	w.value("body", json.NewDecoder(bytes.NewReader(body)))
}

// value checks the next value of a decoder, whose text is known to be JSON.
func (w *walker) value(path string, d *json.Decoder) {
	token, err := d.Token()
	if err != nil {
		w.fault(path, "is not JSON")
		return
	}
	switch token {
	case json.Delim('{'):
		w.unique(path, d)
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			w.value(fmt.Sprintf("%s[%d]", path, i), d)
		}
		_, _ = d.Token()
	}
}

// unique checks the members of an object whose beginning was read.
func (w *walker) unique(path string, d *json.Decoder) {
	seen := map[string]string{}
	for d.More() {
		token, err := d.Token()
		label, ok := token.(string)
		if err != nil || !ok {
			w.fault(path, "is not JSON")
			return
		}
		folded := fold(label)
		if first, found := seen[folded]; found {
			w.fault(path+"."+label, "is given twice, first as %q", first)
		}
		seen[folded] = label
		w.value(path+"."+label, d)
	}
	_, _ = d.Token()
}

// fold returns a form of a label that is the same for labels which differ in letter case alone: of each letter's cases,
// the one with the lowest code point.
func fold(label string) string {
	return strings.Map(func(r rune) rune {
		for {
			next := unicode.SimpleFold(r)
			if next <= r {
				return next
			}
			r = next
		}
	}, label)
}
