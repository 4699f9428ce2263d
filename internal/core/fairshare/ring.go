package fairshare

import "time"

const (
	windowBuckets = 10
	bucketSpan    = time.Second
)

// ring sums engine time over the window in buckets of bucketSpan. The zero value is empty.
type ring struct {
	buckets [windowBuckets]time.Duration
	newest  int64 // number of the newest bucket since the epoch
	sum     time.Duration
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketSpan) }

// advance drops the buckets that are no longer in the window that ends with a bucket.
func (r *ring) advance(to int64) {
	for steps := min(to-r.newest, windowBuckets); steps > 0; steps-- {
		b := &r.buckets[(to-steps+1)%windowBuckets]
		r.sum -= *b
		*b = 0
	}
	r.newest = max(r.newest, to)
}

// add adds engine time to a bucket, unless that has left the window.
func (r *ring) add(bucket int64, d time.Duration) {
	r.advance(bucket)
	if bucket <= r.newest-windowBuckets {
		return
	}
	r.buckets[bucket%windowBuckets] += d
	r.sum += d
}

// at returns the engine time of a bucket; zero if it is not in the window.
func (r *ring) at(bucket int64) time.Duration {
	if bucket > r.newest || bucket <= r.newest-windowBuckets {
		return 0
	}
	return r.buckets[bucket%windowBuckets]
}

// subtract removes all engine time of another ring.
func (r *ring) subtract(other *ring) {
	for b := other.newest - windowBuckets + 1; b <= other.newest; b++ {
		if b > r.newest-windowBuckets {
			r.add(b, -other.at(b))
		}
	}
}
