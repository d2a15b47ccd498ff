package request

import (
	"fmt"
	"net/http"
)

// PathLoad is the path at which an agent reports its load to other agents.
const PathLoad = "/balsam/load"

// ServePeer serves the load queries of other agents of the service and the
// requests that they hand over. The sending agent has checked the credential,
// the allowance and the idempotency key, so these checks are not repeated. A request
// that was handed over never waits for a slot and is never handed over again.
func (h *Handler) ServePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderLoad, h.Load().encode())
	if r.Header.Get(HeaderHandover) == "" {
		h.servePeerLoad(w, r)
		return
	}
	h.beginRequest()
	defer h.endRequest()
	h.handleError(w, h.serveHandover(w, r))
}

func (h *Handler) servePeerLoad(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathLoad {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) serveHandover(w http.ResponseWriter, r *http.Request) error {
	w.Header().Set(HeaderHandoverResult, handoverRefused)
	if service := r.Header.Get(HeaderHandover); service != string(h.config.Service) {
		count("handed_wrong_service")
		return notRun(http.StatusMisdirectedRequest, "this agent serves "+string(h.config.Service)+", not "+service, 0)
	}
	c, err := newCall(r, "")
	if err != nil {
		return err
	}
	defer c.cancel()
	c.handedOver = true
	t, err := h.execute(c)
	if c.sentAttempts > 0 {
		w.Header().Set(HeaderHandoverResult, handoverUnknown)
	}
	if err != nil {
		return err
	}
	w.Header().Set(HeaderHandoverResult, handoverAnswered)
	err = relay(w, t.response, nil)
	t.finish(resultOfResponse(c.ctx, t.response.StatusCode, err))
	return err
}

// encode returns the load as a value of HeaderLoad.
func (l Load) encode() string {
	return fmt.Sprintf("%d %d %d %d %t", l.InFlight, l.Queued, l.Limit, l.Slots, l.Draining)
}

// ParseLoad parses HeaderLoad. It does not set Cold, which the header does not contain.
func ParseLoad(header http.Header) (Load, error) {
	var l Load
	text := header.Get(HeaderLoad)
	if _, err := fmt.Sscanf(text, "%d %d %d %d %t", &l.InFlight, &l.Queued, &l.Limit, &l.Slots, &l.Draining); err != nil {
		return Load{}, Error.New("header %s: %q: %v", HeaderLoad, text, err)
	}
	return l, nil
}

// ParseHandoverResult parses HeaderHandoverResult. It reports whether the
// peer's target has responded and whether the target may have run the
// request.
func ParseHandoverResult(header http.Header) (responded, mayHaveRun bool) {
	switch header.Get(HeaderHandoverResult) {
	case handoverAnswered:
		return true, true
	case handoverRefused:
		return false, false
	default:
		return false, true
	}
}
