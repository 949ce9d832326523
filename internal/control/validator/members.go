package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
)

// checkUniqueMembers checks that no object of a JSON value contains a member twice. Members whose names differ only in
// letter case count as the same, because encoding/json treats them as the same.
func (w *walker) checkUniqueMembers(body json.RawMessage) {
	w.checkUniqueInValue("body", json.NewDecoder(bytes.NewReader(body)))
}

// checkUniqueInValue checks the next value of a decoder, whose input is known to be valid JSON.
func (w *walker) checkUniqueInValue(path string, d *json.Decoder) {
	token, err := d.Token()
	if err != nil {
		w.addFault(path, "is not JSON")
		return
	}
	switch token {
	case json.Delim('{'):
		w.checkUniqueInObject(path, d)
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			w.checkUniqueInValue(fmt.Sprintf("%s[%d]", path, i), d)
		}
		_, _ = d.Token()
	}
}

// checkUniqueInObject checks the members of an object whose opening brace was read.
func (w *walker) checkUniqueInObject(path string, d *json.Decoder) {
	seen := map[string]string{}
	for d.More() {
		token, err := d.Token()
		label, ok := token.(string)
		if err != nil || !ok {
			w.addFault(path, "is not JSON")
			return
		}
		folded := foldCase(label)
		if first, found := seen[folded]; found {
			w.addFault(path+"."+label, "is given twice, first as %q", first)
		}
		seen[folded] = label
		w.checkUniqueInValue(path+"."+label, d)
	}
	_, _ = d.Token()
}

// foldCase returns a form of a label that is the same for labels which differ only in letter case: each letter is
// replaced by its case variant with the lowest code point.
func foldCase(label string) string {
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
