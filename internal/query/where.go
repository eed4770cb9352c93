package query

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/lang"
)

// matches reports whether the row satisfies every condition.
func matches(columns, row []string, where []lang.Condition) bool {
	for _, c := range where {
		if !satisfies(c, cell(columns, row, c.Field)) {
			return false
		}
	}
	return true
}

// cell returns the row's value in the column of the field; empty if there is no
// such column.
func cell(columns, row []string, field string) string {
	for i, c := range columns {
		if c == field {
			return row[i]
		}
	}
	return ""
}

// satisfies reports whether the value satisfies the condition. For a cell that
// lists several names, Equal means that the list contains the name.
func satisfies(c lang.Condition, value string) bool {
	order := compare(value, c.Value)
	switch c.Comparison {
	case lang.Equal:
		return order == 0 || listContains(value, c.Value)
	case lang.NotEqual:
		return order != 0 && !listContains(value, c.Value)
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

// compare orders two values as numbers or as durations if both parse as such,
// and otherwise as strings.
func compare(a, b string) int {
	if x, y, ok := parseBoth(a, b, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }); ok {
		return cmp.Compare(x, y)
	}
	if x, y, ok := parseBoth(a, b, time.ParseDuration); ok {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}

func parseBoth[T any](a, b string, parse func(string) (T, error)) (x, y T, ok bool) {
	x, errX := parse(a)
	y, errY := parse(b)
	return x, y, errX == nil && errY == nil
}

// listContains reports whether a cell that lists several names contains name.
func listContains(value, name string) bool {
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
