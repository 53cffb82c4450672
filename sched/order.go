package sched

import "lavenderwing.example/lavenderwing/work"

// Order is what a target is told: a StartOrder, StopOrder or PaceOrder.
type Order interface{ target() work.TargetID }

// StartOrder starts a run; its lease is added when it is sent.
type StartOrder struct {
	Target work.TargetID
	Start  work.StartRequest
}

// StopOrder ends a run, or keeps it from starting if it has not come yet.
type StopOrder struct {
	Target work.TargetID
	Item   work.ItemID
	Run    int
	// Revokes means that the run belongs to an earlier life of the target.
	Revokes bool
}

// PaceOrder lets a run work at a share of its speed.
type PaceOrder struct {
	Target  work.TargetID
	Item    work.ItemID
	Run     int
	Percent int
}

func (o StartOrder) target() work.TargetID { return o.Target }
func (o StopOrder) target() work.TargetID  { return o.Target }
func (o PaceOrder) target() work.TargetID  { return o.Target }

// TargetOf returns the target that an order is for.
func TargetOf(o Order) work.TargetID { return o.target() }
