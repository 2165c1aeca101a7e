package handover

import (
	"context"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

func valid(number uint64) wire.Submission {
	return wire.Submission{Number: number, ID: "1", Queue: "q", Steps: []wire.SubmissionStep{{Count: 1}}, RemainingMs: 100}
}

// Guards against an entry that fails, or takes a job that no caller could submit, because of a
// malformed frame of the dialling entry.
func TestMalformedFramesOfTheDiallingEntry(t *testing.T) {
	g := NewWithT(t)
	request := func(r wire.HandoverRequest) *wire.ToEntry { return &wire.ToEntry{Handover: &r} }
	hello := &wire.HandoverHello{Version: wire.Version, Incarnation: 1}
	for name, frames := range map[string][]*wire.ToEntry{
		"no hello":     {request(wire.HandoverRequest{Submissions: []wire.Submission{valid(1)}})},
		"version":      {request(wire.HandoverRequest{Hello: &wire.HandoverHello{Version: 99, Incarnation: 1}})},
		"of an agent":  {request(wire.HandoverRequest{Hello: hello}), {Version: 3}},
		"numbers fall": {request(wire.HandoverRequest{Hello: hello}), request(wire.HandoverRequest{Submissions: []wire.Submission{valid(2)}}), request(wire.HandoverRequest{Submissions: []wire.Submission{valid(2)}})},
	} {
		peer := newEntry(t, nil)
		conn, err := session.DialPath(context.Background(), peer.addr(), session.EntryPath, options)
		g.Expect(err).NotTo(HaveOccurred())
		for _, f := range frames {
			conn.Send(f)
		}
		err = conn.Serve(func(*wire.ToAgent) error { return nil })
		g.Expect(err).To(HaveField("Reason", session.ReasonPeer), name)
	}
	for name, change := range map[string]func(*wire.Submission){
		"no id": func(s *wire.Submission) { s.ID = "" }, "large spec": func(s *wire.Submission) { s.Spec = strings.Repeat("x", maxSpecBytes+1) },
		"no steps": func(s *wire.Submission) { s.Steps = nil }, "no time": func(s *wire.Submission) { s.RemainingMs = 0 },
		"many tasks":      func(s *wire.Submission) { s.Steps[0].Count = maxTasks + 1 },
		"negative demand": func(s *wire.Submission) { s.Steps[0].Demand.CPUMilli = -1 },
		"estimate":        func(s *wire.Submission) { s.Steps[0].EstimateMs = math.NaN() },
		"own dependency":  func(s *wire.Submission) { s.Steps[0].DependsOn = []int{0} },
		"limit of tasks":  func(s *wire.Submission) { s.Steps[0].MaxPerTarget = -1 },
	} {
		s := valid(1)
		g.Expect(validateSubmission(&s)).To(BeNil())
		change(&s)
		g.Expect(validateSubmission(&s)).To(HaveField("NotRun", true), name)
	}
}

// Guards against an entry that fails, or passes an answer on that no peer may give, because of a
// malformed frame of its peer. The outcome of jobs at that peer is unknown.
func TestMalformedFramesOfThePeer(t *testing.T) {
	g := NewWithT(t)
	reply := func(r wire.HandoverReply) *wire.ToAgent { return &wire.ToAgent{Handover: &r} }
	answer := func(a wire.HandoverAnswer) *wire.ToAgent {
		return reply(wire.HandoverReply{Answers: []wire.HandoverAnswer{a}})
	}
	for name, f := range map[string]*wire.ToAgent{
		"kind": answer(wire.HandoverAnswer{Number: 1, Kind: 9}), "no submission": answer(wire.HandoverAnswer{Number: 2, Kind: 1}),
		"no fault": answer(wire.HandoverAnswer{Number: 1, Kind: uint8(dispatch.AnswerNotRun)}), "of an agent": {Leaving: true},
		"retry": answer(wire.HandoverAnswer{Number: 1, Kind: uint8(dispatch.AnswerNotRun), Fault: 201, RetryAfterMs: -1}),
		"state": reply(wire.HandoverReply{State: &wire.HandoverState{LinkMbps: math.NaN()}}),
	} {
		first := newEntry(t, nil)
		first.know(newRawPeer(t, func(conn *session.ToAgentConn) {
			_ = conn.Serve(func(in *wire.ToEntry) error {
				if in.Handover != nil && len(in.Handover.Submissions) > 0 {
					conn.Send(f)
				}
				return nil
			})
		}))
		var got result
		g.Eventually(first.begin(context.Background(), "1")).Should(Receive(&got), name)
		g.Expect(got.Taken).To(BeTrue(), name)
		g.Expect(got.Answer.Fault).To(HaveField("Code", fault.OutcomeUnknown), name)
	}
}
