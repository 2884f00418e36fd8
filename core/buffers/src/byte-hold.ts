import type {BufferLimits} from './buffer-limits.ts';
import type {ByteKind} from './byte-kind.ts';

/**
What the node holds for one request.
*/
export type ByteHold = {
	readonly limits: BufferLimits;
	/**
	Records the bytes of a kind that are held now. It is not refused: they are there.
	*/
	readonly set: (kind: ByteKind, bytes: number) => void;
	/**
	Records a change of the bytes of a kind; negative when they are released.
	*/
	readonly add: (kind: ByteKind, change: number) => void;
	readonly count: (kind: ByteKind) => number;
	/**
	Whether as many further bytes may be held.
	*/
	readonly hasRoom: (bytes: number) => boolean;
	/**
	Whether the endpoint is read on although the caller does not keep up, after it was paused for a time in milliseconds.
	*/
	readonly canReadAhead: (pausedMs: number) => boolean;
	/**
	Holds the request's body, after waiting for room if need be; `false` if there is none in time.
	*/
	readonly acquireBody: (bytes: number) => Promise<boolean>;
	/**
	Releases everything, once; what is set later is ignored.
	*/
	readonly release: () => void;
};
