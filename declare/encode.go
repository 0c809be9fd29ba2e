package declare

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Encode returns the document as indented JSON with a final newline. Equal
// documents give equal bytes.
func Encode(d Document) ([]byte, error) {
	// Empty lists are written as [] because Parse rejects null.
	d.Zones = append([]Zone{}, d.Zones...)
	d.Services = append([]Service{}, d.Services...)
	d.Searches = append([]Search{}, d.Searches...)
	for i := range d.Searches {
		d.Searches[i].Services = append([]string{}, d.Searches[i].Services...)
	}
	d.Operations = append([]Operation{}, d.Operations...)
	for i := range d.Operations {
		d.Operations[i].Services = append([]string{}, d.Operations[i].Services...)
	}
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(b, '\n'), nil
}

// Parse decodes a document. It rejects unknown and repeated fields, null, wrong
// types and trailing data with an error that names the line. Whether the document is
// a valid configuration is checked by Validate.
func Parse(data []byte) (Document, error) {
	var d Document
	fail := func(offset int64, err error) (Document, error) {
		offset = min(max(offset, 0), int64(len(data)))
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		return Document{}, fmt.Errorf("line %d: %w", line, err)
	}
	tokens := json.NewDecoder(bytes.NewReader(data))
	if err := checkValue(tokens); err != nil {
		var syntaxErr *json.SyntaxError
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return fail(int64(len(data)), errors.New("the document ends too early"))
		case errors.As(err, &syntaxErr):
			return fail(syntaxErr.Offset, err)
		}
		return fail(tokens.InputOffset(), err)
	}
	if _, err := tokens.Token(); err != io.EOF {
		return fail(tokens.InputOffset(), errors.New("trailing data after the document"))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			field := cmp.Or(typeErr.Field, "document")
			return fail(typeErr.Offset, fmt.Errorf("%s: wrong type %s, want %s", field, typeErr.Value, typeErr.Type))
		}
		return fail(dec.InputOffset(), err)
	}
	return d, nil
}

// fieldNames are the names of all fields of a Document and its parts.
var fieldNames = []string{
	"name", "zones", "services", "searches", "operations", "retired_targets", "out", "phase",
	"replicas", "slots", "bears_cold", "connections", "class", "priority",
}

// checkValue reads one value and rejects what Decode of encoding/json accepts: field
// names in another letter case, repeated fields and null.
func checkValue(dec *json.Decoder) error {
	t, err := dec.Token()
	if err != nil {
		return err
	}
	if t == nil {
		return errors.New("null is not allowed")
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for dec.More() {
		if delim == '{' {
			t, err := dec.Token()
			if err != nil {
				return err
			}
			field := t.(string) // the decoder accepts only strings here
			if !slices.Contains(fieldNames, field) {
				return fmt.Errorf("unknown field %q", field)
			}
			if seen[field] {
				return fmt.Errorf("repeated field %q", field)
			}
			seen[field] = true
		}
		if err := checkValue(dec); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
