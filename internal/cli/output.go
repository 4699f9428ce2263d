package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// emit prints a result: value as JSON, or its text with the given function,
// depending on --output.
func emit(c *cli.Command, value any, text func(w io.Writer)) error {
	w := c.Root().Writer
	if c.String(flagOutput) != outputJSON {
		text(w)
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return withFailureCode(err)
	}
	_, err = fmt.Fprintln(w, string(data))
	return withFailureCode(err)
}

// writeTable writes rows in aligned columns. The first row is the header.
func writeTable(w io.Writer, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, cell)
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
}
