package conns

import "fmt"

// MismatchError reports an answer that carries the identity of another try.
type MismatchError struct {
	Want string
	Got  string
}

// Error names both tries.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer to try %q came for try %q", e.Got, e.Want)
}

// UnframedError reports an answer whose end cannot be told from a broken connection.
type UnframedError struct{}

// Error says what is missing.
func (e *UnframedError) Error() string { return "answer has neither a length nor chunks" }
