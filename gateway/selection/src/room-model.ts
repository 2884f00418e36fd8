import type {MemoryRoom} from '@valvesaddle/room';
import type {KnownEndpoint} from './known-endpoint.ts';
import type {LoadUpdate} from './load-update.ts';
import type {Placement} from './placement.ts';
import type {SelectionCriteria} from './selection-criteria.ts';

type EndedRequest = {
	/**
	What `countMemory` counted for it.
	*/
	readonly memoryTokens: number;
	readonly milliseconds: number;
	/**
	Chunks of its whole answer; 0 if it had none.
	*/
	readonly chunks: number;
};

/**
Predicts the memory of engines by the sums that nodes tell each other.
*/
export type RoomModel = {
	/**
	Sets an engine's memory, in tokens; `undefined` if it is not known, so that nothing is predicted for it.
	*/
	readonly setCapacity: (incarnation: string, tokens: number | undefined) => void;
	/**
	Tokens of memory that a request will hold at an engine, with its part of what it shares; 0 if that is not predicted.
	*/
	readonly countMemory: (incarnation: string, criteria: SelectionCriteria) => number;
	/**
	Room for a request; `undefined` if it is not predicted.
	*/
	readonly predictRoom: (endpoint: Pick<KnownEndpoint, 'incarnation' | 'pool'>, criteria: SelectionCriteria) => MemoryRoom | undefined;
	/**
	Records a prompt that any node sent to an engine.
	*/
	readonly recordPlacement: (placement: Placement) => void;
	/**
	Records a request that ended, for the length of later ones.
	*/
	readonly recordEnd: (criteria: SelectionCriteria, ended: EndedRequest) => void;
	/**
	Limits the memory in the rows of a peer to what the open requests in each can hold.
	*/
	readonly fitLoads: (node: string, rows: LoadUpdate['loads']) => LoadUpdate['loads'];
	readonly removeEndpoint: (incarnation: string) => void;
};
