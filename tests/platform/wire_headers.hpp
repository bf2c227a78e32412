#pragma once

// The platform's header names as string literals, with which tests in other
// folders build requests and responses.
#define WIRE_ATTEMPT "Attempt-Id"
#define WIRE_SEAL "Response-Seal"
#define WIRE_NOT_RUN "Not-Executed"
#define WIRE_TIME_LEFT "Deadline-Ms"
#define WIRE_LAST_EVENT "Last-Event-Id"
#define WIRE_RESUMES "Resumes"
#define WIRE_PARTS "Prefix-Hash"
#define WIRE_ACCOUNT "Tenant"
#define WIRE_LEAVING "Server-Leaving"
#define WIRE_RETRY_AFTER "Retry-After"
#define WIRE_STORE_ERA "Store-Era"
#define WIRE_LIMIT "Server-Limit"
#define WIRE_BRITTLE "Server-Brittle"
