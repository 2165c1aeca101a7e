// Command camphorrack-standin-log is an in-memory replacement for the platform's log service in
// tests and demonstrations. It persists nothing and is not for production.
package main

import (
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/platform/standin"
)

func main() { fx.New(standin.StoreModule).Run() }
