/**
Result of a duty call to the platform.

- `accepted`: the call was carried out.
- `refused`: the platform has seen a higher fencing token, or for replicas: has none of that kind in the data centre now.
- `busy`: the call was not carried out; it may be retried.
- `rejected`: the call is invalid; a retry would be rejected again.
- `unknown`: there was no answer; the call may have been carried out, or may be later.
*/
export type DutyAnswer = 'accepted' | 'refused' | 'busy' | 'rejected' | 'unknown';
