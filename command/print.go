package command

import (
	"encoding/json"
	"fmt"
	"io"
)

// printJSON writes one value on one line.
func printJSON(out io.Writer, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		fmt.Fprintf(out, "{}\n")
		return
	}
	fmt.Fprintf(out, "%s\n", b)
}
