import type {DutyPlatform} from '@valvesaddle/duty-types';
import type {ReplicaCount} from '@valvesaddle/duty-scaling';
import type {DutyCall} from './duty-call.ts';

/**
An emulated platform that asks for duties.
*/
export type EmulatedDutyPlatform = {
	readonly connect: (machine: number) => DutyPlatform;
	/**
	All calls that were carried out.
	*/
	readonly calls: readonly DutyCall[];
	/**
	Contents that were accepted, by window.
	*/
	readonly reports: ReadonlyMap<number, ReadonlySet<string>>;
	/**
	Replicas that serve.
	*/
	readonly listReplicas: () => readonly ReplicaCount[];
};
