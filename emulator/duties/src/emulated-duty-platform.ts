import type {DutyPlatform} from '@valvesaddle/duty-types';
import type {ReplicaCount} from '@valvesaddle/duty-scaling';
import type {DutyCall} from './duty-call.ts';

/**
An emulated platform that offers duties.
*/
export type EmulatedDutyPlatform = {
	readonly connect: (node: number) => DutyPlatform;
	/**
	All calls that were processed, in order.
	*/
	readonly calls: readonly DutyCall[];
	/**
	Accepted usage reports, as JSON of their counts, by window.
	*/
	readonly reports: ReadonlyMap<number, ReadonlySet<string>>;
	/**
	Ready replicas.
	*/
	readonly listReplicas: () => readonly ReplicaCount[];
};
