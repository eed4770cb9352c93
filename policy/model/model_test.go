package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestQuantityOf(t *testing.T) {
	cases := []struct {
		name  string
		q     Quantity
		total int
		want  int
	}{
		{"zero value", Quantity{}, 10, 0},
		{"count", Quantity{Count: 3}, 10, 3},
		{"share rounds up", Quantity{Share: 0.75}, 10, 8},
		{"exact share", Quantity{Share: 0.7}, 10, 7},
		{"share of an empty pool", Quantity{Share: 0.7}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.q.Of(tc.total), tc.want)
		})
	}
}
