package request

import (
	"fmt"
	"net/http"
)

// PathLoad is the path at which an agent tells other agents its load.
const PathLoad = "/balsam/load"

// ServePeer serves requests that other agents of the service hand over. The
// handing agent has checked the credential, the allowance and the idempotency
// key. Such a request never waits and is never handed on.
func (h *Handler) ServePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderLoad, h.Load().encode())
	if r.Header.Get(HeaderHandover) == "" {
		h.servePeerLoad(w, r)
		return
	}
	h.enter()
	defer h.leave()
	h.finish(w, h.serveHanded(w, r))
}

func (h *Handler) servePeerLoad(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathLoad {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) serveHanded(w http.ResponseWriter, r *http.Request) error {
	w.Header().Set(HeaderHandoverResult, offerRefused)
	if service := r.Header.Get(HeaderHandover); service != string(h.config.Service) {
		count("handed_wrong_service")
		return notRun(http.StatusMisdirectedRequest, "this agent serves "+string(h.config.Service)+", not "+service, 0)
	}
	c, err := newCall(r, "")
	if err != nil {
		return err
	}
	defer c.cancel()
	c.handed = true
	a, err := h.execute(c)
	if c.offers > 0 {
		w.Header().Set(HeaderHandoverResult, offerUnknown)
	}
	if err != nil {
		return err
	}
	w.Header().Set(HeaderHandoverResult, offerAnswered)
	err = relay(w, a.response, nil)
	a.finish(resultAfter(c.ctx, a.response.StatusCode, err))
	return err
}

// encode returns the form of a load in HeaderLoad.
func (l Load) encode() string {
	return fmt.Sprintf("%d %d %d %d %t", l.InFlight, l.Queued, l.Limit, l.Slots, l.Draining)
}

// ParseLoad reads HeaderLoad.
func ParseLoad(header http.Header) (Load, error) {
	var l Load
	text := header.Get(HeaderLoad)
	if _, err := fmt.Sscanf(text, "%d %d %d %d %t", &l.InFlight, &l.Queued, &l.Limit, &l.Slots, &l.Draining); err != nil {
		return Load{}, Error.New("header %s: %q: %v", HeaderLoad, text, err)
	}
	return l, nil
}

// ParseHandoverResult reads what a peer says it did with a handed request: whether
// it answered, and if not, whether the target may have run it.
func ParseHandoverResult(header http.Header) (answered, sent bool) {
	switch header.Get(HeaderHandoverResult) {
	case offerAnswered:
		return true, true
	case offerRefused:
		return false, false
	default:
		return false, true
	}
}
