export type {Admission} from './admission.ts';
export type {AdmissionQuestion} from './admission-question.ts';
export type {AdmissionSettings} from './admission-settings.ts';
export {createUsualWaits} from './create-usual-waits.ts';
export {decideAdmission} from './decide-admission.ts';
export type {UsualWaits} from './usual-waits.ts';
