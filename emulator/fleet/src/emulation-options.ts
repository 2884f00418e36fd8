import type {AdmissionSettings} from '@valvesaddle/admission';
import type {SelectorOptions} from '@valvesaddle/selection';
import type {EmulationLoad} from './emulation-load.ts';

/**
Options of `runEmulation`.
*/
export type EmulationOptions = {
	readonly load: EmulationLoad;
	readonly seed: number;
	readonly selection: SelectorOptions;
	readonly admission: AdmissionSettings;
};
