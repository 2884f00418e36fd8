/**
When a node may end an attempt whose progress timeout has expired or whose endpoint counts as stalled, if the request can go on
elsewhere:

- `secured`: always, as the gateway does.
- `overdue`: of a stalled endpoint only if the request itself is overdue.
- `silent`: only if the endpoint sends this node no chunks for other requests.
- `stalled`: only if the endpoint counts as stalled for all nodes.
- `dark`: only if the endpoint counts as stalled for all nodes and the request itself is overdue.
- `patient`: only if the endpoint counts as stalled for all nodes and the request has heard nothing for 1.5 s.
- `shorter`: before the first chunk and if the endpoint does not count as stalled, only if the predicted time at the next endpoint is
  shorter than what is left at this one.
- `never`: not on suspicion.
*/
export type LeavingPolicy = 'secured' | 'overdue' | 'silent' | 'stalled' | 'dark' | 'patient' | 'shorter' | 'never';
