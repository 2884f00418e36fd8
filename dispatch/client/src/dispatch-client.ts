import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Grant, ReleaseReport} from '@valvesaddle/messages';
import type {AcquireParameters} from './acquire-parameters.ts';

/**
Gets grants for the requests of a node and gives them back.
*/
export type DispatchClient = {
	/**
	Waits for a grant; an abort takes the request back.
	*/
	readonly acquire: (ask: AcquireParameters, signal: AbortSignal) => ResultAsync<Grant, ValvesaddleError>;
	/**
	Notes tokens that came under a grant; sent on in batches.
	*/
	readonly progress: (grantId: string, tokens: number, firstTokenMs: number | undefined) => void;
	readonly release: (report: Omit<ReleaseReport, 'duty'>) => void;
	readonly close: () => void;
};
