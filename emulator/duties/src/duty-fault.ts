/**
Something that goes wrong for a while.

- `freeze`: a node stands still; what it was about to send goes out when it wakes.
- `kill`: a node's process is started anew.
- `store-down`: the store refuses all; leases run on.
- `store-refuses`: the store refuses a node.
- `store-loses`: answers of the store are lost, and what was asked may be done seconds later.
- `platform-loses`: the same for the platform.
- `platform-busy`: the platform refuses for its rate.
- `no-spot`: a data centre has no spot replicas, and loses those that it had.
*/
export type DutyFault = {
	readonly kind: 'freeze' | 'kill' | 'store-down' | 'store-refuses' | 'store-loses' | 'platform-loses' | 'platform-busy' | 'no-spot';
	readonly node: number;
	readonly at: number;
	readonly until: number;
};
