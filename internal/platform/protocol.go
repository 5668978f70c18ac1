package platform

import "time"

// The names of the protocol and the fields of package coordinator that they correspond to:
//
//	/{class}            Query.Class, which is the number of the named class
//	X-Priority-Class    the same, optional; a class that differs from that of the path is rejected
//	X-Request-Id        Query.Name
//	X-Timeout-Ms        Query.Timeout, in milliseconds
//	X-Retried: 1        Query.IsRetry
//	X-Tenant-Id         Query.Tenant, which is the number of the named tenant
//	expr                Part.Payload, the same for all parts
//	parts[].id          Part.Shard
//	parts[].w           Part.Weight, from 0 to 1; 0 if missing
//	parts[].hint        Part.ExpectedWork, in microseconds; 0 if missing
//	parts[].tag         Part.Key, hexadecimal; 0 if missing
//	exact               Answer.Complete
//	rows[].id, data     Value.Shard, Value.Data
//	Retry-After         Answer.RetryAfter, in seconds with three decimals
const (
	readinessPath = "/health/ready"

	headerClass      = "X-Priority-Class"
	headerRequestID  = "X-Request-Id"
	headerTimeout    = "X-Timeout-Ms"
	headerRetried    = "X-Retried"
	headerTenant     = "X-Tenant-Id"
	headerRetryAfter = "Retry-After"

	retriedValue = "1"
)

// HeaderFields are the header fields that a Front reads.
var HeaderFields = []string{headerClass, headerRequestID, headerTimeout, headerRetried, headerTenant}

// Limits of a request.
const (
	maxRequestIDBytes = 128
	maxTimeout        = 10 * time.Hour // prevents overflow when times are added
	maxHint           = 1e12           // microseconds; prevents overflow of ExpectedWork
	weightTolerance   = 0.001          // allowed error of the sum of the weights, which clients write with few digits
)

// body is the body of a request. Errors of package json that are sent to clients contain its name and the names of its
// fields, so these must not be changed.
type body struct {
	Parts []struct {
		ID   *int    `json:"id"`
		W    float64 `json:"w"`
		Hint float64 `json:"hint"`
		Tag  string  `json:"tag"`
	} `json:"parts"`
	Expr *string `json:"expr"`
}

// answerBody is the body of a response with status 200.
type answerBody struct {
	Complete bool       `json:"exact"`
	Values   []valueRow `json:"rows"`
}

// valueRow is the value of one shard.
type valueRow struct {
	Shard int    `json:"id"`
	Data  string `json:"data"`
}
