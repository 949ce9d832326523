package configurer

import (
	"regexp"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// syntaxError matches a syntax error of the JSON library, which gives line, column and reason.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// entry is one setting that a file gives.
type entry struct {
	name string
	text string
	// offset is the position of the value in the file, in bytes.
	offset int
}

// checker reads and validates one file of settings.
type checker struct {
	file      string
	content   []byte
	settings  map[string]Setting
	groups    map[string]bool
	seenNames map[string]bool
	entries   []entry
	problems  Problems
}

// Check validates the content of a file of settings and returns all problems, ordered by line and column. The parameter
// file is the name that the problems show.
func Check(file string, content []byte) []Problem {
	_, problems := readEntries(file, content)
	return problems
}

// readEntries returns the settings that a file gives, and its problems ordered by line and column.
func readEntries(file string, content []byte) ([]entry, Problems) {
	c := &checker{
		file: file, content: content,
		settings: map[string]Setting{}, groups: map[string]bool{}, seenNames: map[string]bool{},
	}
	for _, s := range Table() {
		c.settings[s.Name] = s
		if group, _, ok := strings.Cut(s.Name, "."); ok {
			c.groups[group] = true
		}
	}
	v, err := hujson.Parse(content)
	if err != nil {
		c.reportSyntax(err)
		return nil, c.problems
	}
	root, ok := v.Value.(*hujson.Object)
	if !ok {
		c.report(v.StartOffset, "", "settings are not an object")
		return nil, c.problems
	}
	c.readObject("", root)
	c.checkRelations()
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].before(c.problems[j]) })
	return c.entries, c.problems
}

func (p Problem) before(o Problem) bool {
	if p.Line != o.Line {
		return p.Line < o.Line
	}
	return p.Column < o.Column
}

// readObject reads the members of the whole file or of a group.
func (c *checker) readObject(group string, o *hujson.Object) {
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if group != "" {
			name = group + "." + name
		}
		c.readMember(name, m)
	}
}

// readMember reads one member, which is a setting or a group of settings.
func (c *checker) readMember(name string, m hujson.ObjectMember) {
	if c.seenNames[name] {
		c.report(m.Name.StartOffset, name, "is given twice")
		return
	}
	c.seenNames[name] = true
	inner, isObject := m.Value.Value.(*hujson.Object)
	setting, isSetting := c.settings[name]
	switch {
	case c.groups[name] && isObject:
		c.readObject(name, inner)
	case c.groups[name]:
		c.report(m.Value.StartOffset, name, "must be an object")
	case isSetting:
		c.readSetting(setting, m.Value)
	default:
		c.reportUnknown(name, m.Name.StartOffset)
	}
}

// readSetting reads and validates the value of one setting.
func (c *checker) readSetting(s Setting, v hujson.Value) {
	l, ok := v.Value.(hujson.Literal)
	kind := hujson.Kind('"')
	if s.isNumber {
		kind = '0'
	}
	if !ok || l.Kind() != kind {
		c.report(v.StartOffset, s.Name, wrongKind(s))
		return
	}
	text := l.String()
	if err := s.set(&Settings{}, text); err != nil {
		c.report(v.StartOffset, s.Name, err.Error())
		return
	}
	c.entries = append(c.entries, entry{s.Name, text, v.StartOffset})
}

// wrongKind returns the problem text for a value of the wrong JSON type.
func wrongKind(s Setting) string {
	switch {
	case s.isNumber:
		return "must be a number of " + s.Unit
	case s.Unit == unitDuration:
		return `must be a string with a unit, as in "500ms", "2s" or "5m"`
	default:
		return "must be a string"
	}
}

// reportUnknown reports an unknown setting and suggests the most similar known name.
func (c *checker) reportUnknown(name string, offset int) {
	var names []string
	for n := range c.settings {
		names = append(names, n)
	}
	for g := range c.groups {
		names = append(names, g)
	}
	sort.Strings(names)
	c.report(offset, name, "unknown setting")
	c.problems[len(c.problems)-1].Nearest = nearestName(name, names)
}

// checkRelations reports settings that are valid alone and conflict with each other.
func (c *checker) checkRelations() {
	s := Default()
	for _, e := range c.entries {
		_ = c.settings[e.name].set(&s, e.text)
	}
	faults := relationFaults(s)
	for _, e := range c.entries {
		if text, ok := faults[e.name]; ok {
			c.report(e.offset, e.name, text)
		}
	}
}

// reportSyntax reports a syntax error of the JSON library.
func (c *checker) reportSyntax(err error) {
	p := Problem{File: c.file, Line: 1, Column: 1, Text: err.Error()}
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Text = m[3]
	}
	c.problems = append(c.problems, p)
}

// report adds a problem at a byte offset of the file.
func (c *checker) report(offset int, name, text string) {
	before := string(c.content[:offset])
	line := strings.Count(before, "\n") + 1
	column := utf8.RuneCountInString(before[strings.LastIndex(before, "\n")+1:]) + 1
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Column: column, Name: name, Text: text})
}
