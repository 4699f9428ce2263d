package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

var flagPieces = flag.Duration("pieces", 10*time.Second, "how long TestAnswersKeepTheirOrder disrupts")

// Disruptions of a soak of answers in pieces, and their times.
const (
	piecesDaemons    = 3
	piecesServers    = 4
	piecesCallers    = 8 // at each daemon
	piecesAttempts   = 4
	piecesSlack      = 10_000 // repeats are not what is judged
	piecesTroubleGap = 250 * time.Millisecond
	maxPiecesTrouble = 2500 * time.Millisecond
)

// piecesTroubles are the disruptions that it draws from.
var piecesTroubles = []disruption{
	{kind: killServer}, {kind: killServer}, {kind: killServer}, {kind: freezeServer}, {kind: freezeServer},
	{kind: killDaemon}, {kind: stopDaemon}, {kind: freezeDaemon}, {kind: newSettings},
	{kind: disruptServerLink, param: linkResets}, {kind: disruptServerLink, param: linkSilent}, {kind: disruptServerLink, param: linkOneWay},
	{kind: disruptFrontLink, param: linkResets}, {kind: disruptFrontLink, param: linkSilent}, {kind: disruptFrontLink, param: linkOneWay},
}

func drawPieces(seed uint64, length time.Duration, daemons, servers int) []disruption {
	rng := rand.New(rand.NewPCG(seed, 78))
	var plan []disruption
	for at := piecesTroubleGap; at < length; at += time.Duration(rng.Int64N(int64(2 * piecesTroubleGap))) {
		dis := piecesTroubles[rng.IntN(len(piecesTroubles))]
		dis.at, dis.duration = at, minDuration+time.Duration(rng.Int64N(int64(maxPiecesTrouble)))
		dis.target = rng.IntN(2 * servers)
		if slices.Contains([]string{killDaemon, stopDaemon, freezeDaemon, disruptFrontLink}, dis.kind) {
			dis.target = rng.IntN(daemons)
		}
		plan = append(plan, dis)
	}
	return plan
}

// TestAnswersKeepTheirOrder guards against rule ORDER with real processes: pieces of an answer that
// are missing, come twice or belong to two runs, and answers that end as whole before their last piece.
// Servers frame, name and resume their answers in every way; they, daemons and links fail meanwhile, and some
// callers speak HTTP/1.0.
func TestAnswersKeepTheirOrder(t *testing.T) {
	t.Parallel()
	for i := range *flagSeeds {
		seed := *flagSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runPieces(t, seed) })
	}
}

func runPieces(t *testing.T, seed uint64) {
	p := scenario{
		seed: seed, daemons: piecesDaemons, servers: piecesServers, domains: numDomains, maxAttempts: piecesAttempts,
		retrySlack: piecesSlack, logPrefix: fmt.Sprintf("pieces%d-", seed),
	}
	p.plan, p.length = drawPieces(seed, *flagPieces, p.daemons, p.servers), *flagPieces
	r := newRig(t, p)
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(seed) }) {
		t.Fatal("the site does not serve before any disruption")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	tally := piecesTally{faults: map[orderFault]int{}, bySort: map[string]int{}}
	var callers, disruptions sync.WaitGroup
	for i, d := range r.daemons {
		for n := range piecesCallers {
			c := &piecesCaller{rig: r, d: d, rng: rand.New(rand.NewPCG(seed, uint64(i*piecesCallers+n))), name: fmt.Sprintf("%s_%d", d.name, n)}
			callers.Go(func() { c.run(ctx, tally.add) })
		}
	}
	end := time.Now().Add(p.length)
	r.runDisruptions(p.plan, &disruptions)
	time.Sleep(time.Until(end))
	disruptions.Wait()
	cancel()
	callers.Wait()
	t.Logf("seed %d, %d disruptions: %s", seed, len(p.plan), tally.summary())
	if tally.whole == 0 || tally.cut == 0 {
		t.Error("no answer was whole, or none broke off")
	}
	for sort, n := range tally.bySort {
		t.Errorf("seed %d: %d times %s", seed, n, sort)
	}
	for _, s := range tally.samples {
		t.Log(s)
	}
}

// TestJudgeOfPiecesCanFail shows for each fault an answer in which the soak finds it.
func TestJudgeOfPiecesCanFail(t *testing.T) {
	style := pieceStyle{pieces: 3, ids: numberedIDs, lineEnd: endLF, framing: byChunks}
	piece := func(n int, server string) string { return style.piece("r1", n, server, true) }
	all := piece(1, "i-llm0-1") + piece(2, "i-llm0-1") + piece(3, "i-llm0-1")
	for _, c := range []struct {
		name, kind, proto, framing, text string
		framed, whole                    bool
		want                             orderFault
	}{
		{"sound", kindSingle, http11, byChunks, all, true, true, ""},
		{"broken off", kindSingle, http11, byChunks, piece(1, "i-llm0-1"), true, false, ""},
		{"two runs of a stream that may be resumed", kindStream, http11, byChunks, piece(1, "i-llm0-1") + piece(2, "i-llm1-1") + piece(3, "i-llm1-1"), true, true, ""},
		{"missing", kindStream, http11, byChunks, piece(1, "i-llm0-1") + piece(3, "i-llm0-1"), true, true, pieceMissing},
		{"the first is missing", kindStream, http11, byChunks, piece(2, "i-llm0-1") + piece(3, "i-llm0-1"), true, true, pieceMissing},
		{"twice", kindStream, http11, byChunks, piece(1, "i-llm0-1") + all, true, true, pieceTwice},
		{"two runs", kindSingle, http11, byChunks, piece(1, "i-llm0-1") + piece(2, "i-llm1-1") + piece(3, "i-llm1-1"), true, true, runsJoined},
		{"of another", kindStream, http11, byChunks, style.piece("r2", 1, "i-llm0-1", true), true, false, foreign},
		{"too soon", kindStream, http11, byChunks, piece(1, "i-llm0-1"), true, true, endTooSoon},
		{"too soon, without chunks", kindStream, http10, byChunks, piece(1, "i-llm0-1"), false, true, endTooSoon},
		{"framed", kindStream, http11, byConnection, piece(1, "i-llm0-1"), true, true, framedWhole},
	} {
		a := pieceAnswer{
			pieceCall: pieceCall{id: "r1", kind: c.kind, proto: c.proto, style: style},
			status:    http.StatusOK, framed: c.framed, whole: c.whole, text: c.text,
		}
		a.style.framing = c.framing
		var got orderFault
		if faults := a.judge(); len(faults) > 0 {
			got = faults[0]
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
