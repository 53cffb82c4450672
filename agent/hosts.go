package agent

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// Timing of calls to the cloud.
const (
	// hostsLookLeast is how often the list of hosts is read at most, a fourth of the time that a move takes.
	hostsLookLeast = 350 * time.Millisecond
	cloudWait      = 2 * time.Second
	// orderFresh is how old the record behind an order may be when it is sent, so that a holder that was paused sends nothing after its successor; successors wait longer than that.
	orderFresh = 500 * time.Millisecond
	// hostCalls is how many orders are sent at once; at a few milliseconds a call that is several hundred a second, more than the cloud takes.
	hostCalls = 8
	// tellEvery is how often operators are told how far waves are.
	tellEvery = 250 * time.Millisecond
)

// listHosts follows the cloud's list.
func (h *Holder) listHosts() {
	if h.agent.settings.Cloud.Address == "" {
		return
	}
	lost := false
	for h.ctx.Err() == nil {
		sent := h.agent.clock.Now()
		hosts, err := h.cloud.ListHosts(cloudWait)
		h.agent.meters.cloudCalls.Inc(1)
		if (err != nil) != lost {
			lost = err != nil
			h.agent.log.Info("cloud's list", zap.Bool("lost", lost), zap.Error(err))
		}
		if err == nil {
			h.mu.Lock()
			h.table.ApplyHostList(hosts, sent, h.agent.clock.Now())
			h.mu.Unlock()
			h.poke()
		}
		sleep(h.ctx, h.agent.link.hostsLook(len(hosts)))
	}
}

// orderHost sends an order whose record was begun at the given time, unless that is too long ago.
func (h *Holder) orderHost(o sched.HostOrder, began time.Duration) {
	select {
	case h.hostSlots <- struct{}{}:
		defer func() { <-h.hostSlots }()
	case <-h.ctx.Done():
		return
	}
	h.agent.clock.AddSuspension()
	if h.ctx.Err() != nil || h.agent.clock.Now()-began > orderFresh {
		h.mu.Lock()
		h.table.HostOrderUnsent(o, h.agent.clock.Now())
		h.mu.Unlock()
		return
	}
	var answer work.HostOrderStatus
	var err error
	if o.Wave > 0 {
		answer, err = h.cloud.MaintainHost(o.Host, o.Wave, h.epoch, cloudWait)
	} else {
		answer, err = h.cloud.MoveHost(o.Host, o.Pool, h.epoch, cloudWait)
	}
	h.agent.meters.cloudCalls.Inc(1)
	var unsentErr *platform.UnsentError
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.agent.clock.Now()
	if errors.As(err, &unsentErr) {
		h.table.HostOrderUnsent(o, now)
		return
	}
	h.table.HostOrderAnswered(o, answer, err == nil, now)
	if err != nil {
		h.agent.log.Warn("order for a host got no answer", zap.String("host", o.Host), zap.Int64("wave", o.Wave), zap.String("pool", o.Pool), zap.Error(err))
	}
	h.poke()
}

// tellWaves writes for operators how far waves are.
func (h *Holder) tellWaves() {
	for sleep(h.ctx, tellEvery) {
		h.mu.Lock()
		news := h.table.WaveUpdates()
		h.mu.Unlock()
		for _, n := range news {
			h.agent.meters.storeWrites.Inc(1)
			if err := h.agent.store.WriteWaveStatus(n.Wave, n.Completed, storeWait); err != nil {
				h.agent.storeFailed("wave's status", err)
				break
			}
			h.mu.Lock()
			h.table.WaveReported(n)
			h.mu.Unlock()
		}
	}
}
