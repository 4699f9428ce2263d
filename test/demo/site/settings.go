package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// example is one document of the example settings.
type example struct {
	rel      string // file, relative to the directory of the examples
	text     string
	document *settings.Document
}

// readExamples reads and parses every YAML document below a directory.
func readExamples(dir string) ([]example, error) {
	var all []example
	err := filepath.WalkDir(dir, func(file string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || filepath.Ext(file) != ".yaml" {
			return err
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		doc, findings := settings.ParseDocument("/", text)
		if err := findings.Err(); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		rel, err := filepath.Rel(dir, file)
		if err != nil {
			return err
		}
		all = append(all, example{rel: rel, text: string(text), document: doc})
		return nil
	})
	return all, err
}

// upstream describes a stand-in for an upstream of the examples.
type upstream struct {
	name, kind, domain string
	placeholder        string   // address in the example
	checksFencing      bool     // for an engine
	models             []string // for an engine
	operations         []string // for a service
}

// listUpstreams returns the upstreams of all pools in the documents.
func listUpstreams(all []example) []upstream {
	models, operations := map[string][]string{}, map[string][]string{}
	for _, e := range all {
		for _, m := range e.document.Models {
			models[m.Pool] = append(models[m.Pool], m.Name)
		}
		for _, s := range e.document.Services {
			for _, op := range s.Operations {
				operations[s.Pool] = append(operations[s.Pool], op.Name)
			}
		}
	}
	var list []upstream
	for _, e := range all {
		for _, p := range e.document.Pools {
			for _, u := range p.Upstreams {
				list = append(list, upstream{
					name: u.Name, kind: p.Kind, domain: domainReplacer.Replace(u.Domain), placeholder: u.Address,
					checksFencing: p.ChecksFencing, models: models[p.Name], operations: operations[p.Name],
				})
			}
		}
	}
	return list
}

// writeSettings writes the documents to a directory, with the placeholders replaced by
// the real addresses and the domains by those of the site.
func writeSettings(dir string, all []example, addresses map[string]string) error {
	var pairs []string
	for placeholder, address := range addresses {
		pairs = append(pairs, `"`+placeholder+`"`, `"`+address+`"`)
	}
	replace := strings.NewReplacer(pairs...)
	for _, e := range all {
		file := filepath.Join(dir, e.rel)
		if err := os.MkdirAll(filepath.Dir(file), dirPerm); err != nil {
			return err
		}
		text := domainReplacer.Replace(replace.Replace(e.text))
		if err := os.WriteFile(file, []byte(text), filePerm); err != nil {
			return err
		}
	}
	return nil
}
