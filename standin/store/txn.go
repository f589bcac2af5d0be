package store

import (
	"fmt"
	"time"
)

// maxTxnOperations is the maximum number of operations in a transaction.
const maxTxnOperations = 64

// TxnOperation is an operation of a transaction in the form of the Consul API.
type TxnOperation struct {
	KV *TxnKV
}

// TxnKV is an operation on one key or prefix.
type TxnKV struct {
	Verb    string
	Key     string
	Value   []byte
	Flags   uint64
	Index   uint64
	Session string
}

// TxnError is the reason why an operation failed.
type TxnError struct {
	OpIndex int
	What    string
}

// TxnResult is the result of one operation.
type TxnResult struct {
	KV Pair
}

// TxnResponse is the response to a transaction. If Errors is empty, all operations
// took effect, otherwise none.
type TxnResponse struct {
	Results []TxnResult
	Errors  []TxnError
}

// Txn applies all operations or none.
func (d *Data) Txn(operations []TxnOperation, now time.Time) TxnResponse {
	scratch := d.scratchCopy()
	response := scratch.apply(operations, now)
	if len(response.Errors) > 0 {
		return TxnResponse{Errors: response.Errors}
	}
	*d = *scratch
	return response
}

// ReadOnly reports whether no operation changes anything.
func ReadOnly(operations []TxnOperation) bool {
	for _, operation := range operations {
		switch operation.KV.Verb {
		case "get", "get-or-empty", "get-tree", "check-index", "check-session", "check-not-exists":
		default:
			return false
		}
	}
	return true
}

// scratchCopy returns a copy to which a transaction can be applied tentatively.
func (d *Data) scratchCopy() *Data {
	scratch := d.Clone()
	scratch.sessions = d.sessions
	scratch.lockDelays = d.lockDelays
	return scratch
}

func (d *Data) apply(operations []TxnOperation, now time.Time) TxnResponse {
	var response TxnResponse
	for i, operation := range operations {
		results, what := d.applyOne(*operation.KV, now)
		if what != "" {
			response.Errors = append(response.Errors, TxnError{OpIndex: i, What: what})
			continue
		}
		response.Results = append(response.Results, results...)
	}
	return response
}

func (d *Data) applyOne(kv TxnKV, now time.Time) (results []TxnResult, what string) {
	switch kv.Verb {
	case "set", "cas", "lock", "unlock":
		return d.applyWrite(kv, now)
	case "delete", "delete-cas", "delete-tree":
		return nil, d.applyDelete(kv)
	default:
		return d.applyRead(kv)
	}
}

func (d *Data) applyWrite(kv TxnKV, now time.Time) (results []TxnResult, what string) {
	write := Write{Key: kv.Key, Value: kv.Value, Flags: kv.Flags}
	switch kv.Verb {
	case "cas":
		write.CompareAndSwap = true
		write.Index = kv.Index
	case "lock":
		write.Acquire = kv.Session
	case "unlock":
		write.Release = kv.Session
	}
	if !d.Put(write, now) {
		return nil, failureText(kv)
	}
	pair, _, _ := d.Get(kv.Key)
	pair.Value = nil
	return []TxnResult{{KV: pair}}, ""
}

func (d *Data) applyDelete(kv TxnKV) (what string) {
	switch kv.Verb {
	case "delete-cas":
		if !d.Delete(kv.Key, &kv.Index) {
			return failureText(kv)
		}
	case "delete-tree":
		d.DeleteTree(kv.Key)
	default:
		d.Delete(kv.Key, nil)
	}
	return ""
}

func (d *Data) applyRead(kv TxnKV) (results []TxnResult, what string) {
	pair, _, ok := d.Get(kv.Key)
	satisfied := ok
	switch kv.Verb {
	case "get":
	case "get-or-empty":
		pair.Key = kv.Key
		satisfied = true
	case "get-tree":
		return d.applyList(kv.Key), ""
	case "check-index":
		satisfied = ok && pair.ModifyIndex == kv.Index
	case "check-session":
		satisfied = ok && pair.Session == kv.Session
	case "check-not-exists":
		if ok {
			return nil, failureText(kv)
		}
		return nil, ""
	default:
		return nil, fmt.Sprintf("unknown verb %q", kv.Verb)
	}
	if !satisfied {
		return nil, failureText(kv)
	}
	return []TxnResult{{KV: pair}}, ""
}

func (d *Data) applyList(prefix string) []TxnResult {
	pairs, _ := d.List(prefix)
	results := make([]TxnResult, 0, len(pairs))
	for _, pair := range pairs {
		results = append(results, TxnResult{KV: pair})
	}
	return results
}

func failureText(kv TxnKV) string {
	return fmt.Sprintf("failed to %s key %q", kv.Verb, kv.Key)
}
