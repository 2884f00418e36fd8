export type {CrashDetector} from './crash-detector.ts';
export type {CrashEvidence} from './crash-evidence.ts';
export type {CrashRow} from './crash-row.ts';
export {createCrashDetector} from './create-crash-detector.ts';
export {createQuarantine} from './create-quarantine.ts';
export {hashRequest} from './hash-request.ts';
export type {Quarantine} from './quarantine.ts';
export type {RequestIdentity} from './request-identity.ts';
