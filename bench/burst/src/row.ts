import type {LoadSummary} from '@valvesaddle/load';
import type {DispatchMode} from './dispatch-mode.ts';

/**
One measured row.
*/
export type Row = {
	readonly scenario: string;
	readonly mode: DispatchMode;
	readonly summary: LoadSummary;
};
