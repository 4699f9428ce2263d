package booking

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// busyBook returns a book of many engines under high load: two thirds of the slots decode, and
// long parts are prefilled on about every third engine.
func busyBook(engines int) *Book {
	b := newBook(engines)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range engines * 16 * 2 / 3 {
		prompt := 5000
		if i%12 == 0 {
			prompt = 45_000
		}
		id := fmt.Sprint("w", i)
		if b.Place(newRequest(id, prompt), start).Verdict == Booked {
			b.RecordFirstEvent(id)
		}
	}
	for i := range engines / 10 {
		b.Place(newRequest(fmt.Sprint("l", i), 200_000+rng.IntN(300_000)), start.Add(time.Duration(i)*time.Millisecond))
	}
	return b
}

func benchPlace(b *testing.B, prompt int) {
	for _, engines := range []int{20, 200, 880} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			book := busyBook(engines)
			for b.Loop() {
				book.Place(newRequest("x", prompt), start.Add(time.Second))
				book.End("x")
			}
		})
	}
}

func BenchmarkPlaceShort(b *testing.B) { benchPlace(b, 5000) }
func BenchmarkPlaceLong(b *testing.B)  { benchPlace(b, 300_000) }

func BenchmarkPlaceAmong78(b *testing.B) {
	for _, prompt := range []int{5000, 210_000} {
		b.Run(fmt.Sprint(prompt), func(b *testing.B) {
			book := newBook(78)
			for i := range 300 {
				id := fmt.Sprint("w", i)
				book.Place(newRequest(id, 5000), start)
				book.RecordFirstEvent(id)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(i)
				book.Place(newRequest(id, prompt), start)
				book.End(id)
			}
		})
	}
}
