import type {VmRole} from './vm-role.ts';

/**
An entry of the platform's VM list, which is eventually consistent.
*/
export type Vm = {
	readonly id: string;
	readonly role: VmRole;
	/**
	Peer address `ip:port` of a router; host and port of an endpoint.
	*/
	readonly address: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly state: 'live' | 'leaving';
};
