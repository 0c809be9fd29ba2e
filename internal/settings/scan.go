package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

type entry struct {
	value string
	line  int
}

// parser collects the keys of a file and the faults found so far.
type parser struct {
	file     string
	errs     []*Error
	sections map[string]int   // section name to its first line
	keys     map[string]entry // "section.key" to its first occurrence
}

func (p *parser) has(name string) bool { _, ok := p.keys[name]; return ok }

func (p *parser) fail(line int, section, key, message string) {
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Section: section, Key: key, Message: message})
}

// scan gives the INI library one line at a time. The library keeps no line
// numbers, stops at the first bad line and lets the last of two equal keys
// win, all of which would hide faults.
func (p *parser) scan(text string, fields []field) {
	known := map[string][]string{} // section to its keys
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
			p.fail(n, section, "", fmt.Sprintf("cannot parse %q: not a [section], key = value or comment", line))
			continue
		}
		for _, s := range f.Sections() {
			// The library adds its default section, also for the line [DEFAULT].
			if s.Name() != ini.DefaultSection || strings.HasPrefix(line, "["+ini.DefaultSection) {
				section = s.Name()
				if _, again := p.sections[section]; !again {
					p.sections[section] = n
					if known[section] == nil {
						p.fail(n, section, "", "unknown section")
					}
				}
			}
			for _, k := range s.Keys() {
				p.key(n, section, k.Name(), k.Value(), known)
			}
		}
	}
}

func (p *parser) key(line int, section, key, value string, known map[string][]string) {
	name := section + "." + key
	if first, again := p.keys[name]; again {
		p.fail(line, section, key, fmt.Sprintf("duplicate key, first set on line %d", first.line))
		return
	}
	p.keys[name] = entry{value: value, line: line}
	switch {
	case section == "":
		p.fail(line, section, key, "key outside of a section")
	case known[section] != nil && !slices.Contains(known[section], key):
		p.fail(line, section, key, "unknown key")
	}
}
