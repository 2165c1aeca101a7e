package agent

import (
	"math/rand/v2"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// attachConfig starts exchanging configuration on a new connection to an entry. An agent keeps
// the configuration for entries that start while the log of the platform is unavailable.
func (s *entrySession) attachConfig() {
	link := config.NewAgentLink(s.replica, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	s.config = s.fanOut.Add(link, func(version uint64, update []byte) {
		s.conn.Send(&wire.ToEntry{Version: version, Config: update})
	})
}

// detachConfig stops the exchange; it has no effect before attachConfig.
func (s *entrySession) detachConfig() {
	if s.config != nil {
		s.fanOut.Remove(s.config)
	}
}

func (a *Agent) handleConfig(g *gin.Context) { g.JSON(http.StatusOK, a.replica.Report()) }
