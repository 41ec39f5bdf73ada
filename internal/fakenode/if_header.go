package fakenode

import (
	"net/url"
	"strings"
)

// condition is one condition of an If header. It is either on a lock token or on an entity tag.
type condition struct {
	negated bool   // preceded by "Not"
	token   string // "" if the condition is on an entity tag
	etag    string // "" if the condition is on a lock token
}

// conditionList is one parenthesized list of an If header. A list holds if all of its conditions
// hold; the header holds if at least one of its lists does.
type conditionList struct {
	resource   string // clean path of the resource tag; "" means the resource of the request
	conditions []condition
}

// parseIf parses an If header (RFC 4918 section 10.4.2). ok is false if it is malformed.
func parseIf(header string) (lists []conditionList, ok bool) {
	resource := ""
	tagged := false // set if the header has resource tags
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

// parseConditions parses the conditions of a list. text begins after the opening parenthesis; rest
// is the text after the closing one.
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

// parseCondition parses a state token in angle brackets or an entity tag in square brackets, with
// or without "Not" before it. rest is the text after the condition.
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
