/**
A fault for a period of a run, in milliseconds from its start.

- `freeze`: a node is paused; messages that it was about to send go out when it resumes.
- `kill`: a node's process is killed, and a new one starts at the end of the period.
- `store-down`: the store refuses all calls; leases keep expiring.
- `store-refuses`: the store refuses the calls of a node.
- `store-loses`: some calls to the store get no answer and are carried out a few seconds later.
- `platform-loses`: the same for calls to the platform.
- `platform-busy`: the platform answers `busy`, as it does above its rate limit.
- `no-spot`: a data centre loses its spot replicas and gets no new ones.
*/
export type DutyFault = {
	readonly kind: 'freeze' | 'kill' | 'store-down' | 'store-refuses' | 'store-loses' | 'platform-loses' | 'platform-busy' | 'no-spot';
	readonly node: number;
	readonly at: number;
	readonly until: number;
};
