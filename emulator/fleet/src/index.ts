export type {CallerClass} from './caller-class.ts';
export type {ClassReport} from './class-report.ts';
export type {EmulationFault} from './emulation-fault.ts';
export type {EmulationLoad} from './emulation-load.ts';
export type {EmulationOptions} from './emulation-options.ts';
export type {EmulationReport} from './emulation-report.ts';
export {runEmulation} from './run-emulation.ts';
