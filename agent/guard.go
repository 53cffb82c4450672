package agent

import (
	"fmt"

	"go.uber.org/zap"
)

// PanicError reports a panic while one request, record or reply was handled.
type PanicError struct {
	Subject string
	Cause   any
}

// Error names what was handled and the panic.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic while handling %s: %v", e.Subject, e.Cause)
}

// guard runs f and returns a panic as an error, so that one request, record or reply does not end this process and then each one that it is repeated to.
func (a *Agent) guard(subject string, f func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &PanicError{Subject: subject, Cause: cause}
			a.meters.panics.Inc(1)
			a.log.Error("panic", zap.String("subject", subject), zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	f()
	return nil
}

// guardTable runs f, which uses the table, under the lock and returns a panic as an error.
func (h *Holder) guardTable(subject string, f func()) error {
	return h.agent.guard(subject, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		f()
	})
}
