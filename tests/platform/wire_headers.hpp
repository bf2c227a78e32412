#pragma once

// The platform's names as literals, so that tests elsewhere can put requests
// and answers together without spelling them.
#define WIRE_ATTEMPT "Attempt-Id"
#define WIRE_SEAL "Response-Seal"
#define WIRE_NOT_RUN "Not-Executed"
#define WIRE_TIME_LEFT "Deadline-Ms"
#define WIRE_LAST_EVENT "Last-Event-Id"
#define WIRE_ACCOUNT "Tenant"
