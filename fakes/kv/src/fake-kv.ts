import type {FakeServer} from '@valvesaddle/fake-http';
import type {KvFault} from './kv-fault.ts';

/**
Stand-in for the platform's key-value service.
*/
export type FakeKv = FakeServer & {
	/**
	Fault for every call, until it is set to `undefined`.
	*/
	readonly setFault: (fault: KvFault | undefined) => void;
	/**
	Fault for the next write only.
	*/
	readonly failNextWrite: (fault: KvFault) => void;
	readonly setDelay: (milliseconds: number) => void;
	readonly read: (key: string) => string | undefined;
	readonly keys: () => readonly string[];
	/**
	Calls so far by kind: `get`, `watch`, `put`, `delete`.
	*/
	readonly calls: () => Readonly<Record<string, number>>;
};
