package agent

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"lavenderwing.example/lavenderwing/platform"
	"lavenderwing.example/lavenderwing/sched"
	"lavenderwing.example/lavenderwing/work"
)

// Timeouts and limits of calls to the cloud.
const (
	// minHostsPause is the least pause after a read of the host list, a quarter of the time that a move takes.
	minHostsPause = 350 * time.Millisecond
	// cloudTimeout bounds a call to the cloud. When it ends, the connection is reset, so that an order that the network holds back cannot arrive later.
	cloudTimeout = 2 * time.Second
	// maxOrderAge is how old the record of an order for a host may be when the order is written to its connection. An order thus arrives within maxOrderAge+cloudTimeout of its record or never, and a successor waits longer than this before its first order.
	maxOrderAge = 500 * time.Millisecond
	// maxHostOrders bounds the concurrent orders to the cloud; at a few milliseconds a call this allows several hundred orders a second, more than the cloud accepts.
	maxHostOrders = 8
	// waveStatusPause is the pause between writes of the status of waves.
	waveStatusPause = 250 * time.Millisecond
)

// pollHosts reads the cloud's host list repeatedly and applies it.
func (h *Holder) pollHosts() {
	if h.agent.settings.Cloud.Address == "" {
		return
	}
	lost := false
	for h.ctx.Err() == nil {
		sent := h.agent.clock.Now()
		hosts, err := h.cloud.ListHosts(cloudTimeout)
		h.agent.meters.cloudCalls.Inc(1)
		// Only a change between success and failure is logged.
		if (err != nil) != lost {
			lost = err != nil
			h.agent.log.Info("cloud's list", zap.Bool("lost", lost), zap.Error(err))
		}
		if err == nil {
			h.mu.Lock()
			h.table.ApplyHostList(hosts, sent, h.agent.clock.Now())
			h.mu.Unlock()
			h.wakeLoop()
		}
		sleep(h.ctx, h.agent.link.hostsPause(len(hosts)))
	}
}

// sendHostOrder sends an order to the cloud, unless the epoch has ended or the write of the order's record began, at flushedAt, longer than maxOrderAge ago.
func (h *Holder) sendHostOrder(o sched.HostOrder, flushedAt time.Duration) {
	permitted := func() bool {
		h.agent.clock.AddSuspension()
		return h.ctx.Err() == nil && h.agent.clock.Now()-flushedAt <= maxOrderAge
	}
	var status work.HostOrderStatus
	var err error
	if o.Wave > 0 {
		status, err = h.cloud.MaintainHost(o.Host, o.Wave, h.epoch, cloudTimeout, permitted)
	} else {
		status, err = h.cloud.MoveHost(o.Host, o.Pool, h.epoch, cloudTimeout, permitted)
	}
	h.agent.meters.cloudCalls.Inc(1)
	var notSent *platform.UnsentError
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.agent.clock.Now()
	if errors.As(err, &notSent) {
		h.table.HostOrderNotSent(o, now)
		return
	}
	h.table.HostOrderAnswered(o, status, err == nil, now)
	if err != nil {
		h.agent.log.Warn("cloud did not answer an order for a host", zap.String("host", o.Host), zap.Int64("wave", o.Wave), zap.String("pool", o.Pool), zap.Error(err))
	}
	h.wakeLoop()
}

func (h *Holder) waveUpdates() []sched.WaveUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.WaveUpdates()
}

// reportWaves writes the status of waves to the store for operators.
func (h *Holder) reportWaves() {
	for sleep(h.ctx, waveStatusPause) {
		updates := h.waveUpdates()
		if slices.ContainsFunc(updates, func(u sched.WaveUpdate) bool { return u.Completed }) {
			// Operators may have added hosts that this process has not read yet.
			if whole, err := h.agent.readOperators(0, storeTimeout); err != nil || !whole {
				continue
			}
			updates = h.waveUpdates()
		}
		for _, u := range updates {
			h.agent.meters.storeWrites.Inc(1)
			if err := h.agent.store.WriteWaveStatus(u.Wave, u.Completed, storeTimeout); err != nil {
				h.agent.recordStoreFailure("write of a wave's status", err)
				break
			}
			h.mu.Lock()
			h.table.MarkWaveReported(u)
			h.mu.Unlock()
		}
	}
}
