package lang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar. Every alternative starts with a distinct word, so that one token of
// lookahead selects it and an error is reported at the first word that doesn't
// conform to the grammar.
type (
	line struct {
		Show    *showLine    `parser:"'show' @@"`
		Explain *explainLine `parser:"| 'explain' @@"`
		WhatIf  *whatIfLine  `parser:"| 'what-if' @@"`
		Drain   *drainLine   `parser:"| 'drain' @@"`
		Undrain *undrainLine `parser:"| 'undrain' @@"`
		Move    *moveLine    `parser:"| 'move' @@"`
		Start   *startLine   `parser:"| 'start' @@"`
		Pause   *waveLine    `parser:"| 'pause' @@"`
		Resume  *waveLine    `parser:"| 'resume' @@"`
		Cancel  *cancelLine  `parser:"| 'cancel' @@"`
		Set     *setLine     `parser:"| 'set' @@"`
		Submit  *submitLine  `parser:"| 'submit' @@"`
	}

	word struct {
		Pos  lexer.Position
		Text string `parser:"@Word"`
	}

	text struct {
		Pos  lexer.Position
		Text string `parser:"@( Word | String )"`
	}

	conditionPart struct {
		Field      word   `parser:"@@"`
		Comparison string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
		Value      text   `parser:"@@"`
	}

	wherePart struct {
		Conditions []*conditionPart `parser:"'where' @@ ( 'and' @@ )*"`
	}

	showLine struct {
		Kind   string     `parser:"( @( 'vms' | 'services' | 'pools' | 'waves' | 'jobs' | 'budgets' | 'entries' | 'zones' | 'racks' | 'teams' )"`
		Budget *word      `parser:"| 'budget' @@ )"`
		Where  *wherePart `parser:"@@?"`
	}

	explainLine struct {
		Subject string `parser:"@( 'vm' | 'job' | 'wave' | 'service' )"`
		Name    word   `parser:"@@"`
	}

	scopePart struct {
		Subject string `parser:"@( 'vm' | 'rack' | 'zone' )"`
		Name    word   `parser:"@@"`
	}

	whatIfLine struct {
		Drain       *scopePart `parser:"'drain' @@"`
		Lose        *scopePart `parser:"| 'lose' @@"`
		Move        *moveLine  `parser:"| 'move' @@"`
		Wave        *runPart   `parser:"| 'wave' @@"`
		Declaration bool       `parser:"| @'declaration'"`
	}

	reasonPart struct {
		Text string `parser:"'reason' @String"`
	}

	drainLine struct {
		Scope  scopePart   `parser:"@@"`
		Cut    bool        `parser:"@'cut'?"`
		Reason *reasonPart `parser:"@@?"`
	}

	undrainLine struct {
		VM     word        `parser:"'vm' @@"`
		Reason *reasonPart `parser:"@@?"`
	}

	moveLine struct {
		VM     word        `parser:"'vm' @@"`
		Pool   word        `parser:"'to' 'pool' @@"`
		Reason *reasonPart `parser:"@@?"`
	}

	runPart struct {
		Name  word   `parser:"@@"`
		Pools []word `parser:"( 'on' 'pool' @@ ( ',' @@ )* )?"`
	}

	startLine struct {
		Run    runPart     `parser:"'wave' @@"`
		Reason *reasonPart `parser:"@@?"`
	}

	waveLine struct {
		Wave   word        `parser:"'wave' @@"`
		Reason *reasonPart `parser:"@@?"`
	}

	cancelLine struct {
		Wave   *word       `parser:"( 'wave' @@"`
		Job    *word       `parser:"| 'job' @@"`
		Jobs   *wherePart  `parser:"| 'jobs' @@ )"`
		Reason *reasonPart `parser:"@@?"`
	}

	setLine struct {
		Service word        `parser:"'service' @@"`
		Limit   word        `parser:"'limit' @@"`
		Reason  *reasonPart `parser:"@@?"`
	}
)

type (
	submitLine struct {
		Job     word            `parser:"'job' @@"`
		Team    word            `parser:"'team' @@"`
		Kind    word            `parser:"'kind' @@"`
		Options []*submitOption `parser:"@@*"`
		Reason  *reasonPart     `parser:"@@?"`
	}

	submitOption struct {
		Pos   lexer.Position
		Key   string `parser:"( @( 'class' | 'pool' | 'zone' | 'cpu' | 'memory-mb' | 'accelerators' | 'run-time' )"`
		Value word   `parser:"@@"`
		Flag  string `parser:"| @( 'repeatable' | 'checkpoints' | 'spread' ) )"`
	}
)

// keywords lists all literal words and signs of the grammar. Hints tries each of
// them, so a word that is missing here is never suggested.
var keywords = []string{
	"show", "explain", "what-if", "drain", "undrain", "move", "start", "pause", "resume", "cancel", "set", "submit",
	"vms", "services", "pools", "waves", "jobs", "budgets", "entries", "zones", "racks", "teams", "budget",
	"vm", "rack", "zone", "job", "wave", "service", "pool", "declaration", "lose",
	"where", "and", "to", "on", "cut", "reason", "limit",
	"team", "kind", "class", "cpu", "memory-mb", "accelerators", "run-time", "repeatable", "checkpoints", "spread",
	"=", "!=", "<", "<=", ">", ">=", ",",
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Sign", Pattern: `!=|<=|>=|[=<>,]`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9_.:%+-]*`},
})

// parser parses the tokens that lex returns; it is not given text directly.
var parser = participle.MustBuild[line](participle.Lexer(tokens))
