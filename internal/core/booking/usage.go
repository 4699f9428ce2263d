package booking

import "time"

// ServiceUsage is the use of the engines of a service that take new work.
type ServiceUsage struct {
	Service   string
	Engines   int
	Slots     int
	SlotsUsed int // by attempts in the book; may exceed Slots
	SlotsFree int
}

// Usage returns the use of the engines, by service, in no particular order.
func (b *Book) Usage() []ServiceUsage {
	byService := make(map[string]*ServiceUsage, len(b.services))
	for name := range b.services {
		byService[name] = &ServiceUsage{Service: name}
	}
	for _, e := range b.engines {
		u := byService[e.up.Service]
		if u == nil || !e.up.TakesWork() {
			continue
		}
		used := e.decodeCount()
		u.Engines++
		u.Slots += e.slots()
		u.SlotsUsed += used
		u.SlotsFree += max(e.slots()-used, 0)
	}
	list := make([]ServiceUsage, 0, len(byService))
	for _, u := range byService {
		list = append(list, *u)
	}
	return list
}

// decodeCount returns the number of attempts that decode on the engine, or will.
func (e *engine) decodeCount() int {
	if e.cacheValid {
		return len(e.cachedLoad.decodes)
	}
	n := 0
	for _, x := range e.entries {
		if x.decodesOn(e) {
			n++
		}
	}
	return n
}

// EngineTime returns the engine time that a request needs: the prefill of its prompt, and its part
// of an engine whose slots are all in use while the answer is decoded. It is zero for an unknown
// service.
func (b *Book) EngineTime(a Request) time.Duration {
	s := b.services[a.Service]
	if s == nil {
		return 0
	}
	return s.engineTime(&a)
}
