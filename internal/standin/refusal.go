package standin

import (
	"net/http"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

// refusalStatus holds the HTTP status of each refusal code.
var refusalStatus = map[engineapi.RefusalCode]int{
	engineapi.RefusalCodeBadRequest:    http.StatusBadRequest,
	engineapi.RefusalCodeNoMemory:      http.StatusServiceUnavailable,
	engineapi.RefusalCodeNoReservation: http.StatusConflict,
	engineapi.RefusalCodeNoModel:       http.StatusNotFound,
	engineapi.RefusalCodeStaleFence:    http.StatusConflict,
	engineapi.RefusalCodeNotFound:      http.StatusNotFound,
	engineapi.RefusalCodeLeaving:       http.StatusServiceUnavailable,
	engineapi.RefusalCodeOverloaded:    http.StatusServiceUnavailable,
	engineapi.RefusalCodeInternal:      http.StatusInternalServerError,
	engineapi.RefusalCodeDuplicate:     http.StatusConflict,
}

func newRefusal(code engineapi.RefusalCode, message string) *engineapi.RefusalStatusCode {
	return &engineapi.RefusalStatusCode{
		StatusCode: refusalStatus[code],
		Response:   engineapi.Refusal{Code: code, Message: message},
	}
}

func writeRefusal(w http.ResponseWriter, r *engineapi.RefusalStatusCode) {
	body, err := r.Response.MarshalJSON()
	if err != nil {
		body = nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.StatusCode)
	_, _ = w.Write(body)
}

// writeOverloaded answers a call with the refusal code overloaded.
func writeOverloaded(w http.ResponseWriter, status int, message string) {
	r := newRefusal(engineapi.RefusalCodeOverloaded, message)
	r.StatusCode = status
	writeRefusal(w, r)
}
