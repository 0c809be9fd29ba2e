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

// Parse decodes a document. It rejects unknown and repeated fields, null,
// wrong types and trailing data, and names the line. It does not check the
// rules; Validate does.
func Parse(data []byte) (Document, error) {
	var d Document
	fail := func(offset int64, err error) (Document, error) {
		offset = min(max(offset, 0), int64(len(data)))
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		return Document{}, fmt.Errorf("line %d: %w", line, err)
	}
	tokens := json.NewDecoder(bytes.NewReader(data))
	if err := checkValue(tokens); err != nil {
		var syntax *json.SyntaxError
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return fail(int64(len(data)), errors.New("the document ends too early"))
		case errors.As(err, &syntax):
			return fail(syntax.Offset, err)
		}
		return fail(tokens.InputOffset(), err)
	}
	if _, err := tokens.Token(); err != io.EOF {
		return fail(tokens.InputOffset(), errors.New("trailing data after the document"))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			field := cmp.Or(wrong.Field, "document")
			return fail(wrong.Offset, fmt.Errorf("%s: wrong type %s, want %s", field, wrong.Value, wrong.Type))
		}
		return fail(dec.InputOffset(), err)
	}
	return d, nil
}

var fieldNames = []string{
	"name", "zones", "services", "searches", "operations", "retired_targets", "out", "phase",
	"replicas", "slots", "bears_cold", "connections", "class", "priority",
}

// checkValue reads one value and finds what encoding/json lets pass: fields in
// another letter case, repeated fields and null.
func checkValue(dec *json.Decoder) error {
	t, err := dec.Token()
	if err != nil {
		return err
	}
	if t == nil {
		return errors.New("null is not allowed")
	}
	open, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for dec.More() {
		if open == '{' {
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
