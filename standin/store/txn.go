package store

import (
	"fmt"
	"time"
)

// maxTxnOperations is the largest number of operations in one transaction.
const maxTxnOperations = 64

// TxnOperation is one operation of a transaction as the published API writes it.
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

// TxnError tells why an operation failed.
type TxnError struct {
	OpIndex int
	What    string
}

// TxnResult is the result of one operation.
type TxnResult struct {
	KV Pair
}

// TxnAnswer is the answer to a transaction. Errors is empty when all operations
// took effect and none took effect otherwise.
type TxnAnswer struct {
	Results []TxnResult
	Errors  []TxnError
}

// Txn applies all operations or none of them.
func (d *Data) Txn(operations []TxnOperation, now time.Time) TxnAnswer {
	trial := d.trial()
	answer := trial.apply(operations, now)
	if len(answer.Errors) > 0 {
		return TxnAnswer{Errors: answer.Errors}
	}
	*d = *trial
	return answer
}

// ReadOnly tells whether no operation changes anything.
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

// trial returns a copy on which operations are tried.
func (d *Data) trial() *Data {
	trial := d.Clone()
	trial.sessions = d.sessions
	trial.lockDelays = d.lockDelays
	return trial
}

func (d *Data) apply(operations []TxnOperation, now time.Time) TxnAnswer {
	var answer TxnAnswer
	for i, operation := range operations {
		results, what := d.applyOne(*operation.KV, now)
		if what != "" {
			answer.Errors = append(answer.Errors, TxnError{OpIndex: i, What: what})
			continue
		}
		answer.Results = append(answer.Results, results...)
	}
	return answer
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
		return nil, failed(kv)
	}
	pair, _, _ := d.Get(kv.Key)
	pair.Value = nil
	return []TxnResult{{KV: pair}}, ""
}

func (d *Data) applyDelete(kv TxnKV) (what string) {
	switch kv.Verb {
	case "delete-cas":
		if !d.Delete(kv.Key, &kv.Index) {
			return failed(kv)
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
	holds := ok
	switch kv.Verb {
	case "get":
	case "get-or-empty":
		pair.Key = kv.Key
		holds = true
	case "get-tree":
		return d.applyList(kv.Key), ""
	case "check-index":
		holds = ok && pair.ModifyIndex == kv.Index
	case "check-session":
		holds = ok && pair.Session == kv.Session
	case "check-not-exists":
		if ok {
			return nil, failed(kv)
		}
		return nil, ""
	default:
		return nil, fmt.Sprintf("unknown verb %q", kv.Verb)
	}
	if !holds {
		return nil, failed(kv)
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

func failed(kv TxnKV) string {
	return fmt.Sprintf("failed to %s key %q", kv.Verb, kv.Key)
}
