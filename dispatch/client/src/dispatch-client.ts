import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {Grant, ReleaseReport} from '@valvesaddle/messages';
import type {AcquireParameters} from './acquire-parameters.ts';

/**
Acquires and releases grants for the requests of a node.
*/
export type DispatchClient = {
	/**
	Waits for a grant; aborting the signal cancels the request.
	*/
	readonly acquire: (parameters: AcquireParameters, signal: AbortSignal) => ResultAsync<Grant, ValvesaddleError>;
	/**
	Records the tokens received under a grant, for the next progress message.
	*/
	readonly progress: (grantId: string, tokens: number, firstTokenMs: number | undefined) => void;
	readonly release: (report: Omit<ReleaseReport, 'duty'>) => void;
	readonly close: () => void;
};
