export type {Admission} from './admission.ts';
export type {AdmissionInput} from './admission-input.ts';
export type {AdmissionSettings} from './admission-settings.ts';
export {createWaitBaselines} from './create-wait-baselines.ts';
export {decideAdmission} from './decide-admission.ts';
export type {WaitBaselines} from './wait-baselines.ts';
