package record

import "github.com/google/uuid"

// Record is one entry of a batch; it is implemented only by the types of this package.
type Record interface {
	// kind returns the name of the record's type in the log.
	kind() string
}

// Join registers an incarnation of an entry process at a seat and starts its lease.
type Join struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
}

// Renew extends the lease that an incarnation holds on its seat.
type Renew struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
}

// Leave removes an incarnation from its seat after it has finished all its requests.
type Leave struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
}

// Expire ends the lease of an incarnation, provided that the lease was last renewed at RenewalOffset.
type Expire struct {
	_ struct{} `cbor:",toarray"`

	Seat          string `json:"seat"`
	Incarnation   string `json:"incarnation"`
	RenewalOffset int64  `json:"basis"`
}

// AcquireUnits requests units of a team's limit; Want is the total that the incarnation wants to hold.
type AcquireUnits struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Team        string `json:"team"`
	Want        int    `json:"want"`
}

// ReleaseUnits returns units of a team's limit; the incarnation keeps at most Keep of them.
type ReleaseUnits struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Team        string `json:"team"`
	Keep        int    `json:"keep"`
}

// Claim reserves the right to send one non-idempotent request for the first writer that claims the request's identifier.
type Claim struct {
	_ struct{} `cbor:",toarray"`

	Request uuid.UUID `json:"request"`
}

// Unclaim releases the claim on a request of which no byte was sent.
type Unclaim struct {
	_ struct{} `cbor:",toarray"`

	Request uuid.UUID `json:"request"`
}

func (Change) kind() string       { return "change" }
func (Join) kind() string         { return "join" }
func (Renew) kind() string        { return "renew" }
func (Leave) kind() string        { return "leave" }
func (Expire) kind() string       { return "expire" }
func (AcquireUnits) kind() string { return "ask" }
func (ReleaseUnits) kind() string { return "give" }
func (Claim) kind() string        { return "claim" }
func (Unclaim) kind() string      { return "unclaim" }
