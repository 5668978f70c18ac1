package schema

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// check returns an error if a decoded value is not valid for the key. The error does not name the key.
func (k Key) check(v any) error {
	switch k.Type {
	case Opaque:
		return nil
	case Bool:
		if _, ok := v.(bool); !ok {
			return k.wrongType(v)
		}
		return nil
	case Int, Float:
		return k.checkNumber(v)
	case StringList, IntList, StringLists:
		return k.checkList(v)
	case Duration:
		if _, ok := v.(int64); ok {
			return fmt.Errorf("is the number %v: %w, such as \"%vs\"", v, ErrMissingUnit, v)
		}
	}
	s, ok := v.(string)
	if !ok {
		return k.wrongType(v)
	}
	return k.checkString(s)
}

// checkNumber checks a value of type Int or Float. A Float may be written without a decimal point.
func (k Key) checkNumber(v any) error {
	switch n := v.(type) {
	case int64:
		return k.checkRange(float64(n), parseNumber)
	case float64:
		if k.Type == Float {
			return k.checkRange(n, parseNumber)
		}
	}
	return k.wrongType(v)
}

// checkString checks a value that is written as a string. An empty string means that the key is not set, and is valid.
func (k Key) checkString(s string) error {
	switch {
	case s == "":
		return nil
	case k.Type == Duration:
		return k.checkDuration(s)
	case k.Type == Address:
		return checkAddress(s)
	case len(k.OneOf) > 0 && !slices.Contains(k.OneOf, s):
		return fmt.Errorf("%q %w %s", s, ErrNotAllowed, strings.Join(k.OneOf, ", "))
	}
	return nil
}

// checkDuration checks the text of a value of type Duration.
func (k Key) checkDuration(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q %w", s, ErrInvalidDuration)
	}
	return k.checkRange(float64(d), parseNanoseconds)
}

// checkAddress accepts host:port. The host may be empty, unless the port is 0.
func checkAddress(s string) error {
	i := strings.LastIndex(s, ":")
	if i < 0 {
		return fmt.Errorf("%q %w", s, ErrInvalidAddress)
	}
	host := s[:i]
	port, err := strconv.ParseUint(s[i+1:], 10, 16)
	if err != nil || host == "" && port == 0 {
		return fmt.Errorf("%q %w", s, ErrInvalidAddress)
	}
	return nil
}

// checkList checks a value of type StringList, IntList or StringLists.
func (k Key) checkList(v any) error {
	var isElement func(any) bool
	switch k.Type {
	case StringList:
		isElement = isString
	case IntList:
		isElement = isInt
	case StringLists:
		isElement = isStringList
	}
	if !isListOf(v, isElement) {
		return k.wrongType(v)
	}
	return nil
}

func isString(v any) bool {
	_, ok := v.(string)
	return ok
}

func isInt(v any) bool {
	_, ok := v.(int64)
	return ok
}

func isStringList(v any) bool { return isListOf(v, isString) }

func isListOf(v any, isElement func(any) bool) bool {
	list, ok := v.([]any)
	if !ok {
		return false
	}
	for _, element := range list {
		if !isElement(element) {
			return false
		}
	}
	return true
}

// checkRange checks a number against the bounds of the key. parse converts a bound to the unit of the number.
func (k Key) checkRange(n float64, parse func(string) float64) error {
	tooLow := k.Min != "" && n < parse(k.Min)
	tooHigh := k.Max != "" && n > parse(k.Max)
	if tooLow || tooHigh {
		return fmt.Errorf("%w, %s", ErrOutOfRange, k.Range())
	}
	return nil
}

// parseNumber converts a bound of an Int or Float. Bounds are constants of the program, so errors are ignored.
func parseNumber(s string) float64 {
	n, _ := strconv.ParseFloat(s, 64)
	return n
}

// parseNanoseconds converts a bound of a Duration, which is a constant of the program as well.
func parseNanoseconds(s string) float64 {
	d, _ := time.ParseDuration(s)
	return float64(d)
}

func (k Key) wrongType(v any) error {
	return fmt.Errorf("is %s, %w %s", describe(v), ErrWrongType, k.Type)
}

// describe formats a value for an error text. A list is not written out, because it may be long. Tables are never
// passed, because walk descends into them.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case []any:
		return "a list"
	}
	return fmt.Sprint(v)
}
