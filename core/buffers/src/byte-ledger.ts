import type {BufferLimits} from './buffer-limits.ts';
import type {ByteHold} from './byte-hold.ts';
import type {ByteKind} from './byte-kind.ts';

/**
Account of the bytes that a node holds.
*/
export type ByteLedger = {
	readonly limits: BufferLimits;
	/**
	Opens the account of a request, by the name of its client account (empty without one) and its rank, 0 first.
	*/
	readonly open: (account: string, urgency: number) => ByteHold;
	/**
	Bytes that are held, of one kind or in all.
	*/
	readonly countBytes: (kind?: ByteKind) => number;
	/**
	Bytes that are held for a client account.
	*/
	readonly countAccountBytes: (account: string) => number;
	/**
	Whether more is held than the pressure share, or a body waits for room.
	*/
	readonly isPressed: () => boolean;
	readonly countWaiting: () => number;
};
