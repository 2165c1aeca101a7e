package command

import (
	"encoding/json"
	"fmt"
	"io"
)

// printJSON writes a value as JSON on one line, or {} if it can't be encoded.
func printJSON(out io.Writer, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		fmt.Fprintf(out, "{}\n")
		return
	}
	fmt.Fprintf(out, "%s\n", b)
}
