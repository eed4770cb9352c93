package query

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/lang"
)

// matches reports whether the row fulfils every condition.
func matches(columns, row []string, where []lang.Condition) bool {
	for _, c := range where {
		if !holds(c, cell(columns, row, c.Field)) {
			return false
		}
	}
	return true
}

func cell(columns, row []string, field string) string {
	for i, c := range columns {
		if c == field {
			return row[i]
		}
	}
	return ""
}

func holds(c lang.Condition, value string) bool {
	order := compare(value, c.Value)
	switch c.Comparison {
	case lang.Equal:
		return order == 0 || hasPart(value, c.Value)
	case lang.NotEqual:
		return order != 0 && !hasPart(value, c.Value)
	case lang.Less:
		return order < 0
	case lang.LessOrEqual:
		return order <= 0
	case lang.Greater:
		return order > 0
	case lang.GreaterOrEqual:
		return order >= 0
	}
	return false
}

// compare orders two values as numbers or durations where both are, else as
// text.
func compare(a, b string) int {
	if x, y, ok := both(a, b, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }); ok {
		return cmp.Compare(x, y)
	}
	if x, y, ok := both(a, b, time.ParseDuration); ok {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}

func both[T any](a, b string, parse func(string) (T, error)) (x, y T, ok bool) {
	x, errX := parse(a)
	y, errY := parse(b)
	return x, y, errX == nil && errY == nil
}

// hasPart reports whether a cell that lists names has the name among them.
func hasPart(value, name string) bool {
	if !strings.Contains(value, ", ") {
		return false
	}
	for _, part := range strings.Split(value, ", ") {
		if part == name {
			return true
		}
	}
	return false
}
