package standin

import (
	"context"
	"fmt"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// ExportKV implements engineapi.Handler. It exports the leading blocks that are in
// the prefix cache. The export is a copy and holds its own memory.
func (e *Engine) ExportKV(_ context.Context, req *engineapi.KVExport) (engineapi.ExportKVRes, error) {
	if req.ID == "" {
		return newRefusal(engineapi.RefusalCodeBadRequest, "an export needs an id"), nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.exports[req.ID]; ok {
		held := *old
		return &held, nil
	}
	n := e.cache.countLeading(req.PrefixBlocks)
	if n == 0 {
		return newRefusal(engineapi.RefusalCodeNotFound, "no block of the prefix is cached"), nil
	}
	tokens := int64(n * e.opts.BlockTokens)
	if tokens > e.freeTokens() {
		return newRefusal(engineapi.RefusalCodeNoMemory, fmt.Sprintf("needs %d tokens, %d are free", tokens, e.freeTokens())), nil
	}
	x := *req
	x.PrefixBlocks = append([]string{}, req.PrefixBlocks[:n]...)
	x.Tokens = engineapi.NewOptInt64(tokens)
	e.exports[x.ID] = &x
	e.allocate(tokens)
	e.recordLoad()
	res := x
	return &res, nil
}

// ImportKV implements engineapi.Handler. It reads the export from the source's
// books; the transfer itself takes no time.
func (e *Engine) ImportKV(ctx context.Context, req *engineapi.KVImport) (engineapi.ImportKVRes, error) {
	var books engineapi.Books
	if err := e.fetch(ctx, req.Source, "/v1/books", &books); err != nil {
		return newRefusal(engineapi.RefusalCodeNotFound, err.Error()), nil
	}
	for _, x := range books.Exports {
		if x.ID != req.ExportID {
			continue
		}
		e.mu.Lock()
		e.storeBlocks(x.PrefixBlocks)
		e.mu.Unlock()
		x.Holder = req.Holder
		return &x, nil
	}
	return newRefusal(engineapi.RefusalCodeNotFound, "no export "+req.ExportID), nil
}
