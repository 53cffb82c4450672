package sched

import "lavenderwing.example/lavenderwing/work"

// Order is an order for a target: a StartOrder, StopOrder or PaceOrder.
type Order interface {
	target() work.TargetID
	item() work.ItemID
}

// StartOrder starts a run; its lease is added when it is sent.
type StartOrder struct {
	Target work.TargetID
	Start  work.StartRequest
	// Lease identifies the call of a prepared start, and resent means that an earlier one may have been sent.
	Lease  LeaseCall
	resent bool
}

// StopOrder ends a run, or prevents its start if that has not arrived yet.
type StopOrder struct {
	Target work.TargetID
	Item   work.ItemID
	Run    int
	// Revokes means that the run belongs to an earlier incarnation of the target and must not begin in the present one.
	Revokes bool
}

// PaceOrder sets the pace of a run in percent of full speed.
type PaceOrder struct {
	Target  work.TargetID
	Item    work.ItemID
	Run     int
	Percent int
}

func (o StartOrder) target() work.TargetID { return o.Target }
func (o StopOrder) target() work.TargetID  { return o.Target }
func (o PaceOrder) target() work.TargetID  { return o.Target }

func (o StartOrder) item() work.ItemID { return o.Start.Item }
func (o StopOrder) item() work.ItemID  { return o.Item }
func (o PaceOrder) item() work.ItemID  { return o.Item }

// ItemOf returns the item that an order is for.
func ItemOf(o Order) work.ItemID { return o.item() }

// TargetOf returns the target that an order is for.
func TargetOf(o Order) work.TargetID { return o.target() }
