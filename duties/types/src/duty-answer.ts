/**
What became of a call of a duty.

- `accepted`: it is done.
- `refused`: a higher token was seen, or for replicas: there are none of that kind there at the moment.
- `busy`: nothing was done; another call may be.
- `rejected`: the platform finds fault with the call; the same call would be rejected again.
- `unknown`: there was no answer; it may have been done, or be done later.
*/
export type DutyAnswer = 'accepted' | 'refused' | 'busy' | 'rejected' | 'unknown';
