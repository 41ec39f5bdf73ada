package fakenode

import (
	"net/url"
	"strings"
)

// condition is one condition of an If header: on a state token, that of a lock, or on an entity
// tag. One of them is "".
type condition struct {
	negated bool
	token   string
	etag    string
}

// conditionList is a list of conditions that all have to hold for it to hold. An If header holds
// if one of its lists does.
type conditionList struct {
	resource   string // clean path; "" for the request's own
	conditions []condition
}

// parseIf parses an If header (RFC 4918 section 10.4.2). ok is false if it is malformed.
func parseIf(header string) (lists []conditionList, ok bool) {
	resource := ""
	tagged := false // the lists name their resources
	rest := strings.TrimSpace(header)
	for rest != "" {
		switch rest[0] {
		case '<':
			tag, after, found := strings.Cut(rest[1:], ">")
			if !found || len(lists) > 0 && !tagged {
				return nil, false
			}
			u, err := url.Parse(tag)
			if err != nil {
				return nil, false
			}
			resource = cleanPath(u.Path)
			tagged = true
			rest = after
		case '(':
			conditions, after, ok := parseConditions(rest[1:])
			if !ok {
				return nil, false
			}
			lists = append(lists, conditionList{resource: resource, conditions: conditions})
			rest = after
		default:
			return nil, false
		}
		rest = strings.TrimSpace(rest)
	}
	return lists, len(lists) > 0
}

// parseConditions parses a list after its opening parenthesis, and returns what follows it.
func parseConditions(text string) (conditions []condition, rest string, ok bool) {
	rest = strings.TrimSpace(text)
	for {
		if len(conditions) > 0 && strings.HasPrefix(rest, ")") {
			return conditions, rest[1:], true
		}
		var c condition
		if c, rest, ok = parseCondition(rest); !ok {
			return nil, "", false
		}
		conditions = append(conditions, c)
		rest = strings.TrimSpace(rest)
	}
}

// parseCondition parses [Not] <state token> or [Not] [entity tag].
func parseCondition(text string) (c condition, rest string, ok bool) {
	if after, negated := strings.CutPrefix(text, "Not"); negated {
		c.negated = true
		text = strings.TrimSpace(after)
	}
	switch {
	case strings.HasPrefix(text, "<"):
		c.token, rest, ok = strings.Cut(text[1:], ">")
	case strings.HasPrefix(text, "["):
		c.etag, rest, ok = strings.Cut(text[1:], "]")
	}
	return c, rest, ok
}
