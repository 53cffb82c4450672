package record

import "github.com/google/uuid"

// Record is one lasting fact; the set of implementations is closed.
type Record interface {
	kind() string
}

// Join announces an entry process and starts its lease.
type Join struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
}

// Renew extends the lease of an incarnation.
type Renew struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
}

// Leave ends an incarnation that has finished all its requests.
type Leave struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
}

// Expire declares a lease over; it holds only while the lease was last renewed at the offset Basis.
type Expire struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Basis       int64  `json:"basis"`
}

// Ask states how many units of a team's limit an incarnation wants to hold in all.
type Ask struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Team        string `json:"team"`
	Want        int    `json:"want"`
}

// Give hands units of a team's limit back, so that at most Keep remain with the incarnation.
type Give struct {
	_ struct{} `cbor:",toarray"`

	Seat        string `json:"seat"`
	Incarnation string `json:"incarnation"`
	Team        string `json:"team"`
	Keep        int    `json:"keep"`
}

// Claim gives the right to send one non-idempotent request to the first writer that states its identifier.
type Claim struct {
	_ struct{} `cbor:",toarray"`

	Request uuid.UUID `json:"request"`
}

// Unclaim returns the right to send a request of which no byte was sent.
type Unclaim struct {
	_ struct{} `cbor:",toarray"`

	Request uuid.UUID `json:"request"`
}

func (Change) kind() string  { return "change" }
func (Join) kind() string    { return "join" }
func (Renew) kind() string   { return "renew" }
func (Leave) kind() string   { return "leave" }
func (Expire) kind() string  { return "expire" }
func (Ask) kind() string     { return "ask" }
func (Give) kind() string    { return "give" }
func (Claim) kind() string   { return "claim" }
func (Unclaim) kind() string { return "unclaim" }
