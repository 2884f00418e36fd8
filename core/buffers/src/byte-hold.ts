import type {ByteKind} from './byte-kind.ts';

/**
What the node holds for one request.
*/
export type ByteHold = {
	/**
	Records the bytes of a kind that are held now. It is not refused: they are there.
	*/
	readonly set: (kind: ByteKind, bytes: number) => void;
	/**
	Whether as many further bytes may be held.
	*/
	readonly hasRoom: (bytes: number) => boolean;
	/**
	Holds the request's body, after waiting for room if need be; `false` if there is none in time.
	*/
	readonly acquireBody: (bytes: number) => Promise<boolean>;
	/**
	Releases everything, once; what is set later is ignored.
	*/
	readonly release: () => void;
};
