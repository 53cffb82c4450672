package admit

// fifo is a first-in, first-out queue in a ring buffer that grows.
type fifo struct {
	ring []*Waiter
	head int
	size int
}

const minFIFOCapacity = 8

func (f *fifo) push(w *Waiter) {
	if f.size == len(f.ring) {
		f.grow()
	}
	f.ring[(f.head+f.size)%len(f.ring)] = w
	f.size++
}

func (f *fifo) peek() *Waiter {
	if f.size == 0 {
		return nil
	}
	return f.ring[f.head]
}

func (f *fifo) at(n int) *Waiter { return f.ring[(f.head+n)%len(f.ring)] }

func (f *fifo) pop() *Waiter {
	w := f.ring[f.head]
	f.ring[f.head] = nil
	f.head = (f.head + 1) % len(f.ring)
	f.size--
	return w
}

func (f *fifo) grow() {
	ring := make([]*Waiter, max(minFIFOCapacity, 2*len(f.ring)))
	for i := range f.size {
		ring[i] = f.ring[(f.head+i)%len(f.ring)]
	}
	f.ring = ring
	f.head = 0
}
