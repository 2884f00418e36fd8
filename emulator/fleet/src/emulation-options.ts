import type {AdmissionSettings} from '@valvesaddle/admission';
import type {SelectorOptions} from '@valvesaddle/selection';
import type {EmulationLoad} from './emulation-load.ts';
import type {LeavingPolicy} from './leaving-policy.ts';

/**
Options of `runEmulation`.
*/
export type EmulationOptions = {
	readonly load: EmulationLoad;
	readonly seed: number;
	readonly selection: SelectorOptions;
	readonly admission: AdmissionSettings;
	/**
	When nodes may end an attempt on suspicion; `secured`, as in the gateway, if omitted.
	*/
	readonly leaving?: LeavingPolicy;
	/**
	Whether a node reads what has arrived before it ends an attempt on suspicion; if omitted, it does not.
	*/
	readonly isReadFirst?: boolean;
	/**
	Whether an attempt that is ended because it paused counts as a failure of its endpoint; if omitted, it does, as in the gateway.
	*/
	readonly isFailureCounted?: boolean;
	/**
	Whether requests wait at the nodes until an engine has room; if omitted, they do not.
	*/
	readonly isWaiting?: boolean;
};
