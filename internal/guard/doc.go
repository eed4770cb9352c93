// Package guard bounds what callers can make a process hold: its memory, its connections and their
// time. A Budget counts memory before it is held, a Listener counts connections and closes those that
// callers don't use when others need them, and Limits bound the size and the time of one request.
package guard
