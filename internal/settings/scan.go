package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// entry is the value of a key and the line that sets it.
type entry struct {
	value string
	line  int // counted from 1; 0 for a default
}

// parser collects the keys and the faults of one file.
type parser struct {
	file     string
	errs     []*Error
	sections map[string]int   // first line of each section
	keys     map[string]entry // first occurrence of each "section.key"
}

func (p *parser) has(name string) bool { _, ok := p.keys[name]; return ok }

func (p *parser) addFault(line int, section, key, message string) {
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Section: section, Key: key, Message: message})
}

// scan parses the text line by line. Given the whole text, the INI library would
// hide faults: it keeps no line numbers, stops at the first bad line and takes the
// last of two equal keys.
func (p *parser) scan(text string, fields []field) {
	known := map[string][]string{} // keys of each section
	for _, f := range fields {
		section, key, _ := strings.Cut(f.name, ".")
		known[section] = append(known[section], key)
	}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		n := i + 1
		line = strings.TrimSpace(line)
		f, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation: true, KeyValueDelimiters: "=",
		}, []byte(line))
		if err != nil {
			p.addFault(n, section, "", fmt.Sprintf("cannot parse %q: not a [section], key = value or comment", line))
			continue
		}
		for _, s := range f.Sections() {
			// The library adds its default section to every line; only a line
			// such as [DEFAULT] names it.
			if s.Name() != ini.DefaultSection || strings.HasPrefix(line, "["+ini.DefaultSection) {
				section = s.Name()
				if _, seen := p.sections[section]; !seen {
					p.sections[section] = n
					if known[section] == nil {
						p.addFault(n, section, "", "unknown section")
					}
				}
			}
			for _, k := range s.Keys() {
				p.addKey(n, section, k.Name(), k.Value(), known)
			}
		}
	}
}

func (p *parser) addKey(line int, section, key, value string, known map[string][]string) {
	name := section + "." + key
	if first, duplicate := p.keys[name]; duplicate {
		p.addFault(line, section, key, fmt.Sprintf("duplicate key, first set on line %d", first.line))
		return
	}
	p.keys[name] = entry{value: value, line: line}
	switch {
	case section == "":
		p.addFault(line, section, key, "key outside of a section")
	case known[section] != nil && !slices.Contains(known[section], key):
		p.addFault(line, section, key, "unknown key")
	}
}
