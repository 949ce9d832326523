package configurer

import (
	"regexp"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// syntaxError matches the message of the JSON library, which gives the place in the text.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// entry is one setting that a file gives.
type entry struct {
	name string
	text string
	// at is the offset of the value.
	at int
}

// checker reads one file of settings.
type checker struct {
	file     string
	content  []byte
	known    map[string]Setting
	groups   map[string]bool
	seen     map[string]bool
	entries  []entry
	problems Problems
}

// Check returns every fault of a file of settings, by line and column. File names it in the problems.
func Check(file string, content []byte) []Problem {
	_, problems := read(file, content)
	return problems
}

// read returns the settings that a file gives, and its faults in the order of the file.
func read(file string, content []byte) ([]entry, Problems) {
	c := &checker{
		file: file, content: content,
		known: map[string]Setting{}, groups: map[string]bool{}, seen: map[string]bool{},
	}
	for _, s := range Table() {
		c.known[s.Name] = s
		if group, _, ok := strings.Cut(s.Name, "."); ok {
			c.groups[group] = true
		}
	}
	v, err := hujson.Parse(content)
	if err != nil {
		c.syntax(err)
		return nil, c.problems
	}
	root, ok := v.Value.(*hujson.Object)
	if !ok {
		c.report(v.StartOffset, "", "settings are not an object")
		return nil, c.problems
	}
	c.object("", root)
	c.relate()
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].before(c.problems[j]) })
	return c.entries, c.problems
}

func (p Problem) before(o Problem) bool {
	if p.Line != o.Line {
		return p.Line < o.Line
	}
	return p.Column < o.Column
}

// object reads the members of the whole file or of a group.
func (c *checker) object(group string, o *hujson.Object) {
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if group != "" {
			name = group + "." + name
		}
		c.member(name, m)
	}
}

// member reads one member, which is a setting or a group of settings.
func (c *checker) member(name string, m hujson.ObjectMember) {
	if c.seen[name] {
		c.report(m.Name.StartOffset, name, "is given twice")
		return
	}
	c.seen[name] = true
	inner, isObject := m.Value.Value.(*hujson.Object)
	setting, isSetting := c.known[name]
	switch {
	case c.groups[name] && isObject:
		c.object(name, inner)
	case c.groups[name]:
		c.report(m.Value.StartOffset, name, "must be an object")
	case isSetting:
		c.setting(setting, m.Value)
	default:
		c.unknown(name, m.Name.StartOffset)
	}
}

// setting reads the value of one setting.
func (c *checker) setting(s Setting, v hujson.Value) {
	l, ok := v.Value.(hujson.Literal)
	kind := hujson.Kind('"')
	if s.number {
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

// wrongKind says what the value of a setting must be.
func wrongKind(s Setting) string {
	switch {
	case s.number:
		return "must be a number of " + s.Unit
	case s.Unit == unitDuration:
		return `must be a string with a unit, as in "500ms", "2s" or "5m"`
	default:
		return "must be a string"
	}
}

// unknown reports a name that is not known, with the nearest of its kind.
func (c *checker) unknown(name string, at int) {
	var names []string
	for n := range c.known {
		names = append(names, n)
	}
	for g := range c.groups {
		names = append(names, g)
	}
	sort.Strings(names)
	c.report(at, name, "unknown setting")
	c.problems[len(c.problems)-1].Nearest = nearest(name, names)
}

// relate reports what is wrong between settings.
func (c *checker) relate() {
	s := Default()
	for _, e := range c.entries {
		_ = c.known[e.name].set(&s, e.text)
	}
	faults := relations(s)
	for _, e := range c.entries {
		if text, ok := faults[e.name]; ok {
			c.report(e.at, e.name, text)
		}
	}
}

// syntax reports an error of the JSON library.
func (c *checker) syntax(err error) {
	p := Problem{File: c.file, Line: 1, Column: 1, Text: err.Error()}
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Text = m[3]
	}
	c.problems = append(c.problems, p)
}

// report adds a problem at an offset of the file.
func (c *checker) report(offset int, name, text string) {
	before := string(c.content[:offset])
	line := strings.Count(before, "\n") + 1
	column := utf8.RuneCountInString(before[strings.LastIndex(before, "\n")+1:]) + 1
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Column: column, Name: name, Text: text})
}
