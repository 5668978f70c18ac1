package platform

import "time"

// The names of the protocol and what they mean to the core:
//
//	/{class}            coordinator.Query.Class, by the class's number
//	X-Priority-Class    the same; a name that differs from the path's is refused
//	X-Request-Id        Query.Name
//	X-Timeout-Ms        Query.Timeout, in milliseconds
//	X-Retried: 1        Query.IsRetry
//	X-Tenant-Id         Query.Tenant, by the tenant's number
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

// Limits of a request.
const (
	maxRequestIDBytes = 128
	maxTimeout        = 10 * time.Hour // guards sums of times against overflow
	maxHint           = 1e12           // microseconds; guards ExpectedWork against overflow
	weightTolerance   = 0.001          // of the sum of the weights, which clients write with few digits
)

// body is the body of a request. Its name and its fields' names are part of the texts of errors that clients
// get from package json, so they stay as they are.
type body struct {
	Parts []struct {
		ID   *int    `json:"id"`
		W    float64 `json:"w"`
		Hint float64 `json:"hint"`
		Tag  string  `json:"tag"`
	} `json:"parts"`
	Expr *string `json:"expr"`
}

// answerBody is the body of a response 200.
type answerBody struct {
	Complete bool       `json:"exact"`
	Values   []valueRow `json:"rows"`
}

// valueRow is the value of one shard.
type valueRow struct {
	Shard int    `json:"id"`
	Data  string `json:"data"`
}
