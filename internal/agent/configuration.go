package agent

import (
	"math/rand/v2"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// openConfig takes a new connection to an entry in. An agent keeps the
// configuration for entries that start while the platform's log is out.
func (s *entrySession) openConfig() {
	link := config.NewAgentLink(s.holder, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.config = s.fanOut.Add(link, func(mark uint64, update []byte) {
		s.conn.Send(&wire.ToEntry{Version: mark, Config: update})
	})
}

func (s *entrySession) closeConfig() {
	if s.config != nil {
		s.fanOut.Remove(s.config)
	}
}

func (a *Agent) giveConfig(g *gin.Context) { g.JSON(http.StatusOK, a.holder.Report()) }
