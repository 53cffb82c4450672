package change

import (
	"lavenderwing.example/lavenderwing/entry"
	"lavenderwing.example/lavenderwing/record"
)

// DryRunClient is a Client whose changes the entry process validates but does not apply.
type DryRunClient struct {
	*HTTPClient
}

// NewDryRunClient returns a client that validates changes through the given one.
func NewDryRunClient(client *HTTPClient) *DryRunClient { return &DryRunClient{HTTPClient: client} }

// Apply returns an error if the change would be rejected.
func (c *DryRunClient) Apply(change record.Change) (entry.ChangeReply, error) {
	return c.apply(entry.ChangesPath+"?dryRun=true", change)
}
