import type {ValvesaddleError} from '@valvesaddle/error';
import type {Selection, SelectionCriteria} from '@valvesaddle/selection';
import type {Admitter} from './admitter.ts';
import type {CrashRecord} from './crash-record.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import type {Refusals} from './refusals.ts';
import type {RetryAllowance} from './retry-allowance.ts';

/**
Options of `createPlacer`.
*/
export type PlacerOptions = {
	readonly tools: Pick<ForwarderOptions, 'selector' | 'metrics' | 'room'>;
	readonly request: ForwardRequest;
	/**
	The request's criteria; `tried` is the set that the placer keeps.
	*/
	readonly question: SelectionCriteria;
	readonly tried: Set<string>;
	readonly admitter: Admitter;
	readonly crashes: CrashRecord;
	readonly refusals: Refusals;
	readonly retries: RetryAllowance;
	readonly onSend: (selection: Selection) => void;
	readonly onRefused: (error: ValvesaddleError) => void;
	readonly onNoEndpoint: () => void;
};
