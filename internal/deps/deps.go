//go:build deps

// Package deps names the libraries that are about to be used, so that parallel
// work on packages does not change go.mod. It goes away with the first release.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/ansel1/merry/v2"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/goccy/go-yaml/ast"
	_ "github.com/goccy/go-yaml/parser"
	_ "github.com/google/uuid"
	_ "github.com/leanovate/gopter"
	_ "github.com/leanovate/gopter/commands"
	_ "github.com/leanovate/gopter/gen"
	_ "github.com/leanovate/gopter/prop"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/openai/openai-go/v3/option"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/schollz/progressbar/v3"
	_ "github.com/sirupsen/logrus"
	_ "github.com/urfave/cli/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg"
)
