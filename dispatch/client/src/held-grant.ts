import type {OpenGrant} from '@valvesaddle/messages';

/**
A grant that this node holds.
*/
export type HeldGrant = {
	readonly open: OpenGrant;
	readonly pool: string;
	readonly tokens: number;
	readonly firstTokenMs: number | undefined;
	/**
	Whether the time of the first token has been reported.
	*/
	readonly isFirstTokenReported: boolean;
};
